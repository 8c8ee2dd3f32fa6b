//! What was ordered before, what came of it, and what that says of the next order.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::WorkerKind;

use crate::duties::{DutyOutcome, WorkerOrder};

/// Time beyond a worker's start after which an order that changed nothing is sent again: two writes of the
/// worker's entry.
const NOTICE: Duration = Duration::from_secs(2);
/// Time in which an order that was left unanswered is carried out, if it ever is: twice what a new holder of
/// the authority waits as a rule.
const LATENESS: Duration = Duration::from_secs(6);
/// Time after which spot workers are asked for again where there were none,
const FIRST_ABSENCE: Duration = Duration::from_secs(2);
/// and the longest such time; each refusal doubles it.
const LONGEST_ABSENCE: Duration = Duration::from_secs(16);

/// Which workers an order is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Subject {
    service: ServiceName,
    zone: ZoneName,
    kind: WorkerKind,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    desired: u32,
    at: Timestamp,
}

/// An order that may still be carried out.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    desired: u32,
    until: Timestamp,
}

/// Spot workers that a zone did not have.
#[derive(Debug, Clone, Copy)]
struct Absence {
    until: Timestamp,
    length: Duration,
}

/// Orders of the holder of the authority, by what they are about.
#[derive(Debug, Default)]
pub struct OrderHistory {
    ordered: HashMap<Subject, Ordered>,
    unanswered: HashMap<Subject, Unanswered>,
    absences: HashMap<Subject, Absence>,
}

impl OrderHistory {
    /// How many workers were ordered last.
    pub fn ordered(&self, order: &WorkerOrder) -> Option<u32> {
        let ordered = self.ordered.get(&subject_of(order))?;
        Some(ordered.desired)
    }

    /// Whether a zone may have spot workers: it had some when it was asked last.
    pub fn has_spot(&self, service: &ServiceName, zone: &ZoneName) -> bool {
        let subject = Subject {
            service: service.clone(),
            zone: zone.clone(),
            kind: WorkerKind::Spot,
        };
        !self.absences.contains_key(&subject)
    }

    /// Whether a zone that had no spot workers may be asked for them again.
    pub fn may_ask_again(&self, now: Timestamp, order: &WorkerOrder) -> bool {
        let absence = self.absences.get(&subject_of(order));
        absence.is_some_and(|absence| now >= absence.until)
    }

    /// Whether an order is to be sent now, where workers need so long to start.
    pub fn is_due(&self, now: Timestamp, order: &WorkerOrder, start: Duration) -> bool {
        if self.may_be_undone(now, order) {
            return false;
        }
        let ordered = self.ordered.get(&subject_of(order));
        ordered.is_none_or(|ordered| {
            let waited = now.since(ordered.at);
            ordered.desired != order.desired || waited >= start + NOTICE
        })
    }

    /// Whether an earlier order with another number may be carried out after this one.
    pub fn may_be_undone(&self, now: Timestamp, order: &WorkerOrder) -> bool {
        let earlier = self.unanswered.get(&subject_of(order));
        earlier.is_some_and(|earlier| earlier.desired != order.desired && now < earlier.until)
    }

    /// Notes what came of an order.
    pub fn note(&mut self, now: Timestamp, order: &WorkerOrder, outcome: &DutyOutcome) {
        let subject = subject_of(order);
        let desired = order.desired;
        match (outcome, order.kind) {
            (DutyOutcome::Done, _) => {
                self.absences.remove(&subject);
                self.ordered.insert(subject, Ordered { desired, at: now });
            }
            (DutyOutcome::Refused(_), WorkerKind::Spot) => self.note_absence(now, subject),
            (DutyOutcome::Unknown(_), _) => {
                let until = now + LATENESS;
                self.unanswered
                    .insert(subject, Unanswered { desired, until });
            }
            (DutyOutcome::Refused(_), WorkerKind::Reserved) | (DutyOutcome::NotDone(_), _) => {}
        }
    }

    fn note_absence(&mut self, now: Timestamp, subject: Subject) {
        let known = self.absences.get(&subject);
        let length = known.map_or(FIRST_ABSENCE, |known| {
            (known.length * 2).min(LONGEST_ABSENCE)
        });
        let until = now + length;
        self.absences.insert(subject, Absence { until, length });
    }
}

fn subject_of(order: &WorkerOrder) -> Subject {
    Subject {
        service: order.service.clone(),
        zone: order.zone.clone(),
        kind: order.kind,
    }
}
