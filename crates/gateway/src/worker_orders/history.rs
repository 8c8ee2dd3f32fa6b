//! The orders sent so far and their outcomes, and when the next order may be sent.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::WorkerKind;

use crate::duties::{DutyOutcome, WorkerOrder};

/// Time in addition to a worker's startup time after which an order without effect is sent again: the time for two
/// writes of the worker's store entry.
const ENTRY_UPDATE_TIME: Duration = Duration::from_secs(2);
/// Time within which an unanswered order is carried out, if at all: twice the time that a new holder of the authority
/// usually waits.
const LATE_EXECUTION_WINDOW: Duration = Duration::from_secs(6);
/// Time after which spot workers are ordered again in a zone that had none. Each further refusal doubles it.
const INITIAL_SPOT_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum time after which spot workers are ordered again.
const MAX_SPOT_BACKOFF: Duration = Duration::from_secs(16);

/// The group of workers whose number an order sets.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WorkerGroup {
    service: ServiceName,
    zone: ZoneName,
    kind: WorkerKind,
}

/// An order that was accepted.
#[derive(Debug, Clone, Copy)]
struct AcceptedOrder {
    desired: u32,
    at: Timestamp,
}

/// An order without an answer, which may still be carried out.
#[derive(Debug, Clone, Copy)]
struct UnansweredOrder {
    desired: u32,
    until: Timestamp,
}

/// Wait time after a zone had no spot workers.
#[derive(Debug, Clone, Copy)]
struct SpotBackoff {
    until: Timestamp,
    length: Duration,
}

/// Orders of the holder of the authority, by the group of workers that they concern.
#[derive(Debug, Default)]
pub struct OrderHistory {
    accepted: HashMap<WorkerGroup, AcceptedOrder>,
    unanswered: HashMap<WorkerGroup, UnansweredOrder>,
    spot_backoffs: HashMap<WorkerGroup, SpotBackoff>,
}

impl OrderHistory {
    /// Returns how many workers the last accepted order asked for.
    pub fn last_ordered(&self, order: &WorkerOrder) -> Option<u32> {
        let accepted = self.accepted.get(&group_of(order))?;
        Some(accepted.desired)
    }

    /// Returns whether a zone may have spot workers, which means that the last order for them was not refused.
    pub fn has_spot(&self, service: &ServiceName, zone: &ZoneName) -> bool {
        let group = WorkerGroup {
            service: service.clone(),
            zone: zone.clone(),
            kind: WorkerKind::Spot,
        };
        !self.spot_backoffs.contains_key(&group)
    }

    /// Returns whether spot workers may be ordered again in a zone that had none.
    pub fn may_retry_spot(&self, now: Timestamp, order: &WorkerOrder) -> bool {
        let backoff = self.spot_backoffs.get(&group_of(order));
        backoff.is_some_and(|backoff| now >= backoff.until)
    }

    /// Returns whether an order must be sent now, given the time that workers take to start.
    pub fn is_due(&self, now: Timestamp, order: &WorkerOrder, startup_time: Duration) -> bool {
        if self.may_be_undone(now, order) {
            return false;
        }
        let accepted = self.accepted.get(&group_of(order));
        accepted.is_none_or(|accepted| {
            let elapsed = now.since(accepted.at);
            accepted.desired != order.desired || elapsed >= startup_time + ENTRY_UPDATE_TIME
        })
    }

    /// Returns whether an earlier order for another number of workers may be carried out after this one.
    pub fn may_be_undone(&self, now: Timestamp, order: &WorkerOrder) -> bool {
        let earlier = self.unanswered.get(&group_of(order));
        earlier.is_some_and(|earlier| earlier.desired != order.desired && now < earlier.until)
    }

    /// Records the outcome of an order.
    pub fn record(&mut self, now: Timestamp, order: &WorkerOrder, outcome: &DutyOutcome) {
        let group = group_of(order);
        let desired = order.desired;
        match (outcome, order.kind) {
            (DutyOutcome::Done, _) => {
                self.spot_backoffs.remove(&group);
                self.accepted
                    .insert(group, AcceptedOrder { desired, at: now });
            }
            (DutyOutcome::Refused(_), WorkerKind::Spot) => self.record_spot_refusal(now, group),
            (DutyOutcome::Unknown(_), _) => {
                let until = now + LATE_EXECUTION_WINDOW;
                self.unanswered
                    .insert(group, UnansweredOrder { desired, until });
            }
            (DutyOutcome::Refused(_), WorkerKind::Reserved) | (DutyOutcome::NotDone(_), _) => {}
        }
    }

    fn record_spot_refusal(&mut self, now: Timestamp, group: WorkerGroup) {
        let previous = self.spot_backoffs.get(&group);
        let length = previous.map_or(INITIAL_SPOT_BACKOFF, |previous| {
            (previous.length * 2).min(MAX_SPOT_BACKOFF)
        });
        let until = now + length;
        self.spot_backoffs
            .insert(group, SpotBackoff { until, length });
    }
}

fn group_of(order: &WorkerOrder) -> WorkerGroup {
    WorkerGroup {
        service: order.service.clone(),
        zone: order.zone.clone(),
        kind: order.kind,
    }
}
