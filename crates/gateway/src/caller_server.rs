//! The server of callers: connections on the library's HTTP service, each behind a [`CallerStream`].

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpService, Protocol};
use actix_server::Server;
use actix_service::{fn_service, map_config, IntoServiceFactory, ServiceFactoryExt};
use actix_web::dev::AppConfig;
use actix_web::{web, App};
use anyhow::{Context, Result};
use socket2::SockRef;
use tansyhall_memory_budget::Use;
use tokio::net::TcpStream;

use crate::caller_stream::{CallerStream, Flushing, HeadLimits, Reading, CONNECTION_BYTES};
use crate::ingress;
use crate::settings::GatewaySettings;
use crate::state::Shared;

/// Number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time after which idle connections of callers are closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Limits on heads until a configuration is known.
const DEFAULT_HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 16 << 10,
    timeout: Duration::from_secs(10),
};
/// Time for which the rest of a refused request is discarded, so that its caller can read the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a caller that acknowledges none of the bytes sent to it is considered gone without having closed its
/// connection. Nothing else closes such a connection: while the server waits to write, it checks nothing else. Callers
/// usually wait at most 5 s, and a caller that reads slowly still acknowledges some bytes from time to time.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds the callers' address and returns the server, which runs when it is polled.
pub fn start(shared: &Arc<Shared>, settings: &GatewaySettings) -> Result<Server> {
    let address = settings.listen.callers;
    let shared = Arc::clone(shared);
    let server = Server::build()
        .workers(settings.node.threads)
        .backlog(ACCEPT_BACKLOG)
        .disable_signals()
        .bind("callers", address, move || {
            let data = web::Data::new(Arc::clone(&shared));
            let app = App::new()
                .app_data(data)
                .default_service(web::to(ingress::serve))
                .into_factory()
                .map_err(|error: actix_web::Error| error.error_response());
            let http = HttpService::build()
                .keep_alive(CALLER_IDLE_TIMEOUT)
                .client_request_timeout(DEFAULT_HEAD_LIMITS.timeout)
                .client_disconnect_timeout(DISCARD_TIMEOUT)
                .h1_allow_half_closed(false)
                .local_addr(address)
                .on_connect_ext(share_connection)
                .finish(map_config(app, |()| AppConfig::default()));
            let shared = Arc::clone(&shared);
            fn_service(move |stream: TcpStream| {
                let accepted = accept(&shared, stream);
                async move { accepted.map_err(DispatchError::Io) }
            })
            .and_then(http)
        })
        .with_context(|| format!("listen.callers = {address}"))?;
    Ok(server.run())
}

/// Makes what a connection shares with its requests available to them.
fn share_connection(stream: &CallerStream, extensions: &mut Extensions) {
    extensions.insert::<Rc<Reading>>(stream.reading());
    extensions.insert::<Rc<Flushing>>(stream.flushing());
}

type Accepted = (CallerStream, Protocol, Option<std::net::SocketAddr>);

/// Takes the memory for a connection. Fails if there is none; the connection is then closed.
fn accept(shared: &Shared, stream: TcpStream) -> io::Result<Accepted> {
    set_stall_timeout(&stream);
    let peer = stream.peer_addr().ok();
    let refusals = &shared.metrics.memory_refusals;
    let memory = shared.memory.reserve(CONNECTION_BYTES, Use::Connection);
    let memory = memory.map_err(|error| {
        refusals.with_label_values(&["connection"]).inc();
        io::Error::other(error)
    })?;
    let refused_heads = refusals.with_label_values(&["head"]);
    let stream = CallerStream::new(stream, head_limits(shared), memory, refused_heads);
    Ok((stream, Protocol::Http1, peer))
}

fn head_limits(shared: &Shared) -> HeadLimits {
    let Some(in_force) = shared.in_force() else {
        return DEFAULT_HEAD_LIMITS;
    };
    let limits = in_force.limits();
    HeadLimits {
        max_bytes: limits.header_bytes,
        timeout: limits.header_timeout,
    }
}

fn set_stall_timeout(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(CALLER_STALL_TIMEOUT)) {
        log::warn!("cannot limit the time that a silent caller holds its connection: {error}");
    }
}
