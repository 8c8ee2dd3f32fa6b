//! Requests that are not repeatable, each tried through two nodes, with the journal's replicas on
//! the nodes and its views in the store.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, Incarnation, RequestId, Timestamp};
use tansyhall_journal::{
    Attempt, AttemptId, ChangeStep, Decision, KeyOrigin, Member, RecordKey, Records, Replica,
    ReplicaLimits, View, ViewChange, ViewNumber, VoteReply, VIEW_SIZE,
};

use crate::cluster::NODES;
use crate::oracle::Oracle;
use crate::run::Rule;

/// Part of the permitted requests that no back end takes.
const NOT_TAKEN: f64 = 0.2;
/// Part of the messages of a change of view that are lost.
const CHANGE_LOSS: f64 = 0.2;

/// A request for a vote.
#[derive(Debug, Clone, Copy)]
pub struct VoteRequest {
    /// The try.
    pub attempt: usize,
    /// The node asked.
    pub target: usize,
    /// The view in which the vote counts.
    pub view: ViewNumber,
}

struct Slip {
    number: u64,
    node: usize,
    run: u64,
    attempt: Attempt,
    told: bool,
}

/// Every try and replica.
pub struct Journal {
    replicas: Vec<Replica>,
    active: View,
    prepared: Option<View>,
    change: Option<ViewChange>,
    slips: Vec<Slip>,
    broken: Option<Rule>,
}

fn replica(node: usize, run: u64) -> Replica {
    let member = Member {
        node: format!("node-{node}").as_str().into(),
        incarnation: Incarnation(run),
    };
    let limits = ReplicaLimits {
        max_records: 100_000,
        retention: Duration::from_secs(3_600),
    };
    Replica::new(member, limits)
}

impl Journal {
    /// Replicas on every node; the first three vote.
    pub fn new(broken: Option<Rule>) -> Self {
        let mut replicas: Vec<Replica> = (0..NODES).map(|node| replica(node, 1)).collect();
        let members: [Member; VIEW_SIZE] =
            std::array::from_fn(|node| replicas[node].member().clone());
        let active = View {
            number: ViewNumber(1),
            members,
        };
        for replica in &mut replicas {
            replica.install(Timestamp::default(), &active, &Records::default());
        }
        Self {
            replicas,
            active,
            prepared: None,
            change: None,
            slips: Vec::new(),
            broken,
        }
    }

    /// A node restarts; its replica knows nothing.
    pub fn restart(&mut self, now: Timestamp, node: usize, run: u64) {
        if self.broken != Some(Rule::Journal) {
            self.replicas[node] = replica(node, run);
            return;
        }
        let incarnation = self.replicas[node].member().incarnation;
        self.replicas[node] = replica(node, incarnation.0);
        self.replicas[node].install(now, &self.active, &Records::default());
    }

    /// A try of a request begins at a node; returns the votes to ask for.
    pub fn begin(&mut self, number: u64, node: usize, run: u64) -> Vec<VoteRequest> {
        let index = self.slips.len();
        let id = AttemptId(RequestId(index as u128));
        let key = RecordKey(format!("slip-{number}"));
        let attempt = Attempt::new(key, id, KeyOrigin::Caller, self.active.clone());
        self.slips.push(Slip {
            number,
            node,
            run,
            attempt,
            told: false,
        });
        let view = self.active.number;
        (0..NODES)
            .filter(|target| self.active.has(self.replicas[*target].member()))
            .map(|target| VoteRequest {
                attempt: index,
                target,
                view,
            })
            .collect()
    }

    /// A replica answers a request for its vote.
    pub fn vote(&mut self, now: Timestamp, request: VoteRequest) -> (Member, VoteReply) {
        let attempt = &self.slips[request.attempt].attempt;
        let replica = &mut self.replicas[request.target];
        let reply = replica.vote(now, request.view, attempt.key(), attempt.id());
        (replica.member().clone(), reply)
    }

    /// Tries begun so far.
    pub fn attempts(&self) -> usize {
        self.slips.len()
    }

    /// The node that a try belongs to, and its run.
    pub fn owner(&self, attempt: usize) -> (usize, u64) {
        (self.slips[attempt].node, self.slips[attempt].run)
    }

    /// A vote arrives at the try.
    pub fn voted(
        &mut self,
        request: VoteRequest,
        member: &Member,
        reply: VoteReply,
        random: &mut ChaCha8Rng,
        oracle: &mut Oracle,
    ) {
        let slip = &mut self.slips[request.attempt];
        if slip.told {
            return;
        }
        match slip.attempt.handle_reply(member, request.view, reply) {
            None => {}
            Some(Decision::Run) if random.random_bool(NOT_TAKEN) => {
                let decision = slip.attempt.cancel_run();
                self.tell(request.attempt, decision, oracle);
            }
            Some(Decision::Run) => {
                slip.told = true;
                oracle.slip_runs(slip.number);
            }
            Some(decision) => self.tell(request.attempt, decision, oracle),
        }
    }

    /// The try waits no longer.
    pub fn time_out(&mut self, attempt: usize, oracle: &mut Oracle) {
        if !self.slips[attempt].told {
            let decision = self.slips[attempt].attempt.give_up();
            self.tell(attempt, decision, oracle);
        }
    }

    fn tell(&mut self, attempt: usize, decision: Decision, oracle: &mut Oracle) {
        let slip = &mut self.slips[attempt];
        slip.told = true;
        if decision == Decision::NotRun || self.broken == Some(Rule::Verdict) {
            oracle.told_not_run(slip.number);
        }
        if slip.attempt.must_release() {
            for replica in &mut self.replicas {
                replica.release(slip.attempt.key(), slip.attempt.id());
            }
        }
    }

    /// One step of a change of view, if one is due; its messages may be lost.
    pub fn maintain(&mut self, now: Timestamp, reachable: &[bool], random: &mut ChaCha8Rng) {
        if self.change.is_none() && !self.prepare() {
            return;
        }
        let Some(change) = self.change.as_mut() else {
            return;
        };
        let step = change.step();
        if step == ChangeStep::Activate {
            self.active = change.next().clone();
            self.prepared = None;
            self.change = None;
            return;
        }
        for (replica, reachable) in self.replicas.iter_mut().zip(reachable) {
            if !reachable || random.random_bool(CHANGE_LOSS) {
                continue;
            }
            let member = replica.member().clone();
            match &step {
                ChangeStep::Seal => {
                    let reply = replica.seal(now, change.active().number, change.next().number);
                    change.handle_seal_reply(&member, reply);
                }
                ChangeStep::Install(records) if replica.install(now, change.next(), records) => {
                    change.handle_installed(&member);
                }
                _ => {}
            }
        }
        if random.random_bool(CHANGE_LOSS) {
            self.change = None;
        }
    }

    fn prepare(&mut self) -> bool {
        let present = |member: &Member| self.replicas.iter().any(|r| r.member() == member);
        if self.prepared.is_none() && self.active.members.iter().all(present) {
            return false;
        }
        if self.prepared.is_none() {
            // Members that are still there first, then the others.
            let mut members: Vec<Member> =
                self.replicas.iter().map(|r| r.member().clone()).collect();
            members.sort_by_key(|member| !self.active.has(member));
            members.truncate(VIEW_SIZE);
            let Ok(members) = members.try_into() else {
                return false;
            };
            self.prepared = Some(View {
                number: self.active.number.next(),
                members,
            });
        }
        let next = self.prepared.clone();
        self.change = next.map(|next| ViewChange::new(self.active.clone(), next));
        true
    }
}
