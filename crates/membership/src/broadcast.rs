//! A queue of changes to be piggybacked on outgoing messages. Those sent least often come first.

use std::collections::BTreeMap;

/// The subjects of pending changes, with the number of messages that each has been included in.
#[derive(Debug)]
pub(crate) struct BroadcastQueue<K> {
    transmissions: BTreeMap<K, u32>,
}

impl<K> Default for BroadcastQueue<K> {
    fn default() -> Self {
        Self {
            transmissions: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> BroadcastQueue<K> {
    /// Queues a subject and resets its count. Each subject is queued at most once, so the queue is
    /// never longer than the table that the subjects come from.
    pub(crate) fn push(&mut self, subject: K) {
        self.transmissions.insert(subject, 0);
    }

    pub(crate) fn remove(&mut self, subject: &K) {
        self.transmissions.remove(subject);
    }

    /// Returns up to `count` subjects to include in a message and increments their counts. A
    /// subject is dropped from the queue once it has been included in `max_transmissions` messages.
    pub(crate) fn next_batch(&mut self, count: usize, max_transmissions: u32) -> Vec<K> {
        let mut by_transmissions: Vec<(u32, K)> = self
            .transmissions
            .iter()
            .map(|(subject, times)| (*times, subject.clone()))
            .collect();
        by_transmissions.sort();
        let chosen: Vec<K> = by_transmissions
            .into_iter()
            .take(count)
            .map(|(_, subject)| subject)
            .collect();
        for subject in &chosen {
            if let Some(times) = self.transmissions.get_mut(subject) {
                *times += 1;
            }
        }
        self.transmissions
            .retain(|_, times| *times < max_transmissions);
        chosen
    }
}
