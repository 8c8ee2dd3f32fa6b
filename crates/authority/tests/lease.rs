//! When a lease is requested from the store.

use std::time::Duration;

use tansyhall_authority::{Lease, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming};
use tansyhall_core::Timestamp;

const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(12),
    renewal_interval: Duration::from_secs(4),
    clock_drift_margin: Duration::from_millis(500),
};
const STEP: Duration = Duration::from_millis(50);

/// Returns the time until the next request, which has this action.
fn wait_for(holder: &mut LeaseHolder, now: &mut Timestamp, expected: LeaseAction) -> Duration {
    let started = *now;
    loop {
        match holder.step(*now, LeaseEvent::Tick) {
            LeaseAction::Wait => *now = *now + STEP,
            action => {
                assert_eq!(action, expected);
                return now.since(started);
            }
        }
    }
}

/// Guards against a node that starts while the store is away for a moment and stays unknown to the others for seconds.
#[test]
fn an_unanswered_request_for_a_new_lease_is_repeated_soon_and_then_less_often() {
    let mut holder = LeaseHolder::new(TIMING);
    let mut now = Timestamp::from_millis(10_000);
    let grant = LeaseAction::Grant(TIMING.time_to_live);
    let mut waits = Vec::new();
    for _ in 0..7 {
        waits.push(wait_for(&mut holder, &mut now, grant).as_millis());
        holder.step(now, LeaseEvent::NoAnswer);
    }
    assert_eq!(waits, [0, 250, 500, 1_000, 2_000, 4_000, 4_000]);
    wait_for(&mut holder, &mut now, grant);
    let granted = LeaseEvent::Granted {
        lease: Lease(7),
        time_to_live: TIMING.time_to_live,
    };
    holder.step(now, granted);
    for _ in 0..2 {
        let wait = wait_for(&mut holder, &mut now, LeaseAction::Renew(Lease(7)));
        assert_eq!(wait, TIMING.renewal_interval);
        holder.step(now, LeaseEvent::NoAnswer);
    }
}
