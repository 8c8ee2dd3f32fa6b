//! Permission to run a request that is marked as not repeatable. Such a request asks here before
//! it is sent to any back end.
//!
//! The record of permissions is local to this node: a caller's second try through another node,
//! or after this node's restart, is not recognised. Only what is recognised here is refused.

use std::time::Duration;

use actix_web::http::StatusCode;
use tansyhall_core::{RequestId, Sharded, Timestamp, Verdict};

use super::failure::Failure;
use super::options::IdempotencyKey;

/// When to come back if the table of permissions is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct Permitted {
    request: RequestId,
    at: Timestamp,
}

/// The permissions given lately, by idempotency key.
#[derive(Debug)]
pub struct RunPermits {
    permits: Sharded<IdempotencyKey, Permitted>,
    retention: Duration,
}

impl RunPermits {
    /// An empty table for `capacity` keys, each kept for `retention`.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        Self {
            permits: Sharded::with_capacity_limit(capacity),
            retention,
        }
    }

    /// Asks for permission to run. Fails if a request with this key was permitted before, or if
    /// the permission cannot be recorded; the request was not run then and must not be.
    pub async fn acquire(
        &self,
        key: &IdempotencyKey,
        request: RequestId,
        now: Timestamp,
    ) -> Result<(), Failure> {
        let earlier = self.permits.with(key, |shard| shard.get(key).copied());
        if let Some(earlier) = earlier {
            let message = format!(
                "a request with this idempotency key was accepted before, as {}",
                earlier.request
            );
            return Err(Failure::may_have_run(StatusCode::CONFLICT, message));
        }
        let permitted = Permitted { request, at: now };
        match self.permits.insert(key.clone(), permitted) {
            Ok(None) => Ok(()),
            // Another thread was faster with the same key.
            Ok(Some(other)) => {
                let _ = self.permits.insert(key.clone(), other);
                let message = "a request with this idempotency key is being accepted";
                Err(Failure::may_have_run(StatusCode::CONFLICT, message))
            }
            Err(_) => Err(Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no more idempotency keys can be recorded now",
                FULL_RETRY_AFTER,
            )),
        }
    }

    /// Gives a permission back if the request ended without having run, so that a later try may.
    pub fn settle(&self, key: &IdempotencyKey, request: RequestId, verdict: Verdict) {
        if !matches!(verdict, Verdict::NotRun { .. }) {
            return;
        }
        self.permits.with(key, |shard| {
            if shard.get(key).is_some_and(|held| held.request == request) {
                shard.remove(key);
            }
        });
    }

    /// Forgets permissions older than the retention time.
    pub fn sweep(&self, now: Timestamp) {
        self.permits
            .retain(|_, permitted| now.since(permitted.at) <= self.retention);
    }
}
