//! Requests that one gateway, a scheduler, places on workers for others (see `scheduler_plan`).
//!
//! - [`PlacementBook`] is the asking gateway's side: what it has asked for, which placements are open, and
//!   what is still to be told of them.
//! - [`PlacementLedger`] is the scheduler's side: each open placement counts in its directory like a send of
//!   its own, until the gateway says that it has ended.
//!
//! Messages may be lost. Each names all placements that its sender holds open, so that the scheduler
//! closes those whose end it missed with the next message that it gets; what a gateway that died held
//! open ends with the time of its requests.

mod book;
mod ledger;

use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::ServiceName;

use crate::directory::{Objectives, RefusalCause, SendResult};
use crate::load_exchange::GatewayKey;
use crate::rate_limit::StatedLimit;
use crate::selection::{Need, PromptPart};
use crate::tenant_shares::TenantKey;
use crate::worker::WorkerId;
use crate::worker_notice::WorkerNotice;

pub use book::PlacementBook;
pub use ledger::PlacementLedger;

/// Names a placement among those of the gateway that asked for it, in all its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacementId(pub u64);

/// What a request needs of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementNeed {
    /// Whether it is taken at all, and its first worker.
    Admission,
    /// One more worker.
    Worker {
        /// What the worker is needed for.
        need: Need,
    },
}

/// A request that is to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    /// Names the placement.
    pub id: PlacementId,
    /// The service.
    pub service: ServiceName,
    /// The name of the route.
    pub route: String,
    /// The prompt, for model engines.
    pub prompt: Vec<PromptPart>,
    /// The tenant whose request it is, if it is one's.
    pub tenant: Option<TenantKey>,
    /// Whether the service has more urgent routes than this one.
    pub yields: bool,
    /// In what time an answer is worth something.
    pub objectives: Objectives,
    /// A random number, by which one of nearly equal engines is drawn.
    pub draw: u64,
    /// What is needed.
    pub need: PlacementNeed,
    /// Workers that are not to be chosen: they were tried, or have told the gateway that they leave or rest.
    pub avoid: Vec<WorkerId>,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Names it.
    pub id: PlacementId,
    /// The worker.
    pub worker: WorkerId,
    /// Whether the worker reads the prompt for another one.
    pub read_apart: bool,
    /// The worker from which it should fetch what it lacks of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that it has to read.
    pub reading_tokens: u64,
    /// Whether reading them costs an engine hardly more than any prompt does.
    pub short_reading: bool,
    /// The time after which its answer is expected to begin.
    pub expected: Duration,
    /// Whether the scheduler has taken it off the worker's rate limit.
    pub has_rate_token: bool,
    /// What the worker has stated of its rate limit, if the scheduler knows something of it.
    pub rate_limit: Option<StatedLimit>,
}

/// A scheduler's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAnswer {
    /// The request is taken.
    Placed(Placement),
    /// Its wait would be too long.
    Refused {
        /// Why it may not wait so long.
        cause: RefusalCause,
        /// How long it would have waited.
        waiting: Duration,
        /// When the queue is expected to be short enough.
        retry_after: Duration,
    },
    /// The scheduler knows no worker for it.
    NoWorker,
}

/// What a gateway tells of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementNotice {
    /// The worker has read the prompt: its answer begins.
    PromptRead {
        /// The placement.
        id: PlacementId,
        /// Time from the send until then.
        latency: Duration,
    },
    /// The send is over.
    Ended {
        /// The placement.
        id: PlacementId,
        /// How it ended.
        result: SendResult,
        /// What the worker has told the gateway of itself, as far as it holds.
        said: WorkerNotice,
        /// What the worker has stated of its rate limit, if something is known of it.
        rate_limit: Option<StatedLimit>,
    },
}

/// A message to a scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementMessage {
    /// The gateway that asks.
    pub sender: GatewayKey,
    /// Grows with each message of a sender.
    pub sequence: u64,
    /// All placements at this scheduler that the sender holds open.
    pub open: Vec<PlacementId>,
    /// What is new of them.
    pub notices: Vec<PlacementNotice>,
    /// A request that is to be placed.
    pub request: Option<PlacementRequest>,
}
