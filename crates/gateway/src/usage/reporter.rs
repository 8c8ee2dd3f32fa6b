//! Decides which counts are reported for each window, and reports them, while this gateway holds the authority.
//!
//! The counts are written to the store before they are reported, on the conditions that this gateway's claim to the
//! authority is still valid, that the window has no decided counts, and that no other decision was written since this
//! gateway read the store. The last condition is necessary because old decisions are deleted: a write that the store
//! carries out late could otherwise find its window undecided again. Every report of the window, including repeats,
//! contains the counts in the store, so no window is reported twice with different counts.

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
use crate::events::{Event, Priority};
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Pause between two checks, and between two calls for one report.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Reports usage while this gateway holds the authority, until the gateway stops.
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
        sleep(CHECK_INTERVAL).await;
        reporter.check().await;
    }
}

struct Reporter {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    calls: DutyCalls,
    known: KnownReports,
    /// The decided counts of the windows that are still in the store.
    decided: BTreeMap<WindowNumber, TenantCounts>,
    /// Revision of the key of the last closed window in the mirror of the store. Each decision writes this key.
    closed_at: Option<Revision>,
}

impl Reporter {
    async fn check(&mut self) {
        let shared = Arc::clone(&self.shared);
        let Some(usage) = shared.usage.as_ref() else {
            return;
        };
        // Also without the authority: a store that was restored may have lost decisions by the time this gateway holds
        // the authority again.
        let Some(time) = usage.time(shared.now()) else {
            return;
        };
        self.read_decisions(usage, time);
        let Some(epoch) = self.calls.fence() else {
            return;
        };
        match next_step(&usage.timing, time, &self.known) {
            ReportStep::Send(window) => self.send(epoch, window).await,
            ReportStep::Decide {
                window,
                counted_until,
                may_be_incomplete,
            } => {
                if let Some(rows) = self.rows().await {
                    let complete = rows
                        .collection
                        .covers(self.gateways().iter().map(String::as_str), counted_until);
                    if complete || may_be_incomplete {
                        self.decide(epoch, window, rows, complete, usage, time)
                            .await;
                    }
                }
            }
            ReportStep::Wait => {}
        }
    }

    /// Reads earlier decisions from the mirror of the store. Gateways decide a window only after its end, so entries
    /// that name a later one are another writer's.
    fn read_decisions(&mut self, usage: &Usage, time: UnixMillis) {
        let has_ended = |window: WindowNumber| usage.timing.end_of(window) <= time;
        let mirror = self.shared.mirror.lock();
        let item = mirror.get(CLOSED_KEY);
        let closed = item.and_then(|item| parse_window(&item.value));
        let closed = closed.filter(|window| has_ended(*window));
        self.closed_at = item.map(|item| Revision(item.written.revision));
        self.known.closed_through = self.known.closed_through.max(closed);
        let decided = decided_windows(&mirror).into_iter();
        for (window, counts) in decided.filter(|(window, _)| has_ended(*window)) {
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
        match with_timeout(self.store.range(ROWS_PREFIX)).await {
            Ok(range) => Some(Rows::read(range.entries)),
            Err(error) => {
                log::debug!("failed to read collected usage: {error}");
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
                return log::warn!(
                    "failed to encode the usage of window {}, so it is not decided: {error}",
                    window.0
                )
            }
        };
        let closed = self.closed_before(window, usage, time);
        let mut operations = vec![put_operation(report_key(window), value)];
        if let Some(closed) = closed {
            operations.push(put_operation(
                CLOSED_KEY.into(),
                closed.0.to_string().into_bytes(),
            ));
            let expired = self.decided.keys().filter(|window| **window <= closed);
            operations.extend(expired.map(|window| delete_operation(report_key(*window))));
        }
        let oldest = usage.timing.oldest_open(time);
        operations.extend(rows.expired_before(oldest).map(delete_operation));
        let no_other_decision = match self.closed_at {
            Some(revision) => Compare::ModifiedAt(CLOSED_KEY.into(), revision),
            None => Compare::Absent(CLOSED_KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![
                authority_claim::held_condition(epoch),
                Compare::Absent(report_key(window)),
                no_other_decision,
            ],
            operations: limit_operations(operations),
        };
        let outcome = with_timeout(self.store.transact(&transaction)).await;
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

    /// Returns the last window before this one up to which no report is due any more.
    fn closed_before(
        &self,
        window: WindowNumber,
        usage: &Usage,
        time: UnixMillis,
    ) -> Option<WindowNumber> {
        let is_open = |window: &&WindowNumber| {
            !self.known.acknowledged.contains(*window) && usage.timing.due(**window) >= time
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
        self.shared.log.record(Priority::Important, &event);
    }

    fn record_report(&self, window: WindowNumber, outcome: &DutyOutcome) {
        let (outcome, detail) = outcome.name_and_detail();
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
        self.shared.log.record(Priority::Important, &event);
    }
}

/// The counts that collectors have written to the store.
struct Rows {
    collection: Collection,
    /// The last window for which each key has counts.
    last_windows: Vec<(String, Option<WindowNumber>)>,
}

impl Rows {
    fn read(entries: Vec<KeyValue>) -> Self {
        let mut rows = Self {
            collection: Collection::default(),
            last_windows: Vec::new(),
        };
        for entry in entries {
            let mut entry_collection = Collection::default();
            match RowsMessage::decode_into(&entry.value, &mut entry_collection) {
                Ok(()) => {
                    rows.last_windows
                        .push((entry.key, entry_collection.last_window()));
                    entry_collection
                        .sources()
                        .for_each(|usage| rows.collection.merge(usage));
                }
                Err(error) => {
                    log::warn!("ignoring invalid usage counts at {}: {error:#}", entry.key)
                }
            }
        }
        rows
    }

    /// Returns the keys without counts for `oldest` or later windows. They are deleted so that those of gateways that
    /// no longer exist do not accumulate. A running collector writes its own key again.
    fn expired_before(&self, oldest: WindowNumber) -> impl Iterator<Item = String> + '_ {
        let expired = self
            .last_windows
            .iter()
            .filter(move |(_, last)| last.is_none_or(|last| last < oldest));
        expired.map(|(key, _)| key.clone())
    }
}

/// Maximum number of operations in one transaction. It leaves room for the conditions within the limit of stores.
const MAX_OPERATIONS: usize = 28;

/// Removes the operations that do not fit into a transaction: these keys are deleted with a later decision.
fn limit_operations(mut operations: Vec<Operation>) -> Vec<Operation> {
    operations.truncate(MAX_OPERATIONS);
    operations
}

fn decided_windows(mirror: &Mirror) -> Vec<(WindowNumber, TenantCounts)> {
    let items = mirror.items_with_prefix(REPORTS_PREFIX);
    let decided = items.filter_map(|item| {
        let window = item.key[REPORTS_PREFIX.len()..].parse().ok()?;
        match serde_json::from_slice(&item.value) {
            Ok(counts) => Some((WindowNumber(window), counts)),
            Err(error) => {
                log::debug!("ignoring invalid decided usage at {}: {error}", item.key);
                None
            }
        }
    });
    decided.collect()
}

fn report_key(window: WindowNumber) -> String {
    format!("{REPORTS_PREFIX}{}", window.0)
}

fn parse_window(value: &[u8]) -> Option<WindowNumber> {
    let text = std::str::from_utf8(value).ok()?;
    text.parse().ok().map(WindowNumber)
}

fn put_operation(key: String, value: Vec<u8>) -> Operation {
    Operation::Put {
        key,
        value,
        lease: None,
    }
}

fn delete_operation(key: String) -> Operation {
    Operation::Delete { key }
}
