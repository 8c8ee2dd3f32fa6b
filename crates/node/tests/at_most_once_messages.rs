//! Exchanges encoded messages with the nodes' replicas. Messages are lost, repeated and reordered
//! while nodes restart and views change; of several attempts with one key at most one may run.

use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_config::NodeSettings;
use tansyhall_core::{FleetId, RequestId, Timestamp};
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_journal::{
    Attempt, AttemptId, ChangeStep, Decision, KeyOrigin, Member, RecordKey, Records, View,
    ViewChange, ViewNumber, VIEW_SIZE,
};
use tansyhall_node::at_most_once::Journal;
use tansyhall_proto::{
    decode_journal_answer, decode_request, encode_journal_answer, encode_request, JournalAnswer,
    JournalCall, JournalRequest, PeerCall, PeerRequest,
};

const NODES: usize = 4;
const ATTEMPTS: usize = 3;
const NOW: Timestamp = Timestamp(0);

#[derive(Debug, Clone)]
enum Step {
    /// A vote request arrives; its answer may be lost.
    Vote {
        attempt: usize,
        node: usize,
        answer_lost: bool,
    },
    /// An attempt ends without a quorum, and its records are released at the nodes that receive the
    /// message.
    GiveUp {
        attempt: usize,
        received: [bool; NODES],
    },
    /// A node restarts with an empty replica.
    Restart { node: usize },
    /// One step of a change of view, at the nodes that receive the message.
    Change {
        left_out: usize,
        received: [bool; NODES],
    },
    /// The node that carries out the change is replaced by another.
    RestartChange,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..ATTEMPTS, 0..NODES, any::<bool>()).prop_map(|(attempt, node, answer_lost)| {
            Step::Vote { attempt, node, answer_lost }
        }),
        1 => (0..ATTEMPTS, any::<[bool; NODES]>())
            .prop_map(|(attempt, received)| Step::GiveUp { attempt, received }),
        1 => (0..NODES).prop_map(|node| Step::Restart { node }),
        4 => (0..NODES, any::<[bool; NODES]>())
            .prop_map(|(left_out, received)| Step::Change { left_out, received }),
        1 => Just(Step::RestartChange),
    ]
}

fn journal(node: usize) -> Journal {
    let text = format!(
        "name = 'node-{node}'\nzone = 'kalimati'\nplatform = '127.0.0.1:1'\n\
         callers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n"
    );
    Journal::new(&NodeSettings::parse("test", &text).expect("settings"))
}

/// Encodes a request as on the wire, and returns its answer decoded from the wire.
fn exchange(journal: &Journal, request: JournalRequest) -> JournalAnswer {
    exchange_with(journal, Some(journal.member().clone()), request)
}

/// Sends a request that is addressed to `addressee` to a replica.
fn exchange_with(
    journal: &Journal,
    addressee: Option<Member>,
    request: JournalRequest,
) -> JournalAnswer {
    let call = JournalCall { addressee, request };
    let bytes = encode_request(&PeerCall {
        fleet: FleetId::UNNAMED,
        request: PeerRequest::Journal(call),
    });
    let Ok(PeerRequest::Journal(call)) = decode_request(&bytes).map(|call| call.request) else {
        panic!("a request to a replica");
    };
    let answer = encode_journal_answer(&journal.answer(NOW, call, false));
    decode_journal_answer(&answer).expect("an answer")
}

struct Cluster {
    nodes: Vec<Journal>,
    active: View,
    prepared: Option<View>,
    change: Option<ViewChange>,
    attempts: Vec<Attempt>,
    given_up: [bool; ATTEMPTS],
    running: usize,
}

impl Cluster {
    fn new() -> Self {
        let nodes: Vec<Journal> = (0..NODES).map(journal).collect();
        let members: [Member; VIEW_SIZE] = std::array::from_fn(|node| nodes[node].member().clone());
        let active = View {
            number: ViewNumber(1),
            members,
        };
        for node in &nodes {
            let install = JournalRequest::Install {
                view: active.clone(),
                records: Records::default(),
            };
            exchange(node, install);
        }
        let attempt = |id: usize| {
            let id = AttemptId(RequestId(id as u128));
            let key = RecordKey("slip".into());
            Attempt::new(key, id, KeyOrigin::Caller, active.clone())
        };
        Self {
            attempts: (0..ATTEMPTS).map(attempt).collect(),
            nodes,
            prepared: None,
            change: None,
            given_up: [false; ATTEMPTS],
            running: 0,
            active,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Vote {
                attempt,
                node,
                answer_lost,
            } => self.vote(attempt, node, answer_lost),
            Step::GiveUp { attempt, received } => self.give_up(attempt, received),
            Step::Restart { node } => self.nodes[node] = journal(node),
            Step::Change { left_out, received } => self.change(left_out, received),
            Step::RestartChange => self.change = None,
        }
    }

    fn vote(&mut self, index: usize, node: usize, answer_lost: bool) {
        let attempt = &mut self.attempts[index];
        attempt.change_view(self.active.clone());
        let request = JournalRequest::Vote {
            view: attempt.view(),
            digest: Some(self.active.digest()),
            key: attempt.key().clone(),
            attempt: attempt.id(),
        };
        let JournalAnswer::Voted { reply, .. } = exchange(&self.nodes[node], request) else {
            panic!("a vote");
        };
        if answer_lost || self.given_up[index] {
            return;
        }
        let decision = attempt.handle_reply(self.nodes[node].member(), attempt.view(), reply);
        if decision == Some(Decision::Run) {
            self.given_up[index] = true;
            self.running += 1;
        }
    }

    fn give_up(&mut self, index: usize, received: [bool; NODES]) {
        if self.given_up[index] {
            return;
        }
        self.given_up[index] = true;
        let attempt = &mut self.attempts[index];
        attempt.give_up();
        let reached = self
            .nodes
            .iter()
            .zip(received)
            .filter(|(_, received)| *received);
        for (node, _) in reached {
            let key = attempt.key().clone();
            let attempt = attempt.id();
            exchange(node, JournalRequest::Release { key, attempt });
        }
    }

    fn change(&mut self, left_out: usize, received: [bool; NODES]) {
        let next = self.prepared.get_or_insert_with(|| {
            let nodes = self.nodes.iter().enumerate();
            let members = nodes.filter(|(node, _)| *node != left_out);
            let members: Vec<Member> = members
                .map(|(_, journal)| journal.member().clone())
                .collect();
            View {
                number: self.active.number.next(),
                members: members.try_into().expect("three members"),
            }
        });
        let active = self.active.clone();
        let change = self
            .change
            .get_or_insert_with(|| ViewChange::new(active, next.clone()));
        let step = change.step();
        if step == ChangeStep::Activate {
            self.active = change.next().clone();
            self.prepared = None;
            self.change = None;
            return;
        }
        let reached = self
            .nodes
            .iter()
            .zip(received)
            .filter(|(_, received)| *received);
        for (node, _) in reached {
            let request = match &step {
                ChangeStep::Install(records) => JournalRequest::Install {
                    view: change.next().clone(),
                    records: records.clone(),
                },
                ChangeStep::Seal | ChangeStep::Activate | ChangeStep::PrepareNewView => {
                    JournalRequest::Seal {
                        active: change.active().number,
                        next: change.next().number,
                    }
                }
            };
            match exchange(node, request) {
                JournalAnswer::Sealed(reply) => change.handle_seal_reply(node.member(), reply),
                JournalAnswer::Installed(true) => change.handle_installed(node.member()),
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(1, 2_000))]

    #[test]
    fn one_key_runs_at_most_once(steps in vec(step(), 0..60)) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.apply(step);
            prop_assert!(cluster.running <= 1);
        }
    }
}

#[test]
fn an_attempt_whose_messages_arrive_runs_and_later_ones_do_not() {
    let mut cluster = Cluster::new();
    for attempt in 0..ATTEMPTS {
        for node in 0..NODES {
            cluster.vote(attempt, node, false);
        }
        assert_eq!(cluster.running, 1);
    }
}

// Guards against a run whose quorum includes the vote of a replica that took over a member's
// address.
#[test]
fn a_replica_at_the_address_of_another_member_does_not_act_for_it() {
    let cluster = Cluster::new();
    let before = cluster.nodes[0].member().clone();
    let another = journal(0);
    let view = View {
        number: cluster.active.number,
        members: std::array::from_fn(|_| another.member().clone()),
    };
    let install = JournalRequest::Install {
        view,
        records: Records::default(),
    };
    assert_eq!(exchange(&another, install), JournalAnswer::Installed(true));
    let vote = JournalRequest::Vote {
        view: cluster.active.number,
        digest: None,
        key: RecordKey("slip".into()),
        attempt: AttemptId(RequestId(1)),
    };
    let seal = JournalRequest::Seal {
        active: cluster.active.number,
        next: cluster.active.number.next(),
    };
    for request in [vote, seal] {
        let answer = exchange_with(&another, Some(before.clone()), request);
        assert_eq!(answer, JournalAnswer::NotAddressed);
    }
}
