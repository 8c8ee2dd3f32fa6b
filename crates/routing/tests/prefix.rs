//! Compares the prefix index with a simple model, a list of blocks.

use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_core::Incarnation;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_routing::prefix::{BlockChange, BlockEvent, PrefixIndex};

const MAX_BLOCKS: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    /// Cache events of the engine, each with whether it is lost on the way to the index. The last `repeated`
    /// events that were delivered before are delivered again.
    Events {
        changes: Vec<(BlockChange, bool)>,
        repeated: usize,
    },
    Sent(Vec<u64>),
    Restart,
}

fn block() -> impl Strategy<Value = u64> {
    0..10_u64
}

fn change() -> impl Strategy<Value = (BlockChange, bool)> {
    let change = prop_oneof![
        2 => block().prop_map(BlockChange::Stored),
        1 => block().prop_map(BlockChange::Evicted),
    ];
    (change, prop::bool::weighted(0.1))
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (vec(change(), 0..6), 0..3_usize)
            .prop_map(|(changes, repeated)| Step::Events { changes, repeated }),
        3 => vec(block(), 0..9).prop_map(Step::Sent),
        1 => Just(Step::Restart),
    ]
}

/// The expected content of the index: blocks ordered by their last touch, the oldest first.
#[derive(Default)]
struct ReferenceModel {
    held: Vec<u64>,
    has_lost_event: bool,
}

impl ReferenceModel {
    fn touch(&mut self, block: u64) {
        self.held.retain(|held| *held != block);
        self.held.push(block);
        if self.held.len() > MAX_BLOCKS {
            self.held.remove(0);
        }
    }

    fn apply_event(&mut self, change: BlockChange, lost: bool) {
        if lost {
            self.has_lost_event = true;
            return;
        }
        if std::mem::take(&mut self.has_lost_event) {
            self.held.clear();
        }
        match change {
            BlockChange::Stored(block) => self.touch(block),
            BlockChange::Evicted(block) => self.held.retain(|held| *held != block),
        }
    }
}

proptest! {
    #![proptest_config(config_with_seed(5))]

    #[test]
    fn the_index_holds_the_same_blocks_as_a_simple_model(steps in vec(step(), 0..60)) {
        let mut index = PrefixIndex::new(MAX_BLOCKS);
        let mut model = ReferenceModel::default();
        let mut incarnation = Incarnation(1);
        index.apply_events(incarnation, &[]);
        let mut delivered: Vec<BlockEvent> = Vec::new();
        let mut sequence = 0;
        for step in steps {
            match step {
                Step::Events { changes, repeated } => {
                    let first = delivered.len().saturating_sub(repeated);
                    for (change, lost) in changes {
                        sequence += 1;
                        model.apply_event(change, lost);
                        if !lost {
                            delivered.push(BlockEvent { sequence, change });
                        }
                    }
                    index.apply_events(incarnation, &delivered[first..]);
                }
                Step::Sent(blocks) => {
                    blocks.iter().take(MAX_BLOCKS).for_each(|block| model.touch(*block));
                    index.record_prompt(&blocks);
                }
                Step::Restart => {
                    incarnation = Incarnation(incarnation.0 + 1);
                    (sequence, delivered, model) = (0, Vec::new(), ReferenceModel::default());
                    index.apply_events(incarnation, &[]);
                }
            }
            prop_assert_eq!(index.len(), model.held.len());
            for block in 0..10 {
                let held = usize::from(model.held.contains(&block));
                prop_assert_eq!(index.cached_prefix_blocks(&[block]), held);
            }
        }
    }
}

#[test]
fn only_consecutive_blocks_from_the_start_count() {
    let mut index = PrefixIndex::new(MAX_BLOCKS);
    index.record_prompt(&[1, 2, 4]);
    assert_eq!(index.cached_prefix_blocks(&[1, 2, 3, 4]), 2);
    assert_eq!(index.cached_prefix_blocks(&[2, 1]), 2);
    assert_eq!(index.cached_prefix_blocks(&[3, 1]), 0);
    assert_eq!(index.cached_prefix_blocks(&[]), 0);
}

#[test]
fn blocks_that_were_sent_before_the_first_events_are_kept() {
    let mut index = PrefixIndex::new(MAX_BLOCKS);
    index.record_prompt(&[1, 2]);
    index.apply_events(Incarnation(7), &[]);
    assert_eq!(index.cached_prefix_blocks(&[1, 2]), 2);
}
