//! Client of the platform's list of machines. The list may be out of date, so callers use it as only one of several
//! sources.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// HTTP path of the machine list.
pub const MACHINES_PATH: &str = "/machines";

/// The kind of process that a machine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineKind {
    /// A node of this system. The machine's address is the node's peer address.
    Node,
    /// A model engine.
    Engine,
    /// An application worker.
    App,
}

/// An entry of the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine: the identifier of a node or the name of a back end.
    pub name: String,
    /// The kind of process that it runs.
    pub kind: MachineKind,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Whether the platform is about to remove the machine.
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

/// Maximum length of the list, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

impl MachineList {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: awc::Client::default(),
            address,
            timeout,
        }
    }

    /// Reads the machine list.
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
