//! How far a connection is read: enough for ordinary callers, and little beyond the request in progress.

use proptest::prelude::*;
use tansyhall_fixed_cases::config_with_seed_and_cases;
use tansyhall_memory_budget::{Allowance, BodyLength, ReadAhead};

const MAX_HEAD_BYTES: usize = 16 << 10;
/// More than any single allowance.
const WINDOW_BYTES: usize = 32 << 10;

/// Reads as much as allowed at once, and returns how much that was.
fn read_all(ahead: &mut ReadAhead) -> usize {
    let mut read = 0;
    while let Allowance::Read(max) = ahead.allowance() {
        ahead.record_read(max);
        read += max;
    }
    read
}

fn idle() -> ReadAhead {
    ReadAhead::new(MAX_HEAD_BYTES)
}

/// Guards against buffering heads beyond their limit, and against refusing a head that is complete.
#[test]
fn a_head_is_read_up_to_its_limit_while_the_parser_runs_in_between() {
    let mut ahead = idle();
    let mut read = 0;
    while ahead.allowance() != Allowance::HeadTooLong {
        read += read_all(&mut ahead);
        assert_eq!(ahead.incomplete_head(), read);
        assert!(read <= MAX_HEAD_BYTES, "{read} bytes");
    }
    assert_eq!(read, MAX_HEAD_BYTES);
    let mut small = ReadAhead::new(100);
    small.record_read(200);
    assert_eq!(small.allowance(), Allowance::Parse);
    small.expect_body(BodyLength::Known(0));
    assert!(matches!(small.allowance(), Allowance::Read(_)));
    assert_eq!(small.incomplete_head(), 0);
}

/// Guards against a connection that reads nothing after a request whose caller had sent more ahead.
#[test]
fn the_next_request_is_read_once_the_one_in_progress_ends() {
    let mut ahead = idle();
    ahead.expect_body(BodyLength::Known(0));
    read_all(&mut ahead);
    assert_eq!(ahead.allowance(), Allowance::Wait);
    ahead.end_request();
    assert_eq!(ahead.allowance(), Allowance::Parse);
    assert!(matches!(ahead.allowance(), Allowance::Read(_)));
}

/// Guards against reading requests behind a body as part of its window.
#[test]
fn a_body_is_read_to_its_end_and_no_further() {
    let mut ahead = idle();
    let mut rest = 100_000;
    while rest > 0 {
        ahead.expect_body(BodyLength::Known(rest));
        let read = read_all(&mut ahead);
        assert!((1..=rest.min(WINDOW_BYTES)).contains(&read));
        assert_eq!(ahead.allowance(), Allowance::Wait);
        rest -= read;
    }
}

/// Guards against reading the rest of an unread body as the head of the next request.
#[test]
fn the_rest_of_an_unread_body_is_discarded() {
    let mut ahead = idle();
    ahead.expect_body(BodyLength::Chunked);
    ahead.end_request();
    for _ in 0..100 {
        assert!(read_all(&mut ahead) > 0);
        assert_ne!(ahead.allowance(), Allowance::HeadTooLong);
    }
    assert_eq!(ahead.incomplete_head(), 0);
}

proptest! {
    #![proptest_config(config_with_seed_and_cases(32, 256))]

    /// Guards against requests in the parser's queue that each allow to read more ahead.
    #[test]
    fn the_bytes_read_ahead_do_not_grow_with_the_number_of_queued_requests(
        queued in 1_usize..500,
    ) {
        let mut ahead = idle();
        let mut read = read_all(&mut ahead);
        for _ in 0..queued {
            ahead.expect_body(BodyLength::Known(0));
            read += read_all(&mut ahead);
            ahead.end_request();
        }
        prop_assert!(read <= WINDOW_BYTES, "{} bytes", read);
    }
}
