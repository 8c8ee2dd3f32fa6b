//! Documents, deltas and the bounded log of deltas: a peer at any revision obtains the newest
//! document.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use tansyhall_dissemination::{ApplyError, Document, History, PullBody};
use tansyhall_fixed_cases::config_with_seed;

const CAPACITY: usize = 4;

fn resources() -> impl Strategy<Value = BTreeMap<String, Bytes>> {
    btree_map("[a-d]", vec(any::<u8>(), 0..3).prop_map(Bytes::from), 0..4)
}

proptest! {
    #![proptest_config(config_with_seed(1))]

    #[test]
    fn a_peer_at_any_revision_obtains_the_newest_document(contents in vec(resources(), 1..12)) {
        let mut history = History::new(CAPACITY);
        let documents: Vec<Document> = contents
            .into_iter()
            .enumerate()
            .map(|(index, resources)| Document { revision: index as u64 * 2 + 1, resources })
            .collect();
        for document in &documents {
            prop_assert!(history.push(document.clone()));
            prop_assert!(!history.push(document.clone()), "the same revision was stored twice");
        }
        let newest = documents.last().expect("at least one document");
        for held in documents.iter().chain([&Document::default()]) {
            let result = match history.answer(held.revision) {
                PullBody::Current { .. } => held.clone(),
                PullBody::Delta(delta) => held.apply(&delta).expect("delta applies to the revision held"),
                PullBody::Snapshot(document) => document,
            };
            prop_assert_eq!(&result, newest);
        }
        let behind = documents.len().saturating_sub(CAPACITY + 1);
        let is_far_behind = behind > 0;
        let answer = history.answer(documents[0].revision);
        prop_assert_eq!(is_far_behind, matches!(answer, PullBody::Snapshot(_)));
    }
}

#[test]
fn a_delta_for_another_revision_or_with_a_wrong_checksum_is_refused() {
    let document = |revision, text: &'static str| Document {
        revision,
        resources: BTreeMap::from([("pool/a".to_owned(), Bytes::from(text))]),
    };
    let delta = document(1, "old").delta_to(&document(2, "new"));
    let other = document(3, "old").apply(&delta);
    assert_eq!(
        other,
        Err(ApplyError::BaseMismatch {
            expected: 1,
            held: 3
        })
    );
    let mut damaged = delta.clone();
    damaged.changes.clear();
    let applied = document(1, "old").apply(&damaged);
    assert_eq!(applied, Err(ApplyError::ChecksumMismatch));
}
