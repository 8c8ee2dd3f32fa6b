//! Settings of one node: what it cannot learn from the configuration that it fetches.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::id::check_name;
use tansyhall_core::{FleetId, FleetName, NodeId, TenantName, ZoneName};
use tansyhall_policy::Diagnostic;

use crate::routing::RoutingSettings;
use crate::syntax;

/// Settings that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file does not parse.
    #[error("{}", .fault.render(.file, .text))]
    Syntax {
        /// The file.
        file: String,
        /// Its content.
        text: String,
        /// The fault, with position.
        fault: Box<Diagnostic>,
    },
    /// A value is not allowed.
    #[error("{file}: {key} = {value} is not allowed; allowed: {allowed}")]
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
    /// The name of its fleet, which no other fleet on the same network has. Nodes of fleets with
    /// other names are passed over; without a name, nodes of any fleet are taken in.
    #[serde(default)]
    pub fleet: Option<FleetName>,
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
    /// Routing of completions to engines.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// At-most-once records.
    #[serde(default)]
    pub journal: JournalSettings,
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
    /// The tenant whose resources it may see and change; every resource if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantName>,
    /// SHA-256 of the bearer token, in hexadecimal; the token itself is stored nowhere.
    pub token_sha256: String,
}

/// Times and limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body accepted from a caller, in bytes.
    pub max_body_bytes: usize,
    /// Largest request body accepted from an operator, in bytes.
    pub max_admin_body_bytes: usize,
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
    /// Most limits of tenants metered at once; a request that needs one more is refused.
    pub max_limit_meters: usize,
    /// Retries allowed for each thousand requests.
    pub retries_per_thousand: u32,
    /// Retries allowed beyond that fraction; one is gained back each second.
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
    /// Largest frame sent or accepted between nodes over TCP, in bytes.
    pub max_frame_bytes: usize,
    /// Most requests of peers over TCP at once; more wait.
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

/// Replicas of the at-most-once records, unless they stay at the serving node.
pub const JOURNAL_REPLICAS: u32 = 3;

/// Bytes of a frame for each key that a replica may hold: the next view is given the records of
/// three replicas, which may all differ.
const JOURNAL_BYTES_PER_KEY: usize = 128;

/// The at-most-once records of requests that are not repeatable.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JournalSettings {
    /// Replicas of each record: [`JOURNAL_REPLICAS`], or 1 for a fleet with fewer nodes, whose
    /// records stay at the serving node.
    pub replicas: u32,
    /// Longest wait for a replica's answer.
    #[serde(with = "humantime_serde")]
    pub vote_timeout: Duration,
    /// Time between reads of who the replicas are, and between looks at whether they answer.
    #[serde(with = "humantime_serde")]
    pub view_period: Duration,
}

impl JournalSettings {
    /// Whether records are replicated.
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

/// Hexadecimal digits of a SHA-256 hash.
const SHA256_DIGITS: usize = 64;
/// Shortest time between probes; the timer behind them is a fraction of it.
const SHORTEST_PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Most worker threads.
const MAX_THREADS: usize = 256;

impl NodeSettings {
    /// Parses and validates settings; `file` names the source in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = syntax::parse(text).map_err(|fault| SettingsError::Syntax {
            file: file.to_owned(),
            text: text.to_owned(),
            fault: Box::new(fault),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// The identifier of the node's fleet.
    pub fn fleet_id(&self) -> FleetId {
        let name = self.fleet.as_ref();
        name.map_or(FleetId::UNNAMED, FleetId::of_name)
    }

    /// Checks every value; reports the first that is not allowed.
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
        let threads = (1..=MAX_THREADS).contains(&self.threads);
        require(threads, file, "threads", self.threads, "1 to 256")
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
            let is_hash = hash.len() == SHA256_DIGITS && hex_digits(hash);
            let of_account = format!("(of {name})");
            let key = "operators.token_sha256";
            require(is_hash, file, key, &of_account, "64 hexadecimal digits")?;
            let is_new = tokens.insert(hash.to_ascii_lowercase());
            require(
                is_new,
                file,
                key,
                &of_account,
                "a token of its own for each account",
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
            let shown = humantime_serde::re::humantime::format_duration(value);
            require(
                !value.is_zero(),
                file,
                key,
                shown,
                "a time above zero, such as 2s",
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
            let shown = humantime_serde::re::humantime::format_duration(value);
            require(!value.is_zero(), file, key, shown, "more than 0s")?;
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
        match self.routing.zero_setting() {
            None => Ok(()),
            Some(key) => require(false, file, key, 0, "more than 0"),
        }
    }

    fn validate_peers(&self, file: &str) -> Result<(), SettingsError> {
        let peers = &self.peer_limits;
        let shown = humantime_serde::re::humantime::format_duration(peers.probe_period);
        let is_long = peers.probe_period >= SHORTEST_PROBE_PERIOD;
        require(
            is_long,
            file,
            "peer_limits.probe_period",
            shown,
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
        let is_known = [1, JOURNAL_REPLICAS].contains(&replicas);
        require(is_known, file, "journal.replicas", replicas, "1 or 3")?;
        let keys = self.limits.max_idempotency_keys;
        let most = self.peer_limits.max_frame_bytes / JOURNAL_BYTES_PER_KEY;
        let allowed = "at most peer_limits.max_frame_bytes / 128";
        let fits = keys <= most || !self.journal.is_replicated();
        require(fits, file, "limits.max_idempotency_keys", keys, allowed)
    }

    fn validate_authority(&self, file: &str) -> Result<(), SettingsError> {
        let authority = &self.authority;
        let holds = authority.renewal + authority.margin < authority.lease;
        let shown = humantime_serde::re::humantime::format_duration(authority.lease);
        let allowed = "more than authority.renewal and authority.margin together";
        require(holds, file, "authority.lease", shown, allowed)
    }
}

fn require(
    holds: bool,
    file: &str,
    key: &'static str,
    value: impl std::fmt::Display,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError::Value {
        file: file.to_owned(),
        key,
        value: value.to_string(),
        allowed,
    })
}

fn hex_digits(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
