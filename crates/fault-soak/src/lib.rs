//! Gateway processes under random faults on real sockets, judged by what callers and workers see.
//!
//! An episode starts gateways as processes, and in its own process the platform's stand-in, workers
//! that misbehave, links that harm what passes through them, and callers. A seed gives the schedule
//! of faults. When the episode has ended, judges read what callers and workers have recorded.

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
mod site;
mod worker;

pub use episode::{run_episode, Episode, EpisodePlan};
pub use evidence::{
    Arrival, Call, CallerAnswer, Evidence, Garbled, NamedLimit, Outcome, Reading, Rest, Run,
    RunBody, Sent, StaleConfiguration, StrayBytes, Trouble, WorkerEnd, WorkerTrouble,
};
pub use faults::{Fault, FaultCounts, Mix};
pub use http::{Framing, Head, ReadError, Reader};
pub use identity::{body_hash, Mark, RequestKey, DEADLY};
pub use judges::{judge, Rule, Violation};
pub use keep::{keep, KEEP_DIRECTORY};
pub use link::{Link, LinkFault};
pub use regressions::{regressions, Regression};
pub use routes::RouteKind;
pub use schedule::{Action, Schedule, ScheduledAction};
