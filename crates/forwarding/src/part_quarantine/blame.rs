//! Selects the parts that are to blame for workers that ended. Each end has one cause, but each ended worker may have been
//! running requests with many parts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::suspect::Suspect;
use crate::load_exchange::WorkerKey;
use crate::quarantine::{Fingerprint, WORKER_ENDS_TO_BAR};

/// A part is not blamed if this many times its ends are fewer than all ends since its first one: many workers may end at
/// once for another reason, and a part that many requests hold is in use at some of them.
const MAX_ENDS_PER_BLAMED_END: usize = 2;
/// How long after its bar a part must have this share of all ends. By then all ends of workers that ended together are
/// known.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Returns the parts that are blamed, each with the time of its last end that no other part explains.
///
/// A part is blamed for its ends that no blamed part with more ends explains. Parts with equally many ends are not told
/// apart. A part that is barred by gateways which hear of more ends needs no share of those that this one knows.
pub(super) fn blamed_parts(
    now: Timestamp,
    suspects: &HashMap<Fingerprint, Suspect>,
) -> BTreeMap<Fingerprint, Timestamp> {
    let mut candidates: Vec<(usize, Fingerprint, &Suspect)> = suspects
        .iter()
        .map(|(part, suspect)| (suspect.counted_ends(), *part, suspect))
        .filter(|(ends, _, _)| *ends >= WORKER_ENDS_TO_BAR)
        .collect();
    if candidates.is_empty() {
        return BTreeMap::new();
    }
    candidates.sort_unstable_by_key(|(ends, part, _)| (std::cmp::Reverse(*ends), *part));
    let all_ends = first_observations(suspects);
    let mut blamed = BTreeMap::new();
    let mut explained: HashSet<WorkerKey> = HashSet::new();
    for tied in candidates.chunk_by(|(ends, _, _), (other, _, _)| ends == other) {
        let mut newly_explained = Vec::new();
        for (_, part, suspect) in tied {
            let unexplained = suspect.unexplained_ends(&explained);
            let Some((first, last)) = unexplained.span() else {
                continue;
            };
            let is_frequent = || {
                let since_first = all_ends
                    .iter()
                    .filter(|(worker, at)| **at >= first && !explained.contains(worker));
                since_first.count() <= MAX_ENDS_PER_BLAMED_END * unexplained.count()
            };
            let has_enough = unexplained.count() >= WORKER_ENDS_TO_BAR;
            let is_settled = suspect
                .barred_since()
                .is_some_and(|since| now.since(since) > SETTLING_TIME);
            let is_decided = is_settled || suspect.is_barred_by_others();
            if has_enough && (is_decided || is_frequent()) {
                blamed.insert(*part, last);
                newly_explained.extend(suspect.counted_workers());
            }
        }
        explained.extend(newly_explained);
    }
    blamed
}

/// Returns when each worker end was first observed.
fn first_observations(suspects: &HashMap<Fingerprint, Suspect>) -> HashMap<WorkerKey, Timestamp> {
    let mut all_ends = HashMap::new();
    for (worker, at) in suspects.values().flat_map(Suspect::observed_ends) {
        let first = all_ends.entry(worker).or_insert(at);
        *first = at.min(*first);
    }
    all_ends
}
