//! The hollow nodes, and the threads that they run on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};

use actix::{Actor, Arbiter};
use anyhow::{ensure, Context, Result};
use tansyhall_config::NodeSettings;
use tansyhall_membership::MemberAddresses;
use tansyhall_node::authority::AuthorityKeeper;
use tansyhall_node::configuration::ConfigurationWatcher;
use tansyhall_node::peers::{PeerTransport, PeersActor};
use tansyhall_node::Node;
use tansyhall_store::machines::{Machine, MachineKind};
use tansyhall_store::{EtcdStore, RateLimit};

use crate::options::ScaleOptions;
use crate::relay::Relay;
use crate::resources::zone_name;
use crate::stand_ins::{StandInAddresses, ANY_PORT};
use crate::usage::{self, ThreadId};

/// One node in this many has a thread of its own, so that it can die alone.
const NODES_PER_VICTIM: usize = 10;

/// Which nodes share a thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Group {
    Shared { zone: usize, authority: bool },
    Alone(usize),
}

struct NodeThread {
    arbiter: Arbiter,
    id: ThreadId,
}

/// A hollow node.
pub(crate) struct HollowNode {
    pub(crate) node: Arc<Node>,
    pub(crate) zone: usize,
    /// Whether it runs the authority.
    pub(crate) authority: bool,
    /// Whether its process, so to speak, runs.
    pub(crate) runs: bool,
    pub(crate) relay: Relay,
    pub(crate) peers: SocketAddr,
    group: Group,
}

/// Processor time of threads of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ThreadUse {
    pub(crate) thread: ThreadId,
    pub(crate) authority: bool,
    pub(crate) nodes: usize,
    pub(crate) seconds: f64,
}

/// Hollow nodes over stand-ins.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<HollowNode>,
    platform: SocketAddr,
    threads: HashMap<Group, NodeThread>,
}

impl Fleet {
    /// Starts every node.
    pub(crate) async fn start(
        options: &ScaleOptions,
        stand_ins: &StandInAddresses,
    ) -> Result<Self> {
        let mut fleet = Self {
            nodes: Vec::new(),
            platform: stand_ins.platform,
            threads: HashMap::new(),
        };
        let mut transports = Vec::new();
        for index in 0..options.nodes {
            let relay = Relay::start(stand_ins.platform).await?;
            let (node, transport) = prepare(options, index, relay)?;
            fleet.nodes.push(node);
            transports.push(transport);
        }
        fleet.list_machines().await?;
        for (index, transport) in transports.into_iter().enumerate() {
            fleet.launch(index, transport)?;
        }
        Ok(fleet)
    }

    /// The nodes that run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &HollowNode> {
        self.nodes.iter().filter(|node| node.runs)
    }

    /// The nodes that can die alone.
    pub(crate) fn victims(&self) -> Vec<usize> {
        let alone = |index: &usize| matches!(self.nodes[*index].group, Group::Alone(_));
        (0..self.nodes.len()).filter(alone).collect()
    }

    /// Ends these nodes, with their timers and sockets. Those that share a thread must all be
    /// among them.
    pub(crate) fn kill(&mut self, nodes: &[usize]) {
        for index in nodes {
            let node = &mut self.nodes[*index];
            node.runs = false;
            if let Some(thread) = self.threads.remove(&node.group) {
                thread.arbiter.stop();
            }
        }
    }

    /// Starts nodes that were killed again, with their names and nothing else.
    pub(crate) async fn restart(&mut self, options: &ScaleOptions, nodes: &[usize]) -> Result<()> {
        let mut transports = Vec::new();
        for index in nodes {
            let relay = self.nodes[*index].relay.clone();
            let (node, transport) = prepare(options, *index, relay)?;
            self.nodes[*index] = node;
            transports.push((*index, transport));
        }
        self.list_machines().await?;
        for (index, transport) in transports {
            self.launch(index, transport)?;
        }
        Ok(())
    }

    /// Processor time of each thread so far.
    pub(crate) fn thread_uses(&self) -> Vec<ThreadUse> {
        let thread_use = |(group, thread): (&Group, &NodeThread)| {
            let mut nodes = self.nodes.iter().filter(|node| node.group == *group);
            let authority = nodes.next()?.authority;
            Some(ThreadUse {
                thread: thread.id,
                authority,
                nodes: 1 + nodes.count(),
                seconds: usage::cpu_seconds(thread.id)?,
            })
        };
        self.threads.iter().filter_map(thread_use).collect()
    }

    async fn list_machines(&self) -> Result<()> {
        let machine = |hollow: &HollowNode| Machine {
            name: hollow.node.settings.name.to_string(),
            kind: MachineKind::Node,
            address: hollow.peers,
            zone: hollow.node.settings.zone.to_string(),
            leaving: false,
        };
        let machines: Vec<Machine> = self.nodes.iter().map(machine).collect();
        let url = format!("http://{}/standin/machines", self.platform);
        let answer = awc::Client::default().put(url).send_json(&machines).await;
        let answer = answer.map_err(|error| anyhow::anyhow!("{error}"))?;
        ensure!(answer.status().is_success(), "the list was not taken");
        Ok(())
    }

    fn launch(&mut self, index: usize, transport: PeerTransport) -> Result<()> {
        let hollow = &self.nodes[index];
        let node = Arc::clone(&hollow.node);
        let authority = hollow.authority;
        let thread = match self.threads.entry(hollow.group) {
            std::collections::hash_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::hash_map::Entry::Vacant(entry) => entry.insert(start_thread()?),
        };
        thread
            .arbiter
            .spawn_fn(move || run_node(node, transport, authority));
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for thread in self.threads.values() {
            thread.arbiter.stop();
        }
    }
}

fn start_thread() -> Result<NodeThread> {
    let arbiter = Arbiter::new();
    let (sender, receiver) = mpsc::channel();
    arbiter.spawn_fn(move || {
        // Nobody waits for it only if the run has failed already.
        let _ = sender.send(usage::this_thread());
    });
    let id = receiver.recv().context("the thread has ended")??;
    Ok(NodeThread { arbiter, id })
}

fn prepare(
    options: &ScaleOptions,
    index: usize,
    relay: Relay,
) -> Result<(HollowNode, PeerTransport)> {
    let transport = PeerTransport::bind(ANY_PORT.parse()?)?;
    let peers = transport.address();
    let zone = index % options.zones;
    let text = format!(
        "name = 'node-{index:03}'\nzone = '{}'\nplatform = '{}'\n\
         callers = '{peers}'\nadmin = '{peers}'\npeers = '{peers}'\n",
        zone_name(zone),
        relay.address
    );
    let settings = NodeSettings::parse("scale", &text)?;
    let place_in_zone = index / options.zones;
    let authority = options
        .authority_nodes_per_zone
        .is_none_or(|most| place_in_zone < most);
    let group = match place_in_zone % NODES_PER_VICTIM {
        0 => Group::Alone(index),
        _ => Group::Shared { zone, authority },
    };
    let hollow = HollowNode {
        node: Node::new(settings)?,
        zone,
        authority,
        runs: true,
        relay,
        peers,
        group,
    };
    Ok((hollow, transport))
}

/// Runs a node's control on the calling thread, wired as a node that serves wires it.
fn run_node(node: Arc<Node>, transport: PeerTransport, authority: bool) {
    let address = transport.address();
    let addresses = MemberAddresses {
        peers: address,
        admin: address,
        callers: address,
    };
    let limits = &node.settings.limits;
    let store = EtcdStore::new(node.settings.platform, limits.platform_timeout);
    let store = store.with_limit(RateLimit::new(limits.platform_calls_per_second));
    let peers = PeersActor::new(Arc::clone(&node), transport, addresses).start();
    ConfigurationWatcher::new(Arc::clone(&node), store.clone(), peers.recipient()).start();
    if authority {
        AuthorityKeeper::new(node, store).start();
    }
}
