//! Starts and stops a node.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_web::dev::{Server, ServerHandle};
use actix_web::{web, App, HttpServer};
use anyhow::{Context, Result};
use tansyhall_config::NodeSettings;
use tansyhall_engine::EngineClient;
use tansyhall_membership::MemberAddresses;
use tansyhall_store::{EtcdStore, RateLimit};

use crate::at_most_once::JournalViewManager;
use crate::authority::{AuthorityManager, Release};
use crate::configuration::{ConfigurationStore, ConfigurationWatcher};
use crate::dispatch::LoadPoller;
use crate::limits::{self, DisconnectedTransport};
use crate::peers::{Leave, PeerTransport, PeersActor};
use crate::state::Node;
use crate::{admin, callers};

/// Interval at which a planned stop checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running node.
pub struct RunningNode {
    /// The node's state.
    pub node: Arc<Node>,
    /// The address at which callers connect.
    pub callers: SocketAddr,
    /// The address at which operators connect.
    pub admin: SocketAddr,
    /// The address at which other nodes connect.
    pub peers: SocketAddr,
    peers_actor: Addr<PeersActor>,
    handles: Vec<ServerHandle>,
    authority_manager: Addr<AuthorityManager>,
}

/// Starts a node on the current actix system.
pub fn run(settings: NodeSettings) -> Result<RunningNode> {
    let node = Node::new(settings)?;
    let platform = node.settings.platform;
    let timeout = node.settings.limits.platform_timeout;
    let limit = RateLimit::new(node.settings.limits.platform_calls_per_second);
    let callers = listen(node.settings.callers)?;
    let admin = listen(node.settings.admin)?;
    let callers_address = callers.local_addr()?;
    let admin_address = admin.local_addr()?;
    let transport = PeerTransport::bind(node.settings.peers)?;
    let peers_address = transport.address();
    let servers = [
        serve_callers(callers, Arc::clone(&node))?,
        serve_admin(admin, Arc::clone(&node), limit.clone())?,
    ];
    let handles = servers.iter().map(Server::handle).collect();
    for server in servers {
        actix_rt::spawn(server);
    }
    callers::start_sweeping(Arc::clone(&node));
    limits::ticker::start(Arc::clone(&node), Arc::new(DisconnectedTransport));
    LoadPoller::new(Arc::clone(&node)).start();
    let store = EtcdStore::new(platform, timeout).with_limit(limit);
    let addresses = MemberAddresses {
        peers: peers_address,
        admin: admin_address,
        callers: callers_address,
    };
    let peers_actor = PeersActor::new(Arc::clone(&node), transport, addresses).start();
    let updates = peers_actor.clone().recipient();
    ConfigurationWatcher::new(Arc::clone(&node), store.clone(), updates).start();
    if node.settings.journal.is_replicated() {
        JournalViewManager::new(Arc::clone(&node), store.clone()).start();
    }
    let authority_manager = AuthorityManager::new(Arc::clone(&node), store).start();
    Ok(RunningNode {
        node,
        callers: callers_address,
        admin: admin_address,
        peers: peers_address,
        peers_actor,
        handles,
        authority_manager,
    })
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))
}

/// Serves callers on a listener, with the number of threads from the settings.
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
        // A caller that closes its side of the connection no longer waits, so its work is cancelled.
        .h1_allow_half_closed(false)
        .disable_signals()
        .listen(listener)?
        .run())
}

fn serve_admin(
    listener: TcpListener,
    node: Arc<Node>,
    limit: RateLimit,
) -> std::io::Result<Server> {
    let server = HttpServer::new(move || {
        let limits = &node.settings.limits;
        let store = EtcdStore::new(node.settings.platform, limits.platform_timeout);
        let store = store.with_limit(limit.clone());
        App::new()
            .app_data(web::Data::from(Arc::clone(&node)))
            .app_data(web::Data::new(ConfigurationStore::new(store)))
            .app_data(web::PayloadConfig::new(limits.max_admin_body_bytes))
            .configure(admin::routes)
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

impl RunningNode {
    /// Refuses new requests, waits until those in progress have ended or the drain timeout has
    /// passed, then stops.
    pub async fn stop(self) {
        self.node.begin_stop();
        // Sending fails only when the actor has ended, and then no actor is left to announce it.
        let _ = self.peers_actor.send(Leave).await;
        log::info!("stopping: refusing new requests");
        if let Err(error) = self.authority_manager.send(Release).await {
            log::warn!("cannot release the authority over pools: {error}");
        }
        let deadline = self.node.clock.now() + self.node.settings.limits.drain_timeout;
        while self.node.metrics.in_progress.get() > 0 && self.node.clock.now() < deadline {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        for handle in &self.handles {
            handle.stop(true).await;
        }
        log::info!("stopped");
    }
}
