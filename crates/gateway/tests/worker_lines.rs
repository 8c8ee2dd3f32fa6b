//! When a change in the number of ready workers is logged.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_gateway::worker_entries::LoggedWorkers;

#[test]
fn the_first_change_is_logged_at_once_and_the_next_ones_once_a_second() {
    let start = Timestamp::from_millis(5_000);
    let mut logged = LoggedWorkers::default();
    assert!(!logged.record_if_due(start, 0));
    assert!(logged.record_if_due(start, 3));
    let soon = start + Duration::from_millis(200);
    assert!(!logged.record_if_due(soon, 4));
    let later = start + Duration::from_millis(1_000);
    assert!(logged.record_if_due(later, 5));
    assert!(!logged.record_if_due(later + Duration::from_secs(9), 5));
}
