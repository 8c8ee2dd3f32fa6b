//! The streams that a gateway has handed to a recorder and that are not in the store yet, see
//! [`crate::stream_recorders`]. A stream that is not confirmed in time is handed to the next recorder.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::stream_records::StreamRecord;
use crate::stream_versions::AttemptKey;
use crate::worker::SoftwareVersion;

/// Time after which an unconfirmed stream is handed to the next recorder. Several writes of a recorder fit into it.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of unconfirmed streams; further ones are handed over once only.
const MAX_UNCONFIRMED: usize = 16_384;

/// The unconfirmed streams of a gateway.
#[derive(Debug, Default)]
pub struct StreamHandover {
    unconfirmed: HashMap<AttemptKey, Handed>,
}

#[derive(Debug)]
struct Handed {
    version: SoftwareVersion,
    first_handed: Timestamp,
    last_handed: Timestamp,
    /// Number of recorders that did not confirm it.
    skipped: usize,
}

/// A stream that is to be handed to another recorder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverdueStream {
    /// The stream.
    pub record: StreamRecord,
    /// Number of recorders that did not confirm it.
    pub skipped: usize,
}

impl StreamHandover {
    /// Records that a stream was handed to its first recorder.
    pub fn record_handed(&mut self, now: Timestamp, record: &StreamRecord) {
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            return;
        }
        self.unconfirmed
            .entry(record.attempt)
            .or_insert_with(|| Handed {
                version: record.version.clone(),
                first_handed: now,
                last_handed: now,
                skipped: 0,
            });
    }

    /// Records that a stream is in the store.
    pub fn record_confirmed(&mut self, attempt: AttemptKey) {
        self.unconfirmed.remove(&attempt);
    }

    /// Returns the streams that are to be handed to another recorder now, ordered by attempt. `window` is how long after
    /// its beginning the version of a stream is recorded.
    pub fn take_overdue(&mut self, now: Timestamp, window: Duration) -> Vec<OverdueStream> {
        self.unconfirmed
            .retain(|_, handed| now.since(handed.first_handed) <= window);
        let mut overdue = Vec::new();
        for (attempt, handed) in &mut self.unconfirmed {
            if now.since(handed.last_handed) < CONFIRMATION_TIMEOUT {
                continue;
            }
            handed.last_handed = now;
            handed.skipped += 1;
            overdue.push(OverdueStream {
                record: StreamRecord {
                    attempt: *attempt,
                    version: handed.version.clone(),
                },
                skipped: handed.skipped,
            });
        }
        overdue.sort_by_key(|overdue| overdue.record.attempt);
        overdue
    }
}
