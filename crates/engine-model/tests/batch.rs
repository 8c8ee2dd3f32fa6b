//! Property tests of the batch: every token of a request that is not cancelled is generated
//! exactly once.

use std::collections::HashMap;

use proptest::prelude::*;
use tansyhall_core::{RequestId, Timestamp};
use tansyhall_engine_model::{Batch, CostModel, SubmitError, Work};

fn work(id: u128, prefill: u32, output: u32) -> Work {
    Work {
        id: RequestId(id),
        prefill_tokens: prefill,
        context_tokens: prefill,
        output_tokens: output,
        priority: 1,
    }
}

fn small_engine() -> CostModel {
    CostModel {
        max_sequences: 4,
        max_queue: 8,
        kv_capacity_tokens: 5_000,
        ..CostModel::default()
    }
}

#[test]
fn duplicate_and_oversized_requests_are_rejected() {
    let mut batch = Batch::new(small_engine());
    assert_eq!(batch.submit(work(1, 10, 5)), Ok(()));
    assert_eq!(batch.submit(work(1, 10, 5)), Err(SubmitError::Duplicate));
    assert_eq!(batch.submit(work(2, 6_000, 5)), Err(SubmitError::TooLarge));
    assert_eq!(batch.len(), 1);
}

proptest! {
    #[test]
    fn every_request_gets_each_token_once_unless_it_is_cancelled(
        requests in prop::collection::vec((1_u32..2_000, 1_u32..30, any::<bool>()), 1..12),
    ) {
        let mut batch = Batch::new(small_engine());
        let mut generated: HashMap<RequestId, u32> = HashMap::new();
        let mut accepted = Vec::new();
        for (index, (prefill, output, cancelled)) in requests.iter().enumerate() {
            let work = work(index as u128, *prefill, *output);
            if batch.submit(work).is_ok() {
                accepted.push((work, *cancelled));
            }
        }
        for (work, cancelled) in &accepted {
            if *cancelled {
                batch.cancel(work.id);
            }
        }
        let mut now = Timestamp::default();
        while let Some(ends) = batch.begin_iteration(now) {
            prop_assert!(ends > now);
            now = ends;
            for step in batch.finish_iteration() {
                let count = generated.entry(step.id).or_default();
                *count += 1;
                prop_assert_eq!(*count, step.generated);
            }
        }
        prop_assert!(batch.is_empty());
        prop_assert_eq!(batch.kv_reserved(), 0);
        for (work, cancelled) in accepted {
            let expected = if cancelled { 0 } else { work.output_tokens };
            prop_assert_eq!(generated.get(&work.id).copied().unwrap_or(0), expected);
        }
    }
}
