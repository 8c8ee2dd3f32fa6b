//! Polls the load reports and cache events of the engines that this node follows.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use actix::fut::wrap_future;
use actix::{Actor, ActorFutureExt, AsyncContext, Context};
use tansyhall_config::Backend;
use tansyhall_core::{EngineName, Timestamp};
use tansyhall_engine::protocol::LoadReport;
use tansyhall_engine::{EngineClient, EngineError};

use super::{followed_engine_names, poll_period};
use crate::state::Node;

/// Actor that polls the load report of each followed engine. An engine has at most one load request
/// in progress, and an engine that does not answer does not delay the requests to others.
pub struct LoadPoller {
    node: Arc<Node>,
    client: EngineClient,
    pending: HashSet<EngineName>,
    cache_events_read_at: HashMap<EngineName, Timestamp>,
}

impl LoadPoller {
    /// Returns the poller of a node.
    pub fn new(node: Arc<Node>) -> Self {
        let client = EngineClient::new(node.settings.limits.connect_timeout);
        Self {
            node,
            client,
            pending: HashSet::new(),
            cache_events_read_at: HashMap::new(),
        }
    }

    /// Polls every engine that has no request in progress, and schedules the next round.
    fn poll_all(&mut self, context: &mut Context<Self>) {
        let engines = self.followed_backends();
        let period = poll_period(&self.node.settings.routing, engines.len());
        for engine in engines {
            if self.pending.insert(engine.name.clone()) {
                self.poll_load(engine, context);
            }
        }
        context.run_later(period, Self::poll_all);
    }

    fn poll_load(&self, engine: Backend, context: &mut Context<Self>) {
        let client = self.client.clone();
        let requested_at = self.node.clock.now();
        let address = engine.address;
        let request = async move { client.load(address).await };
        let task = wrap_future::<_, Self>(request).map(move |report, poller, context| {
            let reported = report.is_ok();
            poller.record_report(&engine.name, requested_at, report);
            if reported && poller.cache_events_are_due(&engine.name) {
                poller.poll_cache_events(engine, context);
            }
        });
        context.spawn(task);
    }

    /// Returns whether an engine's cache events are to be read now. If so, they are not due again
    /// until the period has passed.
    fn cache_events_are_due(&mut self, engine: &EngineName) -> bool {
        let now = self.node.clock.now();
        let period = self.node.settings.routing.cache_event_period;
        let read_at = self.cache_events_read_at.get(engine);
        let due = read_at.is_none_or(|read_at| now.since(*read_at) >= period);
        if due {
            self.cache_events_read_at.insert(engine.clone(), now);
        }
        due
    }

    fn poll_cache_events(&self, engine: Backend, context: &mut Context<Self>) {
        let client = self.client.clone();
        let trackers = &self.node.dispatch.trackers;
        let after = trackers.latest_cache_event(&engine.name);
        let request = async move { client.cache_events(engine.address, after).await };
        let task = wrap_future::<_, Self>(request).map(move |events, poller, _| {
            // Without events, the index keeps its content, and predictions are less exact.
            if let Ok(events) = events {
                let trackers = &poller.node.dispatch.trackers;
                trackers.record_cache_events(&engine.name, &events);
            }
        });
        context.spawn(task);
    }

    fn record_report(
        &mut self,
        engine: &EngineName,
        requested_at: Timestamp,
        report: Result<LoadReport, EngineError>,
    ) {
        self.pending.remove(engine);
        let outcome = match report {
            Ok(report) => {
                let trackers = &self.node.dispatch.trackers;
                trackers.record_report(engine, requested_at, &report);
                "read"
            }
            Err(error) => error.name(),
        };
        let reports = &self.node.metrics.load_reports;
        reports.with_label_values(&[outcome]).inc();
    }

    /// Returns the followed engines of every pool that loads a model. Removes the state of engines
    /// that are no longer among them.
    fn followed_backends(&mut self) -> Vec<Backend> {
        let in_force = self.node.in_force.load();
        let pools = in_force.configuration.pools.values();
        let mut engines = Vec::new();
        for pool in pools.filter(|pool| pool.model.is_some()) {
            let names = pool.backends.iter().map(|backend| &backend.name);
            let names: HashSet<&EngineName> = followed_engine_names(&self.node, names)
                .into_iter()
                .collect();
            let backends = pool.backends.iter();
            engines.extend(
                backends
                    .filter(|backend| names.contains(&backend.name))
                    .cloned(),
            );
        }
        let names: HashSet<&EngineName> = engines.iter().map(|engine| &engine.name).collect();
        self.node
            .dispatch
            .trackers
            .retain(|engine| names.contains(engine));
        self.cache_events_read_at
            .retain(|engine, _| names.contains(engine));
        engines
    }
}

impl Actor for LoadPoller {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.poll_all(context);
    }
}
