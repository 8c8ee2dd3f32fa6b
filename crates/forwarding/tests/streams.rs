//! Event streams are split at event boundaries, independent of how their bytes arrive.

use proptest::prelude::*;
use tansyhall_core::StreamEnd;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{EventFramer, EventOrder};

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

/// Guards against continuing after an event that was not delivered because it is out of order.
#[test]
fn the_last_id_and_the_count_are_those_of_the_events_that_are_kept() {
    let mut framer = EventFramer::default();
    let events = framer.push(b"id: 1\n\nid: 2\n\nid: 1\n\n");
    let mut events = events.expect("events below the maximum size");
    events.truncate(14);
    assert_eq!(events.bytes, b"id: 1\n\nid: 2\n\n");
    assert_eq!((events.last_id.as_deref(), events.count), (Some("2"), 2));
}

/// Returns the id of the first event that is out of order in a stream after this event, and the bytes before it.
fn first_misordered(after: Option<&str>, stream: &str) -> Option<(String, usize)> {
    let mut order = after.map_or_else(EventOrder::default, |id| EventOrder::after(id.to_owned()));
    let error = order.push(stream.as_bytes()).err()?;
    Some((error.id, error.bytes_before))
}

/// Guards against delivering an event again, and against ending streams that are legal.
#[test]
fn ids_rise_where_they_are_numbers_and_are_not_repeated_otherwise() {
    let cases: [(Option<&str>, &[&str], Option<usize>); 11] = [
        (None, &["1", "2", "7"], None),
        (None, &["0", "1", "1"], Some(2)),
        (None, &["9", "10", "9"], Some(2)),
        (None, &["1", "01"], Some(1)),
        (
            None,
            &["99999999999999999999999", "100000000000000000000000"],
            None,
        ),
        (None, &["b", "a", "a"], Some(2)),
        (None, &["5", "a", "4"], None),
        (None, &["", "", "3"], None),
        (Some("2"), &["1"], Some(0)),
        (Some("2"), &["2"], Some(0)),
        (Some("2"), &["3", "5"], None),
    ];
    for (after, ids, wrong) in cases {
        let events = ids.iter().map(|id| format!("id: {id}\n\n"));
        let events: Vec<String> = events.collect();
        let expected = wrong.map(|index| (ids[index].to_owned(), events[..index].concat().len()));
        assert_eq!(
            first_misordered(after, &events.concat()),
            expected,
            "{ids:?}"
        );
    }
}

/// Guards against judging an event by another line than its last id.
#[test]
fn an_event_without_an_id_is_in_order_and_one_with_several_has_the_last() {
    let stream = "id: 1\ndata: id: 0\n\n: comment\n\ndata: x\n\nid: 0\r\nid:2\r\n\r\nid: 0\n";
    assert_eq!(first_misordered(None, stream), None);
    let length = stream.len();
    let before = length - "id: 0\n".len();
    let ended = format!("{stream}\n");
    assert_eq!(first_misordered(None, &ended), Some(("0".into(), before)));
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

    /// For any ids and any split into chunks, events are delivered up to the first whose id does not rise.
    #[test]
    fn events_are_in_order_up_to_the_first_whose_id_does_not_rise(
        ids in prop::collection::vec(0_u32..30, 1..12),
        chunk_size in 1_usize..40,
    ) {
        let event = |id: &u32| format!("x: y\nid: {id}\ndata: {id}\n\n");
        let stream: String = ids.iter().map(event).collect();
        let rising = ids.windows(2).take_while(|pair| pair[1] > pair[0]).count() + 1;
        let mut order = EventOrder::default();
        let mut in_order = 0;
        for chunk in stream.as_bytes().chunks(chunk_size) {
            match order.push(chunk) {
                Ok(()) => in_order += chunk.len(),
                Err(error) => {
                    in_order += error.bytes_before;
                    break;
                }
            }
        }
        let expected: usize = ids[..rising].iter().map(|id| event(id).len()).sum();
        prop_assert!(in_order >= expected);
        prop_assert!(rising == ids.len() || in_order < expected + event(&ids[rising]).len());
    }
}
