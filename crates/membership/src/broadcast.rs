//! Changes waiting to be carried by outgoing messages, those carried least first.

use std::collections::BTreeMap;

/// A bounded set of subjects with the number of times each was carried.
#[derive(Debug)]
pub(crate) struct BroadcastQueue<K> {
    carried: BTreeMap<K, u32>,
}

impl<K> Default for BroadcastQueue<K> {
    fn default() -> Self {
        Self {
            carried: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> BroadcastQueue<K> {
    /// Queues a subject anew; one subject is held once, so the queue is no longer than the table
    /// that the subjects come from.
    pub(crate) fn push(&mut self, subject: K) {
        self.carried.insert(subject, 0);
    }

    /// Forgets a subject.
    pub(crate) fn remove(&mut self, subject: &K) {
        self.carried.remove(subject);
    }

    /// Takes up to `count` subjects, each of which has been carried fewer than `limit` times.
    pub(crate) fn take(&mut self, count: usize, limit: u32) -> Vec<K> {
        let mut order: Vec<(u32, K)> = self
            .carried
            .iter()
            .map(|(subject, times)| (*times, subject.clone()))
            .collect();
        order.sort();
        let chosen: Vec<K> = order
            .into_iter()
            .take(count)
            .map(|(_, subject)| subject)
            .collect();
        for subject in &chosen {
            if let Some(times) = self.carried.get_mut(subject) {
                *times += 1;
            }
        }
        self.carried.retain(|_, times| *times < limit);
        chosen
    }
}
