//! Runs several attempts with one key through different nodes, while replicas restart, view changes are abandoned,
//! and messages are lost, delayed and repeated. The oracle counts the attempts that were permitted to run: at most
//! one may be, and a "not run" decision must be true.

use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use tansyhall_core::{Duration, Incarnation, RequestId, Timestamp};
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_journal::{
    Attempt, AttemptId, ChangeStep, Decision, KeyOrigin, Member, RecordKey, Replica, ReplicaLimits,
    View, ViewChange, ViewNumber,
};

const NODES: usize = 4;
const ATTEMPTS: usize = 3;
const SEED: u64 = 0x6a6f_7572_6e61;

#[derive(Debug, Clone, Copy)]
enum Message {
    Delivered,
    RequestLost,
    AnswerLost,
}

#[derive(Debug, Clone)]
enum Step {
    RequestVote {
        attempt: usize,
        node: usize,
        message: Message,
    },
    /// A vote request that was sent before arrives again, in the view of the attempt. Its reply is lost.
    RequestVoteLate {
        attempt: usize,
        node: usize,
    },
    GiveUp(usize),
    CancelRun(usize),
    Release {
        attempt: usize,
        node: usize,
    },
    LearnView(usize),
    Prepare {
        left_out: usize,
    },
    Change {
        node: usize,
        message: Message,
    },
    AbandonChange,
    Restart(usize),
}

struct Histories;

impl ReferenceStateMachine for Histories {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let message = || {
            prop_oneof![
                4 => Just(Message::Delivered),
                1 => Just(Message::RequestLost),
                1 => Just(Message::AnswerLost),
            ]
        };
        prop_oneof![
            24 => (0..ATTEMPTS, 0..NODES, message())
                .prop_map(|(attempt, node, message)| Step::RequestVote { attempt, node, message }),
            1 => (0..ATTEMPTS, 0..NODES).prop_map(|(attempt, node)| Step::RequestVoteLate { attempt, node }),
            1 => (0..ATTEMPTS).prop_map(Step::GiveUp),
            1 => (0..ATTEMPTS).prop_map(Step::CancelRun),
            2 => (0..ATTEMPTS, 0..NODES).prop_map(|(attempt, node)| Step::Release { attempt, node }),
            6 => (0..ATTEMPTS).prop_map(Step::LearnView),
            3 => (0..NODES).prop_map(|left_out| Step::Prepare { left_out }),
            24 => (0..NODES, message()).prop_map(|(node, message)| Step::Change { node, message }),
            1 => Just(Step::AbandonChange),
            1 => (0..NODES).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct Zone {
    replicas: Vec<Replica>,
    active: View,
    prepared: Option<View>,
    change: Option<ViewChange>,
    attempts: Vec<Attempt>,
    permitted: Vec<bool>,
}

fn now() -> Timestamp {
    Timestamp::default()
}

fn key() -> RecordKey {
    RecordKey("slip-7".into())
}

fn replica(node: usize, incarnation: u64) -> Replica {
    let member = Member {
        node: format!("node-{node}").as_str().into(),
        incarnation: Incarnation(incarnation),
    };
    let limits = ReplicaLimits {
        max_records: 16,
        retention: Duration::from_secs(600),
    };
    Replica::new(member, limits)
}

impl Zone {
    fn request_vote(&mut self, index: usize, node: usize, view: ViewNumber, message: Message) {
        if matches!(message, Message::RequestLost) {
            return;
        }
        let attempt = &mut self.attempts[index];
        let replica = &mut self.replicas[node];
        let reply = replica.vote(now(), view, &key(), attempt.id());
        if matches!(message, Message::AnswerLost) {
            return;
        }
        let member = replica.member().clone();
        if attempt.handle_reply(&member, view, reply) == Some(Decision::Run) {
            self.permitted[index] = true;
        }
        let running = self.permitted.iter().filter(|permitted| **permitted);
        assert!(running.count() <= 1, "two attempts with one key may run");
    }

    fn assert_truthful(&self, decision: Decision) {
        let none_permitted = !self.permitted.contains(&true);
        assert!(
            decision != Decision::NotRun || none_permitted,
            "an attempt decided not-run, but another may run"
        );
    }

    fn cancel_run(&mut self, index: usize) {
        if !self.permitted[index] || self.attempts[index].must_release() {
            return;
        }
        self.permitted[index] = false;
        let decision = self.attempts[index].cancel_run();
        self.assert_truthful(decision);
    }

    fn prepare(&mut self, left_out: usize) {
        if self.prepared.is_none() {
            let members = self.replicas.iter().enumerate();
            let members = members.filter(|(node, _)| *node != left_out);
            let members: Vec<Member> = members.map(|(_, r)| r.member().clone()).collect();
            self.prepared = Some(View {
                number: self.active.number.next(),
                members: members.try_into().expect("all nodes but one form a view"),
            });
        }
        let next = self.prepared.clone().expect("a prepared view");
        self.change = Some(ViewChange::new(self.active.clone(), next));
    }

    fn advance_change(&mut self, node: usize, message: Message) {
        let Some(change) = self.change.as_mut() else {
            return;
        };
        let replica = &mut self.replicas[node];
        let reply_arrives = !matches!(message, Message::AnswerLost);
        match change.step() {
            ChangeStep::Activate => {
                self.active = change.next().clone();
                self.prepared = None;
                self.change = None;
            }
            _ if matches!(message, Message::RequestLost) => {}
            ChangeStep::Seal => {
                let reply = replica.seal(now(), change.active().number, change.next().number);
                if reply_arrives {
                    change.handle_seal_reply(replica.member(), reply);
                }
            }
            ChangeStep::Install(records) => {
                if replica.install(now(), change.next(), &records) && reply_arrives {
                    change.handle_installed(replica.member());
                }
            }
            ChangeStep::PrepareNewView => panic!("the change is not informed of any refusal"),
        }
    }
}

impl StateMachineTest for Zone {
    type SystemUnderTest = Self;
    type Reference = Histories;

    fn init_test((): &()) -> Self {
        let mut replicas: Vec<Replica> = (0..NODES).map(|node| replica(node, 1)).collect();
        let members = [0, 1, 2].map(|node: usize| replicas[node].member().clone());
        let active = View {
            number: ViewNumber(1),
            members,
        };
        for replica in &mut replicas {
            replica.install(now(), &active, &Default::default());
        }
        let attempt = |index: usize| {
            let id = AttemptId(RequestId(index as u128));
            Attempt::new(key(), id, KeyOrigin::Caller, active.clone())
        };
        let attempts = (0..ATTEMPTS).map(attempt).collect();
        Self {
            replicas,
            active: active.clone(),
            prepared: None,
            change: None,
            attempts,
            permitted: vec![false; ATTEMPTS],
        }
    }

    fn apply(mut zone: Self, (): &(), step: Step) -> Self {
        match step {
            Step::RequestVote {
                attempt,
                node,
                message,
            } => {
                // An attempt that has decided requests no more votes.
                let decided = zone.permitted[attempt] || zone.attempts[attempt].must_release();
                if !decided {
                    let view = zone.attempts[attempt].view();
                    zone.request_vote(attempt, node, view, message);
                }
            }
            Step::RequestVoteLate { attempt, node } => {
                let view = zone.attempts[attempt].view();
                zone.request_vote(attempt, node, view, Message::AnswerLost);
            }
            Step::GiveUp(index) => {
                if !zone.permitted[index] {
                    let decision = zone.attempts[index].give_up();
                    zone.assert_truthful(decision);
                }
            }
            Step::CancelRun(index) => zone.cancel_run(index),
            Step::Release { attempt, node } => {
                if zone.attempts[attempt].must_release() {
                    let id = zone.attempts[attempt].id();
                    zone.replicas[node].release(&key(), id);
                }
            }
            Step::LearnView(index) => {
                let active = zone.active.clone();
                zone.attempts[index].change_view(active);
            }
            Step::Prepare { left_out } => zone.prepare(left_out),
            Step::Change { node, message } => zone.advance_change(node, message),
            Step::AbandonChange => zone.change = None,
            Step::Restart(node) => {
                let incarnation = zone.replicas[node].member().incarnation.0 + 1;
                zone.replicas[node] = replica(node, incarnation);
            }
        }
        zone
    }
}

prop_state_machine! {
    #![proptest_config(config_with_seed_and_cases(SEED, 2_000))]

    #[test]
    fn at_most_one_attempt_runs_and_not_run_is_true(sequential 1..100 => Zone);
}
