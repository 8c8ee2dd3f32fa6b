//! Runs the batch model in real time in a task of its own and sends each request its progress.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix_web::web;
use parking_lot::Mutex;
use tansyhall_core::{RequestId, Timestamp};
use tansyhall_engine_model::{Batch, CostModel, Progress, SubmitError, Work};
use tokio::sync::{mpsc, Notify};

use super::faults::wait_while_frozen;
use super::Engine;

/// Capacity of the progress channel of a request. The request is cancelled when the channel is full.
const PROGRESS_BUFFER: usize = 65_536;

/// Maximum lateness of a timer for which the next iteration starts earlier to compensate.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(20);

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
    /// Creates an idle batch, which [`run`] advances.
    pub fn new(costs: CostModel) -> Self {
        let shared = Arc::new(Shared {
            batch: Mutex::new(Batch::new(costs)),
            listeners: Mutex::new(HashMap::new()),
            wake: Notify::new(),
        });
        Self { shared }
    }

    /// Cancels every request, which interrupts its answer.
    pub fn crash(&self) {
        let mut listeners = self.shared.listeners.lock();
        let mut batch = self.shared.batch.lock();
        for (id, _) in listeners.drain() {
            batch.cancel(id);
        }
    }

    /// Submits work and returns the receiver of its progress.
    pub fn submit(&self, work: Work) -> Result<mpsc::Receiver<Progress>, SubmitError> {
        let (sender, receiver) = mpsc::channel(PROGRESS_BUFFER);
        // Locked during both steps, so that no progress is sent before its listener is registered.
        let mut listeners = self.shared.listeners.lock();
        self.shared.batch.lock().submit(work)?;
        listeners.insert(work.id, sender);
        drop(listeners);
        self.shared.wake.notify_one();
        Ok(receiver)
    }

    /// Cancels a request. Returns false if it had already finished.
    pub fn cancel(&self, id: RequestId) -> bool {
        self.shared.batch.lock().cancel(id);
        self.shared.listeners.lock().remove(&id).is_some()
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> u32 {
        u32::try_from(self.shared.batch.lock().len()).unwrap_or(u32::MAX)
    }

    /// Calls `read` with the locked batch.
    pub fn with_batch<R>(&self, read: impl FnOnce(&Batch) -> R) -> R {
        read(&self.shared.batch.lock())
    }
}

/// Advances the batch while the engine runs. An iteration starts at the scheduled end of the previous one, so
/// that late timers delay single tokens but do not slow the engine down.
pub(super) async fn run(engine: web::Data<Engine>) {
    let shared = &engine.runner.shared;
    let mut previous_end = None;
    loop {
        wait_while_frozen(&engine).await;
        let start = iteration_start(previous_end, engine.clock.now());
        let end = shared.batch.lock().begin_iteration(start);
        previous_end = end;
        let Some(end) = end else {
            shared.wake.notified().await;
            continue;
        };
        actix_rt::time::sleep(end.since(engine.clock.now())).await;
        let progress = shared.batch.lock().finish_iteration();
        for step in progress {
            shared.send_progress(step);
        }
    }
}

/// Returns the start time of an iteration: the scheduled end of the previous one, or `now` if there is none or
/// it is more than [`MAX_TIMER_LATENESS`] ago.
fn iteration_start(previous_end: Option<Timestamp>, now: Timestamp) -> Timestamp {
    previous_end
        .filter(|previous_end| now.since(*previous_end) <= MAX_TIMER_LATENESS)
        .unwrap_or(now)
}

impl Shared {
    /// Sends a request its progress. Cancels the request if its listener is gone or too far behind.
    fn send_progress(&self, step: Progress) {
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
