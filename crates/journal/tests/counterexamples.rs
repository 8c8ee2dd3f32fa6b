//! Replays the counterexamples that `spec/check` finds for mutants of the model `spec/journal.pml`, in which one rule
//! is removed, against the code, which has the rule. A test name that starts with `no_` names the removed rule.

use tansyhall_core::{Duration, Incarnation, RequestId, Timestamp};
use tansyhall_journal::{
    Attempt, AttemptId, ChangeStep, Decision, KeyOrigin, Member, RecordKey, Records, Replica,
    ReplicaLimits, SealReply, View, ViewChange, ViewNumber, VoteReply,
};

const FIRST: AttemptId = AttemptId(RequestId(1));
const SECOND: AttemptId = AttemptId(RequestId(2));
const ONE: ViewNumber = ViewNumber(1);
const TWO: ViewNumber = ViewNumber(2);
const RETENTION: Duration = Duration::from_secs(600);

fn now() -> Timestamp {
    Timestamp::default()
}

fn key() -> RecordKey {
    RecordKey("slip-7".into())
}

fn new_replica(node: usize, incarnation: u64) -> Replica {
    let member = Member {
        node: format!("node-{node}").as_str().into(),
        incarnation: Incarnation(incarnation),
    };
    let limits = ReplicaLimits {
        max_records: 2,
        retention: RETENTION,
    };
    Replica::new(member, limits)
}

fn view(number: ViewNumber, replicas: [&Replica; 3]) -> View {
    let members = replicas.map(|replica| replica.member().clone());
    View { number, members }
}

/// Returns four replicas, of which the first three vote in view one.
fn zone() -> ([Replica; 4], View) {
    let mut replicas = [0, 1, 2, 3].map(|node| new_replica(node, 1));
    let first = view(ONE, [&replicas[0], &replicas[1], &replicas[2]]);
    for replica in &mut replicas {
        replica.install(now(), &first, &Records::default());
    }
    (replicas, first)
}

fn vote(replica: &mut Replica, view: ViewNumber, attempt: AttemptId) -> VoteReply {
    replica.vote(now(), view, &key(), attempt)
}

fn seal(replica: &mut Replica) -> Records {
    match replica.seal(now(), ONE, TWO) {
        SealReply::Sealed(records) => records,
        SealReply::NotMember => panic!("expected a voting member to be sealed"),
    }
}

fn attempt(id: AttemptId, origin: KeyOrigin, view: &View) -> Attempt {
    Attempt::new(key(), id, origin, view.clone())
}

#[test]
fn no_record_check_a_key_is_granted_to_one_attempt() {
    let (mut replicas, _) = zone();
    assert_eq!(vote(&mut replicas[0], ONE, FIRST), VoteReply::Granted);
    assert_eq!(vote(&mut replicas[0], ONE, FIRST), VoteReply::Granted);
    assert_eq!(vote(&mut replicas[0], ONE, SECOND), VoteReply::Taken);
}

#[test]
fn no_quorum_one_grant_permits_nothing() {
    let (replicas, first) = zone();
    let mut attempt = attempt(FIRST, KeyOrigin::Caller, &first);
    let member = replicas[0].member();
    assert_eq!(attempt.handle_reply(member, ONE, VoteReply::Granted), None);
    assert_eq!(attempt.handle_reply(member, ONE, VoteReply::Granted), None);
    let other = replicas[1].member();
    assert_eq!(
        attempt.handle_reply(other, ONE, VoteReply::Granted),
        Some(Decision::Run)
    );
}

#[test]
fn no_restart_rule_a_restarted_replica_neither_votes_nor_seals_for_its_view() {
    let (_, first) = zone();
    let mut restarted = new_replica(1, 2);
    assert_eq!(vote(&mut restarted, ONE, SECOND), VoteReply::NotVoting);
    assert_eq!(restarted.seal(now(), ONE, TWO), SealReply::NotMember);
    assert!(!restarted.install(now(), &first, &Records::default()));
}

#[test]
fn no_seal_a_sealed_replica_grants_nothing_in_its_view() {
    let (mut replicas, _) = zone();
    seal(&mut replicas[1]);
    assert_eq!(vote(&mut replicas[1], ONE, FIRST), VoteReply::NotVoting);
}

#[test]
fn no_sync_the_next_view_grants_no_key_of_the_previous_view() {
    let (mut replicas, first) = zone();
    vote(&mut replicas[0], ONE, FIRST);
    vote(&mut replicas[1], ONE, FIRST);
    let next = view(TWO, [&replicas[1], &replicas[2], &replicas[3]]);
    let mut change = ViewChange::new(first, next.clone());
    for replica in &mut replicas[1..3] {
        let records = seal(replica);
        change.handle_seal_reply(replica.member(), SealReply::Sealed(records));
    }
    let ChangeStep::Install(records) = change.step() else {
        panic!("expected Install once a majority is sealed");
    };
    for replica in &mut replicas[1..] {
        assert!(replica.install(now(), &next, &records));
        change.handle_installed(replica.member());
        assert_eq!(vote(replica, TWO, SECOND), VoteReply::Taken);
        assert_eq!(vote(replica, TWO, FIRST), VoteReply::Taken);
    }
    assert_eq!(change.step(), ChangeStep::Activate);
}

#[test]
fn no_majority_sync_one_sealed_member_or_a_non_member_is_not_enough() {
    let (mut replicas, first) = zone();
    let next = view(TWO, [&replicas[1], &replicas[2], &replicas[3]]);
    let mut change = ViewChange::new(first, next);
    for _ in 0..2 {
        let records = seal(&mut replicas[2]);
        change.handle_seal_reply(replicas[2].member(), SealReply::Sealed(records));
    }
    let non_member = replicas[3].member();
    change.handle_seal_reply(non_member, SealReply::Sealed(Records::default()));
    change.handle_seal_reply(replicas[0].member(), SealReply::NotMember);
    assert_eq!(change.step(), ChangeStep::Seal);
}

#[test]
fn a_repeated_install_keeps_keys_that_were_granted_since() {
    let (mut replicas, _) = zone();
    let next = view(TWO, [&replicas[1], &replicas[2], &replicas[3]]);
    replicas[3].install(now(), &next, &Records::default());
    assert_eq!(vote(&mut replicas[3], TWO, FIRST), VoteReply::Granted);
    replicas[3].install(now(), &next, &Records::default());
    assert_eq!(vote(&mut replicas[3], TWO, SECOND), VoteReply::Taken);
}

#[test]
fn no_view_check_votes_of_two_views_are_not_added_up() {
    let (replicas, first) = zone();
    let next = view(TWO, [&replicas[1], &replicas[2], &replicas[3]]);
    let mut attempt = attempt(FIRST, KeyOrigin::Caller, &first);
    attempt.handle_reply(replicas[0].member(), ONE, VoteReply::Granted);
    attempt.change_view(next);
    assert_eq!(
        attempt.handle_reply(replicas[1].member(), TWO, VoteReply::Granted),
        None
    );
    assert_eq!(
        attempt.handle_reply(replicas[2].member(), ONE, VoteReply::Granted),
        None
    );
}

#[test]
fn no_verdict_rule_without_a_quorum_only_a_key_of_the_node_proves_not_run() {
    let (replicas, first) = zone();
    let decide = |origin, reply| {
        let mut attempt = attempt(FIRST, origin, &first);
        attempt.handle_reply(replicas[0].member(), ONE, reply);
        attempt.give_up()
    };
    assert_eq!(
        decide(KeyOrigin::Node, VoteReply::Granted),
        Decision::NotRun
    );
    assert_eq!(
        decide(KeyOrigin::Caller, VoteReply::Granted),
        Decision::MayHaveRun
    );
    assert_eq!(
        decide(KeyOrigin::Caller, VoteReply::Taken),
        Decision::Duplicate
    );
}

#[test]
fn no_release_rule_only_an_attempt_that_never_runs_releases_its_records() {
    let (mut replicas, first) = zone();
    let mut attempt = attempt(FIRST, KeyOrigin::Caller, &first);
    for replica in &mut replicas[..2] {
        let reply = vote(replica, ONE, FIRST);
        attempt.handle_reply(replica.member(), ONE, reply);
    }
    assert!(!attempt.must_release());
    assert_eq!(attempt.cancel_run(), Decision::NotRun);
    assert!(attempt.must_release());
    replicas[0].release(&key(), SECOND);
    assert_eq!(vote(&mut replicas[0], ONE, SECOND), VoteReply::Taken);
    replicas[0].release(&key(), FIRST);
    assert_eq!(vote(&mut replicas[0], ONE, SECOND), VoteReply::Granted);
}

#[test]
fn a_full_replica_grants_no_new_key_until_old_keys_expire() {
    let (mut replicas, _) = zone();
    let replica = &mut replicas[0];
    for name in ["a", "b"] {
        let reply = replica.vote(now(), ONE, &RecordKey(name.into()), FIRST);
        assert_eq!(reply, VoteReply::Granted);
    }
    assert_eq!(vote(replica, ONE, FIRST), VoteReply::Full);
    let later = now() + RETENTION;
    assert_eq!(replica.vote(later, ONE, &key(), FIRST), VoteReply::Granted);
    assert_eq!(replica.len(), 1);
}
