//! Runs the batch model in real time on a thread of its own, and sends each request its progress.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::RequestId;
use tansyhall_engine_model::{Batch, CostModel, Progress, SubmitError, Work};
use tokio::sync::{mpsc, Notify};

/// Progress messages a request may lag behind before it is cancelled.
const PROGRESS_BUFFER: usize = 65_536;

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
    /// Starts the batch on the current thread's runtime.
    pub fn start(clock: MonotonicClock, costs: CostModel) -> Self {
        let shared = Arc::new(Shared {
            batch: Mutex::new(Batch::new(costs)),
            listeners: Mutex::new(HashMap::new()),
            wake: Notify::new(),
        });
        actix_rt::spawn(run(clock, Arc::clone(&shared)));
        Self { shared }
    }

    /// Submits work and returns its progress.
    pub fn submit(&self, work: Work) -> Result<mpsc::Receiver<Progress>, SubmitError> {
        self.shared.batch.lock().submit(work)?;
        let (sender, receiver) = mpsc::channel(PROGRESS_BUFFER);
        self.shared.listeners.lock().insert(work.id, sender);
        self.shared.wake.notify_one();
        Ok(receiver)
    }

    /// Cancels a request.
    pub fn cancel(&self, id: RequestId) {
        self.shared.batch.lock().cancel(id);
        self.shared.listeners.lock().remove(&id);
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

async fn run(clock: MonotonicClock, shared: Arc<Shared>) {
    loop {
        let now = clock.now();
        let ends = shared.batch.lock().begin_iteration(now);
        let Some(ends) = ends else {
            shared.wake.notified().await;
            continue;
        };
        actix_rt::time::sleep(ends.since(now)).await;
        let progress = shared.batch.lock().finish_iteration();
        let mut listeners = shared.listeners.lock();
        for step in progress {
            let delivered = listeners
                .get(&step.id)
                .is_some_and(|listener| listener.try_send(step).is_ok());
            if step.finished || !delivered {
                listeners.remove(&step.id);
            }
            if !step.finished && !delivered {
                shared.batch.lock().cancel(step.id);
            }
        }
    }
}
