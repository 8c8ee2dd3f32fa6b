//! The platform's list of machines. It lags behind the truth, so it is one input among others.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// Path of the machine list.
pub const MACHINES_PATH: &str = "/machines";

/// What a machine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineKind {
    /// A node of this system; the address is its peer address.
    Node,
    /// A model engine.
    Engine,
    /// An application worker.
    App,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The machine's name: a node's identifier or a back end's name.
    pub name: String,
    /// What it runs.
    pub kind: MachineKind,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
    /// Whether it is about to be taken away.
    #[serde(default)]
    pub leaving: bool,
}

/// A client of the machine list.
#[derive(Clone)]
pub struct MachineList {
    http: awc::Client,
    address: SocketAddr,
    timeout: Duration,
}

/// Largest list read, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

impl MachineList {
    /// A client whose calls give up after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: awc::Client::default(),
            address,
            timeout,
        }
    }

    /// Reads the list.
    pub async fn fetch(&self) -> Result<Vec<Machine>, StoreError> {
        let url = format!("http://{}{MACHINES_PATH}", self.address);
        let request = self.http.get(url).force_close().timeout(self.timeout);
        let mut response = request
            .send()
            .await
            .map_err(|e| StoreError::Unknown(e.to_string()))?;
        let body = response.json::<Vec<Machine>>().limit(MAX_BODY_BYTES).await;
        body.map_err(|error| StoreError::Unknown(error.to_string()))
    }
}
