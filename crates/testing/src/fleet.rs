//! Several nodes as separate processes that know each other.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use tempfile::TempDir;

use crate::{
    eventually, free_peer_address, get_metric, node, peer_node_settings, standin, tansyhall,
    NodeProcess, Standin,
};

/// The zone of nodes for which no other is given.
const ZONE: &str = "kalimati";
/// The gauge of members by state; the label follows.
const MEMBERS: &str = "tansyhall_members";
/// The gauge of the revision in force.
const REVISION: &str = "tansyhall_configuration_revision";

/// What is to be started as one node.
#[derive(Debug, Clone, Copy)]
pub struct NodePlan {
    /// Its zone.
    pub zone: &'static str,
    /// Where it reaches the platform.
    pub platform: SocketAddr,
}

/// A platform stand-in and nodes. Every node knows the first two as contacts.
pub struct Fleet {
    /// Its name, which no other fleet of a test has.
    name: String,
    /// The nodes, by index. They end before the platform: its port may be another process's at once,
    /// which would get their calls.
    pub nodes: Vec<NodeProcess>,
    /// The platform.
    pub platform: Standin,
    directory: TempDir,
    peers: Vec<SocketAddr>,
    plans: Vec<NodePlan>,
}

/// Fleets started so far by this process.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Nodes that each node is told of.
const SEEDS: usize = 2;

impl Fleet {
    /// Starts this many nodes of one zone and waits until they know each other.
    pub async fn start(size: usize) -> Self {
        let platform = standin(&["platform"]);
        let plan = NodePlan {
            zone: ZONE,
            platform: platform.address,
        };
        Self::start_planned(platform, vec![plan; size]).await
    }

    /// Starts nodes and waits until those of each zone know each other.
    pub async fn start_planned(platform: Standin, plans: Vec<NodePlan>) -> Self {
        let peers = plans.iter().map(|_| free_peer_address()).collect();
        Self::start_at(platform, plans, peers).await
    }

    /// Starts nodes that others reach at these addresses, one for each plan, and waits until those
    /// of each zone know each other.
    pub async fn start_at(platform: Standin, plans: Vec<NodePlan>, peers: Vec<SocketAddr>) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let mut fleet = Self {
            name: format!("fleet-{}-{number}", std::process::id()),
            platform,
            nodes: Vec::new(),
            directory: tempfile::tempdir().expect("a directory"),
            peers,
            plans,
        };
        for index in 0..fleet.plans.len() {
            let node = fleet.process(index);
            fleet.nodes.push(node);
        }
        for (index, plan) in fleet.plans.iter().enumerate() {
            let neighbours = fleet.plans.iter().filter(|it| it.zone == plan.zone);
            fleet
                .await_members(index, "alive", neighbours.count())
                .await;
        }
        fleet
    }

    fn process(&self, index: usize) -> NodeProcess {
        let name = format!("node-{index}");
        let seeds = &self.peers[..SEEDS.min(self.peers.len())];
        let NodePlan { zone, platform } = self.plans[index];
        let peers = self.peers[index];
        let settings = peer_node_settings(&self.name, &name, zone, platform, peers, seeds);
        node(self.directory.path(), &name, &settings)
    }

    /// Kills a node's process and starts a new one with the same name and peer address.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        self.nodes[index] = self.process(index);
    }

    /// Kills a node's process and waits until it has ended.
    pub fn kill(&mut self, index: usize) {
        let child = &mut self.nodes[index].process.child;
        child.kill().expect("the process is killed");
        child.wait().expect("the process ends");
    }

    /// Where other nodes reach a node.
    pub fn peers(&self, index: usize) -> SocketAddr {
        self.peers[index]
    }

    /// Where operators reach a node.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.nodes[index].admin
    }

    /// Applies a configuration with one site of this name, through a node.
    pub fn apply_site(&self, index: usize, name: &str) {
        let text =
            format!("[[site]]\nname = '{name}'\nregion = 'valley'\nzones = ['{name}-zone']\n");
        let file = self.directory.path().join("resources.toml");
        std::fs::write(&file, text).expect("the resources are written");
        let file = file.to_str().expect("a UTF-8 path");
        tansyhall(&[
            "ctl",
            "--node",
            &self.admin(index).to_string(),
            "apply",
            file,
        ]);
    }

    /// Applies a site through the first node, and returns the revision that every node then has in force.
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

    /// Sets the platform stand-in's fault switches.
    pub async fn set_faults(&self, switches: serde_json::Value) {
        self.platform.set_faults(switches).await;
    }

    /// Copies what the platform stand-in's store holds.
    pub async fn back_up_store(&self) {
        self.platform.command("backup").await;
    }

    /// Returns the platform stand-in's store to its copy: what was written since is gone.
    pub async fn restore_store(&self) {
        self.platform.command("restore").await;
    }

    /// Replaces the platform stand-in's list of machines; it shows after the stand-in's lag.
    pub async fn list_machines(&self, machines: serde_json::Value) {
        let url = format!("http://{}/standin/machines", self.platform.address);
        let answer = awc::Client::default().put(url).send_json(&machines).await;
        assert!(answer.expect("an answer").status().is_success());
    }

    /// Members in a state, as a node counts them.
    pub async fn members(&self, index: usize, state: &str) -> Option<usize> {
        let name = format!("{MEMBERS}{{state=\"{state}\"}}");
        let count = get_metric(self.admin(index), &name).await?;
        Some(count as usize)
    }

    /// Waits until a node counts this many members in a state.
    pub async fn await_members(&self, index: usize, state: &str, count: usize) {
        eventually(&format!("node {index} sees {count} {state}"), || async {
            (self.members(index, state).await? == count).then_some(())
        })
        .await;
    }

    /// The revision that a node has in force; zero for none.
    pub async fn revision(&self, index: usize) -> Option<u64> {
        let revision = get_metric(self.admin(index), REVISION).await?;
        Some(revision as u64)
    }

    /// Waits until a node has this revision, or a newer one, in force.
    pub async fn await_revision(&self, index: usize, revision: u64) {
        let what = format!("node {index} has revision {revision} in force");
        eventually(&what, || async {
            (self.revision(index).await? >= revision).then_some(())
        })
        .await;
    }

    /// Nodes that follow the configuration store.
    pub async fn followers(&self) -> usize {
        let mut followers = 0;
        for index in 0..self.nodes.len() {
            let name = "tansyhall_configuration_follows_store";
            let follows = get_metric(self.admin(index), name).await;
            followers += usize::from(follows == Some(1.0));
        }
        followers
    }
}
