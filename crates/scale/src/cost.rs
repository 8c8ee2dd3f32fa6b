//! What hollow nodes cost over a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use anyhow::Result;
use tansyhall_engine::EngineClient;

use crate::engines::CALLS_PATH;
use crate::fleet::{Fleet, ThreadUse};
use crate::options::ScaleOptions;
use crate::relay::Relay;
use crate::report::PerNode;
use crate::usage::ThreadId;

/// Reads of an engine's state that its bytes are averaged over.
const SAMPLE_READS: u32 = 10;

/// What nodes have cost in a second.
pub(crate) struct Cost {
    pub(crate) control_bytes: Option<PerNode>,
    pub(crate) peer_bytes: Option<PerNode>,
    pub(crate) platform_bytes: Option<PerNode>,
    pub(crate) engine_bytes: f64,
    pub(crate) engine_calls: f64,
    pub(crate) authority_cpu_percent: Option<PerNode>,
    pub(crate) member_cpu_percent: Option<PerNode>,
    pub(crate) platform_calls: f64,
}

/// The counts at one moment.
struct Counts {
    at: Instant,
    peer_bytes: Vec<u64>,
    platform_bytes: Vec<u64>,
    platform_calls: u64,
    engine_calls: u64,
    threads: Vec<ThreadUse>,
}

/// Waits for the length of the measurement and returns what nodes cost meanwhile.
pub(crate) async fn measure(
    options: &ScaleOptions,
    fleet: &Fleet,
    engine: Option<SocketAddr>,
) -> Result<Cost> {
    let bytes_per_read = match engine {
        Some(engine) => bytes_per_read(engine).await?,
        None => 0.0,
    };
    let before = counts(fleet, engine).await?;
    actix_rt::time::sleep(options.duration).await;
    let after = counts(fleet, engine).await?;
    Ok(cost(fleet, &before, &after, bytes_per_read))
}

async fn counts(fleet: &Fleet, engine: Option<SocketAddr>) -> Result<Counts> {
    let nodes = || fleet.nodes.iter();
    let peer_bytes = nodes().map(|it| it.node.metrics.peers.total_bytes());
    Ok(Counts {
        at: Instant::now(),
        peer_bytes: peer_bytes.collect(),
        platform_bytes: nodes().map(|it| it.relay.counts.bytes()).collect(),
        platform_calls: nodes().map(|it| it.relay.counts.calls()).sum(),
        engine_calls: match engine {
            Some(engine) => engine_calls(engine).await?,
            None => 0,
        },
        threads: fleet.thread_uses(),
    })
}

async fn engine_calls(engine: SocketAddr) -> Result<u64> {
    let url = format!("http://{engine}{CALLS_PATH}");
    let answer = awc::Client::default().get(url).send().await;
    let mut answer = answer.map_err(|error| anyhow::anyhow!("{error}"))?;
    Ok(answer.json().await?)
}

/// Bytes in both directions of one read of an engine's state.
async fn bytes_per_read(engine: SocketAddr) -> Result<f64> {
    let relay = Relay::start(engine).await?;
    let client = EngineClient::new(std::time::Duration::from_secs(1));
    for _ in 0..SAMPLE_READS {
        client.state(relay.address).await?;
    }
    Ok(relay.counts.bytes() as f64 / f64::from(SAMPLE_READS))
}

fn cost(fleet: &Fleet, before: &Counts, after: &Counts, bytes_per_read: f64) -> Cost {
    let seconds = (after.at - before.at).as_secs_f64();
    let rate = |after: &u64, before: &u64| after.saturating_sub(*before) as f64 / seconds;
    let rates = |after: &[u64], before: &[u64]| -> Vec<f64> {
        let pairs = after.iter().zip(before);
        pairs.map(|(after, before)| rate(after, before)).collect()
    };
    let peers = rates(&after.peer_bytes, &before.peer_bytes);
    let platform = rates(&after.platform_bytes, &before.platform_bytes);
    let authority_nodes = fleet.running().filter(|node| node.authority).count();
    let engine_calls = rate(&after.engine_calls, &before.engine_calls);
    let engine_calls = engine_calls / authority_nodes.max(1) as f64;
    let engine_bytes = engine_calls * bytes_per_read;
    let control: Vec<f64> = (0..fleet.nodes.len())
        .filter(|index| fleet.nodes[*index].runs && fleet.nodes[*index].authority)
        .map(|index| peers[index] + platform[index] + engine_bytes)
        .collect();
    let of_running = |figures: &[f64]| {
        let running = figures
            .iter()
            .zip(&fleet.nodes)
            .filter(|(_, node)| node.runs);
        PerNode::of(&running.map(|(figure, _)| *figure).collect::<Vec<f64>>())
    };
    Cost {
        control_bytes: PerNode::of(&control),
        peer_bytes: of_running(&peers),
        platform_bytes: of_running(&platform),
        engine_bytes,
        engine_calls,
        authority_cpu_percent: cpu_percent(before, after, seconds, true),
        member_cpu_percent: cpu_percent(before, after, seconds, false),
        platform_calls: rate(&after.platform_calls, &before.platform_calls),
    }
}

/// Percent of a core for a node: all threads of the kind, and the busiest of them.
fn cpu_percent(before: &Counts, after: &Counts, seconds: f64, authority: bool) -> Option<PerNode> {
    let earlier = before.threads.iter().map(|it| (it.thread, it.seconds));
    let earlier: HashMap<ThreadId, f64> = earlier.collect();
    let threads = after.threads.iter().filter(|it| it.authority == authority);
    let (mut used, mut nodes, mut max) = (0.0, 0, 0.0);
    for thread in threads {
        let earlier = earlier.get(&thread.thread).copied().unwrap_or_default();
        let percent = (thread.seconds - earlier) * 100.0 / seconds;
        used += percent;
        nodes += thread.nodes;
        max = f64::max(max, percent / thread.nodes as f64);
    }
    (nodes > 0).then(|| PerNode {
        mean: used / nodes as f64,
        max,
    })
}
