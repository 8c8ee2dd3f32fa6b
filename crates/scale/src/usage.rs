//! Processor time of threads and memory of this process, from `/proc`.

use anyhow::{Context, Result};

const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// A thread of this process, as the system numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ThreadId(i32);

/// The calling thread.
pub(crate) fn this_thread() -> Result<ThreadId> {
    let link = std::fs::read_link("/proc/thread-self")?;
    let name = link.file_name().and_then(|name| name.to_str());
    Ok(ThreadId(name.context("no thread in /proc")?.parse()?))
}

/// Processor time that a thread has used so far, in seconds; absent if it has ended.
pub(crate) fn cpu_seconds(thread: ThreadId) -> Option<f64> {
    let process = procfs::process::Process::myself().ok()?;
    let stat = process.task_from_tid(thread.0).ok()?.stat().ok()?;
    let ticks = stat.utime + stat.stime;
    Some(ticks as f64 / procfs::ticks_per_second() as f64)
}

/// Resident memory of the whole process, in megabytes.
pub(crate) fn resident_megabytes() -> Result<f64> {
    let status = procfs::process::Process::myself()?.status()?;
    let kilobytes = status.vmrss.context("no resident memory in /proc")?;
    Ok(kilobytes as f64 * 1024.0 / BYTES_PER_MEGABYTE)
}
