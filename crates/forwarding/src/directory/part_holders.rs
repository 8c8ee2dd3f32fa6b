//! Which workers are believed to hold a part of a prompt, so that those that hold the start of one are found
//! without a look at all caches.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use crate::cache_view::{CacheChange, PartKey};
use crate::load_exchange::WorkerKey;
use crate::selection::PromptPart;

/// The most holders of a prompt's parts that a request looks at. A part that thousands hold is not worth
/// more looks: among as many drawn at random, one with time left is found about as well as among all.
const MAX_HOLDERS: usize = 64;

/// The index.
#[derive(Debug, Default)]
pub(super) struct PartHolders {
    by_part: HashMap<PartKey, BTreeSet<WorkerKey>>,
}

impl PartHolders {
    /// Takes in what a worker's cache holds now, and does not hold any more.
    pub(super) fn apply(&mut self, worker: WorkerKey, change: &CacheChange) {
        if let Some(part) = change.cached_part {
            self.by_part.entry(part).or_default().insert(worker);
        }
        for part in &change.evicted_parts {
            self.remove(worker, *part);
        }
    }

    /// A worker does not hold a part any more.
    pub(super) fn remove(&mut self, worker: WorkerKey, part: PartKey) {
        let Some(holders) = self.by_part.get_mut(&part) else {
            return;
        };
        holders.remove(&worker);
        if holders.is_empty() {
            self.by_part.remove(&part);
        }
    }

    /// Workers that hold parts of a prompt, [`MAX_HOLDERS`] at most: those with the later parts first, as they
    /// hold most of it; of too many that hold the same part, those that follow a random number.
    pub(super) fn of_prompt(&self, prompt: &[PromptPart], draw: u64) -> Vec<WorkerKey> {
        let mut found = BTreeSet::new();
        for part in prompt.iter().rev() {
            let Some(holders) = self.by_part.get(&PartKey::of(part)) else {
                continue;
            };
            let from = WorkerKey(draw);
            let after = holders.range((Bound::Included(from), Bound::Unbounded));
            let around = after.chain(holders.range(..from));
            let left = MAX_HOLDERS - found.len();
            let more: Vec<WorkerKey> = around
                .filter(|holder| !found.contains(*holder))
                .take(left)
                .copied()
                .collect();
            found.extend(more);
            if found.len() == MAX_HOLDERS {
                break;
            }
        }
        found.into_iter().collect()
    }
}
