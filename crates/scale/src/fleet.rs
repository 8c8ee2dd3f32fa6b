//! Hollow nodes and the stand-in of the platform.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use actix::{Actor, Arbiter};
use anyhow::{ensure, Context, Result};
use serde_json::Value;
use tansyhall_config::NodeSettings;
use tansyhall_membership::MemberAddresses;
use tansyhall_node::configuration::ConfigurationWatcher;
use tansyhall_node::peers::{PeerTransport, PeersActor};
use tansyhall_node::Node;
use tansyhall_platform::machines::{Machine, MachineKind};
use tansyhall_platform::{EtcdStore, RateLimit};

use crate::options::ScaleOptions;

/// Any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

/// A hollow node.
pub(crate) struct HollowNode {
    pub(crate) node: Arc<Node>,
    pub(crate) zone: usize,
}

/// Hollow nodes over a stand-in platform. The first node has a thread of its own, so that it can
/// die alone.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<HollowNode>,
    pub(crate) platform: SocketAddr,
    victim: Arbiter,
    arbiters: Vec<Arbiter>,
}

struct Prepared {
    node: Arc<Node>,
    zone: usize,
    transport: PeerTransport,
}

impl Fleet {
    /// Starts the platform and every node.
    pub(crate) async fn start(options: &ScaleOptions) -> Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let platform = listener.local_addr()?;
        actix_rt::spawn(tansyhall_standin::platform::serve(listener)?);
        let prepared: Result<Vec<Prepared>> = (0..options.nodes)
            .map(|index| prepare(index, index % options.zones, platform))
            .collect();
        let prepared = prepared?;
        list_machines(platform, &prepared).await?;
        let arbiters: Vec<Arbiter> = (0..options.threads).map(|_| Arbiter::new()).collect();
        let victim = Arbiter::new();
        let mut nodes = Vec::new();
        for (index, prepared) in prepared.into_iter().enumerate() {
            let arbiter = match index {
                0 => &victim,
                _ => &arbiters[index % arbiters.len()],
            };
            nodes.push(launch(prepared, arbiter));
        }
        Ok(Self {
            nodes,
            platform,
            victim,
            arbiters,
        })
    }

    /// Ends the first node's thread, with its timers and sockets.
    pub(crate) fn kill_first(&self) {
        self.victim.stop();
    }

    /// Calls that the platform has had.
    pub(crate) async fn platform_calls(&self) -> Result<u64> {
        let url = format!("http://{}/standin/faults", self.platform);
        let answer = awc::Client::default().get(url).send().await;
        let mut answer = answer.map_err(|error| anyhow::anyhow!("{error}"))?;
        let report: Value = answer.json().await?;
        report["calls"].as_u64().context("no count of calls")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.victim.stop();
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

fn prepare(index: usize, zone: usize, platform: SocketAddr) -> Result<Prepared> {
    let transport = PeerTransport::bind(ANY_PORT.parse()?)?;
    let peers = transport.address();
    let text = format!(
        "name = 'node-{index:03}'\nzone = 'zone-{zone}'\nplatform = '{platform}'\n\
         callers = '{peers}'\nadmin = '{peers}'\npeers = '{peers}'\n"
    );
    let settings = NodeSettings::parse("scale", &text)?;
    Ok(Prepared {
        node: Node::new(settings)?,
        zone,
        transport,
    })
}

async fn list_machines(platform: SocketAddr, prepared: &[Prepared]) -> Result<()> {
    let machine = |prepared: &Prepared| Machine {
        name: prepared.node.settings.name.to_string(),
        kind: MachineKind::Node,
        address: prepared.transport.address(),
        zone: prepared.node.settings.zone.to_string(),
        leaving: false,
    };
    let machines: Vec<Machine> = prepared.iter().map(machine).collect();
    let url = format!("http://{platform}/standin/machines");
    let request = awc::Client::default().put(url);
    let answer = request.send_json(&machines).await;
    let answer = answer.map_err(|error| anyhow::anyhow!("{error}"))?;
    ensure!(answer.status().is_success(), "the list was not taken");
    Ok(())
}

fn launch(prepared: Prepared, arbiter: &Arbiter) -> HollowNode {
    let Prepared {
        node,
        zone,
        transport,
    } = prepared;
    let hollow = HollowNode {
        node: Arc::clone(&node),
        zone,
    };
    let address = transport.address();
    let addresses = MemberAddresses {
        peers: address,
        admin: address,
        callers: address,
    };
    arbiter.spawn_fn(move || {
        let limits = &node.settings.limits;
        let store = EtcdStore::new(node.settings.platform, limits.platform_timeout);
        let store = store.with_limit(RateLimit::new(limits.platform_calls_per_second));
        let peers = PeersActor::new(Arc::clone(&node), transport, addresses).start();
        ConfigurationWatcher::new(node, store, peers.recipient()).start();
    });
    hollow
}
