//! The streams whose software versions a recorder has to write to the store, see [`crate::stream_recorders`].

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::stream_versions::AttemptKey;
use crate::worker::SoftwareVersion;

/// Maximum number of streams that wait to be written; further ones are not recorded.
const MAX_PENDING: usize = 65_536;
/// Maximum number of written streams that are kept; further ones may be written twice and are not written again after a
/// restore.
const MAX_WRITTEN: usize = 65_536;
/// Maximum number of streams in one write: 64 KB of keys.
const MAX_RECORDS_PER_WRITE: usize = 8_192;

/// The software version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The attempt that brought the first event of the stream.
    pub attempt: AttemptKey,
    /// The software version of the worker that began it.
    pub version: SoftwareVersion,
}

/// The streams that a recorder has to write, and those that have been written.
#[derive(Debug, Default)]
pub struct StreamRecords {
    pending: HashMap<AttemptKey, PendingRecord>,
    written: HashMap<AttemptKey, WrittenRecord>,
}

#[derive(Debug)]
struct PendingRecord {
    version: SoftwareVersion,
    delay: Duration,
    added: Timestamp,
    /// The gateways that have told of it.
    origins: BTreeSet<SocketAddr>,
}

impl PendingRecord {
    fn due(&self) -> Timestamp {
        self.added + self.delay
    }
}

#[derive(Debug)]
struct WrittenRecord {
    version: SoftwareVersion,
    delay: Duration,
    written: Timestamp,
}

impl StreamRecords {
    /// Adds a stream that this gateway has to write after a delay. `origin` is the other gateway that has told of it, if
    /// it has not begun here. Returns whether the stream has been written already.
    pub fn add(
        &mut self,
        now: Timestamp,
        record: &StreamRecord,
        delay: Duration,
        origin: Option<SocketAddr>,
    ) -> bool {
        let StreamRecord { attempt, version } = record;
        if self.written.contains_key(attempt) {
            return true;
        }
        if let Some(pending) = self.pending.get_mut(attempt) {
            pending.origins.extend(origin);
        } else if self.pending.len() < MAX_PENDING {
            let pending = PendingRecord {
                version: version.clone(),
                delay,
                added: now,
                origins: origin.into_iter().collect(),
            };
            self.pending.insert(*attempt, pending);
        }
        false
    }

    /// Returns the streams that are to be written now, those that are due for longest first. `window` is how long after
    /// its beginning the version of a stream is recorded.
    pub fn due(&mut self, now: Timestamp, window: Duration) -> Vec<StreamRecord> {
        self.expire(now, window);
        let pending = self.pending.iter();
        let mut due: Vec<(&AttemptKey, &PendingRecord)> = pending
            .filter(|(_, pending)| pending.due() <= now)
            .collect();
        due.sort_by_key(|(attempt, pending)| (pending.due(), **attempt));
        let record = |(attempt, pending): (&AttemptKey, &PendingRecord)| StreamRecord {
            attempt: *attempt,
            version: pending.version.clone(),
        };
        let due = due.into_iter().take(MAX_RECORDS_PER_WRITE);
        due.map(record).collect()
    }

    /// Records that a stream is in the store, written by this or by another recorder. Returns the gateways that have told
    /// this one of it.
    pub fn record_written(&mut self, now: Timestamp, attempt: AttemptKey) -> BTreeSet<SocketAddr> {
        let Some(pending) = self.pending.remove(&attempt) else {
            return BTreeSet::new();
        };
        let written = WrittenRecord {
            version: pending.version,
            delay: pending.delay,
            written: now,
        };
        if self.written.len() < MAX_WRITTEN {
            self.written.insert(attempt, written);
        }
        pending.origins
    }

    /// Makes all streams that were written pending again, because a restored store may have lost them.
    pub fn record_restore(&mut self, now: Timestamp) {
        for (attempt, written) in std::mem::take(&mut self.written) {
            let WrittenRecord { version, delay, .. } = written;
            self.add(now, &StreamRecord { attempt, version }, delay, None);
        }
    }

    /// Returns the number of streams that wait to be written.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    fn expire(&mut self, now: Timestamp, window: Duration) {
        let is_kept = |since: Timestamp| now.since(since) <= window;
        self.pending.retain(|_, pending| is_kept(pending.added));
        self.written.retain(|_, record| is_kept(record.written));
    }
}
