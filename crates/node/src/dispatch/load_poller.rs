//! Reads the load reports and cache events of the engines that the node follows.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use actix::fut::wrap_future;
use actix::{Actor, ActorFutureExt, AsyncContext, Context};
use tansyhall_config::Backend;
use tansyhall_core::{EngineName, Timestamp};
use tansyhall_engine::protocol::LoadReport;
use tansyhall_engine::{EngineClient, EngineError};

use super::{followed, poll_period};
use crate::state::Node;

/// An actor that asks each followed engine for its load report, again and again. An engine has one
/// question open at most; one that does not answer delays nobody else's.
pub struct LoadFollower {
    node: Arc<Node>,
    client: EngineClient,
    asked: HashSet<EngineName>,
    cache_events_read: HashMap<EngineName, Timestamp>,
}

impl LoadFollower {
    /// A follower for a node.
    pub fn new(node: Arc<Node>) -> Self {
        let client = EngineClient::new(node.settings.limits.connect_timeout);
        Self {
            node,
            client,
            asked: HashSet::new(),
            cache_events_read: HashMap::new(),
        }
    }

    /// Asks every engine that owes no answer, and plans the next round.
    fn ask_all(&mut self, context: &mut Context<Self>) {
        let engines = self.followed_backends();
        let period = poll_period(&self.node.settings.routing, engines.len());
        for engine in engines {
            if self.asked.insert(engine.name.clone()) {
                self.ask(engine, context);
            }
        }
        context.run_later(period, Self::ask_all);
    }

    fn ask(&self, engine: Backend, context: &mut Context<Self>) {
        let client = self.client.clone();
        let asked_at = self.node.clock.now();
        let address = engine.address;
        let question = async move { client.load(address).await };
        let answered = wrap_future::<_, Self>(question).map(move |report, follower, context| {
            let reported = report.is_ok();
            follower.answered(&engine.name, asked_at, report);
            if reported && follower.cache_events_are_due(&engine.name) {
                follower.ask_for_cache_events(engine, context);
            }
        });
        context.spawn(answered);
    }

    /// Whether an engine's cache events are to be read now; if so, they are not for a while.
    fn cache_events_are_due(&mut self, engine: &EngineName) -> bool {
        let now = self.node.clock.now();
        let period = self.node.settings.routing.cache_event_period;
        let read = self.cache_events_read.get(engine);
        let due = read.is_none_or(|read| now.since(*read) >= period);
        if due {
            self.cache_events_read.insert(engine.clone(), now);
        }
        due
    }

    fn ask_for_cache_events(&self, engine: Backend, context: &mut Context<Self>) {
        let client = self.client.clone();
        let trackers = &self.node.dispatch.trackers;
        let after = trackers.latest_cache_event(&engine.name);
        let question = async move { client.cache_events(engine.address, after).await };
        let answered = wrap_future::<_, Self>(question).map(move |events, follower, _| {
            // Without events, the index holds what it held: predictions are less exact.
            if let Ok(events) = events {
                let trackers = &follower.node.dispatch.trackers;
                trackers.cache_events(&engine.name, &events);
            }
        });
        context.spawn(answered);
    }

    fn answered(
        &mut self,
        engine: &EngineName,
        asked_at: Timestamp,
        report: Result<LoadReport, EngineError>,
    ) {
        self.asked.remove(engine);
        let outcome = match report {
            Ok(report) => {
                let trackers = &self.node.dispatch.trackers;
                trackers.report(engine, asked_at, &report);
                "read"
            }
            Err(error) => error.name(),
        };
        let reports = &self.node.metrics.load_reports;
        reports.with_label_values(&[outcome]).inc();
    }

    /// The followed engines of every pool that loads a model. Engines that are in no pool any more
    /// are forgotten.
    fn followed_backends(&mut self) -> Vec<Backend> {
        let in_force = self.node.in_force.load();
        let pools = in_force.configuration.pools.values();
        let mut engines = Vec::new();
        for pool in pools.filter(|pool| pool.model.is_some()) {
            let names = pool.backends.iter().map(|backend| &backend.name);
            let names: HashSet<&EngineName> = followed(&self.node, names).into_iter().collect();
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
        self.cache_events_read
            .retain(|engine, _| names.contains(engine));
        engines
    }
}

impl Actor for LoadFollower {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.ask_all(context);
    }
}
