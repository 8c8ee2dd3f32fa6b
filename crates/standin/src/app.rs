//! Stand-in for an application worker: echoes and records each request.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Query parameter that delays the answer by this many milliseconds.
const DELAY_PARAMETER: &str = "delay_ms";
/// Maximum number of recorded requests.
const MAX_RECORDS: usize = 100_000;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Options of a worker.
#[derive(Debug, Clone)]
pub struct AppOptions {
    /// The name of the worker.
    pub name: String,
}

/// The answer to a request, which repeats its contents.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Echo {
    /// The name of the worker.
    pub worker: String,
    /// The method of the request.
    pub method: String,
    /// The path and query of the request.
    pub path: String,
    /// The body of the request as text; invalid UTF-8 is replaced.
    pub body: String,
}

struct Worker {
    options: AppOptions,
    records: Mutex<Vec<Echo>>,
}

/// Starts a worker on a listener.
pub fn serve(listener: TcpListener, options: AppOptions) -> std::io::Result<Server> {
    let worker = Arc::new(Worker {
        options,
        records: Mutex::new(Vec::new()),
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&worker)))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/standin/records", web::get().to(records))
            .default_service(web::to(echo))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

#[derive(Deserialize)]
struct EchoQuery {
    #[serde(default, rename = "delay_ms")]
    delay_millis: u64,
}

async fn echo(worker: web::Data<Worker>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let echo = Echo {
        worker: worker.options.name.clone(),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    {
        let mut records = worker.records.lock();
        if records.len() < MAX_RECORDS {
            records.push(echo.clone());
        }
    }
    if request.query_string().contains(DELAY_PARAMETER) {
        if let Ok(query) = web::Query::<EchoQuery>::from_query(request.query_string()) {
            actix_rt::time::sleep(Duration::from_millis(query.delay_millis)).await;
        }
    }
    HttpResponse::Ok().json(echo)
}

async fn records(worker: web::Data<Worker>) -> HttpResponse {
    HttpResponse::Ok().json(&*worker.records.lock())
}
