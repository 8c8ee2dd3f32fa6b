//! Follows the configuration in the store while this node is the one that does so for its zone, or
//! while it has just started and has not yet learned enough from its peers.

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

/// Reads of the store are retried without limit. The maximum back-off is short enough that a change made
/// right after an outage arrives without a noticeable delay.
const READ_RETRY_POLICY: RetryPolicy = RetryPolicy {
    max_attempts: u32::MAX,
    initial_backoff: Duration::from_millis(250),
    max_backoff: Duration::from_secs(2),
};
/// Interval of the check whether this node has to follow the store.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time without events of a watch before the newest revision is read anyway.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The actor that follows the store.
pub struct ConfigurationWatcher {
    node: Arc<Node>,
    store: EtcdStore,
    reads: Recipient<StoreRead>,
}

impl ConfigurationWatcher {
    /// Creates the watcher of a node, which sends the results of its reads to `reads`.
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

/// Revisions of the newest configuration at the last read of the store.
#[derive(Debug, Clone, Copy)]
struct NewestRevisions {
    /// The configuration's revision.
    revision: u64,
    /// The store's revision of the configuration's last change.
    store_revision: Revision,
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
                actix_rt::time::sleep(FOLLOW_POLL_INTERVAL).await;
                continue;
            }
            let Err(error) = self.follow(&mut failures).await else {
                actix_rt::time::sleep(FOLLOW_POLL_INTERVAL).await;
                continue;
            };
            self.node.metrics.platform_errors.inc();
            log::debug!("following the configuration in the store failed: {error}");
            failures += 1;
            let repeatability = Repeatability::Repeatable;
            let next =
                READ_RETRY_POLICY.after_failure(&error, repeatability, failures, rand::random());
            match next {
                NextStep::Retry(wait) => actix_rt::time::sleep(wait).await,
                // The watch was too far behind: start again with a read of the whole configuration.
                NextStep::ReadBack | NextStep::GiveUp => {}
            }
        }
    }

    /// Follows the store until a call fails, the watch ends, or this node need not follow it any more.
    async fn follow(&self, failures: &mut u32) -> Result<(), StoreError> {
        let mut newest = self.read().await?;
        *failures = 0;
        let start = Revision(newest.store_revision.0 + 1);
        let mut watch = self.store.watch(CONFIGURATION_PREFIX, start).await?;
        while self.node.peers.follows_store() {
            let events = actix_rt::time::timeout(WATCH_SILENCE_TIMEOUT, watch.next()).await;
            match events {
                Ok(None) => return Ok(()),
                Ok(Some(Err(error))) => return Err(error),
                Ok(Some(Ok(events))) if events.is_empty() => {}
                Ok(Some(Ok(_))) => newest = self.read().await?,
                Err(_) => newest = self.confirm_newest(newest).await?,
            }
        }
        Ok(())
    }

    async fn read(&self) -> Result<NewestRevisions, StoreError> {
        let snapshot = self.configurations.read().await?;
        let newest = NewestRevisions {
            revision: snapshot.configuration.revision,
            store_revision: snapshot.store_revision(),
        };
        let configuration = Box::new(snapshot.configuration);
        self.reads.do_send(StoreRead::Newest(configuration));
        Ok(newest)
    }

    /// Reads only the newest revision, and the whole configuration if the revision has changed.
    async fn confirm_newest(&self, known: NewestRevisions) -> Result<NewestRevisions, StoreError> {
        if self.configurations.read_revision().await? != known.store_revision {
            return self.read().await;
        }
        let held_revision = self.node.held_configuration.lock().revision();
        if held_revision == known.revision {
            self.reads.do_send(StoreRead::Unchanged(held_revision));
        }
        Ok(known)
    }
}
