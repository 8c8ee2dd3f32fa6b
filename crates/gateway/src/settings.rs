//! Settings of a gateway, in TOML. Unknown keys are passed over, so that one file can serve two
//! versions; a value outside its range is refused with its key and what is allowed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use tansyhall_core::ZoneName;
use tansyhall_forwarding::{Decisions, RetryShareSettings};
use tansyhall_usage::WindowTiming;

/// The whole file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Who this gateway is.
    pub node: NodeSection,
    /// Where it listens.
    pub listen: ListenSection,
    /// The store that holds configuration and workers.
    pub store: StoreSection,
    /// Retries of the whole fleet.
    pub retries: RetrySection,
    /// Stops.
    pub stop: StopSection,
    /// Orders to engines.
    pub orders: OrdersSection,
    /// Usage by tenant; none if it is not reported.
    pub usage: Option<UsageSection>,
    /// The platform's operations; none if it has none.
    pub duties: Option<DutiesSection>,
    /// Lines about decisions.
    #[serde(default)]
    pub log: LogSection,
    /// Switches of single mechanisms that decide; all are on unless one is set to `false`.
    #[serde(default)]
    pub decisions: Decisions,
}

/// Who this gateway is.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSection {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Threads that serve callers, 1 to 64.
    pub threads: usize,
    /// The part of each thread's core that the gateway may use, above 0 and at most 1.
    #[serde(default = "whole_core")]
    pub core_share: f64,
}

fn whole_core() -> f64 {
    1.0
}

impl NodeSection {
    /// Processor time in cores.
    pub fn capacity(&self) -> f64 {
        self.threads as f64 * self.core_share
    }
}

/// Where a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListenSection {
    /// Callers.
    pub callers: SocketAddr,
    /// Health checks of whoever distributes callers.
    pub ready: SocketAddr,
    /// Other gateways.
    pub peers: SocketAddr,
    /// Reports of load from other gateways, datagrams.
    pub load: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StoreSection {
    /// Where it listens.
    pub address: SocketAddr,
    /// Gateways to ask while the store cannot be reached, besides those that the store names.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Retries of the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RetrySection {
    /// Sends past the first for each request, 0 to 1.
    pub ratio: f64,
    /// Sends past the first that the fleet may add in one window.
    pub extra: f64,
    /// The window in seconds, above 0.
    pub window_seconds: f64,
}

/// Stops.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StopSection {
    /// Seconds from SIGTERM to SIGKILL, 1 to 600.
    pub grace_seconds: f64,
}

/// Orders to engines.
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
    /// Seconds after a window's end at which its usage must have been reported, 0.1 to 86400.
    pub due_after_seconds: f64,
}

/// The platform's operations.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct DutiesSection {
    /// Where it takes the calls of the gateway that acts for the site.
    pub address: SocketAddr,
}

/// Lines about decisions.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSection {
    /// Lines a second about what went well, at the most; 0 for none.
    pub routine_per_second: u32,
    /// Lines that wait for a slow reader; more are dropped and counted.
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

/// Why settings are refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Not TOML, or a key is missing or of the wrong type.
    #[error("{file}: {reason}")]
    Syntax {
        /// The file.
        file: String,
        /// Where and what.
        reason: String,
    },
    /// A value is out of its range.
    #[error("{file}: {key} = {value}: {allowed}")]
    Range {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl GatewaySettings {
    /// Reads and checks settings; `file` names them in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let range = |key: &'static str, value: String, allowed: &'static str, ok: bool| match ok {
            true => Ok(()),
            false => Err(SettingsError::Range {
                file: file.to_owned(),
                key,
                value,
                allowed,
            }),
        };
        let name = &self.node.name;
        range(
            "node.name",
            format!("{name:?}"),
            "must not be empty",
            !name.is_empty(),
        )?;
        let threads = self.node.threads;
        let threads_fit = (1..=64).contains(&threads);
        range(
            "node.threads",
            threads.to_string(),
            "must be 1 to 64",
            threads_fit,
        )?;
        let share = self.node.core_share;
        let share_fits = share > 0.0 && share <= 1.0;
        range(
            "node.core_share",
            share.to_string(),
            "must be above 0, at most 1",
            share_fits,
        )?;
        let ratio = self.retries.ratio;
        let ratio_fits = (0.0..=1.0).contains(&ratio);
        range(
            "retries.ratio",
            ratio.to_string(),
            "must be 0 to 1",
            ratio_fits,
        )?;
        let extra = self.retries.extra;
        let extra_fits = (0.0..=1e6).contains(&extra);
        range(
            "retries.extra",
            extra.to_string(),
            "must be 0 to 1000000",
            extra_fits,
        )?;
        let window = self.retries.window_seconds;
        let window_fits = window > 0.0 && window <= 3600.0;
        range(
            "retries.window_seconds",
            window.to_string(),
            "must be above 0, at most 3600",
            window_fits,
        )?;
        let grace = self.stop.grace_seconds;
        let grace_fits = (1.0..=600.0).contains(&grace);
        range(
            "stop.grace_seconds",
            grace.to_string(),
            "must be 1 to 600",
            grace_fits,
        )?;
        let pause = self.orders.takeover_pause_seconds;
        let pause_fits = (0.0..=600.0).contains(&pause);
        range(
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
                range(key, seconds.to_string(), "must be 0.1 to 86400", fits)?;
            }
        }
        let lines = self.log.queue_lines;
        let lines_fit = (16..=1_000_000).contains(&lines);
        range(
            "log.queue_lines",
            lines.to_string(),
            "must be 16 to 1000000",
            lines_fit,
        )
    }

    /// The fleet's retry budget.
    pub fn retry_share(&self) -> RetryShareSettings {
        RetryShareSettings {
            ratio: self.retries.ratio,
            fleet_extra: self.retries.extra,
            window: Duration::from_secs_f64(self.retries.window_seconds),
        }
    }

    /// Windows of usage, if it is reported.
    pub fn usage_timing(&self) -> Option<WindowTiming> {
        self.usage.as_ref().map(|usage| WindowTiming {
            length: Duration::from_secs_f64(usage.window_seconds),
            due_after: Duration::from_secs_f64(usage.due_after_seconds),
        })
    }

    /// Time that a new holder of the authority waits before its first order.
    pub fn takeover_pause(&self) -> Duration {
        Duration::from_secs_f64(self.orders.takeover_pause_seconds)
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_seconds)
    }
}
