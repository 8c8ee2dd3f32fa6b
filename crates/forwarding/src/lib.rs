//! Routing decisions for requests that a gateway forwards to workers byte for byte: which route a
//! request matches, which worker receives it, what happens when an attempt fails, and how many
//! retries the whole fleet may use. The crate is deterministic: each call is given the time, and no
//! function reads a clock, a socket or a source of randomness.

#![forbid(unsafe_code)]

pub mod answer_times;
pub mod cache_view;
pub mod combined_ranks;
pub mod configuration;
pub mod connection_limit;
pub mod cost_model;
pub mod decisions;
pub mod demand_shares;
pub mod departure;
pub mod directory;
pub mod event_order;
pub mod event_stream;
pub mod fixed_share;
pub mod fleet_tenants;
pub mod incarnation_doubts;
pub mod lapsed_workers;
pub mod load_exchange;
pub mod mirror;
pub mod part_quarantine;
pub mod placement;
pub mod position;
pub mod quarantine;
mod rate;
pub mod rate_limit;
pub mod read_budget;
pub mod relay_plan;
pub mod request;
pub mod retry_share;
pub mod route_table;
pub mod scheduler_plan;
pub mod selection;
pub mod served_versions;
pub mod stop_plan;
pub mod stream_handover;
pub mod stream_recorders;
pub mod stream_records;
pub mod stream_versions;
pub mod tenant_shares;
pub mod tenants;
pub mod unproven_end;
pub mod urgency;
pub mod worker;
pub mod worker_evidence;
pub mod worker_notice;
pub mod worker_paths;

pub use answer_times::AnswerTimes;
pub use cache_view::{CacheView, PartKey};
pub use combined_ranks::{CombinedRanks, Urgency};
pub use configuration::{
    Configuration, ConfigurationError, EngineCapacity, Limits, Repeatability, Route, Service,
    Target, WorkerScaling,
};
pub use connection_limit::{connection_limit, KnownRequests};
pub use decisions::Decisions;
pub use departure::Departure;
pub use directory::{
    Admission, Demand, Directory, EngineLoad, FirstAdmission, FirstAvailable, NoticeChanges,
    Objectives, RateToken, RefusalCause, SendResult, SendTicket, Unavailable, MAX_STREAM_PAUSE,
};
pub use event_order::{EventOrder, MisorderedEvent};
pub use event_stream::{CompleteEvents, EventFramer};
pub use fixed_share::SharingGateways;
pub use fleet_tenants::{
    OwnTenants, ReportedTenants, ServiceTenants, TenantRates, TenantRotation, WorkRates,
};
pub use incarnation_doubts::{Doubt, IncarnationDoubts};
pub use lapsed_workers::LapsedWorkers;
pub use load_exchange::{
    Absence, EngineDemand, GatewayKey, LimitStatement, Load, LoadEntry, LoadReport, LoadReporter,
    PartRead, ServiceKey, WorkerKey,
};
pub use mirror::{Item, Mirror, MirrorChange, MirrorUpdate, Snapshot, Touched};
pub use part_quarantine::{shared_parts, PartQuarantine, PartVerdict, TrialTurns};
pub use placement::{
    GrantedPlacements, Placement, PlacementAnswer, PlacementId, PlacementMessage, PlacementNeed,
    PlacementNotice, PlacementRequest, RequestedPlacements,
};
pub use position::Position;
pub use quarantine::{
    AppliedUpdate, Audience, EndedRequests, Fingerprint, OutgoingUpdate, Quarantine,
    QuarantineUpdate, RequestContent, SendId, SendTracker, UnlistedRequest, WorkerEnds,
};
pub use rate_limit::{LimitSharers, RateLimit, StatedLimit};
pub use read_budget::ReadBudget;
pub use relay_plan::{RelayCandidate, RelayPlan, StoreReadState, Upstream};
pub use request::{
    Action, AttemptPolicy, Conclusion, EventId, PromptHandle, PromptReadFailure, RequestEvent,
    RequestMachine, SendFailure,
};
pub use retry_share::{sharing_gateways, RetryShareSettings, RetryShares};
pub use route_table::RouteTable;
pub use scheduler_plan::{SchedulerCandidate, SchedulerPlan};
pub use selection::{affinity_part, prompt_tokens, Need, PromptPart, MAX_PART_TOKENS};
pub use served_versions::{ServedVersion, ServedVersions, LATEST_RETURN, RECORD_LIFETIME};
pub use stop_plan::StopPlan;
pub use stream_handover::{OverdueStream, StreamHandover};
pub use stream_recorders::{RecorderPlan, StreamShard};
pub use stream_records::{StreamRecord, StreamRecords};
pub use stream_versions::{
    AttemptKey, ServiceHistory, StreamVersions, Testimony, VersionEvidence, Watch,
};
pub use tenant_shares::{TenantKey, TenantShares, WorkOutcome};
pub use tenants::{ApiKey, AuthenticatedTenant, Tenant, TenantError, TenantTable};
pub use unproven_end::{EndConclusion, EndEvidence, WorkerStanding};
pub use urgency::UrgencyGroup;
pub use worker::{SoftwareVersion, Worker, WorkerId, WorkerKind, WorkerState};
pub use worker_evidence::{
    ComparableWorker, ConnectionRefusalCause, ConnectionRefusalStep, Reachability, WorkerEvidence,
};
pub use worker_notice::{WorkerNotice, MAX_BACKOFF};
pub use worker_paths::{
    ConnectFailure, DirectOutcome, IdleRule, PathChange, Probe, RelayOutcome, RelayPeer,
    WorkerPath, WorkerPaths,
};
