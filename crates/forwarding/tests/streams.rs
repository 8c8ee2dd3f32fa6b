//! Event streams are split at event boundaries, independent of how their bytes arrive.

use proptest::prelude::*;
use tansyhall_core::StreamEnd;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::EventFramer;

#[test]
fn an_incomplete_event_is_held_back() {
    let mut framer = EventFramer::default();
    let events = framer
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("an event below the maximum size");
    assert_eq!(events.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id.as_deref(), Some("1"));
    assert_eq!(events.count, 1);
    assert_eq!(framer.pending_bytes(), 8);
    let events = framer
        .push(b"ta: b\n\n")
        .expect("an event below the maximum size");
    assert_eq!(events.bytes, b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id.as_deref(), Some("2"));
}

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// For any split of a stream into chunks, each event is returned complete, once and in order.
    #[test]
    fn events_do_not_depend_on_how_the_stream_is_split(
        count in 1_usize..20,
        chunk_sizes in prop::collection::vec(1_usize..40, 1..60),
    ) {
        let stream: String = (0..count).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect();
        let mut framer = EventFramer::default();
        let mut delivered = Vec::new();
        let mut event_count = 0;
        let mut last_id = None;
        let mut remaining = stream.as_bytes();
        let mut chunk_sizes = chunk_sizes.iter().cycle();
        while !remaining.is_empty() {
            let length = (*chunk_sizes.next().expect("a cycle")).min(remaining.len());
            let (chunk, after) = remaining.split_at(length);
            remaining = after;
            let completes_event = framer.is_completed_by(chunk);
            let events = framer.push(chunk).expect("an event below the maximum size");
            prop_assert_eq!(completes_event, !events.bytes.is_empty());
            prop_assert!(events.bytes.is_empty() || events.bytes.ends_with(b"\n\n"));
            delivered.extend_from_slice(&events.bytes);
            event_count += events.count;
            last_id = events.last_id.or(last_id);
        }
        prop_assert_eq!(delivered, stream.into_bytes());
        prop_assert_eq!(event_count as usize, count);
        prop_assert_eq!(last_id, Some((count - 1).to_string()));
    }

    /// For any end of a stream and any split into chunks, the end is inside an event exactly if the framer holds bytes back.
    #[test]
    fn the_end_of_a_stream_is_inside_an_event_if_bytes_are_held_back(
        count in 0_usize..5,
        line_end in prop::sample::select(vec!["\n", "\r\n"]),
        length in 0_usize..200,
        chunk_size in 1_usize..12,
    ) {
        let event = |n: usize| format!("id: {n}{line_end}data: {n}{line_end}{line_end}");
        let stream: String = (0..count).map(event).collect();
        let received = &stream.as_bytes()[..length.min(stream.len())];
        let mut framer = EventFramer::default();
        let mut end = StreamEnd::default();
        for chunk in received.chunks(chunk_size) {
            framer.push(chunk).expect("an event below the maximum size");
            end.push(chunk);
        }
        prop_assert_eq!(end.is_empty(), received.is_empty());
        prop_assert_eq!(end.is_inside_event(), framer.pending_bytes() > 0);
    }
}
