//! Runs the batch model in real time on a thread of its own, and sends each request its progress.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix_web::web;
use parking_lot::Mutex;
use tansyhall_core::{RequestId, Timestamp};
use tansyhall_engine_model::{Batch, CostModel, Progress, SubmitError, Work};
use tokio::sync::{mpsc, Notify};

use super::faults::while_frozen;
use super::Engine;

/// Progress messages a request may lag behind before it is cancelled.
const PROGRESS_BUFFER: usize = 65_536;

/// Lateness of timers that is made up for by the next iterations.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);

struct Shared {
    batch: Mutex<Batch>,
    listeners: Mutex<HashMap<RequestId, mpsc::Sender<Progress>>>,
    wake: Notify,
}

/// A handle to the running batch.
#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
}

impl Runner {
    /// An idle batch, advanced by [`run`].
    pub fn new(costs: CostModel) -> Self {
        let shared = Arc::new(Shared {
            batch: Mutex::new(Batch::new(costs)),
            listeners: Mutex::new(HashMap::new()),
            wake: Notify::new(),
        });
        Self { shared }
    }

    /// Drops every request, so that each answer breaks off.
    pub fn crash(&self) {
        let mut listeners = self.shared.listeners.lock();
        let mut batch = self.shared.batch.lock();
        for (id, _) in listeners.drain() {
            batch.cancel(id);
        }
    }

    /// Submits work and returns its progress.
    pub fn submit(&self, work: Work) -> Result<mpsc::Receiver<Progress>, SubmitError> {
        let (sender, receiver) = mpsc::channel(PROGRESS_BUFFER);
        // Held over both steps, so that no progress is reported before its listener is there.
        let mut listeners = self.shared.listeners.lock();
        self.shared.batch.lock().submit(work)?;
        listeners.insert(work.id, sender);
        drop(listeners);
        self.shared.wake.notify_one();
        Ok(receiver)
    }

    /// Cancels a request; false if it had ended before.
    pub fn cancel(&self, id: RequestId) -> bool {
        self.shared.batch.lock().cancel(id);
        self.shared.listeners.lock().remove(&id).is_some()
    }

    /// Requests in progress.
    pub fn requests(&self) -> u32 {
        u32::try_from(self.shared.batch.lock().len()).unwrap_or(u32::MAX)
    }

    /// Reads the batch.
    pub fn with_batch<R>(&self, read: impl FnOnce(&Batch) -> R) -> R {
        read(&self.shared.batch.lock())
    }
}

/// Advances the batch for as long as the engine runs. An iteration begins when the one before it
/// was due to end, so that late timers hold up single tokens and do not slow the engine down.
pub(super) async fn run(engine: web::Data<Engine>) {
    let shared = &engine.runner.shared;
    let mut due = None;
    loop {
        while_frozen(&engine).await;
        let begins = begin_at(due, engine.clock.now());
        let ends = shared.batch.lock().begin_iteration(begins);
        due = ends;
        let Some(ends) = ends else {
            shared.wake.notified().await;
            continue;
        };
        actix_rt::time::sleep(ends.since(engine.clock.now())).await;
        let progress = shared.batch.lock().finish_iteration();
        for step in progress {
            shared.report(step);
        }
    }
}

/// When an iteration begins: when the one before it was due to end, unless the engine was held up
/// for longer than timers are late.
fn begin_at(due: Option<Timestamp>, now: Timestamp) -> Timestamp {
    due.filter(|due| now.since(*due) <= MAX_TIMER_DELAY)
        .unwrap_or(now)
}

impl Shared {
    /// Sends a request its progress; one that nobody listens to is cancelled.
    fn report(&self, step: Progress) {
        let delivered = {
            let mut listeners = self.listeners.lock();
            let listener = listeners.get(&step.id);
            let delivered = listener.is_some_and(|listener| listener.try_send(step).is_ok());
            if step.finished || !delivered {
                listeners.remove(&step.id);
            }
            delivered
        };
        if !step.finished && !delivered {
            self.batch.lock().cancel(step.id);
        }
    }
}
