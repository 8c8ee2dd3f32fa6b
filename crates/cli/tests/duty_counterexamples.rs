//! Counterexamples of `spec/duties.pml` without a rule, replayed against the gateway's tasks: a store and
//! operations in memory, which carry out, hold back and forget as the test says.

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

/// Where decisions stand.
const REPORTS: &str = "tansyhall/usage/reports/";
const CLOSED: &str = "tansyhall/usage/closed";
/// How far a copy of the store is behind it.
const COPY_PACE: Duration = Duration::from_millis(10);
/// A window, in milliseconds.
const WINDOW_MS: u64 = 500;
/// Pause between two looks of the authority at its claim, as the gateway has it.
const LOOKS: Duration = Duration::from_millis(300);

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

/// The store.
#[derive(Default)]
struct Store {
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, (Item, Option<LeaseId>)>>,
    leases: RefCell<BTreeSet<i64>>,
    granted: Cell<i64>,
    /// When the claim was last made.
    claimed: Cell<Option<Instant>>,
    /// Whether the next decision is held back without an answer.
    holds_decision: Cell<bool>,
    held: RefCell<Option<Transaction>>,
    /// How often what was collected was read; each time it says one request more.
    reads: Cell<u64>,
}

impl Store {
    fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let mut items = self.items.borrow_mut();
        let holds = |compare: &Compare| match compare {
            Compare::Absent(key) => !items.contains_key(key),
            Compare::ModifiedAt(key, Revision(at)) => items
                .get(key)
                .is_some_and(|(item, _)| item.written.revision == *at),
        };
        if !transaction.compare.iter().all(holds) {
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

    /// Every lease lapses, and their keys with them.
    fn lapse(&self) {
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

    /// Windows before this one were reported long ago.
    fn close_before(&self, window: u64) {
        let closed = Operation::Put {
            key: CLOSED.into(),
            value: (window - 1).to_string().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            compare: Vec::new(),
            operations: vec![closed],
        };
        self.apply(&transaction).expect("an answer");
    }

    fn closed(&self) -> Option<u64> {
        self.value(CLOSED)?.parse().ok()
    }

    /// What was collected: of each window as many requests as it was read before.
    fn rows(&self) -> Vec<u8> {
        self.reads.set(self.reads.get() + 1);
        let now = now_millis();
        let mut counts = TenantCounts::default();
        counts.add(&TenantName::new("depot"), self.reads.get());
        let around = now / WINDOW_MS;
        let windows = around.saturating_sub(100)..around + 100;
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
        |operation| matches!(operation, Operation::Put { key, .. } if key.starts_with(REPORTS)),
    )
}

/// A gateway's calls to the store.
struct StoreClient {
    store: Rc<Store>,
    /// Whether the renewal that says that the lease is gone is answered between two looks at the claim.
    answers_between_looks: bool,
}

#[async_trait(?Send)]
impl KeyValueStore for StoreClient {
    async fn range(&self, prefix: &str) -> Result<RangeOutcome, StoreError> {
        assert_eq!(prefix, ROWS_PREFIX);
        let entry = KeyValue {
            key: format!("{ROWS_PREFIX}gateway-0-1"),
            value: self.store.rows(),
            created: Revision(1),
            modified: Revision(1),
        };
        Ok(RangeOutcome {
            entries: vec![entry],
            revision: Revision(self.store.revision.get()),
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        if is_decision(transaction) && self.store.holds_decision.take() {
            *self.store.held.borrow_mut() = Some(transaction.clone());
            return Err(StoreError::Unknown("held back".into()));
        }
        let done = self.store.apply(transaction)?;
        let claim = |compare: &Compare| *compare == Compare::Absent(authority_claim::KEY.into());
        if done.succeeded && transaction.compare.iter().any(claim) {
            self.store.claimed.set(Some(Instant::now()));
        }
        Ok(done)
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        let lease = self.store.granted.get() + 1;
        self.store.granted.set(lease);
        self.store.leases.borrow_mut().insert(lease);
        Ok(LeaseId(lease))
    }

    async fn keep_alive(&self, LeaseId(lease): LeaseId) -> Result<Duration, StoreError> {
        if self.store.leases.borrow().contains(&lease) {
            return Ok(lease::AUTHORITY_TIMING.time_to_live);
        }
        if let (true, Some(claimed)) = (self.answers_between_looks, self.store.claimed.get()) {
            // The authority looked when it made the claim, and at each pace since.
            let looks = claimed.elapsed().as_millis() / LOOKS.as_millis() + 1;
            let next = LOOKS * looks as u32 + Duration::from_millis(50);
            sleep(next.saturating_sub(claimed.elapsed())).await;
        }
        Err(StoreError::LeaseLapsed)
    }

    async fn revoke_lease(&self, LeaseId(lease): LeaseId) -> Result<(), StoreError> {
        self.store.leases.borrow_mut().remove(&lease);
        Ok(())
    }

    async fn watch(&self, _: &str, _: Revision) -> Result<WatchStream, StoreError> {
        Err(StoreError::NotApplied("nobody watches".into()))
    }
}

/// The platform's operations, which take every report.
#[derive(Default)]
struct Operations {
    told: RefCell<BTreeMap<WindowNumber, BTreeSet<u64>>>,
    holders: RefCell<BTreeSet<String>>,
}

#[async_trait(?Send)]
impl DutyService for Operations {
    async fn report_usage(&self, holder: &DutyHolder, report: &UsageReport) -> DutyOutcome {
        let mut told = self.told.borrow_mut();
        let counts = told.entry(report.window).or_default();
        counts.insert(report.counts.total());
        self.holders.borrow_mut().insert(holder.name.clone());
        DutyOutcome::Done
    }

    async fn order_workers(&self, _: &DutyHolder, _: &WorkerOrder) -> DutyOutcome {
        DutyOutcome::Done
    }
}

/// The tasks of a gateway that bear on the authority.
struct Gateway {
    shared: Arc<Shared>,
    authority: Authority,
    copies: Rc<Cell<bool>>,
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
        let kept = NodeLease::new(authority_claim::KEY, lease::AUTHORITY_TIMING, false);
        let authority = Authority::new(kept.clone());
        let copies = Rc::new(Cell::new(true));
        let client = || Rc::clone(&adapter.store);
        let mut tasks = vec![
            actix_rt::spawn(copy(Arc::clone(&shared), store, Rc::clone(&copies))),
            actix_rt::spawn(kept.maintain(Arc::clone(&shared), client())),
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
            copies,
            tasks,
        }
    }

    fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    async fn until_holding(&self) {
        eventually("the authority is held", || async {
            self.authority.fence(&self.shared)
        })
        .await;
    }
}

async fn copy(shared: Arc<Shared>, store: Rc<Store>, copies: Rc<Cell<bool>>) {
    loop {
        if copies.get() {
            shared.mirror.lock().replace(store.snapshot());
        }
        sleep(COPY_PACE).await;
    }
}

/// Without NO_LEASE_OF_CLAIM's rule: a gateway that was cut from the store holds a new lease before it hears
/// that its claim went with the old one.
#[actix_rt::test]
async fn a_new_lease_does_not_bear_the_claim_of_a_lapsed_one() {
    let store = Rc::new(Store::default());
    let client = StoreClient {
        store: Rc::clone(&store),
        answers_between_looks: true,
    };
    let gateway = Gateway::start("gateway-0", client, None);
    for round in 0..3 {
        gateway.until_holding().await;
        gateway.copies.set(false);
        let lease = store.granted.get();
        store.lapse();
        eventually("another lease is granted", || async {
            (store.granted.get() > lease).then_some(())
        })
        .await;
        let granted = Instant::now();
        while granted.elapsed() < LOOKS * 2 {
            let fence = gateway.authority.fence(&gateway.shared);
            assert_eq!(fence, None, "round {round}, {:?} later", granted.elapsed());
            sleep(Duration::from_millis(2)).await;
        }
        gateway.copies.set(true);
    }
}

/// Without NO_CLOSED_COMPARE's rule: a decision that is carried out late finds its window undecided, as the
/// one that was made meanwhile is told and deleted; the next holder tells the window again.
#[actix_rt::test]
async fn a_decision_that_is_late_does_not_return_after_its_window_is_closed() {
    let store = Rc::new(Store::default());
    let operations = Rc::new(Operations::default());
    store.close_before(now_millis() / WINDOW_MS - 2);
    store.holds_decision.set(true);
    let client = || StoreClient {
        store: Rc::clone(&store),
        answers_between_looks: false,
    };
    let first = Gateway::start("gateway-0", client(), Some(Rc::clone(&operations)));
    let late = eventually("a decision is held back", || async {
        store.held.borrow().clone()
    })
    .await;
    let window = window_of(&late);
    eventually("the window is told and closed", || async {
        let told = operations.told.borrow().contains_key(&window);
        let closed = store.closed().is_some_and(|closed| closed >= window.0);
        (told && closed).then_some(())
    })
    .await;
    let closed = store.closed();
    let done = store.apply(&late).expect("an answer");
    first.kill();
    store.lapse();
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
    for (window, counts) in &*operations.told.borrow() {
        assert_eq!(counts.len(), 1, "window {} is told as {counts:?}", window.0);
    }
    assert!(!done.succeeded, "the late decision is carried out");
    assert!(store.closed() >= closed, "closed windows are open again");
}

fn window_of(transaction: &Transaction) -> WindowNumber {
    let decided = transaction
        .operations
        .iter()
        .find_map(|operation| match operation {
            Operation::Put { key, .. } => key.strip_prefix(REPORTS)?.parse().ok(),
            Operation::Delete { .. } => None,
        });
    WindowNumber(decided.expect("a decision"))
}
