//! Which workers are assumed to have a part of a prompt in their caches. With this index, the
//! workers that have the start of a prompt are found without examining all caches.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use crate::cache_view::{CacheChange, PartKey};
use crate::load_exchange::WorkerKey;
use crate::selection::PromptPart;

/// Maximum number of holders of a prompt's parts that a request examines. Examining more does not
/// pay for a part that thousands hold: among this many random holders, one with free time is found
/// about as well as among all.
const MAX_HOLDERS: usize = 64;

/// The index.
#[derive(Debug, Default)]
pub(super) struct PartHolders {
    by_part: HashMap<PartKey, BTreeSet<WorkerKey>>,
}

impl PartHolders {
    /// Applies a change of what a worker's cache holds.
    pub(super) fn apply(&mut self, worker: WorkerKey, change: &CacheChange) {
        if let Some(part) = change.cached_part {
            self.by_part.entry(part).or_default().insert(worker);
        }
        for part in &change.evicted_parts {
            self.remove(worker, *part);
        }
    }

    /// Records that a worker does not hold a part any more.
    pub(super) fn remove(&mut self, worker: WorkerKey, part: PartKey) {
        let Some(holders) = self.by_part.get_mut(&part) else {
            return;
        };
        holders.remove(&worker);
        if holders.is_empty() {
            self.by_part.remove(&part);
        }
    }

    /// Returns workers that hold parts of a prompt, at most [`MAX_HOLDERS`]. Those that hold later
    /// parts come first, as they hold most of the prompt; if too many hold the same part, a random
    /// number determines which are returned.
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
