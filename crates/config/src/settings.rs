//! Settings of one node: what it cannot learn from the configuration that it fetches.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::id::check_name;
use tansyhall_core::{NodeId, ZoneName};

use crate::routing::RoutingSettings;

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
    /// Routing of completions to engines.
    #[serde(default)]
    pub routing: RoutingSettings,
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
    /// Longest time a planned stop waits for requests in progress.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
    /// Longest wait for the whole body of a completion request.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Largest body forwarded to an application worker, in bytes; it is streamed, never held.
    pub max_forwarded_body_bytes: u64,
    /// Largest answer collected for a caller that does not stream, in bytes.
    pub max_answer_bytes: usize,
    /// Silence after which an engine that owes an answer is asked whether it still lives.
    #[serde(with = "humantime_serde")]
    pub engine_stall: Duration,
    /// Longest time a caller may leave its answer unread before it is cut off.
    #[serde(with = "humantime_serde")]
    pub caller_stall: Duration,
    /// Most connections to back ends from each worker thread.
    pub max_backend_connections: usize,
    /// Most requests whose status is kept, those in progress included.
    pub max_request_records: usize,
    /// Most finished answers kept for callers that asked to fetch them later.
    pub max_kept_answers: usize,
    /// How long a request's status and kept answer outlive its end.
    #[serde(with = "humantime_serde")]
    pub request_retention: Duration,
    /// Most idempotency keys remembered.
    pub max_idempotency_keys: usize,
    /// How long an idempotency key is remembered.
    #[serde(with = "humantime_serde")]
    pub idempotency_retention: Duration,
    /// Retries allowed for each thousand requests.
    pub retries_per_thousand: u32,
    /// Retries allowed beyond that fraction; one is gained back each second.
    pub retry_reserve: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_requests: 10_000,
            max_attempts: 3,
            connect_timeout: Duration::from_millis(500),
            platform_timeout: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(120),
            body_timeout: Duration::from_secs(30),
            max_forwarded_body_bytes: 256 << 20,
            max_answer_bytes: 1 << 20,
            engine_stall: Duration::from_secs(1),
            caller_stall: Duration::from_secs(30),
            max_backend_connections: 1_024,
            max_request_records: 20_000,
            max_kept_answers: 256,
            request_retention: Duration::from_secs(60),
            max_idempotency_keys: 100_000,
            idempotency_retention: Duration::from_secs(3_600),
            retries_per_thousand: 200,
            retry_reserve: 20,
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

mod defaults {
    pub(super) fn threads() -> usize {
        4
    }
}

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
        if let Some(key) = self.routing.zero_setting() {
            return refuse(key, "0".into(), "more than 0");
        }
        self.validate_callers(file)?;
        self.validate_authority(file)
    }

    fn validate_callers(&self, file: &str) -> Result<(), SettingsError> {
        let limits = &self.limits;
        let durations = [
            ("limits.body_timeout", limits.body_timeout),
            ("limits.engine_stall", limits.engine_stall),
            ("limits.caller_stall", limits.caller_stall),
        ];
        let zero = durations.iter().find(|(_, duration)| duration.is_zero());
        if let Some((key, _)) = zero {
            return Err(SettingsError::Value {
                file: file.to_owned(),
                key,
                value: "0s".into(),
                allowed: "more than 0s",
            });
        }
        let counts = [
            ("limits.max_answer_bytes", limits.max_answer_bytes),
            (
                "limits.max_backend_connections",
                limits.max_backend_connections,
            ),
            ("limits.max_request_records", limits.max_request_records),
            ("limits.max_idempotency_keys", limits.max_idempotency_keys),
        ];
        let zero = counts.iter().find(|(_, count)| *count == 0);
        match zero {
            None => Ok(()),
            Some((key, _)) => Err(SettingsError::Value {
                file: file.to_owned(),
                key,
                value: "0".into(),
                allowed: "1 or more",
            }),
        }
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
