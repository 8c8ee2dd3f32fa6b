//! The application worker's stand-in: echoes what it was asked, and records each request.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Query parameter that makes the worker wait this many milliseconds.
const DELAY_PARAMETER: &str = "delay_ms";
/// Most requests recorded.
const MAX_RECORDS: usize = 100_000;
/// Largest body read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// How one worker is set up.
#[derive(Debug, Clone)]
pub struct AppOptions {
    /// Its name.
    pub name: String,
}

/// What the worker answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Echo {
    /// The worker.
    pub worker: String,
    /// The request's method.
    pub method: String,
    /// The request's path and query.
    pub path: String,
    /// The request's body, as text.
    pub body: String,
}

struct Worker {
    options: AppOptions,
    records: Mutex<Vec<Echo>>,
}

/// Serves a worker on a listener.
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
