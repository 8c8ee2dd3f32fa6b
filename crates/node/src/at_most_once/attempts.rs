//! Attempts of this node's requests: the votes of the view's members are collected before anything
//! is sent to a back end.

use std::sync::Arc;

use anyhow::Result;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use sha2::{Digest, Sha256};
use tansyhall_core::{RequestId, ServiceName};
use tansyhall_journal::{Attempt, AttemptId, Decision, KeyOrigin, RecordKey, VoteReply};
use tansyhall_proto::{JournalAnswer, JournalRequest};

use super::members::call_member;
use super::views::{MemberWithAddress, ViewWithAddresses};
use crate::state::Node;

/// Number of digest bytes that identify a record.
const KEY_DIGEST_BYTES: usize = 16;

/// Returns the record key of a caller's key for a service. It is a digest, so that all records have
/// the same size and callers' keys are not sent between nodes.
pub fn record_key(service: &ServiceName, key: &str) -> RecordKey {
    let mut digest = Sha256::new();
    digest.update(service.as_str());
    digest.update([0]);
    digest.update(key);
    RecordKey(hex::encode(&digest.finalize()[..KEY_DIGEST_BYTES]))
}

/// An attempt with a quorum of votes: the request may run.
#[derive(Debug, Clone)]
pub struct RecordedAttempt {
    view: Arc<ViewWithAddresses>,
    key: RecordKey,
    id: AttemptId,
}

/// Why this attempt of a request with a caller's key may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// Another attempt of the request has run, is running or may run.
    Duplicate {
        /// The other attempt, if it is known.
        holder: Option<RequestId>,
    },
    /// Too few replicas granted the key. An earlier attempt may have run.
    NoQuorum,
}

/// Records an attempt of a request with a caller's key.
pub async fn record_attempt(
    node: &Arc<Node>,
    key: RecordKey,
    request: RequestId,
) -> Result<RecordedAttempt, Denied> {
    let outcome = match node.journal.view() {
        Some(view) => record_in_latest_view(node, key, AttemptId(request), view).await,
        None => Err(Denied::NoQuorum),
    };
    let decision = match &outcome {
        Ok(_) => "run",
        Err(Denied::Duplicate { .. }) => "duplicate",
        Err(Denied::NoQuorum) => "no-quorum",
    };
    let tries = &node.metrics.journal.tries;
    tries.with_label_values(&[decision]).inc();
    outcome
}

/// Records the attempt in `view`, and in a later one if that became known in the meantime.
async fn record_in_latest_view(
    node: &Arc<Node>,
    key: RecordKey,
    id: AttemptId,
    mut view: Arc<ViewWithAddresses>,
) -> Result<RecordedAttempt, Denied> {
    loop {
        let recorded = RecordedAttempt {
            view: Arc::clone(&view),
            key: key.clone(),
            id,
        };
        let denied = match recorded.collect_votes(node).await {
            Ok(()) => return Ok(recorded),
            Err(denied) => denied,
        };
        match node.journal.view() {
            Some(newer) if newer.number > view.number => view = newer,
            _ => {
                recorded.release(node);
                return Err(denied);
            }
        }
    }
}

impl RecordedAttempt {
    async fn collect_votes(&self, node: &Arc<Node>) -> Result<(), Denied> {
        let view = self.view.view();
        let mut attempt = Attempt::new(self.key.clone(), self.id, KeyOrigin::Caller, view);
        let mut holder = None;
        let members = self.view.members.iter();
        let mut votes: FuturesUnordered<_> =
            members.map(|member| self.vote(node, member)).collect();
        while attempt.is_open() {
            let Some(vote) = votes.next().await else {
                break;
            };
            holder = holder.or(vote.holder);
            attempt.handle_reply(&vote.voter.member, self.view.number, vote.reply);
        }
        match attempt.give_up() {
            Decision::Run => Ok(()),
            Decision::Duplicate => Err(Denied::Duplicate {
                holder: holder.map(|holder| holder.0),
            }),
            Decision::NotRun | Decision::MayHaveRun => Err(Denied::NoQuorum),
        }
    }

    async fn vote<'a>(&self, node: &Arc<Node>, voter: &'a MemberWithAddress) -> Vote<'a> {
        let request = JournalRequest::Vote {
            view: self.view.number,
            digest: Some(self.view.view().digest()),
            key: self.key.clone(),
            attempt: self.id,
        };
        let (reply, holder) = match call_member(node, voter, request).await {
            Ok(JournalAnswer::Voted { reply, holder }) => (reply, holder),
            // A replica that does not answer in time does not vote.
            Ok(_) | Err(_) => (VoteReply::NotVoting, None),
        };
        Vote {
            voter,
            reply,
            holder,
        }
    }

    /// Releases the records. The request must never run by this attempt afterwards.
    pub fn release(&self, node: &Arc<Node>) {
        let node = Arc::clone(node);
        let recorded = self.clone();
        actix_rt::spawn(async move {
            let releases = recorded.view.members.iter().map(|member| {
                let key = recorded.key.clone();
                let attempt = recorded.id;
                call_member(&node, member, JournalRequest::Release { key, attempt })
            });
            // A replica that does not receive the release keeps the key until it expires.
            futures_util::future::join_all(releases).await;
        });
    }
}

struct Vote<'a> {
    voter: &'a MemberWithAddress,
    reply: VoteReply,
    holder: Option<AttemptId>,
}
