//! The steps of a scale run.

use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use tansyhall_config::{Resource, ResourceKind};
use tansyhall_node::configuration::{Author, Change, ConfigurationStore, Precondition};
use tansyhall_platform::EtcdStore;

use crate::fleet::{Fleet, HollowNode};
use crate::options::ScaleOptions;
use crate::report::{PerNode, ScaleReport};
use crate::usage;

/// Time between looks at a condition, which bounds how exact the times are.
const POLL: Duration = Duration::from_millis(5);
/// Longest wait for the platform's answer to the harness.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs hollow nodes and reports what they cost and how fast they are.
pub async fn run(options: ScaleOptions) -> Result<ScaleReport> {
    let memory_before = usage::resident_megabytes()?;
    let fleet = Fleet::start(&options).await?;
    let started = Instant::now();
    let sizes = zone_sizes(&options);
    let knows_zone = |hollow: &HollowNode| alive(hollow) == sizes[hollow.zone];
    let joined = when_each(&options, &fleet.nodes, started, knows_zone).await?;
    change(&fleet, "first").await?;
    actix_rt::time::sleep(options.warm_up).await;
    let cost = measure(&options, &fleet).await?;
    let memory = usage::resident_megabytes()? - memory_before;
    let config_in_force_ms = measure_change(&options, &fleet).await?;
    let detect_ms = measure_detection(&options, &fleet).await?;
    Ok(ScaleReport {
        nodes: options.nodes,
        zones: options.zones,
        join_ms: joined.into_iter().fold(0.0, f64::max) as u64,
        control_bytes_per_s: cost.bytes_per_second,
        control_cpu_percent: cost.cpu_percent,
        memory_mb: memory / options.nodes as f64,
        store_ops_per_s: cost.store_ops_per_second,
        config_in_force_ms,
        detect_ms,
    })
}

struct Cost {
    bytes_per_second: PerNode,
    cpu_percent: f64,
    store_ops_per_second: f64,
}

async fn measure(options: &ScaleOptions, fleet: &Fleet) -> Result<Cost> {
    let bytes = || -> Vec<u64> {
        let nodes = fleet.nodes.iter();
        nodes
            .map(|it| it.node.metrics.peers.total_bytes())
            .collect()
    };
    let calls_before = fleet.platform_calls().await?;
    let cpu_before = usage::node_cpu_seconds()?;
    let bytes_before = bytes();
    let started = Instant::now();
    actix_rt::time::sleep(options.duration).await;
    let bytes_after = bytes();
    let cpu_after = usage::node_cpu_seconds()?;
    let seconds = started.elapsed().as_secs_f64();
    let calls_after = fleet.platform_calls().await?;
    let per_second: Vec<f64> = bytes_after
        .iter()
        .zip(&bytes_before)
        .map(|(after, before)| (after - before) as f64 / seconds)
        .collect();
    let cpu_share = (cpu_after - cpu_before) / seconds;
    Ok(Cost {
        bytes_per_second: PerNode::of(&per_second),
        cpu_percent: cpu_share * 100.0 / options.nodes as f64,
        store_ops_per_second: (calls_after - calls_before) as f64 / seconds,
    })
}

async fn measure_change(options: &ScaleOptions, fleet: &Fleet) -> Result<PerNode> {
    let revision = change(fleet, "second").await?;
    let accepted = Instant::now();
    let has_it = |it: &HollowNode| it.node.in_force.load().configuration.revision >= revision;
    let times = when_each(options, &fleet.nodes, accepted, has_it).await?;
    Ok(PerNode::of(&times))
}

async fn measure_detection(options: &ScaleOptions, fleet: &Fleet) -> Result<PerNode> {
    let victim = &fleet.nodes[0];
    fleet.kill_first();
    let killed = Instant::now();
    let name = &victim.node.settings.name;
    let sees_death = |hollow: &HollowNode| {
        let snapshot = hollow.node.peers.snapshot();
        let mut members = snapshot.members.iter();
        members.any(|member| member.name == *name && member.state == "dead")
    };
    let neighbours = fleet.nodes.iter().skip(1);
    let neighbours = neighbours.filter(|hollow| hollow.zone == victim.zone);
    let times = when_each(options, neighbours, killed, sees_death).await?;
    Ok(PerNode::of(&times))
}

/// Makes a change of one site and returns the store's revision.
async fn change(fleet: &Fleet, site: &str) -> Result<u64> {
    let body = format!(r#"{{"name":"{site}","region":"scale","zones":["{site}-zone"]}}"#);
    let resource = Resource::from_json(ResourceKind::Site, body.as_bytes())?;
    let change = Change {
        key: resource.key(),
        resource: Some(resource),
        precondition: Precondition::None,
    };
    let store = EtcdStore::new(fleet.platform, PLATFORM_TIMEOUT);
    let store = ConfigurationStore::new(store);
    let author = Author {
        account: "scale".into(),
        tenant: None,
    };
    let committed = store.change(&author, &[change]).await?;
    let revision = committed
        .revision
        .context("the change's own revision is not known")?;
    Ok(revision.0)
}

fn zone_sizes(options: &ScaleOptions) -> Vec<usize> {
    let mut sizes = vec![0; options.zones];
    for index in 0..options.nodes {
        sizes[index % options.zones] += 1;
    }
    sizes
}

fn alive(hollow: &HollowNode) -> usize {
    let snapshot = hollow.node.peers.snapshot();
    let members = snapshot.members.iter();
    members.filter(|member| member.state == "alive").count()
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
