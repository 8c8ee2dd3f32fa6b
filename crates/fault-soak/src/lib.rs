//! Fault-injection test of gateway processes on real sockets, checked by what callers and workers observe.
//!
//! An episode starts gateways as child processes. The stand-in for the platform, faulty workers, links that inject
//! network faults, and callers run in the test's own process. A seed determines the schedule of faults. After the
//! episode, the judges check what callers and workers recorded.

#![forbid(unsafe_code)]

mod caller;
mod episode;
mod evidence;
mod faults;
mod gateways;
mod http;
mod identity;
pub mod judges;
mod keep;
mod link;
mod regressions;
mod routes;
mod schedule;
mod schedule_of_departures;
mod schedule_of_partitions;
mod site;
mod worker;

pub use episode::{run_episode, Episode, EpisodePlan};
pub use evidence::{
    AnnouncedRateLimit, Arrival, BackoffRequest, BrokenAnswer, Call, CallerAnswer, Departure,
    Evidence, GatewayFault, GatewayFaultPeriod, IgnoredPeriod, InvalidBytes, Outcome,
    PartitionPeriod, Prefill, Run, RunBody, SentRequest, StaleConfiguration, StrayBytes,
    WorkerCrash, WorkerLinkFaultPeriod, WorkerSilencePeriod,
};
pub use faults::{Fault, FaultCounts, FaultMix};
pub use http::{Framing, Head, ReadError, Reader};
pub use identity::{body_hash, Mark, RequestKey, CRASH_BODY_PREFIX};
pub use judges::{judge, Rule, Violation};
pub use keep::{save_episode, DEFAULT_OUTPUT_DIRECTORY};
pub use link::{Link, LinkFault};
pub use regressions::{load_regressions, Regression};
pub use routes::RouteKind;
pub use schedule::{Action, Focus, Schedule, ScheduledAction};
