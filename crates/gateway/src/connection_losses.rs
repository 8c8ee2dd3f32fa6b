//! Connections to workers that were lost or given up under a request, and addresses where nothing listens:
//! what tells that a worker may have ended, or may be about to.

use tokio::sync::{mpsc, Mutex};

use crate::connections::Destination;

/// Losses that wait to be looked into. When a worker ends, each of its connections is one; what finds no
/// room tells nothing that the others do not tell too.
const WAITING: usize = 256;

/// What was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// A connection, before the whole answer to the request on it.
    Broken,
    /// The patience of a request: its worker has said nothing for so long that it was given up.
    Silent,
    /// The worker's address: a new connection to it was refused.
    NothingListens,
}

/// Losses on their way to whoever looks into them.
#[derive(Debug)]
pub struct ConnectionLosses {
    sender: mpsc::Sender<(Loss, Destination)>,
    receiver: Mutex<mpsc::Receiver<(Loss, Destination)>>,
}

impl Default for ConnectionLosses {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(WAITING);
        Self {
            sender,
            receiver: Mutex::new(receiver),
        }
    }
}

impl ConnectionLosses {
    /// Tells a loss.
    pub fn tell(&self, loss: Loss, destination: &Destination) {
        if self.sender.try_send((loss, destination.clone())).is_err() {
            log::debug!("no room for a loss at worker {}", destination.worker);
        }
    }

    /// The next loss.
    pub async fn next(&self) -> Option<(Loss, Destination)> {
        self.receiver.lock().await.recv().await
    }
}
