//! `tansyhall-lab load`: measures what a node adds to the cost of a request. One run sends the same
//! load directly to a stand-in and through a node, which are separate processes. On a machine that
//! also does other work, only the ratios are meaningful.

mod client;
mod fleet;
mod options;
mod streams;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use pico_args::Arguments;
use serde::Serialize;

use client::{closed_loop, open_loop, LoadResult};
use fleet::Fleet;
use options::Options;
use streams::{concurrent_streams, StreamResult};

/// Cost of short application requests.
#[derive(Debug, Serialize)]
struct ApplicationReport {
    direct: LoadResult,
    through_node: LoadResult,
    throughput_ratio: f64,
    node_requests_per_core_second: f64,
    half_load_requests_per_second: f64,
    half_load_direct: LoadResult,
    half_load_through_node: LoadResult,
    added_median_ms: f64,
    added_p99_ms: f64,
}

/// All measurements of a run.
#[derive(Debug, Serialize)]
struct Report {
    node_threads: usize,
    application: ApplicationReport,
    streams: StreamResult,
}

/// Runs the command.
pub fn command(arguments: Arguments) -> Result<ExitCode> {
    let options = Options::parse(arguments)?;
    let report = actix_rt::System::new().block_on(measure(&options))?;
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure(options: &Options) -> Result<Report> {
    let fleet = Fleet::start(options.node_threads).await?;
    let application = measure_application(options, &fleet).await?;
    let streams = concurrent_streams(&fleet, options.streams).await?;
    Ok(Report {
        node_threads: options.node_threads,
        application,
        streams,
    })
}

async fn measure_application(options: &Options, fleet: &Fleet) -> Result<ApplicationReport> {
    let direct_url = format!("http://{}/stock/rice", fleet.worker_address());
    let node_url = format!("http://{}/stock/rice", fleet.node_address());
    let (duration, connections) = (options.duration, options.connections);
    closed_loop(&node_url, WARM_UP_DURATION, connections).await;
    let direct = closed_loop(&direct_url, duration, connections).await;
    let cpu_before = fleet.node_cpu_seconds()?;
    let through_node = closed_loop(&node_url, duration, connections).await;
    let cpu_seconds = fleet.node_cpu_seconds()? - cpu_before;
    let rate = through_node.requests_per_second / 2.0;
    let half_load_direct = open_loop(&direct_url, duration, rate, connections).await;
    let half_load_through_node = open_loop(&node_url, duration, rate, connections).await;
    Ok(ApplicationReport {
        throughput_ratio: through_node.requests_per_second / direct.requests_per_second,
        node_requests_per_core_second: through_node.requests as f64 / cpu_seconds,
        half_load_requests_per_second: rate,
        added_median_ms: half_load_through_node.median_ms - half_load_direct.median_ms,
        added_p99_ms: half_load_through_node.p99_ms - half_load_direct.p99_ms,
        direct,
        through_node,
        half_load_direct,
        half_load_through_node,
    })
}

/// Duration of the unmeasured load before the first measurement.
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
