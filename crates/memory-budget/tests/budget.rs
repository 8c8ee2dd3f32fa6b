//! The budget's bound, the part that is kept for small requests, and the pace that bodies must keep in a shortage.

use proptest::prelude::*;
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_memory_budget::{BodyPace, Exhausted, MemoryBudget, Use, SMALL_BYTES};

const CAPACITY: usize = 4 << 20;

/// Guards against large requests that use up what small ones need.
#[test]
fn a_quarter_of_the_budget_is_kept_for_small_requests() {
    let budget = MemoryBudget::new(CAPACITY);
    let large = budget.reserve(CAPACITY / 4 * 3, Use::Request);
    assert!(large.is_ok());
    assert_eq!(
        budget.reserve(SMALL_BYTES + 1, Use::Request).err(),
        Some(Exhausted)
    );
    assert!(budget.reserve(1, Use::Connection).is_err());
    assert!(budget.reserve(SMALL_BYTES, Use::Request).is_ok());
}

/// Guards against a machine whose budget does not hold one body of 4 MiB.
#[test]
fn the_smallest_machine_has_room_for_several_large_bodies() {
    let budget = MemoryBudget::for_machine(120_000_000);
    let bodies: Vec<_> = (0..4)
        .map(|_| budget.reserve(4 << 20, Use::Request))
        .collect();
    assert!(bodies.iter().all(Result::is_ok));
    assert_eq!(MemoryBudget::for_machine(1).capacity(), 0);
}

/// Guards against bodies that hold memory in a shortage although their callers send nothing, or a byte at a time.
#[test]
fn only_bodies_that_progress_are_read_on_in_a_shortage() {
    let mut pace = BodyPace::default();
    assert!(pace.may_continue(0, false));
    assert!(pace.may_continue(1 << 20, true));
    assert!(!pace.may_continue((1 << 20) + 1, true));
    assert!(pace.may_continue((1 << 20) + 1, false));
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(31, 256))]

    /// Guards against bytes that are never released, and against reservations beyond the budget.
    #[test]
    fn reservations_never_exceed_the_budget_and_are_all_released(
        sizes in proptest::collection::vec((0..CAPACITY, 0..CAPACITY), 1..40),
    ) {
        let budget = MemoryBudget::new(CAPACITY);
        let mut kept = Vec::new();
        for (first, second) in sizes {
            let Ok(mut reservation) = budget.reserve(first, Use::Request) else {
                continue;
            };
            let before = reservation.bytes();
            if reservation.grow_to(second).is_err() {
                prop_assert_eq!(reservation.bytes(), before);
            }
            match second % 3 {
                0 => drop(reservation),
                _ => kept.push(reservation),
            }
            let sum: usize = kept.iter().map(|kept| kept.bytes()).sum();
            prop_assert_eq!(budget.held(), sum);
            prop_assert!(sum <= CAPACITY);
        }
        drop(kept);
        prop_assert_eq!(budget.held(), 0);
    }
}
