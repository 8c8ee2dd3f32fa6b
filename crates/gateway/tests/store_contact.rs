//! Tests the bound on the delay with which a gateway learns of a change of the store.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_gateway::store_contact::{StoreAnswer, StoreContact, Testimony};

const EPOCH: u64 = 1;

/// Returns an answer that the store itself gave this many milliseconds ago.
fn answer(age_ms: u64) -> StoreAnswer {
    StoreAnswer::direct(Duration::from_millis(age_ms), Duration::ZERO, EPOCH)
}

/// Guards against an old entry that counts as new, because the gateway learns of it when the store is
/// reachable again or when the gateway itself runs again.
#[test]
fn a_change_may_be_as_old_as_the_answer_before_the_last_one() {
    let contact = StoreContact::default();
    let at = Timestamp::from_millis;
    contact.record_answer(at(10_000), answer(0));
    contact.record_answer(at(10_100), answer(0));
    assert_eq!(
        contact.longest_delay(at(10_100)),
        Duration::from_millis(100)
    );
    contact.record_answer(at(14_000), answer(0));
    assert_eq!(
        contact.longest_delay(at(14_000)),
        Duration::from_millis(3_900)
    );
}

/// Guards against a relay whose information is old: the change may be older than the relay's answer.
#[test]
fn a_change_from_a_relay_may_be_as_old_as_what_the_relay_knew_before() {
    let contact = StoreContact::default();
    let at = Timestamp::from_millis;
    contact.record_answer(at(10_000), answer(700));
    contact.record_answer(at(10_100), answer(50));
    assert_eq!(
        contact.longest_delay(at(10_100)),
        Duration::from_millis(800)
    );
}

/// Returns an answer that the store itself gave, and that may have been on its way for this many milliseconds.
fn late_answer(transit_ms: u64) -> StoreAnswer {
    let transit = Duration::from_millis(transit_ms);
    StoreAnswer::direct(Duration::ZERO, transit, EPOCH)
}

/// Guards against a gateway that stood still and takes an answer that lay unread for a new one.
#[test]
fn an_answer_is_as_old_as_it_may_have_been_on_its_way() {
    let contact = StoreContact::default();
    let at = Timestamp::from_millis;
    contact.record_answer(at(10_000), late_answer(300));
    contact.record_answer(at(11_000), late_answer(900));
    assert_eq!(contact.age(at(11_200)), Duration::from_millis(1_100));
    let longest_delay = contact.longest_delay(at(11_000));
    assert_eq!(longest_delay, Duration::from_millis(1_300));
}

/// Guards against a slow store that counts as unavailable between its answers.
#[test]
fn late_answers_are_no_gap() {
    let contact = StoreContact::default();
    for number in 0..4 {
        let read = Timestamp::from_millis(10_000 + 1_200 * number);
        fail_call(&contact, 10_000 + 1_200 * number - 100);
        let recorded = contact.record_answer(read, late_answer(700));
        assert_eq!(recorded.gap, None);
    }
    assert_eq!(contact.last_return(), None);
    // Only an answer that has been read proves that the store was available.
    let proven = Duration::from_millis(3 * 1_200 - 700);
    assert_eq!(contact.testimony().available_for, proven);
}

/// A time without answers, and a call in it that fails, in milliseconds.
const LAST_ANSWER_MS: u64 = 10_000;
const FAILED_CALL_MS: u64 = 10_400;
const NEXT_ANSWER_MS: u64 = 12_600;

/// Returns the contact of a gateway that the store has answered at [`LAST_ANSWER_MS`].
fn contact_before_gap() -> StoreContact {
    let contact = StoreContact::default();
    let at = Timestamp::from_millis;
    contact.record_answer(at(LAST_ANSWER_MS - 500), answer(0));
    contact.record_answer(at(LAST_ANSWER_MS), answer(0));
    contact
}

/// Lets a call that begins at this time fail.
fn fail_call(contact: &StoreContact, began_ms: u64) {
    contact.begin_call(Timestamp::from_millis(began_ms));
    contact.end_call(false);
}

/// Returns an answer that another gateway passes on, with the time for which the store had been available to it.
fn passed_on(available_for_ms: Option<u64>) -> StoreAnswer {
    let testimony = |available_for_ms| Testimony {
        available_for: Duration::from_millis(available_for_ms),
        returned_before: None,
    };
    StoreAnswer {
        heard_from: Some(([127, 0, 0, 1], 7000).into()),
        testimony: available_for_ms.map(testimony),
        ..answer(100)
    }
}

/// Guards against a gateway that takes its own lack of answers for an outage of the store.
#[test]
fn a_gap_is_no_outage_if_another_gateway_had_answers_throughout() {
    let contact = contact_before_gap();
    fail_call(&contact, FAILED_CALL_MS);
    let recorded = contact.record_answer(
        Timestamp::from_millis(NEXT_ANSWER_MS),
        passed_on(Some(60_000)),
    );
    let gap = recorded.gap.expect("a gap");
    assert_eq!(gap.length, Duration::from_millis(2_500));
    assert!(!gap.is_outage);
    assert_eq!(contact.last_return(), None);
    assert_eq!(
        contact.testimony().available_for,
        Duration::from_millis(3_000)
    );
}

/// Guards against a gateway that stood still and takes the time for an outage of the store.
#[test]
fn a_gap_in_which_no_call_failed_is_no_outage() {
    let contact = contact_before_gap();
    fail_call(&contact, LAST_ANSWER_MS - 100);
    let recorded = contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), answer(0));
    assert!(!recorded.gap.expect("a gap").is_outage);
    assert_eq!(contact.last_return(), None);
}

/// Guards against a gateway that stood still during an outage and testifies that there was none.
#[test]
fn a_long_gap_in_which_nobody_was_asked_proves_nothing_to_others() {
    for (gap_ms, available_ms) in [(1_900, 2_400), (3_000, 0)] {
        let contact = contact_before_gap();
        let answered = Timestamp::from_millis(LAST_ANSWER_MS + gap_ms);
        assert!(contact.record_answer(answered, answer(0)).gap.is_some());
        assert_eq!(
            contact.testimony().available_for,
            Duration::from_millis(available_ms)
        );
    }
}

/// Guards against a gateway that hears of its error and keeps to it.
#[test]
fn a_later_testimony_takes_an_outage_back() {
    let contact = contact_before_gap();
    fail_call(&contact, FAILED_CALL_MS);
    contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), answer(0));
    let later = Timestamp::from_millis(NEXT_ANSWER_MS + 300);
    contact.record_answer(later, passed_on(Some(60_000)));
    assert_eq!(contact.last_return(), None);
}

/// Another gateway that has started in the gap proves that the store was available since then.
#[test]
fn a_later_testimony_moves_the_return_of_the_store_forward() {
    let contact = contact_before_gap();
    fail_call(&contact, NEXT_ANSWER_MS - 100);
    contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), answer(0));
    let later = Timestamp::from_millis(NEXT_ANSWER_MS + 300);
    contact.record_answer(later, passed_on(Some(1_000)));
    let proven = Timestamp::from_millis(NEXT_ANSWER_MS + 300 - 100 - 1_000);
    assert_eq!(contact.last_return(), Some(proven));
}

/// After a restore entries are missing although the store is available.
#[test]
fn no_testimony_takes_a_restore_back() {
    let contact = contact_before_gap();
    let restored = Timestamp::from_millis(LAST_ANSWER_MS + 100);
    contact.record_answer(
        restored,
        StoreAnswer::direct(Duration::ZERO, Duration::ZERO, EPOCH + 1),
    );
    let testimony = StoreAnswer {
        epoch: EPOCH + 1,
        ..passed_on(Some(60_000))
    };
    contact.record_answer(restored + Duration::from_millis(200), testimony);
    assert_eq!(contact.last_return(), Some(restored));
}

/// Guards against a time to wait for lapsed entries that begins later than the store's return.
#[test]
fn the_store_may_have_returned_since_the_last_failed_call_began() {
    let contact = contact_before_gap();
    let failed = Timestamp::from_millis(FAILED_CALL_MS);
    fail_call(&contact, FAILED_CALL_MS);
    let recorded = contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), answer(0));
    assert!(recorded.gap.expect("a gap").is_outage);
    assert_eq!(contact.last_return(), Some(failed));
    // Only the answer is proof for others.
    assert_eq!(contact.testimony().available_for, Duration::ZERO);
}

#[test]
fn the_return_of_the_store_is_the_one_that_the_other_gateway_saw() {
    let contact = contact_before_gap();
    contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), passed_on(Some(700)));
    let returned = Timestamp::from_millis(NEXT_ANSWER_MS - 100 - 700);
    assert_eq!(contact.last_return(), Some(returned));
}

/// Guards against a gateway that notices the return later than the one that it hears of it from.
#[test]
fn the_store_may_have_returned_as_early_as_the_other_gateway_says() {
    let contact = contact_before_gap();
    let returned_before = Some(Duration::from_millis(900));
    let mut answer = passed_on(None);
    answer.testimony = Some(Testimony {
        available_for: Duration::from_millis(100),
        returned_before,
    });
    contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), answer);
    let returned = Timestamp::from_millis(NEXT_ANSWER_MS - 100 - 900);
    assert_eq!(contact.last_return(), Some(returned));
    assert_eq!(Some(contact.testimony()), answer.testimony);
}

/// A call that hangs while another gateway passes an answer on shows as much as one that has failed.
#[test]
fn the_store_may_have_returned_since_the_call_in_progress_began() {
    let contact = contact_before_gap();
    contact.begin_call(Timestamp::from_millis(FAILED_CALL_MS));
    contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), passed_on(Some(100)));
    let began = Timestamp::from_millis(FAILED_CALL_MS);
    assert_eq!(contact.last_return(), Some(began));
}

/// A gateway of an earlier version says nothing of the store's availability.
#[test]
fn a_gap_counts_as_an_outage_if_the_other_gateway_says_nothing() {
    let contact = contact_before_gap();
    contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), passed_on(None));
    let answered = Timestamp::from_millis(NEXT_ANSWER_MS - 100);
    assert_eq!(contact.last_return(), Some(answered));
}

#[test]
fn the_first_answer_ends_no_outage() {
    let contact = StoreContact::default();
    let recorded = contact.record_answer(Timestamp::from_millis(NEXT_ANSWER_MS), answer(0));
    assert_eq!(recorded.gap, None);
    assert_eq!(contact.last_return(), None);
}
