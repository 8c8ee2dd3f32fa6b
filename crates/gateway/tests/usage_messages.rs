//! Usage counts in messages and in the store: encoded counts are decoded unchanged, and decoding of any other bytes
//! neither panics nor adds counts.

use std::collections::BTreeMap;
use std::io::Write;

use flate2::write::DeflateEncoder;
use flate2::Compression;
use proptest::prelude::*;
use prost::Message;
use tansyhall_core::TenantName;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_gateway::usage::{RowsMessage, UsageMessage};
use tansyhall_usage::{Collection, Source, SourceUsage, TenantCounts, UnixMillis, WindowNumber};

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

fn counts() -> impl Strategy<Value = TenantCounts> {
    prop::collection::vec(("[a-c]{1,2}", 1..9_u64), 0..6).prop_map(|entries| {
        let mut counts = TenantCounts::default();
        for (tenant, requests) in entries {
            counts.add(&TenantName::new(tenant), requests);
        }
        counts
    })
}

fn usage() -> impl Strategy<Value = SourceUsage> {
    let windows = prop::collection::btree_map(0..5_u64, counts(), 0..4);
    ("[g-i]", any::<u64>(), any::<u64>(), windows).prop_map(
        |(gateway, incarnation, until, windows)| SourceUsage {
            source: Source {
                gateway,
                incarnation,
            },
            counted_until: UnixMillis(until),
            windows: windows
                .into_iter()
                .map(|(window, counts)| (WindowNumber(window), counts))
                .collect::<BTreeMap<_, _>>(),
        },
    )
}

/// Guards against an entry of a few kilobytes that takes gigabytes when it is decoded.
#[test]
fn an_entry_with_too_many_counts_is_refused() {
    let empty_source = [0x0a, 0x00];
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    encoder
        .write_all(&empty_source.repeat(2 << 20))
        .expect("deflated");
    let entry = encoder.finish().expect("an entry");
    assert!(entry.len() < 10_000);
    let mut collection = Collection::default();
    assert!(RowsMessage::decode_into(&entry, &mut collection).is_err());
    assert!(collection.is_empty());
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    #[test]
    fn messages_keep_the_counts(usage in usage()) {
        let bytes = UsageMessage::new(&usage).encode_to_vec();
        let read = UsageMessage::decode(bytes.as_slice()).expect("a valid message");
        prop_assert_eq!(read.into_usage(), usage);
    }

    #[test]
    fn stored_collections_keep_the_counts(usages in prop::collection::vec(usage(), 0..6)) {
        let mut written = Collection::default();
        usages.into_iter().for_each(|usage| written.merge(usage));
        let rows = RowsMessage::encode_collection(&written).expect("the collection is encoded");
        let mut read = Collection::default();
        RowsMessage::decode_into(&rows, &mut read).expect("the collection is decoded");
        prop_assert!(written.sources().eq(read.sources()));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut collection = Collection::default();
        if RowsMessage::decode_into(&bytes, &mut collection).is_err() {
            prop_assert!(collection.is_empty());
        }
    }
}
