//! Permission to run a request that is marked as not repeatable. Such a request asks here before
//! it is sent to any back end: first in this node's own table, then, under a caller's key, on the
//! replicas of the at-most-once records. A request without a key needs no record, since no other
//! try of it can be told from a new request.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use tansyhall_core::{RequestId, ServiceName, Sharded, Timestamp, Verdict};
use tansyhall_proto::StatusAnswer;

use super::failure::Failure;
use super::options::IdempotencyKey;
use super::origin::ask_peers;
use super::requests::{answer_path, status_path, RequestState, RequestStatus};
use crate::at_most_once::{record, record_key, Denied, RecordedTry};
use crate::state::Node;

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
        if matches!(verdict, Verdict::NotRun { .. }) {
            self.forget(key, request);
        }
    }

    /// Forgets the permission of a request that will never run.
    fn forget(&self, key: &IdempotencyKey, request: RequestId) {
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

/// Permission to run the request with a caller's key.
#[derive(Debug)]
pub struct Permission {
    key: IdempotencyKey,
    /// The record on the replicas, if records are replicated.
    recorded: Option<RecordedTry>,
}

impl Permission {
    /// Asks for permission, at this node and then on the replicas.
    pub async fn acquire(
        node: &Arc<Node>,
        service: &ServiceName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> Result<Self, Failure> {
        let permits = &node.callers.run_permits;
        permits.acquire(key, request, node.clock.now())?;
        let mut permission = Self {
            key: key.clone(),
            recorded: None,
        };
        if !node.settings.journal.is_replicated() {
            return Ok(permission);
        }
        match record(node, record_key(service, key.as_str()), request).await {
            Ok(recorded) => {
                permission.recorded = Some(recorded);
                Ok(permission)
            }
            Err(denied) => {
                permits.forget(key, request);
                Err(denial(node, denied).await)
            }
        }
    }

    /// Gives the permission back if the request ended without having run.
    pub fn settle(&self, node: &Arc<Node>, request: RequestId, verdict: Verdict) {
        let permits = &node.callers.run_permits;
        permits.settle(&self.key, request, verdict);
        if let (Verdict::NotRun { .. }, Some(recorded)) = (verdict, &self.recorded) {
            recorded.release(node);
        }
    }
}

/// What the caller of a request that may not run is told.
async fn denial(node: &Node, denied: Denied) -> Failure {
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
        } => duplicate(node, holder).await,
    }
}

/// What is known of the request that holds the key.
async fn duplicate(node: &Node, holder: RequestId) -> Failure {
    let earlier = format!("a request with this idempotency key was accepted before, as {holder}");
    let known = match ask_peers(node, holder).await {
        StatusAnswer::Known(resource) => serde_json::from_slice::<RequestStatus>(&resource).ok(),
        StatusAnswer::Unknown | StatusAnswer::Unreachable => None,
    };
    let Some(status) = known else {
        let message = format!("{earlier}, and may have run; the node that serves it is not known or cannot be reached");
        return Failure::may_have_run(StatusCode::CONFLICT, message);
    };
    let (verdict, how) = match status.state {
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
        // Its record has not been given back, so that nothing better than this is certain.
        RequestState::NotRun | RequestState::MayHaveRun => {
            (Verdict::MayHaveRun, "may have run".to_owned())
        }
    };
    Failure {
        status: StatusCode::CONFLICT,
        verdict,
        message: format!("{earlier}, and {how}"),
    }
}
