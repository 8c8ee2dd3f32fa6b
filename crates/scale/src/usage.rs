//! Processor time and memory of this process, from `/proc`.

use anyhow::{Context, Result};

/// How the threads that run hollow nodes are named, as far as the system keeps a thread's name.
const NODE_THREAD: &str = "actix-rt|system";
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// Processor time that the threads of hollow nodes have used so far, in seconds.
pub(crate) fn node_cpu_seconds() -> Result<f64> {
    let process = procfs::process::Process::myself()?;
    let mut ticks = 0;
    for task in process.tasks()? {
        let stat = task?.stat()?;
        if stat.comm.starts_with(NODE_THREAD) {
            ticks += stat.utime + stat.stime;
        }
    }
    Ok(ticks as f64 / procfs::ticks_per_second() as f64)
}

/// Resident memory of the whole process, in megabytes.
pub(crate) fn resident_megabytes() -> Result<f64> {
    let status = procfs::process::Process::myself()?.status()?;
    let kilobytes = status.vmrss.context("no resident memory in /proc")?;
    Ok(kilobytes as f64 * 1024.0 / BYTES_PER_MEGABYTE)
}
