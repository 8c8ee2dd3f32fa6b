//! Connections to workers that were lost or abandoned during a request, and addresses that refuse connections. Both are
//! signs that a worker's process may have ended or may be about to end.

use std::collections::HashMap;
use std::sync::Arc;

use tansyhall_forwarding::{IncarnationDoubts, WorkerId};
use tokio::sync::{mpsc, Mutex};

use crate::connections::Destination;

/// Maximum number of losses in the queue. When a worker ends, each of its connections is a loss; one that does not fit in
/// the queue adds nothing to those that are queued.
const MAX_QUEUED_LOSSES: usize = 256;

/// The kind of a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// A connection ended before the answer on it was complete.
    Broken,
    /// The worker sent nothing for so long that the request turns to another one. Its connection may still be open.
    Silent,
    /// A new connection to the worker's address was refused.
    ConnectionRefused,
}

/// Queue of losses for the task that finds out whether workers have ended.
#[derive(Debug)]
pub struct ConnectionLosses {
    sender: mpsc::Sender<(Loss, Destination)>,
    receiver: Mutex<mpsc::Receiver<(Loss, Destination)>>,
    /// Whether workers have restarted, as far as it follows from losses.
    pub doubts: parking_lot::Mutex<IncarnationDoubts>,
    /// Workers that are being asked when they have started.
    asked: parking_lot::Mutex<HashMap<WorkerId, Arc<Mutex<()>>>>,
}

impl Default for ConnectionLosses {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_LOSSES);
        Self {
            sender,
            receiver: Mutex::new(receiver),
            doubts: parking_lot::Mutex::default(),
            asked: parking_lot::Mutex::default(),
        }
    }
}

impl ConnectionLosses {
    /// Reports a loss. It is dropped if the queue is full.
    pub fn report(&self, loss: Loss, destination: &Destination) {
        if loss != Loss::Silent {
            self.doubts.lock().record_loss(&destination.worker);
        }
        if self.sender.try_send((loss, destination.clone())).is_err() {
            log::debug!(
                "queue of connection losses is full; dropped a loss at worker {}",
                destination.worker
            );
        }
    }

    /// Returns the lock under which one request at a time asks a worker when it has started.
    pub fn turn_to_ask(&self, worker: &WorkerId) -> Arc<Mutex<()>> {
        Arc::clone(self.asked.lock().entry(worker.clone()).or_default())
    }

    /// Forgets all workers except those that are needed.
    pub fn prune(&self, is_needed: impl Fn(&WorkerId) -> bool) {
        self.doubts.lock().prune(&is_needed);
        self.asked.lock().retain(|worker, _| is_needed(worker));
    }

    /// Waits for the next loss.
    pub async fn next(&self) -> Option<(Loss, Destination)> {
        self.receiver.lock().await.recv().await
    }
}
