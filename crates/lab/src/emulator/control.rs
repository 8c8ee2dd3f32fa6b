//! Events that control engines: reports, the lease holder's plans, role changes and the schedule of
//! crashes.

use std::time::Duration;

use rand::RngExt;
use tansyhall_core::Timestamp;

use super::engine::EngineMode;
use super::events::Event;
use super::run::Emulation;
use crate::strategy::PoolView;

impl Emulation<'_> {
    pub(super) fn schedule_crash(&mut self) {
        if self.conditions.crashes_per_minute <= 0.0 {
            return;
        }
        let mean_seconds = 60.0 / self.conditions.crashes_per_minute;
        let delay_seconds = -(1.0 - self.random.random::<f64>()).ln() * mean_seconds;
        let engine = self.random.random_range(0..self.engines.len());
        self.events.push(
            self.now + Duration::from_secs_f64(delay_seconds),
            Event::Crash { engine },
        );
    }

    pub(super) fn send_reports(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].mode == EngineMode::Down {
                continue;
            }
            let state = &self.engines[engine];
            let (role, accepts_work) = (state.role, state.accepts_work());
            let snapshot = state.snapshot(self.now);
            for node in 0..self.nodes.len() {
                if self.random.random::<f64>() < self.conditions.report_loss {
                    continue;
                }
                let report = Event::Report {
                    node,
                    engine,
                    role,
                    accepts_work,
                    snapshot,
                };
                self.events
                    .push(self.now + self.conditions.report_lag, report);
            }
        }
        self.events.push(
            self.now + self.conditions.report_interval,
            Event::SendReports,
        );
    }

    pub(super) fn can_plan(&self) -> bool {
        let since_start = self.now.since(Timestamp::default());
        let is_during = |(start, length): (Duration, Duration)| {
            since_start >= start && since_start < start + length
        };
        !self.conditions.outage.is_some_and(is_during)
    }

    pub(super) fn plan(&mut self) {
        self.events
            .push(self.now + self.conditions.plan_interval, Event::Plan);
        if !self.can_plan() {
            return;
        }
        let view = PoolView {
            now: self.now,
            engines: self.estimates(0),
        };
        let Some(change) = self.strategy.plan(&view) else {
            return;
        };
        if self.engines[change.engine].mode != EngineMode::Serving {
            return;
        }
        self.engines[change.engine].mode = EngineMode::Draining(change.role);
        self.outcome.role_changes += 1;
        let second = self.timeline_index(self.now);
        self.outcome.timeline[second].role_changes += 1;
        self.notify_nodes(change.engine);
        self.start_role_change_if_idle(change.engine);
    }

    /// Updates the nodes' role and availability of an engine at once: nodes learn of drains and restarts
    /// by gossip, well before the next report.
    pub(super) fn notify_nodes(&mut self, engine: usize) {
        let accepts_work = self.engines[engine].accepts_work();
        for node in &mut self.nodes {
            node.engines[engine].accepts_work = accepts_work;
            node.engines[engine].role = self.engines[engine].role;
        }
    }

    pub(super) fn start_role_change_if_idle(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let EngineMode::Draining(role) = state.mode else {
            return;
        };
        if !state.batch.is_empty() {
            return;
        }
        state.mode = EngineMode::Changing(role);
        let end = self.now + self.conditions.role_change;
        let incarnation = state.incarnation;
        self.events.push(
            end,
            Event::RoleChanged {
                engine,
                incarnation,
            },
        );
    }

    pub(super) fn finish_role_change(&mut self, engine: usize, incarnation: u32) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation {
            return;
        }
        let EngineMode::Changing(role) = state.mode else {
            return;
        };
        state.set_role(role);
        self.notify_nodes(engine);
    }
}
