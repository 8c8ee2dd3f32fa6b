//! Guards against a process clock that does not include the time during which the machine was suspended: the holder of a
//! lease that expired during the suspension would continue to act.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use tansyhall_core::time::MonotonicClock;

/// Maximum time between the readings of the two clocks, since other processes may run between them.
const MAX_READING_GAP: Duration = Duration::from_secs(5);

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

#[test]
fn the_clock_includes_suspended_time() {
    assert_eq!(MonotonicClock::SOURCE, ClockId::Boottime);
}

#[test]
fn the_clock_advances_with_the_time_since_boot() {
    let (clock, started) = (MonotonicClock::start(), boot_time());
    let mut last = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        assert!(now >= last, "the clock went back");
        last = now;
    }
    let elapsed = boot_time() - started;
    let measured = last.since(Default::default());
    assert!(measured <= elapsed + MAX_READING_GAP && elapsed <= measured + MAX_READING_GAP);
}
