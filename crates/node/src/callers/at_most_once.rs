//! Run permits of requests that are marked as not repeatable. Such a request needs a permit before
//! it is sent to any back end: first from this node's own table and then, under the caller's
//! idempotency key, from the replicas of the at-most-once records. A request without a key needs no
//! record, since another attempt of it cannot be distinguished from a new request.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use tansyhall_core::{RequestId, ServiceName, Sharded, Timestamp, Verdict};
use tansyhall_proto::StatusAnswer;

use super::failure::Failure;
use super::options::IdempotencyKey;
use super::origin::query_peers;
use super::requests::{answer_path, status_path, RequestState, RequestStatus};
use crate::at_most_once::{record_attempt, record_key, Denied, RecordedAttempt};
use crate::state::Node;

/// Wait advised to callers while the permit table is full.
const TABLE_FULL_RETRY_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct PermitEntry {
    request: RequestId,
    granted_at: Timestamp,
}

/// Recently granted permits, by idempotency key.
#[derive(Debug)]
pub struct RunPermitTable {
    permits: Sharded<IdempotencyKey, PermitEntry>,
    retention: Duration,
}

impl RunPermitTable {
    /// Returns an empty table for at most `capacity` keys, each kept for `retention`.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        Self {
            permits: Sharded::with_capacity_limit(capacity),
            retention,
        }
    }

    /// Grants a permit. Fails if a request with this key was granted one before or if the permit
    /// cannot be recorded; the request was not run in that case and must not be.
    pub fn acquire(
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
        let entry = PermitEntry {
            request,
            granted_at: now,
        };
        match self.permits.insert(key.clone(), entry) {
            Ok(None) => Ok(()),
            // Another thread inserted the same key first.
            Ok(Some(other)) => {
                let _ = self.permits.insert(key.clone(), other);
                let message = "a request with this idempotency key is being accepted";
                Err(Failure::may_have_run(StatusCode::CONFLICT, message))
            }
            Err(_) => Err(Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no more idempotency keys can be recorded now",
                TABLE_FULL_RETRY_AFTER,
            )),
        }
    }

    /// Removes the permit if the request ended without having run, so that a later attempt may run.
    pub fn release_if_not_run(&self, key: &IdempotencyKey, request: RequestId, verdict: Verdict) {
        if matches!(verdict, Verdict::NotRun { .. }) {
            self.remove(key, request);
        }
    }

    /// Removes the permit of a request that will never run.
    fn remove(&self, key: &IdempotencyKey, request: RequestId) {
        self.permits.with(key, |shard| {
            if shard.get(key).is_some_and(|held| held.request == request) {
                shard.remove(key);
            }
        });
    }

    /// Removes permits older than the retention time.
    pub fn sweep(&self, now: Timestamp) {
        self.permits
            .retain(|_, entry| now.since(entry.granted_at) <= self.retention);
    }
}

/// Permit to run the request with a caller's idempotency key.
#[derive(Debug)]
pub struct RunPermit {
    key: IdempotencyKey,
    /// Record on the replicas, if records are replicated.
    recorded: Option<RecordedAttempt>,
}

impl RunPermit {
    /// Acquires a permit at this node and then on the replicas.
    pub async fn acquire(
        node: &Arc<Node>,
        service: &ServiceName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> Result<Self, Failure> {
        let permits = &node.callers.run_permits;
        permits.acquire(key, request, node.clock.now())?;
        let mut permit = Self {
            key: key.clone(),
            recorded: None,
        };
        if !node.settings.journal.is_replicated() {
            return Ok(permit);
        }
        match record_attempt(node, record_key(service, key.as_str()), request).await {
            Ok(recorded) => {
                permit.recorded = Some(recorded);
                Ok(permit)
            }
            Err(denied) => {
                permits.remove(key, request);
                Err(denial_failure(node, denied).await)
            }
        }
    }

    /// Releases the permit if the request ended without having run.
    pub fn release_if_not_run(&self, node: &Arc<Node>, request: RequestId, verdict: Verdict) {
        let permits = &node.callers.run_permits;
        permits.release_if_not_run(&self.key, request, verdict);
        if let (Verdict::NotRun { .. }, Some(recorded)) = (verdict, &self.recorded) {
            recorded.release(node);
        }
    }
}

/// Returns the failure that the caller of a request without a permit gets.
async fn denial_failure(node: &Node, denied: Denied) -> Failure {
    match denied {
        Denied::NoQuorum => Failure::may_have_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "too few replicas can record this request: it was not run by this try, and an earlier \
             try with the same key may have run",
        ),
        Denied::Duplicate { holder: None } => Failure::may_have_run(
            StatusCode::CONFLICT,
            "a request with this idempotency key was recorded before and may have run",
        ),
        Denied::Duplicate {
            holder: Some(holder),
        } => duplicate_failure(node, holder).await,
    }
}

/// Returns the failure of a duplicate, with what is known about the request that holds the key.
async fn duplicate_failure(node: &Node, holder: RequestId) -> Failure {
    let earlier = format!("a request with this idempotency key was accepted before, as {holder}");
    let known = match query_peers(node, holder).await {
        StatusAnswer::Known(resource) => serde_json::from_slice::<RequestStatus>(&resource).ok(),
        StatusAnswer::Unknown | StatusAnswer::Unreachable => None,
    };
    let Some(status) = known else {
        let message = format!(
            "{earlier}, and may have run; the node that serves it is not known or cannot be reached"
        );
        return Failure::may_have_run(StatusCode::CONFLICT, message);
    };
    let (verdict, description) = match status.state {
        RequestState::Queued | RequestState::Running | RequestState::Late => {
            let path = status_path(holder);
            (Verdict::MayHaveRun, format!("is in progress: see {path}"))
        }
        RequestState::Completed if status.answer.is_some() => {
            let path = answer_path(holder);
            (
                Verdict::Completed,
                format!("has run; its answer is at {path}"),
            )
        }
        RequestState::Completed => (Verdict::Completed, "has run".to_owned()),
        // The record of the earlier request has not been released, so it is only certain that the
        // request may have run.
        RequestState::NotRun | RequestState::MayHaveRun => {
            (Verdict::MayHaveRun, "may have run".to_owned())
        }
    };
    Failure {
        status: StatusCode::CONFLICT,
        verdict,
        message: format!("{earlier}, and {description}"),
    }
}
