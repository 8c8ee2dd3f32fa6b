//! Settings of a gateway, in TOML. Unknown keys are ignored, so that two versions can share one file. A
//! value out of range is rejected with an error that names the key and the allowed range.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use tansyhall_core::ZoneName;
use tansyhall_forwarding::{Decisions, RetryShareSettings};
use tansyhall_usage::WindowTiming;

/// Maximum number of zones whose loss a deployment may have to bear.
const MAX_TOLERATED_ZONES: u32 = 64;
/// The allowed sizes of a machine's memory in MB.
const MEMORY_MB_RANGE: std::ops::RangeInclusive<u64> = 64..=1_048_576;

/// The settings file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Identity and resources of this gateway.
    pub node: NodeSection,
    /// Listen addresses.
    pub listen: ListenSection,
    /// The store that holds the configuration and the workers' entries.
    pub store: StoreSection,
    /// The retry budget of the whole fleet.
    pub retries: RetrySection,
    /// Shutdown.
    pub stop: StopSection,
    /// Role orders to engines.
    pub orders: OrdersSection,
    /// Usage by tenant; `None` if it is not reported.
    pub usage: Option<UsageSection>,
    /// The platform's operations API; `None` if the platform has none.
    pub duties: Option<DutiesSection>,
    /// Workers.
    #[serde(default)]
    pub workers: WorkersSection,
    /// The losses that the deployment has to bear.
    #[serde(default)]
    pub tolerance: ToleranceSection,
    /// The limits of the machine.
    #[serde(default)]
    pub limits: LimitsSection,
    /// The event log.
    #[serde(default)]
    pub log: LogSection,
    /// Routing mechanisms that can be disabled one by one; each is enabled unless it is set to `false`.
    #[serde(default)]
    pub decisions: Decisions,
}

/// Identity and resources of a gateway.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSection {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Threads that serve callers, 1 to 64.
    pub threads: usize,
    /// The share of each thread's core that the gateway may use, above 0 and at most 1.
    #[serde(default = "whole_core")]
    pub core_share: f64,
}

fn whole_core() -> f64 {
    1.0
}

impl NodeSection {
    /// Returns the gateway's processor time in cores.
    pub fn capacity(&self) -> f64 {
        self.threads as f64 * self.core_share
    }
}

/// Listen addresses of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListenSection {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For health checks of the load balancer in front of the gateways.
    pub ready: SocketAddr,
    /// For HTTP requests of other gateways.
    pub peers: SocketAddr,
    /// For datagrams from other gateways (UDP).
    pub load: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// The store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StoreSection {
    /// The address of the store.
    pub address: SocketAddr,
    /// Gateways to ask for updates while the store is unreachable, in addition to those announced in the store.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The retry budget of the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RetrySection {
    /// Retries per request, 0 to 1.
    pub ratio: f64,
    /// Additional retries for the whole fleet in each window, 0 to 1000000.
    pub extra: f64,
    /// The length of the window in seconds, above 0 and at most 3600.
    pub window_seconds: f64,
}

/// Shutdown.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StopSection {
    /// Seconds from SIGTERM to SIGKILL, 1 to 600.
    pub grace_seconds: f64,
}

/// Role orders to engines.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct OrdersSection {
    /// Seconds that a new holder of the authority waits before its first order, 0 to 600.
    pub takeover_pause_seconds: f64,
}

/// Usage by tenant.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct UsageSection {
    /// The length of a window in seconds, 0.1 to 86400.
    pub window_seconds: f64,
    /// Seconds after the end of a window by which its usage must be reported, 0.1 to 86400.
    pub due_after_seconds: f64,
}

/// The platform's operations API.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct DutiesSection {
    /// The address for calls of the gateway that holds the authority.
    pub address: SocketAddr,
}

/// Workers.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(default)]
pub struct WorkersSection {
    /// Seconds after the store has accepted the announcement that a worker is leaving within which new requests must
    /// have reached it, 0 to 600. With 0, leaving workers get no requests.
    pub drain_seconds: f64,
    /// The local address from which connections to workers are opened; `None` if the system chooses it.
    pub source_address: Option<IpAddr>,
}

/// The losses that the deployment has to bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(default)]
pub struct ToleranceSection {
    /// Zones that may be lost at the same time, 0 to 64. With 0, the mechanisms that plan for lost capacity are off.
    pub zones: u32,
}

/// The limits of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LimitsSection {
    /// The memory that the process may occupy, in MB of 1,000,000 bytes, 64 to 1048576.
    pub memory_mb: u64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        Self { memory_mb: 1_024 }
    }
}

/// The event log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSection {
    /// Maximum number of lines per second about successful requests; 0 for none.
    pub routine_per_second: u32,
    /// Maximum number of lines that wait for a slow reader, 16 to 1000000; further lines are dropped and counted.
    pub queue_lines: usize,
}

impl Default for LogSection {
    fn default() -> Self {
        Self {
            routine_per_second: 200,
            queue_lines: 4096,
        }
    }
}

/// Error of invalid settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file is not valid TOML, or a key is missing or has the wrong type.
    #[error("{file}: {reason}")]
    Syntax {
        /// The file.
        file: String,
        /// What is wrong, and at which line.
        reason: String,
    },
    /// A value is out of range.
    #[error("{file}: {key} = {value}: {allowed}")]
    Range {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// The allowed range.
        allowed: &'static str,
    },
}

impl GatewaySettings {
    /// Parses and validates settings; `file` is the file name for error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let mut settings: Self = toml::from_str(text).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
        settings.validate(file)?;
        let zones = settings.tolerance.zones;
        settings.decisions = settings.decisions.with_tolerated_zones(zones);
        Ok(settings)
    }

    fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let check_range =
            |key: &'static str, value: String, allowed: &'static str, ok: bool| match ok {
                true => Ok(()),
                false => Err(SettingsError::Range {
                    file: file.to_owned(),
                    key,
                    value,
                    allowed,
                }),
            };
        let name = &self.node.name;
        check_range(
            "node.name",
            format!("{name:?}"),
            "must not be empty",
            !name.is_empty(),
        )?;
        let threads = self.node.threads;
        let threads_fit = (1..=64).contains(&threads);
        check_range(
            "node.threads",
            threads.to_string(),
            "must be 1 to 64",
            threads_fit,
        )?;
        let share = self.node.core_share;
        let share_fits = share > 0.0 && share <= 1.0;
        check_range(
            "node.core_share",
            share.to_string(),
            "must be above 0, at most 1",
            share_fits,
        )?;
        let ratio = self.retries.ratio;
        let ratio_fits = (0.0..=1.0).contains(&ratio);
        check_range(
            "retries.ratio",
            ratio.to_string(),
            "must be 0 to 1",
            ratio_fits,
        )?;
        let extra = self.retries.extra;
        let extra_fits = (0.0..=1e6).contains(&extra);
        check_range(
            "retries.extra",
            extra.to_string(),
            "must be 0 to 1000000",
            extra_fits,
        )?;
        let window = self.retries.window_seconds;
        let window_fits = window > 0.0 && window <= 3600.0;
        check_range(
            "retries.window_seconds",
            window.to_string(),
            "must be above 0, at most 3600",
            window_fits,
        )?;
        let grace = self.stop.grace_seconds;
        let grace_fits = (1.0..=600.0).contains(&grace);
        check_range(
            "stop.grace_seconds",
            grace.to_string(),
            "must be 1 to 600",
            grace_fits,
        )?;
        let pause = self.orders.takeover_pause_seconds;
        let pause_fits = (0.0..=600.0).contains(&pause);
        check_range(
            "orders.takeover_pause_seconds",
            pause.to_string(),
            "must be 0 to 600",
            pause_fits,
        )?;
        if let Some(usage) = &self.usage {
            let bounds = [
                ("usage.window_seconds", usage.window_seconds),
                ("usage.due_after_seconds", usage.due_after_seconds),
            ];
            for (key, seconds) in bounds {
                let fits = (0.1..=86_400.0).contains(&seconds);
                check_range(key, seconds.to_string(), "must be 0.1 to 86400", fits)?;
            }
        }
        let drain = self.workers.drain_seconds;
        let drain_fits = (0.0..=600.0).contains(&drain);
        check_range(
            "workers.drain_seconds",
            drain.to_string(),
            "must be 0 to 600",
            drain_fits,
        )?;
        let zones = self.tolerance.zones;
        let zones_fit = zones <= MAX_TOLERATED_ZONES;
        check_range(
            "tolerance.zones",
            zones.to_string(),
            "must be 0 to 64",
            zones_fit,
        )?;
        let memory = self.limits.memory_mb;
        check_range(
            "limits.memory_mb",
            memory.to_string(),
            "must be 64 to 1048576",
            MEMORY_MB_RANGE.contains(&memory),
        )?;
        let lines = self.log.queue_lines;
        let lines_fit = (16..=1_000_000).contains(&lines);
        check_range(
            "log.queue_lines",
            lines.to_string(),
            "must be 16 to 1000000",
            lines_fit,
        )
    }

    /// Returns the retry budget of the fleet.
    pub fn retry_share(&self) -> RetryShareSettings {
        RetryShareSettings {
            ratio: self.retries.ratio,
            fleet_extra: self.retries.extra,
            window: Duration::from_secs_f64(self.retries.window_seconds),
        }
    }

    /// Returns the windows of usage reports, or `None` if usage is not reported.
    pub fn usage_timing(&self) -> Option<WindowTiming> {
        self.usage.as_ref().map(|usage| WindowTiming {
            length: Duration::from_secs_f64(usage.window_seconds),
            due_after: Duration::from_secs_f64(usage.due_after_seconds),
        })
    }

    /// Returns the time that a new holder of the authority waits before its first order.
    pub fn takeover_pause(&self) -> Duration {
        Duration::from_secs_f64(self.orders.takeover_pause_seconds)
    }

    /// Returns the time within which new requests must have reached a worker that is announced as leaving.
    pub fn drain_time(&self) -> Duration {
        Duration::from_secs_f64(self.workers.drain_seconds)
    }

    /// Returns the memory that the process may occupy, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.limits.memory_mb * 1_000_000
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_seconds)
    }
}
