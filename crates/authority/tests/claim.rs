//! A node needs a lease only while it holds a pool, or once it may claim a free one.

use std::time::Duration;

use tansyhall_authority::{ClaimAction, ClaimEvent, ClaimRecord, Epoch, Lease, PoolClaim};
use tansyhall_core::Timestamp;

const DELAY: Duration = Duration::from_millis(500);
const START: Timestamp = Timestamp::from_millis(10_000);

fn observed(record: Option<ClaimRecord>, lease: Option<Lease>) -> ClaimEvent {
    ClaimEvent::Observed { record, lease }
}

fn record(lease: i64) -> ClaimRecord {
    ClaimRecord {
        lease: Lease(lease),
        epoch: Epoch(7),
    }
}

#[test]
fn a_lease_is_needed_when_the_delay_is_over_and_while_the_pool_is_held() {
    let mut claim = PoolClaim::new(DELAY);
    assert!(!claim.needs_lease(START));
    claim.step(START, observed(None, None));
    assert!(!claim.needs_lease(START));
    let due = START + DELAY;
    assert!(claim.needs_lease(due));
    let lease = Some(Lease(3));
    let action = claim.step(due, observed(None, lease));
    assert_eq!(action, ClaimAction::Create(Lease(3)));
    let action = claim.step(due, observed(Some(record(3)), lease));
    assert_eq!(action, ClaimAction::Acquired(Epoch(7)));
    assert!(claim.needs_lease(due + DELAY * 100));
}

#[test]
fn no_lease_is_needed_while_another_node_holds_the_pool() {
    let mut claim = PoolClaim::new(DELAY);
    claim.step(START, observed(None, None));
    claim.step(START + DELAY, observed(Some(record(4)), Some(Lease(3))));
    assert!(!claim.needs_lease(START + DELAY * 9));
}
