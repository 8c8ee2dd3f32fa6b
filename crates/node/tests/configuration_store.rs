//! Guards against changes that are reported wrongly or overwrite changes that their author has not
//! seen. Several operators change one policy concurrently through a key-value service that loses
//! answers, loses writes, and applies lost writes late. The reported results are compared with the
//! service's history of writes.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_config::{Policy, Resource, ResourceKey, ResourceKind};
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_node::configuration::{
    Author, Change, ChangeError, ConfigurationStore, Precondition,
};
use tansyhall_store::store::{KeyValue, LeaseId, RangeOutcome, TransactionOutcome, WatchStream};
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, StoreError, Transaction};

const POLICY: &str = "shared";
const POLICY_KEY: &str = "/tansyhall/config/resources/policy/shared";
/// Number of equally likely values that are mapped to an [`InjectedOutcome`].
const OUTCOME_CHOICES: u8 = 8;

/// How the service handles one transaction.
#[derive(Debug, Clone, Copy)]
enum InjectedOutcome {
    Served,
    Refused,
    /// The transaction takes effect and its answer is lost.
    AnswerLost,
    /// The transaction never takes effect, and its caller gets no answer.
    WriteLost,
    /// The transaction takes effect before a later call, and its answer is lost.
    Delayed,
}

impl InjectedOutcome {
    fn from_byte(byte: u8) -> Self {
        match byte % OUTCOME_CHOICES {
            0 => InjectedOutcome::Refused,
            1 | 2 => InjectedOutcome::AnswerLost,
            3 => InjectedOutcome::WriteLost,
            4 | 5 => InjectedOutcome::Delayed,
            _ => InjectedOutcome::Served,
        }
    }
}

/// A write of the policy: the revision that it replaced, its own revision, and the content.
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
    delayed: VecDeque<Transaction>,
    writes: Vec<Write>,
    injected_outcomes: VecDeque<u8>,
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
            panic!("unexpected operation: this test only puts keys");
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

    /// Applies the delayed transactions.
    fn apply_delayed(&mut self) {
        while let Some(transaction) = self.delayed.pop_front() {
            self.run(&transaction);
        }
    }
}

#[derive(Clone)]
struct FaultyStore(Rc<RefCell<Service>>);

impl FaultyStore {
    /// Yields to the other operators.
    async fn yield_to_others(&self) {
        let turns = self.0.borrow_mut().delays.pop_front().unwrap_or(1);
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
    }
}

#[async_trait(?Send)]
impl KeyValueStore for FaultyStore {
    async fn range(&self, prefix: &str) -> Result<RangeOutcome, StoreError> {
        self.yield_to_others().await;
        let mut service = self.0.borrow_mut();
        if service
            .injected_outcomes
            .front()
            .is_some_and(|outcome| outcome % 3 == 0)
        {
            service.apply_delayed();
        }
        let mut entries: Vec<KeyValue> = service.keys.values().cloned().collect();
        entries.retain(|entry| entry.key.starts_with(prefix));
        entries.sort_by(|left, right| left.key.cmp(&right.key));
        Ok(RangeOutcome {
            entries,
            epoch: self.epoch(),
            revision: service.revision,
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        self.yield_to_others().await;
        let mut service = self.0.borrow_mut();
        let lost = || Err(StoreError::Unknown("the answer is lost".into()));
        match service
            .injected_outcomes
            .pop_front()
            .map_or(InjectedOutcome::Served, InjectedOutcome::from_byte)
        {
            InjectedOutcome::Served => Ok(service.run(transaction)),
            InjectedOutcome::Refused => Err(StoreError::NotApplied("too many calls".into())),
            InjectedOutcome::AnswerLost => {
                service.run(transaction);
                lost()
            }
            InjectedOutcome::WriteLost => lost(),
            InjectedOutcome::Delayed => {
                service.delayed.push_back(transaction.clone());
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
        unreachable!("this test does not watch keys")
    }
}

/// One attempt of an operator to change the policy: the expected state, the new content, and the
/// reported result.
struct Attempt {
    expected: Precondition,
    source: String,
    result: Result<Option<Revision>, ChangeError>,
}

fn key() -> ResourceKey {
    ResourceKey::new(ResourceKind::Policy, POLICY)
}

/// Runs an operator that reads the policy and changes it, `changes` times. The entity tag in the answer
/// to a change is the precondition of the next one.
async fn operate(store: FaultyStore, operator: usize, changes: usize) -> Vec<Attempt> {
    let configurations = ConfigurationStore::new(store);
    let author = Author {
        account: format!("operator-{operator}"),
        tenant: None,
    };
    let mut attempts = Vec::new();
    let mut tag = None;
    for change in 0..changes {
        let expected = match tag.take() {
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
            precondition: expected,
        };
        let result = configurations.change(&author, &[wanted], 0).await;
        let result = result.map(|committed| committed.revision);
        tag = result.as_ref().ok().copied().flatten();
        attempts.push(Attempt {
            expected,
            source,
            result,
        });
    }
    attempts
}

fn check_attempts(service: &Service, attempts: &[Attempt]) {
    for attempt in attempts {
        let written = service
            .writes
            .iter()
            .filter(|write| write.source == attempt.source);
        let written: Vec<&Write> = written.collect();
        assert!(written.len() <= 1, "a change took effect twice");
        match &attempt.result {
            Ok(revision) => {
                assert_eq!(
                    written.len(),
                    1,
                    "a change was reported as made but did not take effect"
                );
                let is_tag_of_change =
                    revision.is_none_or(|revision| revision == written[0].revision);
                assert!(
                    is_tag_of_change,
                    "the reported tag belongs to another change"
                );
            }
            Err(ChangeError::Unknown(_)) => {}
            Err(error) => assert!(
                written.is_empty(),
                "a change was reported as failed with '{error}' but took effect"
            ),
        }
        if let Some(write) = written.first() {
            let expected = match attempt.expected {
                Precondition::At(revision) => Some(revision),
                _ => None,
            };
            assert_eq!(
                write.replaced, expected,
                "a write replaced a change that its author had not seen"
            );
        }
    }
    let sources: HashSet<_> = service.writes.iter().map(|write| &write.source).collect();
    assert_eq!(sources.len(), service.writes.len());
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(23, 512))]

    #[test]
    fn results_of_changes_are_reported_correctly_and_unseen_changes_are_not_overwritten(
        injected_outcomes in vec(any::<u8>(), 0..40),
        delays in vec(0u8..9, 0..80),
        operators in 1usize..4,
    ) {
        let service = Rc::new(RefCell::new(Service::default()));
        service.borrow_mut().injected_outcomes = injected_outcomes.into();
        service.borrow_mut().delays = delays.into();
        let store = FaultyStore(Rc::clone(&service));
        let runs = (0..operators).map(|operator| operate(store.clone(), operator, 4));
        let runs = futures_util::future::join_all(runs);
        let attempts = actix_rt::System::new().block_on(runs);
        service.borrow_mut().apply_delayed();
        let attempts: Vec<Attempt> = attempts.into_iter().flatten().collect();
        check_attempts(&service.borrow(), &attempts);
    }
}
