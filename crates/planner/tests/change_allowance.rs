//! Guards against starting and stopping more workers at once than the relays can announce to their subscribers.

use tansyhall_core::Timestamp;
use tansyhall_planner::ChangeAllowance;

fn at_second(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

#[test]
fn more_subscribers_per_relay_allow_fewer_worker_changes() {
    let mut allowance = ChangeAllowance::new(at_second(0));
    assert_eq!(allowance.affordable_changes(at_second(0), 16), 651);
    assert_eq!(allowance.affordable_changes(at_second(0), 64), 162);
    allowance.spend(162, 64);
    assert_eq!(allowance.affordable_changes(at_second(0), 64), 0);
    assert_eq!(allowance.affordable_changes(at_second(10), 64), 33);
    assert_eq!(
        allowance.affordable_changes(at_second(1_000), 64),
        162,
        "the allowance exceeded its maximum"
    );
}
