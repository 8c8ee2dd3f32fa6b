//! The steps of a scale run.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use anyhow::{bail, Result};
use tansyhall_store::EtcdStore;

use crate::cost;
use crate::fleet::{Fleet, HollowNode};
use crate::holders::{self, Holder};
use crate::options::{Fault, ScaleOptions};
use crate::report::{PerNode, ScaleReport};
use crate::resources;
use crate::stand_ins::StandIns;
use crate::usage;

/// Time between looks at a condition, which bounds how exact the times are.
const POLL: Duration = Duration::from_millis(5);
/// Longest wait for the platform's answer to the harness.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the nodes of a restart storm are away.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// What followed a death.
#[derive(Default)]
struct Aftermath {
    detect: Option<PerNode>,
    takeover: Option<PerNode>,
}

/// Runs hollow nodes and reports what they cost and how fast they are.
pub async fn run(options: ScaleOptions) -> Result<ScaleReport> {
    let stand_ins = StandIns::start(options.stand_ins.as_deref(), options.workers)?;
    let engines = &stand_ins.addresses.engines;
    let store = EtcdStore::new(stand_ins.addresses.platform, PLATFORM_TIMEOUT);
    resources::fill(&store, &options, engines).await?;
    let memory_before = usage::resident_megabytes()?;
    let mut fleet = Fleet::start(&options, &stand_ins.addresses).await?;
    let started = Instant::now();
    let joined = when_each(&options, fleet.running(), started, knows_zone(&options)).await?;
    actix_rt::time::sleep(options.warm_up).await;
    let held = holders::read(&store).await?;
    let pools_held = held.len();
    let killed = Instant::now();
    let struck = bring_about(&options, &mut fleet, &store, held).await?;
    let (cost, rejoin) = tokio::join!(
        cost::measure(&options, &fleet, engines.first().copied()),
        when_each(
            &options,
            fleet.running(),
            killed,
            rejoined(&fleet, &struck.restarted)
        ),
    );
    let (cost, rejoin) = (cost?, rejoin?);
    let memory = usage::resident_megabytes()? - memory_before;
    let config_in_force_ms = measure_change(&options, &fleet, &store).await?;
    let aftermath = aftermath(&options, &mut fleet, &store, struck.takeovers).await?;
    Ok(ScaleReport {
        nodes: options.nodes,
        authority_nodes: fleet.nodes.iter().filter(|node| node.authority).count(),
        workers: options.workers,
        zones: options.zones,
        pools_held,
        tenants: options.tenants,
        fault: options.fault.name().to_owned(),
        join_ms: joined.into_iter().fold(0.0, f64::max),
        control_bytes_per_s: cost.control_bytes,
        peer_bytes_per_s: cost.peer_bytes,
        platform_bytes_per_s: cost.platform_bytes,
        engine_bytes_per_s: cost.engine_bytes,
        engine_calls_per_s: cost.engine_calls,
        control_cpu_percent: cost.authority_cpu_percent,
        member_cpu_percent: cost.member_cpu_percent,
        memory_mb: memory / options.nodes as f64,
        store_ops_per_s: cost.platform_calls,
        config_in_force_ms,
        detect_ms: aftermath.detect,
        takeover_ms: aftermath.takeover,
        rejoin_ms: PerNode::of(&rejoin).filter(|_| !struck.restarted.is_empty()),
    })
}

/// A watch of the pools that dead nodes held.
type Takeovers = actix_rt::task::JoinHandle<Result<Vec<f64>>>;

/// What a fault has left behind.
#[derive(Default)]
struct Struck {
    /// Nodes that were started again.
    restarted: Vec<usize>,
    /// The watch, if the pools can have other holders.
    takeovers: Option<Takeovers>,
}

/// Brings the fault about.
async fn bring_about(
    options: &ScaleOptions,
    fleet: &mut Fleet,
    store: &EtcdStore,
    held: HashMap<String, Holder>,
) -> Result<Struck> {
    match options.fault {
        Fault::None => Ok(Struck::default()),
        Fault::Zone => {
            let in_zone = |index: &usize| fleet.nodes[*index].zone == 0;
            let nodes: Vec<usize> = (0..fleet.nodes.len()).filter(in_zone).collect();
            fleet.kill(&nodes);
            Ok(Struck::default())
        }
        Fault::RestartStorm => {
            let nodes = fleet.victims();
            let watch = watch_takeovers(options, fleet, store, held, &nodes);
            fleet.kill(&nodes);
            actix_rt::time::sleep(RESTART_PAUSE).await;
            fleet.restart(options, &nodes).await?;
            Ok(Struck {
                restarted: nodes,
                takeovers: Some(watch),
            })
        }
    }
}

/// Waits for what the fault began to end, or kills one node if there was no fault.
async fn aftermath(
    options: &ScaleOptions,
    fleet: &mut Fleet,
    store: &EtcdStore,
    takeovers: Option<Takeovers>,
) -> Result<Aftermath> {
    if let Some(watch) = takeovers {
        return Ok(Aftermath {
            detect: None,
            takeover: PerNode::of(&watch.await??),
        });
    }
    if options.fault == Fault::None {
        return kill_one(options, fleet, store).await;
    }
    Ok(Aftermath::default())
}

fn watch_takeovers(
    options: &ScaleOptions,
    fleet: &Fleet,
    store: &EtcdStore,
    held: HashMap<String, Holder>,
    nodes: &[usize],
) -> Takeovers {
    let name = |index: &usize| fleet.nodes[*index].node.settings.name.to_string();
    let killed: HashSet<String> = nodes.iter().map(name).collect();
    actix_rt::spawn(holders::takeovers(
        store.clone(),
        held,
        killed,
        options.patience,
    ))
}

/// Kills the node that holds the most pools, of those that can die alone.
async fn kill_one(
    options: &ScaleOptions,
    fleet: &mut Fleet,
    store: &EtcdStore,
) -> Result<Aftermath> {
    let held = holders::read(store).await?;
    let pools = |index: &usize| {
        let name = &fleet.nodes[*index].node.settings.name;
        held.values().filter(|it| it.node == name.as_str()).count()
    };
    let Some(victim) = fleet.victims().into_iter().max_by_key(pools) else {
        bail!("no node can die alone");
    };
    let watch = watch_takeovers(options, fleet, store, held, &[victim]);
    fleet.kill(&[victim]);
    let killed = Instant::now();
    let name = fleet.nodes[victim].node.settings.name.clone();
    let zone = fleet.nodes[victim].zone;
    let sees_death = |hollow: &HollowNode| {
        let snapshot = hollow.node.peers.snapshot();
        let mut members = snapshot.members.iter();
        members.any(|member| member.name == name && member.state == "dead")
    };
    let neighbours = fleet.running().filter(|hollow| hollow.zone == zone);
    let times = when_each(options, neighbours, killed, sees_death).await?;
    Ok(Aftermath {
        detect: PerNode::of(&times),
        takeover: PerNode::of(&watch.await??),
    })
}

async fn measure_change(
    options: &ScaleOptions,
    fleet: &Fleet,
    store: &EtcdStore,
) -> Result<Option<PerNode>> {
    let revision = resources::change_one(store).await?;
    let accepted = Instant::now();
    let has_it = |it: &HollowNode| it.node.in_force.load().configuration.revision >= revision;
    let times = when_each(options, fleet.running(), accepted, has_it).await?;
    Ok(PerNode::of(&times))
}

/// Whether a node has every member of its zone as alive.
fn knows_zone(options: &ScaleOptions) -> impl Fn(&HollowNode) -> bool {
    let mut sizes = vec![0; options.zones];
    for index in 0..options.nodes {
        sizes[index % options.zones] += 1;
    }
    move |hollow| {
        let snapshot = hollow.node.peers.snapshot();
        let members = snapshot.members.iter();
        let alive = members.filter(|member| member.state == "alive").count();
        alive == sizes[hollow.zone]
    }
}

/// Whether a node has the restarted members of its zone as alive where they are now.
fn rejoined(fleet: &Fleet, nodes: &[usize]) -> impl Fn(&HollowNode) -> bool {
    let expected: Vec<_> = nodes
        .iter()
        .map(|index| &fleet.nodes[*index])
        .map(|it| (it.zone, it.node.settings.name.clone(), it.peers))
        .collect();
    move |hollow| {
        let snapshot = hollow.node.peers.snapshot();
        let mut expected = expected.iter().filter(|(zone, _, _)| *zone == hollow.zone);
        expected.all(|(_, name, peers)| {
            let mut members = snapshot.members.iter();
            members.any(|it| it.name == *name && it.peers == *peers && it.state == "alive")
        })
    }
}

/// Milliseconds from `start` until the condition first held, for each node.
async fn when_each<'a>(
    options: &ScaleOptions,
    nodes: impl IntoIterator<Item = &'a HollowNode>,
    start: Instant,
    condition: impl Fn(&HollowNode) -> bool,
) -> Result<Vec<f64>> {
    let mut waiting: Vec<&HollowNode> = nodes.into_iter().collect();
    let mut times = Vec::new();
    while !waiting.is_empty() {
        if start.elapsed() > options.patience {
            bail!("{} nodes did not get there in time", waiting.len());
        }
        let before = waiting.len();
        waiting.retain(|hollow| !condition(hollow));
        let millis = start.elapsed().as_secs_f64() * 1_000.0;
        times.resize(times.len() + before - waiting.len(), millis);
        actix_rt::time::sleep(POLL).await;
    }
    Ok(times)
}
