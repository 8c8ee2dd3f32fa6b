//! Counterexamples that `spec/duties.pml` has when one of its rules is removed, replayed against the gateway's tasks. The
//! store and the platform's operations are in memory, and execute, delay or lose calls as the test requires.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use async_trait::async_trait;
use tansyhall_core::TenantName;
use tansyhall_forwarding::{Item, Position, Snapshot};
use tansyhall_gateway::authority::Authority;
use tansyhall_gateway::authority_claim;
use tansyhall_gateway::duties::{DutyHolder, DutyOutcome, DutyService, UsageReport, WorkerOrder};
use tansyhall_gateway::duty_calls::DutyCalls;
use tansyhall_gateway::events::EventLog;
use tansyhall_gateway::lease::{self, NodeLease};
use tansyhall_gateway::run::{create_shared_state, Adapter};
use tansyhall_gateway::state::Shared;
use tansyhall_gateway::usage::{self, RowsMessage, ROWS_PREFIX};
use tansyhall_gateway::GatewaySettings;
use tansyhall_platform::{PlatformCatalogue, PlatformProtocol};
use tansyhall_store::{
    Compare, KeyValue, KeyValueStore, LeaseId, Operation, RangeOutcome, Revision, StoreError,
    Transaction, TransactionOutcome, WatchStream,
};
use tansyhall_testing::eventually;
use tansyhall_usage::{Collection, Source, SourceUsage, TenantCounts, UnixMillis, WindowNumber};
use tokio::time::sleep;

/// Prefix of the store's keys that contain decided reports.
const REPORTS_PREFIX: &str = "tansyhall/usage/reports/";
/// Key of the store that contains the last closed window.
const CLOSED_KEY: &str = "tansyhall/usage/closed";
/// Interval at which a gateway's mirror is updated from the store.
const MIRROR_UPDATE_INTERVAL: Duration = Duration::from_millis(10);
/// Length of a usage window, in milliseconds.
const WINDOW_MS: u64 = 500;
/// Interval at which the authority checks its claim. Equal to the gateway's constant.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(300);

const SETTINGS: &str = r#"
[node]
name = "NAME"
zone = "kalimati"
threads = 1

[listen]
callers = "127.0.0.1:1000"
ready = "127.0.0.1:1001"
peers = "127.0.0.1:1002"
load = "127.0.0.1:1003"
metrics = "127.0.0.1:1004"

[store]
address = "127.0.0.1:1005"
seeds = []

[retries]
ratio = 0.2
extra = 54
window_seconds = 10

[stop]
grace_seconds = 8

[orders]
takeover_pause_seconds = 0.1

[usage]
window_seconds = 0.5
due_after_seconds = 8
"#;

/// The store in memory.
#[derive(Default)]
struct Store {
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, (Item, Option<LeaseId>)>>,
    leases: RefCell<BTreeSet<i64>>,
    last_lease: Cell<i64>,
    /// Time at which the claim was last created.
    claimed_at: Cell<Option<Instant>>,
    /// Whether the next decision is delayed without an answer.
    delays_decision: Cell<bool>,
    delayed_decision: RefCell<Option<Transaction>>,
    /// How many times the collected counts were read. Each read returns one more request per window.
    row_reads: Cell<u64>,
}

impl Store {
    fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let mut items = self.items.borrow_mut();
        let is_satisfied = |compare: &Compare| match compare {
            Compare::Absent(key) => !items.contains_key(key),
            Compare::ModifiedAt(key, Revision(at)) => items
                .get(key)
                .is_some_and(|(item, _)| item.written.revision == *at),
        };
        if !transaction.compare.iter().all(is_satisfied) {
            return Ok(TransactionOutcome {
                succeeded: false,
                revision: Revision(0),
            });
        }
        let revision = self.revision.get() + 1;
        for operation in &transaction.operations {
            match operation {
                Operation::Put { key, value, lease } => {
                    if lease.is_some_and(|LeaseId(lease)| !self.leases.borrow().contains(&lease)) {
                        return Err(StoreError::LeaseLapsed);
                    }
                    let created = items.get(key).map_or(revision, |(item, _)| item.created);
                    let item = Item {
                        key: key.clone(),
                        value: value.clone(),
                        written: Position::new(0, revision),
                        created,
                    };
                    items.insert(key.clone(), (item, *lease));
                }
                Operation::Delete { key } => {
                    items.remove(key);
                }
            }
        }
        self.revision.set(revision);
        Ok(TransactionOutcome {
            succeeded: true,
            revision: Revision(revision),
        })
    }

    /// Makes every lease lapse, and deletes the keys attached to them.
    fn lapse_leases(&self) {
        self.leases.borrow_mut().clear();
        self.items
            .borrow_mut()
            .retain(|_, (_, lease)| lease.is_none());
        self.revision.set(self.revision.get() + 1);
    }

    fn snapshot(&self) -> Snapshot {
        let items = self.items.borrow();
        Snapshot {
            items: items.values().map(|(item, _)| item.clone()).collect(),
            position: Position::new(0, self.revision.get()),
        }
    }

    fn value(&self, key: &str) -> Option<String> {
        let items = self.items.borrow();
        let (item, _) = items.get(key)?;
        String::from_utf8(item.value.clone()).ok()
    }

    /// Records that all windows before this one were reported.
    fn close_before(&self, window: u64) {
        let closed = Operation::Put {
            key: CLOSED_KEY.into(),
            value: (window - 1).to_string().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            compare: Vec::new(),
            operations: vec![closed],
        };
        self.apply(&transaction).expect("an answer");
    }

    fn closed_window(&self) -> Option<u64> {
        self.value(CLOSED_KEY)?.parse().ok()
    }

    /// Returns the collected rows, in which each window has as many requests as there were reads, including this one.
    fn read_rows(&self) -> Vec<u8> {
        self.row_reads.set(self.row_reads.get() + 1);
        let now = now_millis();
        let mut counts = TenantCounts::default();
        counts.add(&TenantName::new("depot"), self.row_reads.get());
        let current_window = now / WINDOW_MS;
        let windows = current_window.saturating_sub(100)..current_window + 100;
        let mut collection = Collection::default();
        for gateway in ["gateway-0", "gateway-1"] {
            collection.merge(SourceUsage {
                source: Source {
                    gateway: gateway.into(),
                    incarnation: 1,
                },
                counted_until: UnixMillis(now + 60_000),
                windows: windows
                    .clone()
                    .map(|window| (WindowNumber(window), counts.clone()))
                    .collect(),
            });
        }
        RowsMessage::encode_collection(&collection).expect("rows")
    }
}

fn now_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("after 1970").as_millis() as u64
}

fn is_decision(transaction: &Transaction) -> bool {
    let mut operations = transaction.operations.iter();
    operations.any(
        |operation| matches!(operation, Operation::Put { key, .. } if key.starts_with(REPORTS_PREFIX)),
    )
}

/// A gateway's client of the store.
struct StoreClient {
    store: Rc<Store>,
    /// Whether the renewal that reports the lapsed lease is answered between two checks of the claim.
    answers_between_checks: bool,
}

#[async_trait(?Send)]
impl KeyValueStore for StoreClient {
    async fn range(&self, prefix: &str) -> Result<RangeOutcome, StoreError> {
        assert_eq!(prefix, ROWS_PREFIX);
        let entry = KeyValue {
            key: format!("{ROWS_PREFIX}gateway-0-1"),
            value: self.store.read_rows(),
            created: Revision(1),
            modified: Revision(1),
        };
        Ok(RangeOutcome {
            entries: vec![entry],
            epoch: self.epoch(),
            revision: Revision(self.store.revision.get()),
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        if is_decision(transaction) && self.store.delays_decision.take() {
            *self.store.delayed_decision.borrow_mut() = Some(transaction.clone());
            return Err(StoreError::Unknown("delayed".into()));
        }
        let outcome = self.store.apply(transaction)?;
        let is_claim = |compare: &Compare| *compare == Compare::Absent(authority_claim::KEY.into());
        if outcome.succeeded && transaction.compare.iter().any(is_claim) {
            self.store.claimed_at.set(Some(Instant::now()));
        }
        Ok(outcome)
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        let lease = self.store.last_lease.get() + 1;
        self.store.last_lease.set(lease);
        self.store.leases.borrow_mut().insert(lease);
        Ok(LeaseId(lease))
    }

    async fn keep_alive(&self, LeaseId(lease): LeaseId) -> Result<Duration, StoreError> {
        if self.store.leases.borrow().contains(&lease) {
            return Ok(lease::AUTHORITY_TIMING.time_to_live);
        }
        if let (true, Some(claimed_at)) = (self.answers_between_checks, self.store.claimed_at.get())
        {
            // The authority checked its claim when it created it, and at each interval since then.
            let checks = claimed_at.elapsed().as_millis() / CLAIM_CHECK_INTERVAL.as_millis() + 1;
            let answer_after = CLAIM_CHECK_INTERVAL * checks as u32 + Duration::from_millis(50);
            sleep(answer_after.saturating_sub(claimed_at.elapsed())).await;
        }
        Err(StoreError::LeaseLapsed)
    }

    async fn revoke_lease(&self, LeaseId(lease): LeaseId) -> Result<(), StoreError> {
        self.store.leases.borrow_mut().remove(&lease);
        Ok(())
    }

    async fn watch(&self, _: &str, _: Revision) -> Result<WatchStream, StoreError> {
        Err(StoreError::NotApplied("watches are not supported".into()))
    }
}

/// The platform's operations, which accept every report.
#[derive(Default)]
struct Operations {
    reported_totals: RefCell<BTreeMap<WindowNumber, BTreeSet<u64>>>,
    holders: RefCell<BTreeSet<String>>,
}

#[async_trait(?Send)]
impl DutyService for Operations {
    async fn report_usage(&self, holder: &DutyHolder, report: &UsageReport) -> DutyOutcome {
        let mut reported = self.reported_totals.borrow_mut();
        let counts = reported.entry(report.window).or_default();
        counts.insert(report.counts.total());
        self.holders.borrow_mut().insert(holder.name.clone());
        DutyOutcome::Done
    }

    async fn order_workers(&self, _: &DutyHolder, _: &WorkerOrder) -> DutyOutcome {
        DutyOutcome::Done
    }
}

/// The tasks of a gateway that are related to the authority.
struct Gateway {
    shared: Arc<Shared>,
    authority: Authority,
    updates_mirror: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    fn start(name: &str, client: StoreClient, operations: Option<Rc<Operations>>) -> Self {
        let settings = SETTINGS.replace("NAME", name);
        let settings = GatewaySettings::parse("gateway.toml", &settings).expect("settings");
        let log = Arc::new(EventLog::new(name, 1_000, 1_000));
        let store = Rc::clone(&client.store);
        let adapter = Adapter {
            protocol: Arc::new(PlatformProtocol),
            store_schema: Arc::new(PlatformCatalogue),
            store: Rc::new(client),
            duties: None,
        };
        let shared = create_shared_state(settings, &adapter, log).expect("a gateway");
        let lease = NodeLease::new(authority_claim::KEY, lease::AUTHORITY_TIMING, false);
        let authority = Authority::new(lease.clone());
        let updates_mirror = Rc::new(Cell::new(true));
        let client = || Rc::clone(&adapter.store);
        let mut tasks = vec![
            actix_rt::spawn(update_mirror(
                Arc::clone(&shared),
                store,
                Rc::clone(&updates_mirror),
            )),
            actix_rt::spawn(lease.maintain(Arc::clone(&shared), client())),
            actix_rt::spawn(
                authority
                    .clone()
                    .claim_and_hold(Arc::clone(&shared), client()),
            ),
        ];
        if let Some(operations) = operations {
            let calls = DutyCalls::new(&shared, operations, authority.clone());
            tasks.push(actix_rt::spawn(usage::send_to_collector(Arc::clone(
                &shared,
            ))));
            tasks.push(actix_rt::spawn(usage::report(
                Arc::clone(&shared),
                client(),
                calls,
            )));
        }
        Self {
            shared,
            authority,
            updates_mirror,
            tasks,
        }
    }

    fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    async fn wait_until_authority_held(&self) {
        eventually("the authority is held", || async {
            self.authority.fence(&self.shared)
        })
        .await;
    }
}

async fn update_mirror(shared: Arc<Shared>, store: Rc<Store>, is_enabled: Rc<Cell<bool>>) {
    loop {
        if is_enabled.get() {
            shared.mirror.lock().replace(store.snapshot());
        }
        sleep(MIRROR_UPDATE_INTERVAL).await;
    }
}

/// Without the rule that NO_LEASE_OF_CLAIM removes, a gateway that was disconnected from the store holds a new lease before
/// it learns that its claim was deleted with the old lease.
#[actix_rt::test]
async fn a_new_lease_does_not_keep_the_claim_of_a_lapsed_lease_valid() {
    let store = Rc::new(Store::default());
    let client = StoreClient {
        store: Rc::clone(&store),
        answers_between_checks: true,
    };
    let gateway = Gateway::start("gateway-0", client, None);
    for round in 0..3 {
        gateway.wait_until_authority_held().await;
        gateway.updates_mirror.set(false);
        let last_lease = store.last_lease.get();
        store.lapse_leases();
        eventually("another lease is granted", || async {
            (store.last_lease.get() > last_lease).then_some(())
        })
        .await;
        let granted_at = Instant::now();
        while granted_at.elapsed() < CLAIM_CHECK_INTERVAL * 2 {
            let fence = gateway.authority.fence(&gateway.shared);
            assert_eq!(
                fence,
                None,
                "round {round}, {:?} later",
                granted_at.elapsed()
            );
            sleep(Duration::from_millis(2)).await;
        }
        gateway.updates_mirror.set(true);
    }
}

/// Without the rule that NO_CLOSED_COMPARE removes, a decision that is carried out late finds its window undecided, because
/// the decision made in the meantime has been reported and deleted. The next holder then reports the window again.
#[actix_rt::test]
async fn a_late_decision_is_not_carried_out_after_its_window_is_closed() {
    let store = Rc::new(Store::default());
    let operations = Rc::new(Operations::default());
    store.close_before(now_millis() / WINDOW_MS - 2);
    store.delays_decision.set(true);
    let client = || StoreClient {
        store: Rc::clone(&store),
        answers_between_checks: false,
    };
    let first = Gateway::start("gateway-0", client(), Some(Rc::clone(&operations)));
    let late_decision = eventually("a decision is delayed", || async {
        store.delayed_decision.borrow().clone()
    })
    .await;
    let window = window_of(&late_decision);
    eventually("the window is reported and closed", || async {
        let is_reported = operations.reported_totals.borrow().contains_key(&window);
        let is_closed = store
            .closed_window()
            .is_some_and(|closed| closed >= window.0);
        (is_reported && is_closed).then_some(())
    })
    .await;
    let closed_before = store.closed_window();
    let outcome = store.apply(&late_decision).expect("an answer");
    first.kill();
    store.lapse_leases();
    let second = Gateway::start("gateway-1", client(), Some(Rc::clone(&operations)));
    eventually("the next holder reports", || async {
        operations
            .holders
            .borrow()
            .contains("gateway-1")
            .then_some(())
    })
    .await;
    sleep(Duration::from_millis(1_500)).await;
    second.kill();
    for (window, counts) in &*operations.reported_totals.borrow() {
        assert_eq!(
            counts.len(),
            1,
            "window {} is reported with totals {counts:?}",
            window.0
        );
    }
    assert!(!outcome.succeeded, "the late decision is carried out");
    assert!(
        store.closed_window() >= closed_before,
        "closed windows are open again"
    );
}

/// Returns the window of the report that the transaction decides.
fn window_of(transaction: &Transaction) -> WindowNumber {
    let window = transaction
        .operations
        .iter()
        .find_map(|operation| match operation {
            Operation::Put { key, .. } => key.strip_prefix(REPORTS_PREFIX)?.parse().ok(),
            Operation::Delete { .. } => None,
        });
    WindowNumber(window.expect("a decision"))
}
