//! Checks that the usable shares of a limit never add up to more than the limit, despite message
//! loss, delay, duplication and reordering, restarts and pauses of nodes, and nodes that disagree on
//! which node owns a group.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::Index;
use support::Fleet;
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_shares::{Event, LimitKey};

const NODES: usize = 4;
const LIMIT: u64 = 100_000;
const KEYS: [LimitKey; 2] = [LimitKey(3), LimitKey(19)];

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Want(usize, usize, u64),
    Tick(usize),
    Deliver(Index),
    Duplicate(Index),
    Lose(Index),
    SetView(usize, Vec<usize>),
    Restart(usize),
    SetRunning(usize, bool),
    RunSecond(Vec<u64>),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let live = prop::sample::subsequence((0..NODES).collect::<Vec<_>>(), 1..=NODES);
    prop_oneof![
        4 => (0_u64..4_000).prop_map(Step::Advance),
        1 => (4_000_u64..40_000).prop_map(Step::Advance),
        4 => (node.clone(), 0..KEYS.len(), 0..2 * LIMIT)
            .prop_map(|(node, key, amount)| Step::Want(node, key, amount)),
        8 => node.clone().prop_map(Step::Tick),
        8 => any::<Index>().prop_map(Step::Deliver),
        2 => any::<Index>().prop_map(Step::Duplicate),
        1 => any::<Index>().prop_map(Step::Lose),
        1 => (node.clone(), live).prop_map(|(node, live)| Step::SetView(node, live)),
        1 => node.clone().prop_map(Step::Restart),
        1 => (node, any::<bool>()).prop_map(|(node, running)| Step::SetRunning(node, running)),
        6 => prop::collection::vec(0..2 * LIMIT, NODES).prop_map(Step::RunSecond),
    ]
}

fn apply(fleet: &mut Fleet, step: Step) {
    match step {
        Step::Advance(millis) => fleet.advance(Duration::from_millis(millis)),
        Step::Want(node, key, amount) => {
            let key = KEYS[key];
            fleet.step(node, Event::Demand { key, amount });
        }
        Step::Tick(node) => fleet.step(node, Event::Tick),
        Step::Deliver(index) if !fleet.in_flight.is_empty() => {
            let envelope = fleet
                .in_flight
                .swap_remove(index.index(fleet.in_flight.len()));
            fleet.deliver(envelope);
        }
        Step::Duplicate(index) if !fleet.in_flight.is_empty() => {
            let envelope = index.get(&fleet.in_flight).clone();
            fleet.deliver(envelope);
        }
        Step::Lose(index) if !fleet.in_flight.is_empty() => {
            fleet
                .in_flight
                .swap_remove(index.index(fleet.in_flight.len()));
        }
        Step::Deliver(_) | Step::Duplicate(_) | Step::Lose(_) => {}
        Step::SetView(node, live) => fleet.set_view(node, &live),
        Step::Restart(node) => fleet.restart(node),
        Step::SetRunning(node, running) => fleet.set_running(node, running),
        Step::RunSecond(wants) => {
            let wants = wants.into_iter().enumerate();
            let wants: Vec<_> = wants.map(|(node, want)| (node, KEYS[0], want)).collect();
            fleet.run_second(&wants);
        }
    }
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(20, 512))]

    #[test]
    fn usable_shares_never_exceed_the_limit(
        settled in any::<bool>(),
        steps in prop::collection::vec(step(), 0..300),
    ) {
        let limits: BTreeMap<_, _> = KEYS.iter().map(|key| (*key, LIMIT)).collect();
        let mut fleet = Fleet::new(NODES, limits);
        if settled {
            fleet.run_seconds(40, &[(0, KEYS[0], LIMIT), (1, KEYS[1], LIMIT)]);
        }
        for step in steps {
            apply(&mut fleet, step);
            for key in KEYS {
                prop_assert!(fleet.total_usable(key) <= LIMIT);
            }
        }
    }
}
