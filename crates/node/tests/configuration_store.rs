//! Operators who change one policy at the same time, over a key-value service that loses answers,
//! loses writes, and lets lost writes take effect late; judged by the service's own history.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_config::{Policy, Resource, ResourceKey, ResourceKind};
use tansyhall_fixed_cases::fixed_number_of_cases;
use tansyhall_node::configuration::{
    Author, Change, ChangeError, ConfigurationStore, Precondition,
};
use tansyhall_store::store::{KeyValue, LeaseId, RangeOutcome, TransactionOutcome, WatchStream};
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, StoreError, Transaction};

const POLICY: &str = "shared";
const POLICY_KEY: &str = "/tansyhall/config/resources/policy/shared";
/// Ways in which a call may fare; see [`Fate`].
const FATES: u8 = 8;

/// What happens to one transaction.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Served,
    Refused,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It never takes effect, and its caller is not told.
    WriteLost,
    /// It takes effect before some later call, and its answer is lost.
    Late,
}

impl Fate {
    fn of(byte: u8) -> Self {
        match byte % FATES {
            0 => Fate::Refused,
            1 | 2 => Fate::AnswerLost,
            3 => Fate::WriteLost,
            4 | 5 => Fate::Late,
            _ => Fate::Served,
        }
    }
}

/// A write of the policy: the revision that it replaced, its own, and the content.
#[derive(Debug, Clone)]
struct Write {
    replaced: Option<Revision>,
    revision: Revision,
    source: String,
}

#[derive(Debug, Default)]
struct Service {
    keys: HashMap<String, KeyValue>,
    revision: Revision,
    late: VecDeque<Transaction>,
    writes: Vec<Write>,
    fates: VecDeque<u8>,
    delays: VecDeque<u8>,
}

impl Service {
    fn run(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let modified = |key: &str| self.keys.get(key).map(|entry| entry.modified);
        let succeeded = transaction.compare.iter().all(|compare| match compare {
            Compare::Absent(key) => modified(key).is_none(),
            Compare::ModifiedAt(key, revision) => modified(key) == Some(*revision),
        });
        if succeeded {
            self.revision.0 += 1;
            transaction
                .operations
                .iter()
                .for_each(|operation| self.write(operation));
        }
        TransactionOutcome {
            succeeded,
            revision: self.revision,
        }
    }

    fn write(&mut self, operation: &Operation) {
        let Operation::Put { key, value, .. } = operation else {
            panic!("no test deletes");
        };
        let entry = KeyValue {
            key: key.clone(),
            value: value.clone(),
            created: self.revision,
            modified: self.revision,
        };
        let replaced = self
            .keys
            .insert(key.clone(), entry)
            .map(|entry| entry.modified);
        if key == POLICY_KEY {
            let policy: Policy = serde_json::from_slice(value).expect("a policy");
            self.writes.push(Write {
                replaced,
                revision: self.revision,
                source: policy.source,
            });
        }
    }

    /// Lets lost writes take effect now.
    fn deliver_late(&mut self) {
        while let Some(transaction) = self.late.pop_front() {
            self.run(&transaction);
        }
    }
}

#[derive(Clone)]
struct FaultyStore(Rc<RefCell<Service>>);

impl FaultyStore {
    /// Lets other operators go on meanwhile.
    async fn wait(&self) {
        let turns = self.0.borrow_mut().delays.pop_front().unwrap_or(1);
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
    }
}

#[async_trait(?Send)]
impl KeyValueStore for FaultyStore {
    async fn range(&self, prefix: &str) -> Result<RangeOutcome, StoreError> {
        self.wait().await;
        let mut service = self.0.borrow_mut();
        if service.fates.front().is_some_and(|fate| fate % 3 == 0) {
            service.deliver_late();
        }
        let mut entries: Vec<KeyValue> = service.keys.values().cloned().collect();
        entries.retain(|entry| entry.key.starts_with(prefix));
        entries.sort_by(|left, right| left.key.cmp(&right.key));
        Ok(RangeOutcome {
            entries,
            revision: service.revision,
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        self.wait().await;
        let mut service = self.0.borrow_mut();
        let lost = || Err(StoreError::Unknown("the answer is lost".into()));
        match service.fates.pop_front().map_or(Fate::Served, Fate::of) {
            Fate::Served => Ok(service.run(transaction)),
            Fate::Refused => Err(StoreError::NotApplied("too many calls".into())),
            Fate::AnswerLost => {
                service.run(transaction);
                lost()
            }
            Fate::WriteLost => lost(),
            Fate::Late => {
                service.late.push_back(transaction.clone());
                lost()
            }
        }
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        unreachable!("the configuration has no lease")
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<Duration, StoreError> {
        unreachable!("the configuration has no lease")
    }

    async fn revoke_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        unreachable!("the configuration has no lease")
    }

    async fn watch(&self, _: &str, _: Revision) -> Result<WatchStream, StoreError> {
        unreachable!("no test watches")
    }
}

/// One try of an operator: what they saw, what they wanted, what they were told.
struct Attempt {
    seen: Precondition,
    source: String,
    told: Result<Option<Revision>, ChangeError>,
}

fn key() -> ResourceKey {
    ResourceKey::new(ResourceKind::Policy, POLICY)
}

/// An operator who reads, then changes what was read, so many times. After a change the tag that
/// came with the answer is used for the next one.
async fn operate(store: FaultyStore, operator: usize, changes: usize) -> Vec<Attempt> {
    let configurations = ConfigurationStore::new(store);
    let author = Author {
        account: format!("operator-{operator}"),
        tenant: None,
    };
    let mut attempts = Vec::new();
    let mut tag = None;
    for change in 0..changes {
        let seen = match tag.take() {
            Some(tag) => Precondition::At(tag),
            None => {
                let snapshot = configurations.read().await.expect("reads are served");
                let present = snapshot.revisions.get(&key()).copied();
                present.map_or(Precondition::Absent, Precondition::At)
            }
        };
        let source = format!("class c{operator}-{change} {{ deadline 1s; }}");
        let resource = Resource::Policy(Policy {
            name: POLICY.into(),
            source: source.clone(),
            tenant: None,
        });
        let wanted = Change {
            key: key(),
            resource: Some(resource),
            precondition: seen,
        };
        let told = configurations.change(&author, &[wanted], 0).await;
        let told = told.map(|committed| committed.revision);
        tag = told.as_ref().ok().copied().flatten();
        attempts.push(Attempt { seen, source, told });
    }
    attempts
}

fn judge(service: &Service, attempts: &[Attempt]) {
    for attempt in attempts {
        let written = service
            .writes
            .iter()
            .filter(|write| write.source == attempt.source);
        let written: Vec<&Write> = written.collect();
        assert!(written.len() <= 1, "a change took effect twice");
        match &attempt.told {
            Ok(revision) => {
                assert_eq!(written.len(), 1, "told done, and not done");
                let is_own = revision.is_none_or(|revision| revision == written[0].revision);
                assert!(is_own, "the tag is another change's");
            }
            Err(ChangeError::Unknown(_)) => {}
            Err(error) => assert!(written.is_empty(), "told '{error}', and done"),
        }
        if let Some(write) = written.first() {
            let seen = match attempt.seen {
                Precondition::At(revision) => Some(revision),
                _ => None,
            };
            assert_eq!(
                write.replaced, seen,
                "a change that its author had not seen is gone"
            );
        }
    }
    let sources: HashSet<_> = service.writes.iter().map(|write| &write.source).collect();
    assert_eq!(sources.len(), service.writes.len());
}

proptest! {
    #![proptest_config(fixed_number_of_cases(23, 512))]

    #[test]
    fn operators_are_told_the_truth_and_nothing_unseen_is_overwritten(
        fates in vec(any::<u8>(), 0..40),
        delays in vec(0u8..9, 0..80),
        operators in 1usize..4,
    ) {
        let service = Rc::new(RefCell::new(Service::default()));
        service.borrow_mut().fates = fates.into();
        service.borrow_mut().delays = delays.into();
        let store = FaultyStore(Rc::clone(&service));
        let all = (0..operators).map(|operator| operate(store.clone(), operator, 4));
        let all = futures_util::future::join_all(all);
        let attempts = actix_rt::System::new().block_on(all);
        service.borrow_mut().deliver_late();
        let attempts: Vec<Attempt> = attempts.into_iter().flatten().collect();
        judge(&service.borrow(), &attempts);
    }
}
