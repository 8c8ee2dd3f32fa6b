//! Tests the event-stream decoder with arbitrary input: it never panics, respects its size limit,
//! and yields the same events regardless of how the bytes are split.

use proptest::prelude::*;
use tansyhall_engine::sse::{SseDecoder, SseError, MAX_EVENT_BYTES};

/// Generates bytes that often form lines, fields, comments and events.
fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"data: ".to_vec()),
        Just(b"data:".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b": a comment".to_vec()),
        Just(b"event: x".to_vec()),
        Just(vec![0xc3, 0xa9]),
        prop::collection::vec(any::<u8>(), 0..4),
    ];
    prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

/// Returns the events before the first error, and the error.
fn decode<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> (Vec<String>, Option<SseError>) {
    let mut decoder = SseDecoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        match decoder.push(piece) {
            Ok(more) => events.extend(more),
            Err(error) => return (events, Some(error)),
        }
    }
    (events, None)
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(bytes in stream_bytes(), size in 1_usize..9) {
        let (whole, whole_error) = decode(std::iter::once(bytes.as_slice()));
        let (pieces, pieces_error) = decode(bytes.chunks(size));
        prop_assert_eq!(whole_error, pieces_error);
        if whole_error.is_none() {
            prop_assert_eq!(whole, pieces);
        } else {
            prop_assert!(pieces.starts_with(&whole), "an event before the error is missing");
        }
    }

    #[test]
    fn decoded_data_equals_the_written_data(lines in prop::collection::vec("[^\r\n]{1,30}", 1..5)) {
        let written: String = lines.iter().map(|line| format!("data: {line}\n")).collect();
        let written = format!(": before\n{written}\n");
        let (events, error) = decode(written.as_bytes().chunks(3));
        prop_assert_eq!(error, None);
        prop_assert_eq!(events, vec![lines.join("\n")]);
    }
}

// Guards against an event without end that fills the memory.
#[test]
fn an_event_without_end_is_refused_at_the_size_limit() {
    let mut decoder = SseDecoder::default();
    let line = [b"data: ".as_slice(), &vec![b'x'; 1_000], b"\n"].concat();
    let max_lines = MAX_EVENT_BYTES / 1_000 + 1;
    let error = (0..max_lines).find_map(|_| decoder.push(&line).err());
    assert_eq!(error, Some(SseError::TooLong));
}
