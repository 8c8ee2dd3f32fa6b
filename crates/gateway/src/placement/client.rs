//! Requests placements from this gateway's scheduler and reports to it how they ended.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_forwarding::{
    GatewayKey, Placement, PlacementAnswer, PlacementId, PlacementMessage, PlacementNotice,
    PlacementRequest, RefusalCause, RequestedPlacements, SendResult,
};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

use super::message::MessageToScheduler;
use crate::datagrams::Datagram;
use crate::events::{Event, Priority};
use crate::state::Shared;

/// Maximum number of schedulers that are asked for one placement before the gateway decides itself.
const MAX_ASKED_SCHEDULERS: usize = 2;
/// How long notices wait to be sent in one message, or together with a placement request.
const NOTICE_DELAY: Duration = Duration::from_millis(4);

/// Placements that this gateway has requested from schedulers.
#[derive(Debug)]
pub struct PlacementClient {
    requested: Mutex<RequestedPlacements>,
    pending_answers: Mutex<HashMap<PlacementId, oneshot::Sender<PlacementAnswer>>>,
    notice_queued: Notify,
}

/// A scheduler's decision on a request.
pub enum SchedulerAnswer {
    /// The request is admitted and placed.
    Placed(OpenPlacement),
    /// The request is refused.
    Refused {
        /// Why the request may not wait that long.
        cause: RefusalCause,
        /// How long the request would have waited.
        waiting: Duration,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// A placement that its scheduler counts until its end is reported, at the latest when this value is dropped.
pub struct OpenPlacement {
    shared: Arc<Shared>,
    scheduler: String,
    placement: Placement,
    ended: bool,
}

impl OpenPlacement {
    /// Creates the value for a new placement, and applies what the scheduler knows of the worker's rate limit to this
    /// gateway's directory.
    fn new(shared: &Arc<Shared>, scheduler: String, placement: Placement) -> Self {
        let now = shared.now();
        if let Some(stated) = placement.rate_limit {
            let mut directory = shared.directory.lock();
            directory.receive_rate_limit(now, &placement.worker, stated);
        }
        Self {
            shared: Arc::clone(shared),
            scheduler,
            placement,
            ended: false,
        }
    }

    /// Returns the scheduler's decision.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the name of the scheduler.
    pub fn scheduler(&self) -> &str {
        &self.scheduler
    }

    /// Reports to the scheduler that the prompt has been read and the answer starts.
    pub fn report_prompt_read(&self, latency: Duration) {
        let id = self.placement.id;
        self.queue_notice(PlacementNotice::PromptRead { id, latency });
    }

    /// Reports to the scheduler how the send ended, the longest pause of its stream, and the worker's latest notice about itself. Without that
    /// notice, the scheduler would continue to place requests of all its gateways on this worker.
    pub fn report_end(&mut self, result: SendResult, pause: Option<Duration>) {
        self.ended = true;
        let now = self.shared.now();
        let worker = &self.placement.worker;
        let directory = self.shared.directory.lock();
        let worker_notice = directory.current_notice(now, worker);
        let rate_limit = directory.stated_rate_limit(now, worker);
        drop(directory);
        self.queue_notice(PlacementNotice::Ended {
            id: self.placement.id,
            result,
            worker_notice,
            rate_limit,
            pause,
        });
    }

    /// Returns whether neither a notice of the worker nor its entry in the store forbids this gateway to send to it. A rate
    /// limit forbids it if the scheduler has not taken a token for the request.
    pub fn is_available(&self) -> bool {
        let now = self.shared.now();
        let worker = &self.placement.worker;
        let directory = self.shared.directory.lock();
        let lacks_rate_token =
            directory.rate_limit_of(worker).is_some() && !self.placement.has_rate_token;
        directory.unavailable_for_work(now, worker).is_none() && !lacks_rate_token
    }

    fn queue_notice(&self, notice: PlacementNotice) {
        let client = &self.shared.placements;
        client
            .requested
            .lock()
            .queue_notice(&self.scheduler, notice);
        client.notice_queued.notify_one();
    }
}

impl Drop for OpenPlacement {
    fn drop(&mut self) {
        if !self.ended {
            self.report_end(SendResult::Abandoned { silent: false }, None);
        }
    }
}

impl PlacementClient {
    /// Creates a client without requested placements.
    pub fn new(sender: GatewayKey) -> Self {
        Self {
            requested: Mutex::new(RequestedPlacements::new(sender)),
            pending_answers: Mutex::default(),
            notice_queued: Notify::new(),
        }
    }

    /// Passes a scheduler's answer to the request that waits for it.
    pub fn receive_answer(&self, id: PlacementId, answer: PlacementAnswer) {
        let Some(pending) = self.pending_answers.lock().remove(&id) else {
            return;
        };
        if pending.send(answer).is_err() {
            log::debug!(
                "received an answer for placement {}, whose request has ended",
                id.0
            );
        }
    }
}

/// The scheduler to send a placement request to.
struct SelectedScheduler {
    name: String,
    address: SocketAddr,
    answer_timeout: Duration,
}

/// Returns the scheduler to ask now, or `None` if this gateway decides itself.
fn select_scheduler(shared: &Shared) -> Option<SelectedScheduler> {
    let settings = shared.settings.read().clone();
    if !settings.decisions.schedulers {
        return None;
    }
    let now = shared.now();
    let own_name = &settings.node.name;
    let fleet = shared.fleet.read().clone();
    let requested = shared.placements.requested.lock();
    let is_usable = |name: &str| requested.is_usable(now, name);
    let name = fleet
        .plan
        .scheduler_of(own_name, &settings.node.zone, is_usable)?;
    if name == own_name {
        return None;
    }
    Some(SelectedScheduler {
        name: name.to_owned(),
        address: fleet.load_address(name)?,
        answer_timeout: requested.answer_timeout(name),
    })
}

/// Requests a placement from a scheduler. Returns `None` if this gateway has to decide itself: it is a scheduler, no
/// scheduler answers, or the scheduler that answers knows no worker.
pub async fn request_placement(
    shared: &Arc<Shared>,
    request: impl Fn(PlacementId) -> PlacementRequest,
) -> Option<SchedulerAnswer> {
    for _ in 0..MAX_ASKED_SCHEDULERS {
        let scheduler = select_scheduler(shared)?;
        let id = shared.placements.requested.lock().next_id();
        let Some(answer) = ask_scheduler(shared, &scheduler, request(id)).await else {
            shared.metrics.count_placement("silent");
            continue;
        };
        match answer {
            PlacementAnswer::Placed(placement) => {
                shared.metrics.count_placement("placed");
                let placed = OpenPlacement::new(shared, scheduler.name, placement);
                return Some(SchedulerAnswer::Placed(placed));
            }
            PlacementAnswer::Refused {
                cause,
                waiting,
                retry_after,
            } => {
                shared.metrics.count_placement("refused");
                let mut requested = shared.placements.requested.lock();
                requested.remove_unplaced(&scheduler.name, id);
                return Some(SchedulerAnswer::Refused {
                    cause,
                    waiting,
                    retry_after,
                });
            }
            PlacementAnswer::NoWorker => {
                shared.metrics.count_placement("no_worker");
                let mut requested = shared.placements.requested.lock();
                requested.remove_unplaced(&scheduler.name, id);
                return None;
            }
        }
    }
    None
}

/// A placement request that waits for its answer. Dropping it before then removes it from the client's state.
struct PendingRequest<'a> {
    shared: &'a Shared,
    scheduler: &'a str,
    id: PlacementId,
    is_finished: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let client = &self.shared.placements;
            client.pending_answers.lock().remove(&self.id);
            client
                .requested
                .lock()
                .remove_unplaced(self.scheduler, self.id);
        }
    }
}

async fn ask_scheduler(
    shared: &Shared,
    scheduler: &SelectedScheduler,
    request: PlacementRequest,
) -> Option<PlacementAnswer> {
    let client = &shared.placements;
    let id = request.id;
    let mut pending = PendingRequest {
        shared,
        scheduler: &scheduler.name,
        id,
        is_finished: false,
    };
    let (sender, receiver) = oneshot::channel();
    client.pending_answers.lock().insert(id, sender);
    let message = client
        .requested
        .lock()
        .request_message(&scheduler.name, request);
    let began = shared.now();
    send(shared, scheduler.address, &message);
    let answered = timeout(scheduler.answer_timeout, receiver).await;
    pending.is_finished = true;
    let now = shared.now();
    match answered {
        Ok(Ok(answer)) => {
            let mut requested = client.requested.lock();
            requested.record_answer(&scheduler.name, now.since(began));
            Some(answer)
        }
        _ => {
            client.pending_answers.lock().remove(&id);
            client
                .requested
                .lock()
                .record_timeout(now, &scheduler.name, id);
            let event = Event::Dependency {
                name: "scheduler",
                state: "silent",
                reason: &scheduler.name,
            };
            shared.log.record(Priority::Routine, &event);
            None
        }
    }
}

/// Sends schedulers the notices that were not sent together with placement requests; runs forever.
pub async fn send_notices(shared: Arc<Shared>) {
    loop {
        shared.placements.notice_queued.notified().await;
        sleep(NOTICE_DELAY).await;
        let fleet = shared.fleet.read().clone();
        let messages = {
            let mut requested = shared.placements.requested.lock();
            requested.retain(|name| fleet.load_address(name).is_some());
            requested.take_notice_messages()
        };
        for (scheduler, message) in messages {
            if let Some(address) = fleet.load_address(&scheduler) {
                send(&shared, address, &message);
            }
        }
    }
}

fn send(shared: &Shared, address: SocketAddr, message: &PlacementMessage) {
    let wire_message = MessageToScheduler::from(message);
    shared
        .datagrams
        .send(address, &Datagram::question(wire_message));
}
