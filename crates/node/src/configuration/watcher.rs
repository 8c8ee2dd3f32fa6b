//! Follows the configuration in the store, as long as this node is the one that does so for its
//! zone, or has just started and its peers have not told it enough.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Recipient, WrapFuture};
use futures_util::StreamExt;
use tansyhall_store::{
    EtcdStore, KeyValueStore, NextStep, Repeatability, RetryPolicy, Revision, StoreError,
};

use super::store::{ConfigurationStore, CONFIGURATION_PREFIX};
use crate::peers::StoreRead;
use crate::state::Node;

/// Reads of the store are tried again for ever, but never so rarely that a change made right after
/// an outage is late.
const RETRIES: RetryPolicy = RetryPolicy {
    max_attempts: u32::MAX,
    initial_backoff: Duration::from_millis(250),
    max_backoff: Duration::from_secs(2),
};
/// Time between looks at whether this node is to follow the store.
const TURN_POLL: Duration = Duration::from_millis(50);
/// Longest silence of a watch before the newest revision is read anyway.
const ANTI_ENTROPY_PERIOD: Duration = Duration::from_secs(2);

/// The actor that follows the store.
pub struct ConfigurationWatcher {
    node: Arc<Node>,
    store: EtcdStore,
    reads: Recipient<StoreRead>,
}

impl ConfigurationWatcher {
    /// A watcher for a node that passes on what it reads.
    pub fn new(node: Arc<Node>, store: EtcdStore, reads: Recipient<StoreRead>) -> Self {
        Self { node, store, reads }
    }
}

impl Actor for ConfigurationWatcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let follower = Follower {
            node: Arc::clone(&self.node),
            store: self.store.clone(),
            configurations: ConfigurationStore::new(self.store.clone()),
            reads: self.reads.clone(),
        };
        context.spawn(follower.run().into_actor(self));
    }
}

/// The newest configuration as the store was read last.
#[derive(Debug, Clone, Copy)]
struct Newest {
    /// What it counts as.
    revision: u64,
    /// The store's revision of its last change.
    stored_at: Revision,
}

struct Follower {
    node: Arc<Node>,
    store: EtcdStore,
    configurations: ConfigurationStore<EtcdStore>,
    reads: Recipient<StoreRead>,
}

impl Follower {
    async fn run(self) {
        let mut failures = 0;
        loop {
            if !self.node.peers.follows_store() {
                actix_rt::time::sleep(TURN_POLL).await;
                continue;
            }
            let Err(error) = self.follow(&mut failures).await else {
                actix_rt::time::sleep(TURN_POLL).await;
                continue;
            };
            self.node.metrics.platform_errors.inc();
            log::debug!("the configuration watch ended: {error}");
            failures += 1;
            let repeatability = Repeatability::Repeatable;
            let next = RETRIES.after_failure(&error, repeatability, failures, rand::random());
            match next {
                NextStep::Retry(wait) => actix_rt::time::sleep(wait).await,
                // The watch was too far behind: begin anew with a read of everything.
                NextStep::ReadBack | NextStep::GiveUp => {}
            }
        }
    }

    /// Follows the store until it fails or it is another node's turn.
    async fn follow(&self, failures: &mut u32) -> Result<(), StoreError> {
        let mut newest = self.read().await?;
        *failures = 0;
        let start = Revision(newest.stored_at.0 + 1);
        let mut watch = self.store.watch(CONFIGURATION_PREFIX, start).await?;
        while self.node.peers.follows_store() {
            let events = actix_rt::time::timeout(ANTI_ENTROPY_PERIOD, watch.next()).await;
            match events {
                Ok(None) => return Ok(()),
                Ok(Some(Err(error))) => return Err(error),
                Ok(Some(Ok(events))) if events.is_empty() => {}
                Ok(Some(Ok(_))) => newest = self.read().await?,
                Err(_) => newest = self.confirm(newest).await?,
            }
        }
        Ok(())
    }

    async fn read(&self) -> Result<Newest, StoreError> {
        let snapshot = self.configurations.read().await?;
        let newest = Newest {
            revision: snapshot.configuration.revision,
            stored_at: snapshot.store_revision(),
        };
        let configuration = Box::new(snapshot.configuration);
        self.reads.do_send(StoreRead::Newest(configuration));
        Ok(newest)
    }

    /// Reads only the newest revision's number, and the rest if that has changed.
    async fn confirm(&self, known: Newest) -> Result<Newest, StoreError> {
        if self.configurations.read_revision().await? != known.stored_at {
            return self.read().await;
        }
        let held = self.node.held.lock().revision();
        if held == known.revision {
            self.reads.do_send(StoreRead::Unchanged(held));
        }
        Ok(known)
    }
}
