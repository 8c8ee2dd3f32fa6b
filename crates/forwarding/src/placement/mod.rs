//! Placement of requests on workers by one gateway, a scheduler, for other gateways (see `scheduler_plan`).
//!
//! - [`RequestedPlacements`] is the state of the requesting gateway: its open placements at each scheduler, and the
//!   notices about them that have not been sent yet.
//! - [`GrantedPlacements`] is the state of the scheduler. Its directory counts each open placement like a send
//!   of the scheduler itself, until the gateway reports its end.
//!
//! Messages may be lost. Each message therefore lists all open placements of its sender, so that the scheduler
//! can close those whose end it missed when it receives the next message. Open placements of a gateway that
//! has crashed are closed when the deadlines of their requests have passed.

mod granted;
mod requested;

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

pub use granted::GrantedPlacements;
pub use requested::RequestedPlacements;

/// Identifies a placement among all placements of the requesting gateway, across its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacementId(pub u64);

/// What a gateway requests from the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementNeed {
    /// Admission of the request, and its first worker.
    Admission,
    /// Admission of the request, and its first worker, which may be one that is leaving if no other has time for it.
    AdmissionOrLeaving,
    /// Another worker for an admitted request.
    Worker {
        /// The work that the worker has to do.
        need: Need,
    },
}

/// A request to be placed on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    /// Id of the placement.
    pub id: PlacementId,
    /// The service that the request is for.
    pub service: ServiceName,
    /// Name of the route.
    pub route: String,
    /// The prompt; empty unless the request is for a model engine.
    pub prompt: Vec<PromptPart>,
    /// The tenant that the request belongs to, if any.
    pub tenant: Option<TenantKey>,
    /// Whether the service has routes with a higher priority than this one.
    pub yields: bool,
    /// The times within which an answer is useful.
    pub objectives: Objectives,
    /// A random number that selects one of several nearly equal engines.
    pub draw: u64,
    /// What is requested.
    pub need: PlacementNeed,
    /// Workers that must not be selected: they were tried already, or have notified the gateway that they are
    /// leaving or backing off.
    pub avoid: Vec<WorkerId>,
}

/// The worker that a scheduler selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Id of the placement.
    pub id: PlacementId,
    /// The selected worker.
    pub worker: WorkerId,
    /// Whether the worker only reads the prompt, and another worker runs the request.
    pub read_apart: bool,
    /// Address of the worker from which the selected one should fetch missing KV cache of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Number of prompt tokens that the worker has to read.
    pub reading_tokens: u64,
    /// Whether reading these tokens costs an engine hardly more than the fixed cost of any prompt.
    pub short_reading: bool,
    /// Expected time until the answer starts.
    pub expected_latency: Duration,
    /// Whether the scheduler has taken a token from the worker's rate limit for this request.
    pub has_rate_token: bool,
    /// The rate limit that the worker has stated, if the scheduler knows it.
    pub rate_limit: Option<StatedLimit>,
}

/// A scheduler's answer to a placement request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAnswer {
    /// The request is admitted and placed.
    Placed(Placement),
    /// The request is refused, because it would have to wait too long.
    Refused {
        /// Why the request may not wait that long.
        cause: RefusalCause,
        /// How long the request would have waited.
        waiting: Duration,
        /// Time until the queue is expected to be short enough.
        retry_after: Duration,
    },
    /// The scheduler knows no worker for the request.
    NoWorker,
}

/// A notice from a gateway to the scheduler about a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementNotice {
    /// The worker has read the prompt, and its answer starts.
    PromptRead {
        /// The placement.
        id: PlacementId,
        /// Time from the send until the answer started.
        latency: Duration,
    },
    /// The send has ended.
    Ended {
        /// The placement.
        id: PlacementId,
        /// Result of the send.
        result: SendResult,
        /// The notice about itself that the worker has sent to the gateway, as far as it is still valid.
        worker_notice: WorkerNotice,
        /// The rate limit that the worker has stated, if known.
        rate_limit: Option<StatedLimit>,
        /// The longest pause between two events of the stream, if there was any.
        pause: Option<Duration>,
    },
}

/// A message from a gateway to a scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementMessage {
    /// The requesting gateway.
    pub sender: GatewayKey,
    /// Sequence number; it increases with each message of a sender.
    pub sequence: u64,
    /// All open placements of the sender at this scheduler.
    pub open: Vec<PlacementId>,
    /// Notices about placements that were not sent before.
    pub notices: Vec<PlacementNotice>,
    /// A request to be placed, if any.
    pub request: Option<PlacementRequest>,
}
