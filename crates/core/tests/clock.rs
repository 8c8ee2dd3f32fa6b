//! The process's clock counts the time for which the machine was suspended.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use tansyhall_core::time::MonotonicClock;

/// Both clocks are read one after the other; the machine may do something else between.
const READ_APART: Duration = Duration::from_secs(5);

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

#[test]
fn the_clock_is_the_one_that_counts_suspension() {
    assert_eq!(MonotonicClock::SOURCE, ClockId::Boottime);
}

#[test]
fn the_clock_runs_with_the_time_since_boot() {
    let (clock, began) = (MonotonicClock::start(), boot_time());
    let mut last = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        assert!(now >= last, "it went back");
        last = now;
    }
    let passed = boot_time() - began;
    let counted = last.since(Default::default());
    assert!(counted <= passed + READ_APART && passed <= counted + READ_APART);
}
