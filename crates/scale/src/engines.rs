//! Hollow engines: the control side of an engine behind the engine protocol. All share one server,
//! and each is told apart by the port that it is called on.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use anyhow::Result;
use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{EngineName, Incarnation, ModelName, Role};
use tansyhall_engine::protocol::{Order, OrderReply, Seal, ORDERS_PATH, SEAL_PATH, STATE_PATH};
use tansyhall_engine_model::{Control, ControlTiming};

/// Path at which any engine tells how many control calls all of them have had.
pub(crate) const CALLS_PATH: &str = "/standin/calls";
/// Threads that the engines share.
const SERVER_THREADS: usize = 2;
/// Hollow engines never restart.
const INCARNATION: Incarnation = Incarnation(1);

struct HollowEngines {
    controls: HashMap<SocketAddr, Mutex<Control>>,
    clock: MonotonicClock,
    calls: AtomicU64,
}

impl HollowEngines {
    fn with_control<R>(&self, request: &HttpRequest, act: impl FnOnce(&mut Control) -> R) -> R {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let address = request.app_config().local_addr();
        let mut control = self.controls[&address].lock();
        control.advance(self.clock.now());
        act(&mut control)
    }
}

/// Serves one engine on each listener, on the current system.
pub(crate) fn serve(listeners: Vec<TcpListener>) -> Result<Vec<SocketAddr>> {
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses?;
    let control = |(index, address): (usize, &SocketAddr)| (*address, Mutex::new(control(index)));
    let engines = Arc::new(HollowEngines {
        controls: addresses.iter().enumerate().map(control).collect(),
        clock: MonotonicClock::start(),
        calls: AtomicU64::new(0),
    });
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&engines)))
            .route(STATE_PATH, web::get().to(state))
            .route(SEAL_PATH, web::post().to(seal))
            .route(ORDERS_PATH, web::post().to(order))
            .route(CALLS_PATH, web::get().to(calls))
    });
    server = server.workers(SERVER_THREADS).disable_signals();
    for listener in listeners {
        server = server.listen(listener)?;
    }
    actix_rt::spawn(server.run());
    Ok(addresses)
}

fn control(index: usize) -> Control {
    let name = EngineName::new(crate::resources::engine_name(index));
    let model = ModelName::new("model");
    let timing = ControlTiming::default();
    Control::new(name, INCARNATION, Role::Mixed, model, timing)
}

async fn state(engines: web::Data<HollowEngines>, request: HttpRequest) -> HttpResponse {
    HttpResponse::Ok().json(engines.with_control(&request, |control| control.state(0)))
}

async fn seal(
    engines: web::Data<HollowEngines>,
    request: HttpRequest,
    seal: web::Json<Seal>,
) -> HttpResponse {
    let state = engines.with_control(&request, |control| {
        control.seal(seal.fence_token);
        control.state(0)
    });
    HttpResponse::Ok().json(state)
}

async fn order(
    engines: web::Data<HollowEngines>,
    request: HttpRequest,
    order: web::Json<Order>,
) -> HttpResponse {
    let now = engines.clock.now();
    let reply = engines.with_control(&request, |control| {
        control.order(now, order.into_inner(), 0)
    });
    let status = match reply {
        OrderReply::Accepted => StatusCode::OK,
        _ => StatusCode::CONFLICT,
    };
    HttpResponse::build(status).json(reply)
}

async fn calls(engines: web::Data<HollowEngines>) -> HttpResponse {
    HttpResponse::Ok().json(engines.calls.load(Ordering::Relaxed))
}
