//! Exchanges of workers are bounded by what relays can pass on.

use tansyhall_core::Timestamp;
use tansyhall_planner::ChangeAllowance;

fn second(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

#[test]
fn the_more_subscribers_a_relay_has_the_fewer_workers_change() {
    let mut allowance = ChangeAllowance::new(second(0));
    assert_eq!(allowance.workers(second(0), 16), 651);
    assert_eq!(allowance.workers(second(0), 64), 162);
    allowance.take(162, 64);
    assert_eq!(allowance.workers(second(0), 64), 0);
    assert_eq!(allowance.workers(second(10), 64), 33);
    assert_eq!(
        allowance.workers(second(1_000), 64),
        162,
        "no more is saved"
    );
}
