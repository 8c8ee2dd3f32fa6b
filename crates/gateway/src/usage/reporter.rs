//! Decides what is reported of each window, and reports it, while this gateway holds the authority.
//!
//! What is reported is written to the store first, under the condition that the claim still stands, that
//! nothing was decided for the window, and that nothing was decided since: decisions that are over are
//! deleted, and one that the store carries out late must not find its window undecided again. Whoever
//! sends the report, then or again, sends what stands there, so that no window is told twice with
//! different counts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_authority::Epoch;
use tansyhall_forwarding::Mirror;
use tansyhall_store::{
    Compare, KeyValue, KeyValueStore, Operation, Revision, StoreError, Transaction,
};
use tansyhall_usage::{
    next_step, Collection, KnownReports, ReportStep, TenantCounts, UnixMillis, WindowNumber,
};
use tokio::time::sleep;

use super::message::RowsMessage;
use super::state::Usage;
use super::{CLOSED_KEY, REPORTS_PREFIX, ROWS_PREFIX};
use crate::authority_claim;
use crate::duties::{DutyOutcome, UsageReport};
use crate::duty_calls::DutyCalls;
use crate::events::{Event, Weight};
use crate::state::Shared;
use crate::store_call::in_time;

/// Pause between two looks, and between two calls for one report.
const PACE: Duration = Duration::from_millis(400);

/// Reports until the gateway stops.
pub async fn report(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, calls: DutyCalls) {
    if shared.usage.is_none() {
        return;
    }
    let mut reporter = Reporter {
        shared,
        store,
        calls,
        known: KnownReports::default(),
        decided: BTreeMap::new(),
        closed_at: None,
    };
    while !reporter.shared.is_stopping() {
        sleep(PACE).await;
        reporter.look().await;
    }
}

struct Reporter {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    calls: DutyCalls,
    known: KnownReports,
    /// What was decided of the windows that the store still has.
    decided: BTreeMap<WindowNumber, TenantCounts>,
    /// When the last closed window was last written, which each decision does, by the copy of the store.
    closed_at: Option<Revision>,
}

impl Reporter {
    async fn look(&mut self) {
        let shared = Arc::clone(&self.shared);
        let Some(usage) = shared.usage.as_ref() else {
            return;
        };
        // Also without the authority: a restored store may have lost what was decided when it is held next.
        self.learn();
        let (Some(epoch), Some(time)) = (self.calls.fence(), usage.time(shared.now())) else {
            return;
        };
        match next_step(&usage.timing, time, &self.known) {
            ReportStep::Send(window) => self.send(epoch, window).await,
            ReportStep::Decide {
                window,
                counted_until,
                anyway,
            } => {
                if let Some(rows) = self.rows().await {
                    let complete = rows
                        .collection
                        .covers(self.gateways().iter().map(String::as_str), counted_until);
                    if complete || anyway {
                        self.decide(epoch, window, rows, complete, usage, time)
                            .await;
                    }
                }
            }
            ReportStep::Wait => {}
        }
    }

    /// Takes in what the copy of the store says of earlier reports.
    fn learn(&mut self) {
        let mirror = self.shared.mirror.lock();
        let item = mirror.get(CLOSED_KEY);
        let closed = item.and_then(|item| number(&item.value));
        self.closed_at = item.map(|item| Revision(item.written.revision));
        self.known.closed_through = self.known.closed_through.max(closed);
        for (window, counts) in decided_in(&mirror) {
            self.decided.entry(window).or_insert(counts);
        }
        drop(mirror);
        if let Some(closed) = self.known.closed_through {
            self.decided.retain(|window, _| *window > closed);
            self.known.acknowledged.retain(|window| *window > closed);
        }
        self.known.decided = self.decided.keys().copied().collect();
    }

    fn gateways(&self) -> Vec<String> {
        let fleet = self.shared.fleet.read();
        fleet.names().map(str::to_owned).collect()
    }

    async fn rows(&self) -> Option<Rows> {
        match in_time(self.store.range(ROWS_PREFIX)).await {
            Ok(range) => Some(Rows::read(range.entries)),
            Err(error) => {
                log::debug!("collected usage is not read: {error}");
                None
            }
        }
    }

    async fn decide(
        &mut self,
        epoch: Epoch,
        window: WindowNumber,
        rows: Rows,
        complete: bool,
        usage: &Usage,
        time: UnixMillis,
    ) {
        let counts = rows.collection.total(window);
        let value = match serde_json::to_vec(&counts) {
            Ok(value) => value,
            Err(error) => {
                return log::warn!("usage of window {} is not decided: {error}", window.0)
            }
        };
        let closed = self.closed_before(window, usage, time);
        let mut operations = vec![put(report_key(window), value)];
        if let Some(closed) = closed {
            operations.push(put(CLOSED_KEY.into(), closed.0.to_string().into_bytes()));
            let over = self.decided.keys().filter(|window| **window <= closed);
            operations.extend(over.map(|window| delete(report_key(*window))));
        }
        let oldest = usage.timing.oldest_open(time);
        operations.extend(rows.over_before(oldest).map(delete));
        let none_since = match self.closed_at {
            Some(revision) => Compare::ModifiedAt(CLOSED_KEY.into(), revision),
            None => Compare::Absent(CLOSED_KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![
                authority_claim::stands(epoch),
                Compare::Absent(report_key(window)),
                none_since,
            ],
            operations: bounded(operations),
        };
        let outcome = in_time(self.store.transact(&transaction)).await;
        self.record_decision(
            window,
            &counts,
            complete,
            &outcome.as_ref().map(|done| done.succeeded),
        );
        if outcome.is_ok_and(|outcome| outcome.succeeded) {
            self.decided.insert(window, counts);
            self.known.decided.insert(window);
            self.send(epoch, window).await;
        }
    }

    /// The last window before this one of those whose reports are over.
    fn closed_before(
        &self,
        window: WindowNumber,
        usage: &Usage,
        time: UnixMillis,
    ) -> Option<WindowNumber> {
        let is_open = |one: &&WindowNumber| {
            !self.known.acknowledged.contains(*one) && usage.timing.due(**one) >= time
        };
        let open = self.known.decided.iter().find(is_open);
        let first_open = open.copied().unwrap_or(window).min(window);
        first_open.0.checked_sub(1).map(WindowNumber)
    }

    async fn send(&mut self, epoch: Epoch, window: WindowNumber) {
        let Some(counts) = self.decided.get(&window).cloned() else {
            return;
        };
        let report = UsageReport { window, counts };
        let Some(outcome) = self.calls.report_usage(epoch, &report).await else {
            return;
        };
        match &outcome {
            DutyOutcome::Done => {
                self.known.acknowledged.insert(window);
            }
            DutyOutcome::Refused(_) => self.calls.stop_using(epoch),
            DutyOutcome::NotDone(_) | DutyOutcome::Unknown(_) => {}
        }
        self.record_report(window, &outcome);
    }

    fn record_decision(
        &self,
        window: WindowNumber,
        counts: &TenantCounts,
        complete: bool,
        outcome: &Result<bool, &StoreError>,
    ) {
        let outcome = match outcome {
            Ok(true) => "decided".to_owned(),
            Ok(false) => "decided before".to_owned(),
            Err(error) => error.to_string(),
        };
        let event = Event::UsageDecided {
            window: window.0,
            requests: counts.total(),
            complete,
            outcome: &outcome,
        };
        self.shared.log.record(Weight::Important, &event);
    }

    fn record_report(&self, window: WindowNumber, outcome: &DutyOutcome) {
        let (outcome, detail) = outcome.parts();
        self.shared
            .metrics
            .usage_reports
            .with_label_values(&[outcome])
            .inc();
        let event = Event::UsageReported {
            window: window.0,
            outcome,
            detail,
        };
        self.shared.log.record(Weight::Important, &event);
    }
}

/// What collectors have written.
struct Rows {
    collection: Collection,
    /// The last window that each key has counts of.
    last_windows: Vec<(String, Option<WindowNumber>)>,
}

impl Rows {
    fn read(entries: Vec<KeyValue>) -> Self {
        let mut rows = Self {
            collection: Collection::default(),
            last_windows: Vec::new(),
        };
        for entry in entries {
            let mut own = Collection::default();
            match RowsMessage::decode_into(&entry.value, &mut own) {
                Ok(()) => {
                    rows.last_windows.push((entry.key, own.last_window()));
                    own.sources()
                        .for_each(|usage| rows.collection.take_in(usage));
                }
                Err(error) => log::warn!("{} is passed over: {error:#}", entry.key),
            }
        }
        rows
    }

    /// Keys that have nothing from `oldest` on, so that those of gateways that are gone do not stay; a
    /// collector that lives writes its own again.
    fn over_before(&self, oldest: WindowNumber) -> impl Iterator<Item = String> + '_ {
        let over = self
            .last_windows
            .iter()
            .filter(move |(_, last)| last.is_none_or(|last| last < oldest));
        over.map(|(key, _)| key.clone())
    }
}

/// The most operations of one transaction that leave room for its conditions in what stores take.
const MAX_OPERATIONS: usize = 28;

/// What does not fit is deleted with a later decision.
fn bounded(mut operations: Vec<Operation>) -> Vec<Operation> {
    operations.truncate(MAX_OPERATIONS);
    operations
}

fn decided_in(mirror: &Mirror) -> Vec<(WindowNumber, TenantCounts)> {
    let items = mirror.items_with_prefix(REPORTS_PREFIX);
    let decided = items.filter_map(|item| {
        let window = item.key[REPORTS_PREFIX.len()..].parse().ok()?;
        match serde_json::from_slice(&item.value) {
            Ok(counts) => Some((WindowNumber(window), counts)),
            Err(error) => {
                log::warn!("{} is passed over: {error}", item.key);
                None
            }
        }
    });
    decided.collect()
}

fn report_key(window: WindowNumber) -> String {
    format!("{REPORTS_PREFIX}{}", window.0)
}

fn number(value: &[u8]) -> Option<WindowNumber> {
    let text = std::str::from_utf8(value).ok()?;
    text.parse().ok().map(WindowNumber)
}

fn put(key: String, value: Vec<u8>) -> Operation {
    Operation::Put {
        key,
        value,
        lease: None,
    }
}

fn delete(key: String) -> Operation {
    Operation::Delete { key }
}
