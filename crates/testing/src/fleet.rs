//! A cluster of nodes that run as separate processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use tempfile::TempDir;

use crate::{
    eventually, free_peer_address, get_metric, peer_node_settings, run_tansyhall, start_node,
    start_standin, NodeProcess, Standin,
};

/// The zone of nodes that are started without a zone.
const DEFAULT_ZONE: &str = "kalimati";
/// Gauge of members by state, without its label.
const MEMBERS_METRIC: &str = "tansyhall_members";
/// Gauge of the configuration revision in force.
const REVISION_METRIC: &str = "tansyhall_configuration_revision";

/// Start options of one node.
#[derive(Debug, Clone, Copy)]
pub struct NodeOptions {
    /// The zone of the node.
    pub zone: &'static str,
    /// The address at which the node reaches the platform.
    pub platform: SocketAddr,
}

/// A platform stand-in and nodes. Every node has the first two nodes as seeds.
pub struct Fleet {
    /// The name of the fleet, which is unique among the fleets of all test processes.
    name: String,
    /// The nodes, by index. They are dropped before the platform: as soon as the platform ends, another
    /// process may bind its port and would receive the calls of nodes that still run.
    pub nodes: Vec<NodeProcess>,
    /// The platform stand-in.
    pub platform: Standin,
    directory: TempDir,
    peer_addresses: Vec<SocketAddr>,
    node_options: Vec<NodeOptions>,
}

/// Number of fleets that this process has started.
static STARTED_FLEETS: AtomicU32 = AtomicU32::new(0);

/// Maximum number of seed addresses in the settings of each node.
const MAX_SEEDS: usize = 2;

impl Fleet {
    /// Starts `size` nodes in one zone and waits until each sees all others as alive.
    pub async fn start(size: usize) -> Self {
        let platform = start_standin(&["platform"]);
        let options = NodeOptions {
            zone: DEFAULT_ZONE,
            platform: platform.address,
        };
        Self::start_with_options(platform, vec![options; size]).await
    }

    /// Starts one node for each element of the list and waits until each sees all nodes of its zone as alive.
    pub async fn start_with_options(platform: Standin, node_options: Vec<NodeOptions>) -> Self {
        let peer_addresses = node_options.iter().map(|_| free_peer_address()).collect();
        Self::start_with_peer_addresses(platform, node_options, peer_addresses).await
    }

    /// Starts one node for each element of the list with the peer address at the same index of `peer_addresses`,
    /// and waits until each node sees all nodes of its zone as alive.
    pub async fn start_with_peer_addresses(
        platform: Standin,
        node_options: Vec<NodeOptions>,
        peer_addresses: Vec<SocketAddr>,
    ) -> Self {
        let number = STARTED_FLEETS.fetch_add(1, Ordering::Relaxed);
        let mut fleet = Self {
            name: format!("fleet-{}-{number}", std::process::id()),
            platform,
            nodes: Vec::new(),
            directory: tempfile::tempdir().expect("a temporary directory is created"),
            peer_addresses,
            node_options,
        };
        for index in 0..fleet.node_options.len() {
            let node = fleet.spawn_node(index);
            fleet.nodes.push(node);
        }
        for (index, options) in fleet.node_options.iter().enumerate() {
            let same_zone = fleet
                .node_options
                .iter()
                .filter(|it| it.zone == options.zone);
            fleet
                .await_member_count(index, "alive", same_zone.count())
                .await;
        }
        fleet
    }

    fn spawn_node(&self, index: usize) -> NodeProcess {
        let name = format!("node-{index}");
        let seeds = &self.peer_addresses[..MAX_SEEDS.min(self.peer_addresses.len())];
        let NodeOptions { zone, platform } = self.node_options[index];
        let peer_address = self.peer_addresses[index];
        let settings = peer_node_settings(&self.name, &name, zone, platform, peer_address, seeds);
        start_node(self.directory.path(), &name, &settings)
    }

    /// Kills the process of a node and starts a new one with the same name and peer address.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        self.nodes[index] = self.spawn_node(index);
    }

    /// Kills the process of a node and waits until it has exited.
    pub fn kill(&mut self, index: usize) {
        let child = &mut self.nodes[index].process.child;
        child.kill().expect("the process is killed");
        child.wait().expect("the process exits");
    }

    /// Returns the address at which other nodes reach a node.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.peer_addresses[index]
    }

    /// Returns the administration address of a node.
    pub fn admin_address(&self, index: usize) -> SocketAddr {
        self.nodes[index].admin
    }

    /// Applies a configuration with one site called `name` through a node.
    pub fn apply_site(&self, index: usize, name: &str) {
        let text =
            format!("[[site]]\nname = '{name}'\nregion = 'valley'\nzones = ['{name}-zone']\n");
        let file = self.directory.path().join("resources.toml");
        std::fs::write(&file, text).expect("the resources are written");
        let file = file.to_str().expect("a UTF-8 path");
        run_tansyhall(&[
            "ctl",
            "--node",
            &self.admin_address(index).to_string(),
            "apply",
            file,
        ]);
    }

    /// Applies a site through the first node, waits until every node has the new revision in force, and
    /// returns that revision.
    pub async fn apply_everywhere(&self, name: &str) -> u64 {
        let before = self.revision(0).await.unwrap_or(0);
        self.apply_site(0, name);
        self.await_revision(0, before + 1).await;
        let revision = self.revision(0).await.expect("a revision");
        for index in 0..self.nodes.len() {
            self.await_revision(index, revision).await;
        }
        revision
    }

    /// Sets the fault switches of the platform stand-in.
    pub async fn set_faults(&self, switches: serde_json::Value) {
        self.platform.set_faults(switches).await;
    }

    /// Saves a copy of the platform stand-in's store.
    pub async fn back_up_store(&self) {
        self.platform.command("backup").await;
    }

    /// Restores the platform stand-in's store from the saved copy; later writes are lost.
    pub async fn restore_store(&self) {
        self.platform.command("restore").await;
    }

    /// Replaces the machine list of the platform stand-in. The stand-in publishes the new list after a
    /// delay.
    pub async fn set_machines(&self, machines: serde_json::Value) {
        let url = format!("http://{}/standin/machines", self.platform.address);
        let answer = awc::Client::default().put(url).send_json(&machines).await;
        assert!(answer.expect("an answer").status().is_success());
    }

    /// Returns the number of members that a node sees in a state.
    pub async fn member_count(&self, index: usize, state: &str) -> Option<usize> {
        let name = format!("{MEMBERS_METRIC}{{state=\"{state}\"}}");
        let count = get_metric(self.admin_address(index), &name).await?;
        Some(count as usize)
    }

    /// Waits until a node sees `count` members in a state.
    pub async fn await_member_count(&self, index: usize, state: &str, count: usize) {
        eventually(
            &format!("node {index} sees {count} members in state {state}"),
            || async { (self.member_count(index, state).await? == count).then_some(()) },
        )
        .await;
    }

    /// Returns the configuration revision that a node has in force; zero means none.
    pub async fn revision(&self, index: usize) -> Option<u64> {
        let revision = get_metric(self.admin_address(index), REVISION_METRIC).await?;
        Some(revision as u64)
    }

    /// Waits until a node has this configuration revision or a later one in force.
    pub async fn await_revision(&self, index: usize, revision: u64) {
        let what = format!("node {index} has revision {revision} in force");
        eventually(&what, || async {
            (self.revision(index).await? >= revision).then_some(())
        })
        .await;
    }

    /// Returns the number of nodes that follow the configuration store.
    pub async fn store_follower_count(&self) -> usize {
        let mut followers = 0;
        for index in 0..self.nodes.len() {
            let name = "tansyhall_configuration_follows_store";
            let follows = get_metric(self.admin_address(index), name).await;
            followers += usize::from(follows == Some(1.0));
        }
        followers
    }
}
