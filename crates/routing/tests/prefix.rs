//! The prefix index against a plain list.

use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_core::Incarnation;
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_routing::prefix::{BlockChange, BlockEvent, PrefixIndex};

const MAX_BLOCKS: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    /// Events that the engine made, of which the reader gets those that are not lost, and the last
    /// `repeated` again the next time.
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

/// What the index is to believe: blocks by last mention, the oldest first.
#[derive(Default)]
struct Oracle {
    held: Vec<u64>,
    lost: bool,
}

impl Oracle {
    fn mention(&mut self, block: u64) {
        self.held.retain(|held| *held != block);
        self.held.push(block);
        if self.held.len() > MAX_BLOCKS {
            self.held.remove(0);
        }
    }

    fn event(&mut self, change: BlockChange, lost: bool) {
        if lost {
            self.lost = true;
            return;
        }
        if std::mem::take(&mut self.lost) {
            self.held.clear();
        }
        match change {
            BlockChange::Stored(block) => self.mention(block),
            BlockChange::Evicted(block) => self.held.retain(|held| *held != block),
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(5))]

    #[test]
    fn the_index_believes_what_a_plain_list_does(steps in vec(step(), 0..60)) {
        let mut index = PrefixIndex::new(MAX_BLOCKS);
        let mut oracle = Oracle::default();
        let mut incarnation = Incarnation(1);
        index.events(incarnation, &[]);
        let mut delivered: Vec<BlockEvent> = Vec::new();
        let mut sequence = 0;
        for step in steps {
            match step {
                Step::Events { changes, repeated } => {
                    let from = delivered.len().saturating_sub(repeated);
                    for (change, lost) in changes {
                        sequence += 1;
                        oracle.event(change, lost);
                        if !lost {
                            delivered.push(BlockEvent { sequence, change });
                        }
                    }
                    index.events(incarnation, &delivered[from..]);
                }
                Step::Sent(blocks) => {
                    blocks.iter().take(MAX_BLOCKS).for_each(|block| oracle.mention(*block));
                    index.sent(&blocks);
                }
                Step::Restart => {
                    incarnation = Incarnation(incarnation.0 + 1);
                    (sequence, delivered, oracle) = (0, Vec::new(), Oracle::default());
                    index.events(incarnation, &[]);
                }
            }
            prop_assert_eq!(index.len(), oracle.held.len());
            for block in 0..10 {
                let held = usize::from(oracle.held.contains(&block));
                prop_assert_eq!(index.held_blocks(&[block]), held);
            }
        }
    }
}

#[test]
fn only_a_run_from_the_start_counts() {
    let mut index = PrefixIndex::new(MAX_BLOCKS);
    index.sent(&[1, 2, 4]);
    assert_eq!(index.held_blocks(&[1, 2, 3, 4]), 2);
    assert_eq!(index.held_blocks(&[2, 1]), 2);
    assert_eq!(index.held_blocks(&[3, 1]), 0);
    assert_eq!(index.held_blocks(&[]), 0);
}

#[test]
fn blocks_that_were_sent_before_the_first_events_are_kept() {
    let mut index = PrefixIndex::new(MAX_BLOCKS);
    index.sent(&[1, 2]);
    index.events(Incarnation(7), &[]);
    assert_eq!(index.held_blocks(&[1, 2]), 2);
}
