//! Asks the scheduler of this gateway's requests where they go, and tells it what came of them.

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

use super::message::QuestionMessage;
use crate::datagrams::Datagram;
use crate::events::{Event, Weight};
use crate::state::Shared;

/// Schedulers that are asked for one placement before the gateway decides by itself.
const ASKED_SCHEDULERS: usize = 2;
/// Time in which notices are gathered for one message, or go along with a question.
const NOTICE_DELAY: Duration = Duration::from_millis(4);

/// What this gateway has asked of schedulers.
#[derive(Debug)]
pub struct PlacementClient {
    book: Mutex<RequestedPlacements>,
    waiting: Mutex<HashMap<PlacementId, oneshot::Sender<PlacementAnswer>>>,
    told: Notify,
}

/// A scheduler's answer to a question that it could answer.
pub enum Answered {
    /// Where the request goes.
    Placed(OpenPlacement),
    /// It is refused.
    Refused {
        /// Why it may not wait so long.
        cause: RefusalCause,
        /// How long it would have waited.
        waiting: Duration,
        /// When to come back.
        retry_after: Duration,
    },
}

/// A placement that its scheduler counts until it is told of its end, at the latest when this is dropped.
pub struct OpenPlacement {
    shared: Arc<Shared>,
    scheduler: String,
    placement: Placement,
    ended: bool,
}

impl OpenPlacement {
    /// A placement that has just been made; takes in what its scheduler knows of the worker's rate limit.
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

    /// What the scheduler has said.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// The scheduler's name.
    pub fn scheduler(&self) -> &str {
        &self.scheduler
    }

    /// Tells the scheduler that the answer begins.
    pub fn prompt_was_read(&self, latency: Duration) {
        let id = self.placement.id;
        self.tell(PlacementNotice::PromptRead { id, latency });
    }

    /// Tells the scheduler how the send ended, and what the worker has said of itself: a scheduler that has not heard
    /// it would place the requests of all who ask it there.
    pub fn end(&mut self, result: SendResult) {
        self.ended = true;
        let now = self.shared.now();
        let worker = &self.placement.worker;
        let directory = self.shared.directory.lock();
        let worker_notice = directory.current_notice(now, worker);
        let rate_limit = directory.stated_rate_limit(now, worker);
        drop(directory);
        self.tell(PlacementNotice::Ended {
            id: self.placement.id,
            result,
            worker_notice,
            rate_limit,
        });
    }

    /// Whether the worker has said nothing that keeps this gateway from sending to it. A rate limit does if the
    /// scheduler has not reckoned with it.
    pub fn is_available(&self) -> bool {
        let now = self.shared.now();
        let worker = &self.placement.worker;
        let directory = self.shared.directory.lock();
        let is_uncounted =
            directory.rate_limit_of(worker).is_some() && !self.placement.has_rate_token;
        directory.unavailable(now, worker).is_none() && !is_uncounted
    }

    fn tell(&self, notice: PlacementNotice) {
        let client = &self.shared.placements;
        client.book.lock().queue_notice(&self.scheduler, notice);
        client.told.notify_one();
    }
}

impl Drop for OpenPlacement {
    fn drop(&mut self) {
        if !self.ended {
            self.end(SendResult::Abandoned { silent: false });
        }
    }
}

impl PlacementClient {
    /// Nothing asked yet.
    pub fn new(sender: GatewayKey) -> Self {
        Self {
            book: Mutex::new(RequestedPlacements::new(sender)),
            waiting: Mutex::default(),
            told: Notify::new(),
        }
    }

    /// A scheduler has answered.
    pub fn take_answer(&self, id: PlacementId, answer: PlacementAnswer) {
        let Some(waiting) = self.waiting.lock().remove(&id) else {
            return;
        };
        if waiting.send(answer).is_err() {
            log::debug!("the request of placement {} is over", id.0);
        }
    }
}

/// A scheduler that is to be asked.
struct Asked {
    name: String,
    address: SocketAddr,
    patience: Duration,
}

/// The scheduler to ask now; none if this gateway decides by itself.
fn scheduler(shared: &Shared) -> Option<Asked> {
    let settings = shared.settings.read().clone();
    if !settings.decisions.schedulers {
        return None;
    }
    let now = shared.now();
    let own = &settings.node.name;
    let fleet = shared.fleet.read().clone();
    let book = shared.placements.book.lock();
    let is_usable = |name: &str| book.is_usable(now, name);
    let name = fleet
        .plan
        .scheduler_of(own, &settings.node.zone, is_usable)?;
    if name == own {
        return None;
    }
    Some(Asked {
        name: name.to_owned(),
        address: fleet.load_address(name)?,
        patience: book.answer_timeout(name),
    })
}

/// Asks where a request goes. Without an answer, this gateway decides by itself: it is a scheduler, or
/// no scheduler answers, or the one that does knows no worker.
pub async fn ask(
    shared: &Arc<Shared>,
    request: impl Fn(PlacementId) -> PlacementRequest,
) -> Option<Answered> {
    for _ in 0..ASKED_SCHEDULERS {
        let asked = scheduler(shared)?;
        let id = shared.placements.book.lock().next_id();
        let Some(answer) = ask_one(shared, &asked, request(id)).await else {
            shared.metrics.count_placement("silent");
            continue;
        };
        match answer {
            PlacementAnswer::Placed(placement) => {
                shared.metrics.count_placement("placed");
                let placed = OpenPlacement::new(shared, asked.name, placement);
                return Some(Answered::Placed(placed));
            }
            PlacementAnswer::Refused {
                cause,
                waiting,
                retry_after,
            } => {
                shared.metrics.count_placement("refused");
                let mut book = shared.placements.book.lock();
                book.remove_unplaced(&asked.name, id);
                return Some(Answered::Refused {
                    cause,
                    waiting,
                    retry_after,
                });
            }
            PlacementAnswer::NoWorker => {
                shared.metrics.count_placement("no_worker");
                let mut book = shared.placements.book.lock();
                book.remove_unplaced(&asked.name, id);
                return None;
            }
        }
    }
    None
}

/// A question that waits for its answer; it is forgotten if its asker is dropped meanwhile.
struct WaitingQuestion<'a> {
    shared: &'a Shared,
    scheduler: &'a str,
    id: PlacementId,
    over: bool,
}

impl Drop for WaitingQuestion<'_> {
    fn drop(&mut self) {
        if !self.over {
            let client = &self.shared.placements;
            client.waiting.lock().remove(&self.id);
            client.book.lock().remove_unplaced(self.scheduler, self.id);
        }
    }
}

async fn ask_one(
    shared: &Shared,
    asked: &Asked,
    request: PlacementRequest,
) -> Option<PlacementAnswer> {
    let client = &shared.placements;
    let id = request.id;
    let mut question = WaitingQuestion {
        shared,
        scheduler: &asked.name,
        id,
        over: false,
    };
    let (sender, receiver) = oneshot::channel();
    client.waiting.lock().insert(id, sender);
    let message = client.book.lock().request_message(&asked.name, request);
    let began = shared.now();
    send(shared, asked.address, &message);
    let answered = timeout(asked.patience, receiver).await;
    question.over = true;
    let now = shared.now();
    match answered {
        Ok(Ok(answer)) => {
            let mut book = client.book.lock();
            book.record_answer(&asked.name, now.since(began));
            Some(answer)
        }
        _ => {
            client.waiting.lock().remove(&id);
            client.book.lock().record_timeout(now, &asked.name, id);
            let event = Event::Dependency {
                name: "scheduler",
                state: "silent",
                reason: &asked.name,
            };
            shared.log.record(Weight::Routine, &event);
            None
        }
    }
}

/// Tells schedulers what was not told along with questions, for ever.
pub async fn tell_notices(shared: Arc<Shared>) {
    loop {
        shared.placements.told.notified().await;
        sleep(NOTICE_DELAY).await;
        let fleet = shared.fleet.read().clone();
        let messages = {
            let mut book = shared.placements.book.lock();
            book.retain(|name| fleet.load_address(name).is_some());
            book.take_notice_messages()
        };
        for (scheduler, message) in messages {
            if let Some(address) = fleet.load_address(&scheduler) {
                send(&shared, address, &message);
            }
        }
    }
}

fn send(shared: &Shared, address: SocketAddr, message: &PlacementMessage) {
    let question = QuestionMessage::from(message);
    shared
        .datagrams
        .send(address, &Datagram::question(question));
}
