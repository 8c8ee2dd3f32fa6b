//! The software version at which a stream began. Only workers of this version may continue it.

use std::time::Duration;

use tansyhall_forwarding::{AttemptKey, Repeatability, SoftwareVersion, Worker};

use super::Exchange;
use crate::events::{Event, Priority};
use crate::state::saturating_millis;
use crate::stream_versions::{self, FoundVersion};

/// Time after which a caller should retry whose stream cannot be continued now: about the time that a worker takes to
/// restart.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum random addition to this time, as a fraction of it.
const MAX_RETRY_JITTER: f64 = 0.5;

impl Exchange {
    /// Finds out at which version a stream began that the caller takes up. Returns false if the request must be refused
    /// because nobody knows.
    pub(super) async fn find_version(&mut self) -> bool {
        let is_resumable = self.route().repeatability == Repeatability::Stream { resumable: true };
        if !is_resumable || self.request.terms.resumed.is_none() {
            return true;
        }
        let attempt = self.first_attempt().map(|id| self.attempt_key(id));
        let service = self.request.routed.service.clone();
        let began = self.shared.now();
        let found = stream_versions::find(&self.shared, &service, attempt).await;
        self.record_found_version(&found, self.shared.now().since(began));
        let Some(version) = found.version else {
            self.record_no_version("unknown_version");
            return false;
        };
        if let Some(attempt) = attempt {
            stream_versions::record_beginning(&self.shared, &service, attempt, &version);
        }
        self.version = Some(version);
        true
    }

    fn record_found_version(&self, found: &FoundVersion, took: Duration) {
        let version = found.version.as_ref().map(SoftwareVersion::as_str);
        let event = Event::StreamVersion {
            request: self.request_id(),
            resumes: self.first_attempt().unwrap_or_default(),
            version: version.unwrap_or_default(),
            ground: found.ground,
            own: found.own,
            own_at_end: found.own_at_end,
            store_age_ms: found.store_age_ms,
            mirror_revision: found.mirror_revision,
            asked: found.asked,
            answered: found.answered,
            stored: found.stored,
            confirmed_by: found.confirmed_by,
            took_ms: saturating_millis(took),
        };
        let priority = match version {
            Some(_) => Priority::Routine,
            None => Priority::Important,
        };
        self.shared.log.record(priority, &event);
    }

    /// Records that the first event of the stream is about to be delivered, from a worker of this version.
    pub(super) fn bind_version(&mut self, version: &SoftwareVersion) {
        if self.version.is_some() {
            return;
        }
        self.version = Some(version.clone());
        let id = self.request_id();
        if !id.is_empty() {
            let attempt = self.attempt_key(id);
            let service = &self.request.routed.service;
            stream_versions::record_beginning(&self.shared, service, attempt, version);
        }
    }

    /// Returns the attempt that brought the first event of the stream that the caller takes up, if it names one.
    pub(super) fn first_attempt(&self) -> Option<&str> {
        let resumed = self.request.terms.resumed.as_ref()?;
        resumed.first_attempt.as_deref()
    }

    /// Records that no worker may continue the stream now.
    pub(super) fn record_no_version(&mut self, cause: &'static str) {
        let jitter = rand::random_range(0.0..MAX_RETRY_JITTER);
        self.cause = cause;
        self.retry_after = RETRY_AFTER.mul_f64(1.0 + jitter);
    }

    /// Returns whether a worker has the version that the stream is bound to, if it is bound.
    pub(super) fn may_run_at(&self, worker: &Worker) -> bool {
        let mut bound = self.version.iter();
        bound.all(|version| *version == worker.version)
    }

    fn attempt_key(&self, id: &str) -> AttemptKey {
        AttemptKey::of(&self.request.routed.service, self.tenant_key(), id)
    }
}
