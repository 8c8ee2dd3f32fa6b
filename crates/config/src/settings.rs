//! Settings of one node: what it cannot learn from the configuration that it fetches.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::id::check_name;
use tansyhall_core::{NodeId, ZoneName};

/// Settings that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file does not parse.
    #[error("{file}: {message}")]
    Syntax {
        /// The file.
        file: String,
        /// The parser's words, with position.
        message: String,
    },
    /// A value is not allowed.
    #[error("{file}: {key} = {value}: {allowed}")]
    Value {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// The value given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Settings of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name, unique in the fleet.
    pub name: NodeId,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where other nodes connect, over both UDP and TCP.
    pub peers: SocketAddr,
    /// The platform's key-value service and machine list.
    pub platform: SocketAddr,
    /// Peer addresses to contact before the machine list has been read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Worker threads for callers.
    #[serde(default = "defaults::threads")]
    pub threads: usize,
    /// Accounts of the administration API.
    #[serde(default)]
    pub operators: Vec<OperatorAccount>,
    /// Times and limits.
    #[serde(default)]
    pub limits: Limits,
    /// Authority over pools.
    #[serde(default)]
    pub authority: AuthoritySettings,
    /// Talk with other nodes.
    #[serde(default)]
    pub peer_limits: PeerLimits,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// Read everything.
    Viewer,
    /// Change everything.
    Operator,
}

/// One account of the administration API.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorAccount {
    /// The account's name, for the audit log.
    pub name: String,
    /// What it may do.
    pub role: OperatorRole,
    /// SHA-256 of the bearer token, in hexadecimal; the token itself is stored nowhere.
    pub token_sha256: String,
}

/// Times and limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body accepted from a caller, in bytes.
    pub max_body_bytes: usize,
    /// Most requests in progress at once; more are answered `not-run` at once.
    pub max_requests: usize,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest wait for a connection to a back end.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Longest wait for the platform's answer.
    #[serde(with = "humantime_serde")]
    pub platform_timeout: Duration,
    /// Most calls to the platform's key-value service in a second.
    pub platform_calls_per_second: u32,
    /// Longest time a planned stop waits for requests in progress.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_requests: 10_000,
            max_attempts: 3,
            connect_timeout: Duration::from_millis(500),
            platform_timeout: Duration::from_secs(2),
            platform_calls_per_second: 50,
            drain_timeout: Duration::from_secs(120),
        }
    }
}

/// Authority over pools.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AuthoritySettings {
    /// Time to live of the node's lease; whole seconds.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time between renewals.
    #[serde(with = "humantime_serde")]
    pub renewal: Duration,
    /// Taken off the lease's end for clocks that run at different rates.
    #[serde(with = "humantime_serde")]
    pub margin: Duration,
    /// Time between looks at each pool.
    #[serde(with = "humantime_serde")]
    pub plan_period: Duration,
}

impl Default for AuthoritySettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            renewal: Duration::from_secs(2),
            margin: Duration::from_secs(1),
            plan_period: Duration::from_millis(500),
        }
    }
}

/// Times and limits of the talk with other nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerLimits {
    /// Time between probes; each node probes one other member of its zone a period.
    #[serde(with = "humantime_serde")]
    pub probe_period: Duration,
    /// Time between reads of the platform's list of machines, by the member
    /// of each zone that reads it.
    #[serde(with = "humantime_serde")]
    pub machines_period: Duration,
    /// Largest frame sent or accepted when a configuration is pulled, in bytes.
    pub max_frame_bytes: usize,
    /// Most peers that pull at once; more are turned away.
    pub max_connections: usize,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            machines_period: Duration::from_secs(2),
            max_frame_bytes: 16 << 20,
            max_connections: 64,
        }
    }
}

mod defaults {
    pub(super) fn threads() -> usize {
        4
    }
}

/// Shortest time between probes; the timer behind them is a fraction of it.
const SHORTEST_PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Most worker threads.
const MAX_THREADS: usize = 256;

impl NodeSettings {
    /// Parses and validates settings; `file` names the source in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            message: error.to_string(),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// Checks every value.
    pub fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let refuse = |key, value: String, allowed| {
            Err(SettingsError::Value {
                file: file.to_owned(),
                key,
                value,
                allowed,
            })
        };
        if check_name(self.name.as_str()).is_err() {
            return refuse(
                "name",
                self.name.to_string(),
                "1 to 63 of a-z A-Z 0-9 . _ -",
            );
        }
        if check_name(self.zone.as_str()).is_err() {
            return refuse(
                "zone",
                self.zone.to_string(),
                "1 to 63 of a-z A-Z 0-9 . _ -",
            );
        }
        if !(1..=MAX_THREADS).contains(&self.threads) {
            return refuse("threads", self.threads.to_string(), "1 to 256");
        }
        for account in &self.operators {
            let is_hash = hex_digits(&account.token_sha256) && account.token_sha256.len() == 64;
            if !is_hash {
                let value = format!("(of {})", account.name);
                return refuse("operators.token_sha256", value, "64 hexadecimal digits");
            }
        }
        if self.limits.max_requests == 0 {
            return refuse("limits.max_requests", "0".into(), "1 or more");
        }
        if self.limits.max_attempts == 0 {
            return refuse("limits.max_attempts", "0".into(), "1 or more");
        }
        if self.limits.platform_calls_per_second == 0 {
            let allowed = "1 or more";
            return refuse("limits.platform_calls_per_second", "0".into(), allowed);
        }
        if self.peer_limits.probe_period < SHORTEST_PROBE_PERIOD {
            let value = format!("{:?}", self.peer_limits.probe_period);
            return refuse("peer_limits.probe_period", value, "100ms or more");
        }
        if self.peer_limits.max_connections == 0 {
            return refuse("peer_limits.max_connections", "0".into(), "1 or more");
        }
        self.validate_authority(file)
    }

    fn validate_authority(&self, file: &str) -> Result<(), SettingsError> {
        let authority = &self.authority;
        if authority.renewal + authority.margin < authority.lease {
            return Ok(());
        }
        let value = format!("{:?}", authority.lease);
        let allowed = "more than authority.renewal and authority.margin together";
        Err(SettingsError::Value {
            file: file.to_owned(),
            key: "authority.lease",
            value,
            allowed,
        })
    }
}

fn hex_digits(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
