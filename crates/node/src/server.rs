//! Starts and stops a node.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix_web::dev::{Server, ServerHandle};
use actix_web::{web, App, HttpServer};
use anyhow::{Context, Result};
use tansyhall_config::NodeSettings;
use tansyhall_engine::EngineClient;
use tansyhall_platform::EtcdStore;

use crate::authority::AuthorityKeeper;
use crate::configuration::{ConfigurationStore, ConfigurationWatcher};
use crate::limits::{self, Alone};
use crate::state::Node;
use crate::{admin, callers};

/// How often a planned stop looks whether requests are still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A node that serves.
pub struct RunningNode {
    /// Its state.
    pub node: Arc<Node>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    handles: Vec<ServerHandle>,
}

/// Starts a node on the current actix system.
pub fn run(settings: NodeSettings) -> Result<RunningNode> {
    let node = Node::new(settings)?;
    let platform = node.settings.platform;
    let timeout = node.settings.limits.platform_timeout;
    let callers = listen(node.settings.callers)?;
    let admin = listen(node.settings.admin)?;
    let callers_address = callers.local_addr()?;
    let admin_address = admin.local_addr()?;
    let servers = [
        serve_callers(callers, Arc::clone(&node))?,
        serve_admin(admin, Arc::clone(&node))?,
    ];
    let handles = servers.iter().map(Server::handle).collect();
    for server in servers {
        actix_rt::spawn(server);
    }
    callers::start_sweeping(Arc::clone(&node));
    limits::ticker::start(Arc::clone(&node), Arc::new(Alone));
    let store = EtcdStore::new(platform, timeout);
    ConfigurationWatcher::new(Arc::clone(&node), store.clone()).start();
    AuthorityKeeper::new(Arc::clone(&node), store).start();
    Ok(RunningNode {
        node,
        callers: callers_address,
        admin: admin_address,
        handles,
    })
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))
}

/// Serves callers on a listener, on as many threads as the settings name.
pub fn serve_callers(listener: TcpListener, node: Arc<Node>) -> std::io::Result<Server> {
    let threads = node.settings.threads;
    let server = HttpServer::new(move || {
        let limits = &node.settings.limits;
        let engines = EngineClient::new(limits.connect_timeout);
        App::new()
            .app_data(web::Data::from(Arc::clone(&node)))
            .app_data(web::Data::new(engines))
            .app_data(web::Data::new(callers::application_client(limits)))
            .configure(callers::routes)
    });
    Ok(server
        .workers(threads)
        // A caller that closes its side is gone, and its work is cancelled.
        .h1_allow_half_closed(false)
        .disable_signals()
        .listen(listener)?
        .run())
}

fn serve_admin(listener: TcpListener, node: Arc<Node>) -> std::io::Result<Server> {
    let server = HttpServer::new(move || {
        let limits = &node.settings.limits;
        let store = EtcdStore::new(node.settings.platform, limits.platform_timeout);
        App::new()
            .app_data(web::Data::from(Arc::clone(&node)))
            .app_data(web::Data::new(ConfigurationStore::new(store)))
            .app_data(web::PayloadConfig::new(limits.max_admin_body_bytes))
            .configure(admin::routes)
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

impl RunningNode {
    /// Refuses new requests, lets those in progress end, then stops.
    pub async fn stop(self) {
        self.node.begin_stop();
        log::info!("stopping: new requests are refused");
        let deadline = self.node.clock.now() + self.node.settings.limits.drain_timeout;
        while self.node.metrics.in_progress.get() > 0 && self.node.clock.now() < deadline {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
        for handle in &self.handles {
            handle.stop(true).await;
        }
        log::info!("stopped");
    }
}
