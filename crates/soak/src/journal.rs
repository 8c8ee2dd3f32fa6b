//! Callers' requests that are not repeatable. Each is attempted through two nodes. The journal has its replicas on the
//! nodes and its views in the store.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, Incarnation, RequestId, Timestamp};
use tansyhall_journal::{
    Attempt, AttemptId, ChangeStep, Decision, KeyOrigin, Member, RecordKey, Records, Replica,
    ReplicaLimits, View, ViewChange, ViewNumber, VoteReply, VIEW_SIZE,
};

use crate::cluster::NODE_COUNT;
use crate::oracle::Oracle;
use crate::run::Rule;

/// Probability that no back end accepts a request that is permitted to run.
const NO_BACKEND_PROBABILITY: f64 = 0.2;
/// Probability that a message of a view change is lost, and that the view change is abandoned after a step.
const VIEW_CHANGE_LOSS_PROBABILITY: f64 = 0.2;

/// A request for a vote.
#[derive(Debug, Clone, Copy)]
pub struct VoteRequest {
    /// Index of the attempt.
    pub attempt: usize,
    /// The node that is asked.
    pub target: usize,
    /// The view in which the vote counts.
    pub view: ViewNumber,
}

struct CallerAttempt {
    request: u64,
    node: usize,
    incarnation: u64,
    attempt: Attempt,
    is_decided: bool,
}

/// All attempts and replicas, and the views.
pub struct Journal {
    replicas: Vec<Replica>,
    active: View,
    prepared: Option<View>,
    change: Option<ViewChange>,
    attempts: Vec<CallerAttempt>,
    disabled_rule: Option<Rule>,
}

fn replica(node: usize, incarnation: u64) -> Replica {
    let member = Member {
        node: format!("node-{node}").as_str().into(),
        incarnation: Incarnation(incarnation),
    };
    let limits = ReplicaLimits {
        max_records: 100_000,
        retention: Duration::from_secs(3_600),
    };
    Replica::new(member, limits)
}

impl Journal {
    /// Creates a replica on every node. The first three vote.
    pub fn new(disabled_rule: Option<Rule>) -> Self {
        let mut replicas: Vec<Replica> = (0..NODE_COUNT).map(|node| replica(node, 1)).collect();
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
            attempts: Vec::new(),
            disabled_rule,
        }
    }

    /// Restarts a node, whose replica loses its records.
    pub fn restart(&mut self, now: Timestamp, node: usize, incarnation: u64) {
        if self.disabled_rule != Some(Rule::Journal) {
            self.replicas[node] = replica(node, incarnation);
            return;
        }
        let incarnation = self.replicas[node].member().incarnation;
        self.replicas[node] = replica(node, incarnation.0);
        self.replicas[node].install(now, &self.active, &Records::default());
    }

    /// Begins an attempt at a request at a node. Returns the requests for votes to send.
    pub fn begin_attempt(
        &mut self,
        request: u64,
        node: usize,
        incarnation: u64,
    ) -> Vec<VoteRequest> {
        let index = self.attempts.len();
        let id = AttemptId(RequestId(index as u128));
        let key = RecordKey(format!("slip-{request}"));
        let attempt = Attempt::new(key, id, KeyOrigin::Caller, self.active.clone());
        self.attempts.push(CallerAttempt {
            request,
            node,
            incarnation,
            attempt,
            is_decided: false,
        });
        let view = self.active.number;
        (0..NODE_COUNT)
            .filter(|target| self.active.has(self.replicas[*target].member()))
            .map(|target| VoteRequest {
                attempt: index,
                target,
                view,
            })
            .collect()
    }

    /// Returns a replica's answer to a request for its vote, and the member that answers.
    pub fn vote(&mut self, now: Timestamp, request: VoteRequest) -> (Member, VoteReply) {
        let attempt = &self.attempts[request.attempt].attempt;
        let replica = &mut self.replicas[request.target];
        let reply = replica.vote(now, request.view, attempt.key(), attempt.id());
        (replica.member().clone(), reply)
    }

    /// Returns the number of attempts begun so far.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the node that makes an attempt, and the incarnation in which it began the attempt.
    pub fn owner(&self, attempt: usize) -> (usize, u64) {
        (
            self.attempts[attempt].node,
            self.attempts[attempt].incarnation,
        )
    }

    /// Handles a vote that arrives at the node of an attempt.
    pub fn handle_vote_reply(
        &mut self,
        request: VoteRequest,
        member: &Member,
        reply: VoteReply,
        random: &mut ChaCha8Rng,
        oracle: &mut Oracle,
    ) {
        let caller_attempt = &mut self.attempts[request.attempt];
        if caller_attempt.is_decided {
            return;
        }
        match caller_attempt
            .attempt
            .handle_reply(member, request.view, reply)
        {
            None => {}
            Some(Decision::Run) if random.random_bool(NO_BACKEND_PROBABILITY) => {
                let decision = caller_attempt.attempt.cancel_run();
                self.report_decision(request.attempt, decision, oracle);
            }
            Some(Decision::Run) => {
                caller_attempt.is_decided = true;
                oracle.record_caller_request_run(caller_attempt.request);
            }
            Some(decision) => self.report_decision(request.attempt, decision, oracle),
        }
    }

    /// Ends an attempt that is not decided yet.
    pub fn time_out(&mut self, attempt: usize, oracle: &mut Oracle) {
        if !self.attempts[attempt].is_decided {
            let decision = self.attempts[attempt].attempt.give_up();
            self.report_decision(attempt, decision, oracle);
        }
    }

    fn report_decision(&mut self, attempt: usize, decision: Decision, oracle: &mut Oracle) {
        let caller_attempt = &mut self.attempts[attempt];
        caller_attempt.is_decided = true;
        if decision == Decision::NotRun || self.disabled_rule == Some(Rule::Verdict) {
            oracle.record_not_run_report(caller_attempt.request);
        }
        if caller_attempt.attempt.must_release() {
            for replica in &mut self.replicas {
                replica.release(caller_attempt.attempt.key(), caller_attempt.attempt.id());
            }
        }
    }

    /// Performs one step of a view change if one is due. Messages of the step may be lost.
    pub fn advance_view_change(
        &mut self,
        now: Timestamp,
        reachable: &[bool],
        random: &mut ChaCha8Rng,
    ) {
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
            if !reachable || random.random_bool(VIEW_CHANGE_LOSS_PROBABILITY) {
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
        if random.random_bool(VIEW_CHANGE_LOSS_PROBABILITY) {
            self.change = None;
        }
    }

    fn prepare(&mut self) -> bool {
        let is_present = |member: &Member| self.replicas.iter().any(|r| r.member() == member);
        if self.prepared.is_none() && self.active.members.iter().all(is_present) {
            return false;
        }
        if self.prepared.is_none() {
            // Members of the active view that are still present come first, then the others.
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
