//! Settings of one node that it cannot learn from the configuration that it fetches.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::id::check_name;
use tansyhall_core::{FleetId, FleetName, NodeId, TenantName, ZoneName};
use tansyhall_policy::Diagnostic;

use crate::routing::RoutingSettings;
use crate::syntax;

/// The error for settings that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file does not parse.
    #[error("{}", .diagnostic.render(.file, .text))]
    Syntax {
        /// The file.
        file: String,
        /// Its content.
        text: String,
        /// The syntax error with its position.
        diagnostic: Box<Diagnostic>,
    },
    /// A value is not allowed.
    #[error("{file}: {key} = {value} is not allowed; allowed: {allowed}")]
    Value {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// The rejected value.
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
    /// The zone in which the node runs.
    pub zone: ZoneName,
    /// The name of the node's fleet, unique among the fleets on the same network. The node ignores
    /// nodes of fleets with other names; without a name it accepts nodes of any fleet.
    #[serde(default)]
    pub fleet: Option<FleetName>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub admin: SocketAddr,
    /// Listen address for other nodes, over both UDP and TCP.
    pub peers: SocketAddr,
    /// Address of the platform's key-value service and machine list.
    pub platform: SocketAddr,
    /// Peer addresses to contact before the machine list has been read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads that serve callers.
    #[serde(default = "defaults::threads")]
    pub threads: usize,
    /// Accounts of the administration API.
    #[serde(default)]
    pub operators: Vec<OperatorAccount>,
    /// Time-outs and limits.
    #[serde(default)]
    pub limits: Limits,
    /// Authority over pools: the node's lease and the planning interval.
    #[serde(default)]
    pub authority: AuthoritySettings,
    /// Communication with other nodes.
    #[serde(default)]
    pub peer_limits: PeerLimits,
    /// Routing of completions to engines.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// The at-most-once records of requests that are not repeatable.
    #[serde(default)]
    pub journal: JournalSettings,
}

/// Access level of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read everything.
    Viewer,
    /// May read and change everything.
    Operator,
}

/// One account of the administration API.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorAccount {
    /// The account's name in the audit log.
    pub name: String,
    /// The account's access level.
    pub role: OperatorRole,
    /// The tenant whose resources the account may access; all resources if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantName>,
    /// SHA-256 of the bearer token, in hexadecimal; the token itself is stored nowhere.
    pub token_sha256: String,
}

/// Time-outs and limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body from a caller, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request body from an operator, in bytes.
    pub max_admin_body_bytes: usize,
    /// Maximum number of requests in progress; further requests are answered `not-run`
    /// immediately.
    pub max_requests: usize,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Maximum wait for a connection to a back end.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Maximum wait for an answer from the platform.
    #[serde(with = "humantime_serde")]
    pub platform_timeout: Duration,
    /// Maximum number of calls per second to the platform's key-value service.
    pub platform_calls_per_second: u32,
    /// Maximum time that a planned stop waits for requests in progress.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
    /// Maximum wait for the complete body of a completion request.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Maximum size of a body forwarded to an application worker, in bytes. Bodies are streamed and
    /// never buffered as a whole.
    pub max_forwarded_body_bytes: u64,
    /// Maximum size of an answer collected for a caller that does not stream, in bytes.
    pub max_answer_bytes: usize,
    /// Time without output from an engine with an open request after which the node checks whether
    /// the engine is still alive.
    #[serde(with = "humantime_serde")]
    pub engine_stall: Duration,
    /// Maximum time for which a caller may leave its answer unread before its connection is closed.
    #[serde(with = "humantime_serde")]
    pub caller_stall: Duration,
    /// Maximum number of connections to back ends from each worker thread.
    pub max_backend_connections: usize,
    /// Maximum number of requests whose status is kept, including those in progress.
    pub max_request_records: usize,
    /// Maximum number of finished answers kept for callers that asked to fetch them later.
    pub max_kept_answers: usize,
    /// How long a request's status and kept answer are retained after the request ends.
    #[serde(with = "humantime_serde")]
    pub request_retention: Duration,
    /// Maximum number of idempotency keys retained.
    pub max_idempotency_keys: usize,
    /// How long an idempotency key is retained.
    #[serde(with = "humantime_serde")]
    pub idempotency_retention: Duration,
    /// Maximum number of tenant limits metered at the same time; a request that needs one more is
    /// rejected.
    pub max_limit_meters: usize,
    /// Retries allowed per thousand requests.
    pub retries_per_thousand: u32,
    /// Retries allowed in addition to `retries_per_thousand`; one is replenished each second.
    pub retry_reserve: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_admin_body_bytes: 4 << 20,
            max_requests: 10_000,
            max_attempts: 3,
            connect_timeout: Duration::from_millis(500),
            platform_timeout: Duration::from_secs(2),
            platform_calls_per_second: 50,
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
            max_limit_meters: 16_384,
            retries_per_thousand: 200,
            retry_reserve: 20,
        }
    }
}

/// Authority over pools: the node's lease and the planning interval.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AuthoritySettings {
    /// Time to live of the node's lease, in whole seconds.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Interval between lease renewals.
    #[serde(with = "humantime_serde")]
    pub renewal: Duration,
    /// Subtracted from the end of the lease, because clocks run at different rates.
    #[serde(with = "humantime_serde")]
    pub margin: Duration,
    /// Interval between planning passes over each pool.
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

/// Intervals and limits for communication with other nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerLimits {
    /// Interval between probes; in each interval a node probes one other member of its zone.
    #[serde(with = "humantime_serde")]
    pub probe_period: Duration,
    /// Interval between reads of the platform's machine list by the one member of each zone that
    /// reads it.
    #[serde(with = "humantime_serde")]
    pub machines_period: Duration,
    /// Maximum size of a frame between nodes over TCP, sent or received, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of concurrent TCP requests from peers; further requests wait.
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

/// Number of replicas of the at-most-once records, unless they are stored only on the serving node.
pub const JOURNAL_REPLICAS: u32 = 3;

/// Frame bytes reserved for each key that a replica may hold. The next view receives the records
/// of three replicas in one frame, and all of them may differ.
const JOURNAL_FRAME_BYTES_PER_KEY: usize = 128;

/// The at-most-once records of requests that are not repeatable.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JournalSettings {
    /// Number of replicas of each record: [`JOURNAL_REPLICAS`], or 1 for a fleet with fewer nodes,
    /// where each record is stored only on the serving node.
    pub replicas: u32,
    /// Maximum wait for an answer from a replica.
    #[serde(with = "humantime_serde")]
    pub vote_timeout: Duration,
    /// Interval between reads of the set of replicas, and between checks that they respond.
    #[serde(with = "humantime_serde")]
    pub view_period: Duration,
}

impl JournalSettings {
    /// Returns whether records are replicated to other nodes.
    pub fn is_replicated(&self) -> bool {
        self.replicas == JOURNAL_REPLICAS
    }
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            replicas: JOURNAL_REPLICAS,
            vote_timeout: Duration::from_millis(500),
            view_period: Duration::from_secs(1),
        }
    }
}

mod defaults {
    pub(super) fn threads() -> usize {
        4
    }
}

/// Number of hexadecimal digits of a SHA-256 hash.
const SHA256_HEX_DIGITS: usize = 64;
/// Minimum interval between probes; the timer that drives them ticks at a fraction of it.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(100);
const MAX_THREADS: usize = 256;

impl NodeSettings {
    /// Parses and validates settings. `file` is the file name shown in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = syntax::parse(text).map_err(|diagnostic| SettingsError::Syntax {
            file: file.to_owned(),
            text: text.to_owned(),
            diagnostic: Box::new(diagnostic),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// Returns the identifier of the node's fleet.
    pub fn fleet_id(&self) -> FleetId {
        let name = self.fleet.as_ref();
        name.map_or(FleetId::UNNAMED, FleetId::of_name)
    }

    /// Checks all values and returns an error for the first one that is not allowed.
    pub fn validate(&self, file: &str) -> Result<(), SettingsError> {
        self.validate_names(file)?;
        self.validate_operators(file)?;
        self.validate_limits(file)?;
        self.validate_routing(file)?;
        self.validate_callers(file)?;
        self.validate_peers(file)?;
        self.validate_journal(file)?;
        self.validate_authority(file)
    }

    fn validate_names(&self, file: &str) -> Result<(), SettingsError> {
        const NAME_RULE: &str = "1 to 63 of a-z A-Z 0-9 . _ -";
        let is_name = |name: &str| check_name(name).is_ok();
        let (name, zone) = (self.name.as_str(), self.zone.as_str());
        require(is_name(name), file, "name", name, NAME_RULE)?;
        require(is_name(zone), file, "zone", zone, NAME_RULE)?;
        if let Some(fleet) = &self.fleet {
            require(is_name(fleet.as_str()), file, "fleet", fleet, NAME_RULE)?;
        }
        let is_in_range = (1..=MAX_THREADS).contains(&self.threads);
        require(is_in_range, file, "threads", self.threads, "1 to 256")
    }

    fn validate_operators(&self, file: &str) -> Result<(), SettingsError> {
        let mut names = HashSet::new();
        let mut tokens = HashSet::new();
        for account in &self.operators {
            let name = account.name.as_str();
            let key = "operators.name";
            require(check_name(name).is_ok(), file, key, name, "a name")?;
            require(names.insert(name), file, key, name, "each name once")?;
            let hash = account.token_sha256.as_str();
            let is_hash = hash.len() == SHA256_HEX_DIGITS && is_hexadecimal(hash);
            let account_label = format!("(of {name})");
            let key = "operators.token_sha256";
            require(is_hash, file, key, &account_label, "64 hexadecimal digits")?;
            let is_unique = tokens.insert(hash.to_ascii_lowercase());
            require(
                is_unique,
                file,
                key,
                &account_label,
                "a different token for each account",
            )?;
        }
        Ok(())
    }

    fn validate_limits(&self, file: &str) -> Result<(), SettingsError> {
        let limits = &self.limits;
        let sizes = [
            ("limits.max_body_bytes", limits.max_body_bytes),
            ("limits.max_admin_body_bytes", limits.max_admin_body_bytes),
            ("limits.max_requests", limits.max_requests),
            ("limits.max_attempts", limits.max_attempts as usize),
            (
                "limits.platform_calls_per_second",
                limits.platform_calls_per_second as usize,
            ),
        ];
        for (key, value) in sizes {
            require(value > 0, file, key, value, "1 or more")?;
        }
        let times = [
            ("limits.connect_timeout", limits.connect_timeout),
            ("limits.platform_timeout", limits.platform_timeout),
            ("limits.drain_timeout", limits.drain_timeout),
            ("authority.renewal", self.authority.renewal),
            ("authority.plan_period", self.authority.plan_period),
            ("journal.vote_timeout", self.journal.vote_timeout),
            ("journal.view_period", self.journal.view_period),
        ];
        for (key, value) in times {
            let formatted = humantime_serde::re::humantime::format_duration(value);
            require(
                !value.is_zero(),
                file,
                key,
                formatted,
                "a duration above zero, such as 2s",
            )?;
        }
        Ok(())
    }

    fn validate_callers(&self, file: &str) -> Result<(), SettingsError> {
        let limits = &self.limits;
        let times = [
            ("limits.body_timeout", limits.body_timeout),
            ("limits.engine_stall", limits.engine_stall),
            ("limits.caller_stall", limits.caller_stall),
        ];
        for (key, value) in times {
            let formatted = humantime_serde::re::humantime::format_duration(value);
            require(!value.is_zero(), file, key, formatted, "more than 0s")?;
        }
        let counts = [
            ("limits.max_answer_bytes", limits.max_answer_bytes),
            (
                "limits.max_backend_connections",
                limits.max_backend_connections,
            ),
            ("limits.max_request_records", limits.max_request_records),
            ("limits.max_idempotency_keys", limits.max_idempotency_keys),
            ("limits.max_limit_meters", limits.max_limit_meters),
        ];
        for (key, value) in counts {
            require(value > 0, file, key, value, "1 or more")?;
        }
        Ok(())
    }

    fn validate_routing(&self, file: &str) -> Result<(), SettingsError> {
        match self.routing.first_zero_setting() {
            None => Ok(()),
            Some(key) => require(false, file, key, 0, "more than 0"),
        }
    }

    fn validate_peers(&self, file: &str) -> Result<(), SettingsError> {
        let peers = &self.peer_limits;
        let formatted = humantime_serde::re::humantime::format_duration(peers.probe_period);
        let is_long_enough = peers.probe_period >= MIN_PROBE_PERIOD;
        require(
            is_long_enough,
            file,
            "peer_limits.probe_period",
            formatted,
            "100ms or more",
        )?;
        let count = peers.max_connections;
        require(
            count > 0,
            file,
            "peer_limits.max_connections",
            count,
            "1 or more",
        )
    }

    fn validate_journal(&self, file: &str) -> Result<(), SettingsError> {
        let replicas = self.journal.replicas;
        let is_supported = [1, JOURNAL_REPLICAS].contains(&replicas);
        require(is_supported, file, "journal.replicas", replicas, "1 or 3")?;
        let keys = self.limits.max_idempotency_keys;
        let max_keys = self.peer_limits.max_frame_bytes / JOURNAL_FRAME_BYTES_PER_KEY;
        let allowed = "at most peer_limits.max_frame_bytes / 128";
        let fits = keys <= max_keys || !self.journal.is_replicated();
        require(fits, file, "limits.max_idempotency_keys", keys, allowed)
    }

    fn validate_authority(&self, file: &str) -> Result<(), SettingsError> {
        let authority = &self.authority;
        let is_long_enough = authority.renewal + authority.margin < authority.lease;
        let formatted = humantime_serde::re::humantime::format_duration(authority.lease);
        let allowed = "more than the sum of authority.renewal and authority.margin";
        require(is_long_enough, file, "authority.lease", formatted, allowed)
    }
}

fn require(
    is_allowed: bool,
    file: &str,
    key: &'static str,
    value: impl std::fmt::Display,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if is_allowed {
        return Ok(());
    }
    Err(SettingsError::Value {
        file: file.to_owned(),
        key,
        value: value.to_string(),
        allowed,
    })
}

fn is_hexadecimal(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
