//! Streams of events are cut at the boundaries of events, however their bytes arrive.

use proptest::prelude::*;
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::EventFramer;

#[test]
fn the_incomplete_end_is_held_back() {
    let mut framer = EventFramer::default();
    let events = framer.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short");
    assert_eq!(events.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id.as_deref(), Some("1"));
    assert_eq!(events.count, 1);
    assert_eq!(framer.pending_bytes(), 8);
    let events = framer.push(b"ta: b\n\n").expect("short");
    assert_eq!(events.bytes, b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id.as_deref(), Some("2"));
}

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(fixed_cases(SEED))]

    /// However a stream is cut into parts, its events come out whole, once and in order.
    #[test]
    fn cuts_do_not_matter(count in 1_usize..20, cuts in prop::collection::vec(1_usize..40, 1..60)) {
        let whole: String = (0..count).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect();
        let mut framer = EventFramer::default();
        let mut delivered = Vec::new();
        let mut seen = 0;
        let mut last = None;
        let mut rest = whole.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let length = (*cuts.next().expect("a cycle")).min(rest.len());
            let (part, after) = rest.split_at(length);
            rest = after;
            let events = framer.push(part).expect("short");
            prop_assert!(events.bytes.is_empty() || events.bytes.ends_with(b"\n\n"));
            delivered.extend_from_slice(&events.bytes);
            seen += events.count;
            last = events.last_id.or(last);
        }
        prop_assert_eq!(delivered, whole.into_bytes());
        prop_assert_eq!(seen as usize, count);
        prop_assert_eq!(last, Some((count - 1).to_string()));
    }
}
