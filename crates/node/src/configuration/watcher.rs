//! Follows the configuration in the store and puts each newer revision in force.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, WrapFuture};
use futures_util::StreamExt;
use tansyhall_platform::{EtcdStore, KeyValueStore, Revision, StoreError};

use super::in_force::InForce;
use super::store::{ConfigurationStore, CONFIGURATION_PREFIX};
use crate::state::Node;

/// Wait after a failed read or a broken watch.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest silence of a watch before the range is read anyway.
const ANTI_ENTROPY_PERIOD: Duration = Duration::from_secs(2);

/// The actor that follows the store.
pub struct ConfigurationWatcher {
    node: Arc<Node>,
    store: EtcdStore,
}

impl ConfigurationWatcher {
    /// A watcher for a node.
    pub fn new(node: Arc<Node>, store: EtcdStore) -> Self {
        Self { node, store }
    }
}

impl Actor for ConfigurationWatcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let node = Arc::clone(&self.node);
        let store = self.store.clone();
        context.spawn(follow(node, store).into_actor(self));
    }
}

async fn follow(node: Arc<Node>, store: EtcdStore) {
    loop {
        if let Err(error) = follow_once(&node, &store).await {
            node.metrics.platform_errors.inc();
            log::debug!("the configuration watch ended: {error}");
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

async fn follow_once(node: &Node, store: &EtcdStore) -> Result<(), StoreError> {
    let configurations = ConfigurationStore::new(store.clone());
    let snapshot = configurations.read().await?;
    let next = Revision(snapshot.configuration.revision + 1);
    put_in_force(node, snapshot.configuration);
    let mut watch = store.watch(CONFIGURATION_PREFIX, next).await?;
    loop {
        let events = actix_rt::time::timeout(ANTI_ENTROPY_PERIOD, watch.next()).await;
        match events {
            Ok(None) => return Ok(()),
            Ok(Some(Err(error))) => return Err(error),
            Ok(Some(Ok(events))) if events.is_empty() => continue,
            Ok(Some(Ok(_))) | Err(_) => {
                put_in_force(node, configurations.read().await?.configuration)
            }
        }
    }
}

/// Puts a configuration in force unless it is older than the present one or does not validate.
pub fn put_in_force(node: &Node, configuration: tansyhall_config::Configuration) {
    node.note_configuration_seen();
    let present = node.in_force.load().configuration.revision;
    if configuration.revision <= present {
        return;
    }
    let revision = configuration.revision;
    match InForce::new(configuration) {
        Ok(in_force) => {
            node.in_force.store(Arc::new(in_force));
            node.metrics
                .configuration_revision
                .set(i64::try_from(revision).unwrap_or(i64::MAX));
            log::info!("configuration revision {revision} is in force");
        }
        Err(error) => {
            node.metrics.configuration_refused.inc();
            log::error!("configuration revision {revision} is refused: {error}");
        }
    }
}
