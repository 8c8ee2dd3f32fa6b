//! Network partitions between some clients and a server behind a link, by the clients' source addresses.

use std::collections::HashMap;
use std::net::IpAddr;

use serde::Serialize;
use tokio::sync::watch;

/// What happens to the connections of a partitioned client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum Partition {
    /// Open connections are reset, and new ones are reset at once.
    Reset,
    /// Open connections go silent, and new ones are accepted but nothing is forwarded. What was sent meanwhile is
    /// forwarded after the partition has healed, as a system retransmits it.
    Silence,
    /// Open connections continue to work, and new ones are reset at once.
    ResetNew,
}

impl Partition {
    /// All kinds of partitions.
    pub const ALL: [Self; 3] = [Self::Reset, Self::Silence, Self::ResetNew];

    /// Returns whether new connections are reset.
    pub fn resets_new_connections(self) -> bool {
        matches!(self, Self::Reset | Self::ResetNew)
    }
}

/// The clients that are partitioned from a server.
#[derive(Debug, Default)]
pub struct Partitions {
    by_client: watch::Sender<HashMap<IpAddr, Partition>>,
}

impl Partitions {
    /// Partitions a client from the server, or heals its partition with `None`.
    pub fn set(&self, client: IpAddr, partition: Option<Partition>) {
        self.by_client.send_modify(|by_client| match partition {
            Some(partition) => {
                by_client.insert(client, partition);
            }
            None => {
                by_client.remove(&client);
            }
        });
    }

    /// Returns the view for connections of clients.
    pub fn view(&self) -> PartitionView {
        PartitionView(self.by_client.subscribe())
    }
}

/// The partitions of a server as its connections observe them.
#[derive(Debug, Clone)]
pub struct PartitionView(watch::Receiver<HashMap<IpAddr, Partition>>);

impl PartitionView {
    /// Returns the view for the connections of one client.
    pub fn of(&self, client: IpAddr) -> ClientPartition {
        ClientPartition {
            client,
            by_client: self.0.clone(),
        }
    }
}

/// The partition of one client.
#[derive(Debug, Clone)]
pub struct ClientPartition {
    client: IpAddr,
    by_client: watch::Receiver<HashMap<IpAddr, Partition>>,
}

impl ClientPartition {
    /// Returns the current partition of the client, if any.
    pub fn current(&self) -> Option<Partition> {
        self.by_client.borrow().get(&self.client).copied()
    }

    /// Waits until the client's connections are not silent. Returns at once if the link is gone.
    pub async fn wait_while_silent(&mut self) {
        self.wait_until(|partition| partition != Some(Partition::Silence))
            .await;
    }

    /// Waits until the client's open connections are reset. Waits forever if the link is gone.
    pub async fn wait_for_reset(&mut self) {
        let is_reset = |partition| partition == Some(Partition::Reset);
        if !self.wait_until(is_reset).await {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the condition was reached before the link was dropped.
    async fn wait_until(&mut self, condition: impl Fn(Option<Partition>) -> bool) -> bool {
        let client = self.client;
        let reached =
            |by_client: &HashMap<IpAddr, Partition>| condition(by_client.get(&client).copied());
        self.by_client.wait_for(reached).await.is_ok()
    }
}
