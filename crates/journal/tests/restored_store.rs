//! View numbers that a store assigns a second time after it was restored from a backup.

use tansyhall_core::{Duration, Incarnation, RequestId, Timestamp};
use tansyhall_journal::{
    AttemptId, ChangeStep, Member, RecordKey, Records, Replica, ReplicaLimits, View, ViewChange,
    ViewNumber, VoteReply,
};

const NOW: Timestamp = Timestamp(0);
const ONE: ViewNumber = ViewNumber(1);
const TWO: ViewNumber = ViewNumber(2);
const THREE: ViewNumber = ViewNumber(3);
const NODES: usize = 5;

fn replicas() -> [Replica; NODES] {
    let limits = ReplicaLimits {
        max_records: 8,
        retention: Duration::from_secs(600),
    };
    std::array::from_fn(|node| {
        let member = Member {
            node: format!("node-{node}").as_str().into(),
            incarnation: Incarnation(1),
        };
        Replica::new(member, limits)
    })
}

fn view(number: ViewNumber, replicas: &[Replica], members: [usize; 3]) -> View {
    View {
        number,
        members: members.map(|index| replicas[index].member().clone()),
    }
}

/// Carries out a change at the replicas in `reached` as far as they accept it. Returns the next step.
fn change(replicas: &mut [Replica], from: &View, to: &View, reached: &[usize]) -> ChangeStep {
    let mut change = ViewChange::new(from.clone(), to.clone());
    for index in reached {
        let reply = replicas[*index].seal(NOW, from.number, to.number);
        let member = replicas[*index].member().clone();
        change.handle_seal_reply(&member, reply);
    }
    if let ChangeStep::Install(records) = change.step() {
        for index in reached {
            let member = replicas[*index].member().clone();
            match replicas[*index].install(NOW, to, &records) {
                true => change.handle_installed(&member),
                false if to.has(&member) => change.handle_refusal(),
                false => {}
            }
        }
    }
    change.step()
}

fn grants(replicas: &mut [Replica], voters: [usize; 2], view: &View, request: u128) -> usize {
    let key = RecordKey("slip".into());
    let attempt = AttemptId(RequestId(request));
    let votes = voters.map(|index| {
        let replica = &mut replicas[index];
        let is_of_view = replica.has_installed(view.digest());
        is_of_view && replica.vote(NOW, view.number, &key, attempt) == VoteReply::Granted
    });
    votes.into_iter().filter(|granted| *granted).count()
}

// Guards against granting a key in two views with the same number, whose quorums share no member: the store has lost
// the first of them and assigns its number again.
#[test]
fn two_views_of_one_number_do_not_both_grant_a_key() {
    let mut replicas = replicas();
    let one = view(ONE, &replicas, [0, 1, 2]);
    for index in [0, 1, 2] {
        assert!(replicas[index].install(NOW, &one, &Records::default()));
    }
    let two = view(TWO, &replicas, [0, 1, 3]);
    let step = change(&mut replicas, &one, &two, &[0, 1, 3]);
    assert_eq!(step, ChangeStep::Activate);
    assert_eq!(grants(&mut replicas, [0, 3], &two, 1), 2);
    // The store has lost view two and assigns its number to another view.
    let reused_two = view(TWO, &replicas, [0, 1, 4]);
    let step = change(&mut replicas, &one, &reused_two, &[1, 2, 4]);
    assert_eq!(step, ChangeStep::PrepareNewView);
    assert_eq!(grants(&mut replicas, [1, 4], &reused_two, 2), 1);
}

// Guards against records that become unusable after a restore of the store: a view with a higher number than any view
// before must take them over.
#[test]
fn a_view_with_an_unused_number_takes_over() {
    let mut replicas = replicas();
    let one = view(ONE, &replicas, [0, 1, 2]);
    for index in [0, 1, 2] {
        replicas[index].install(NOW, &one, &Records::default());
    }
    let two = view(TWO, &replicas, [0, 1, 3]);
    change(&mut replicas, &one, &two, &[0, 1, 3]);
    assert_eq!(grants(&mut replicas, [0, 3], &two, 1), 2);
    let three = view(THREE, &replicas, [0, 1, 4]);
    let step = change(&mut replicas, &one, &three, &[0, 1, 4]);
    assert_eq!(step, ChangeStep::Activate);
    // View three has the keys that view two granted, and view two grants nothing more.
    assert_eq!(grants(&mut replicas, [1, 4], &three, 2), 0);
    assert_eq!(grants(&mut replicas, [0, 1], &two, 3), 0);
}
