//! Tries of this node's requests: the votes of the view's members are collected before anything is
//! sent to a back end.

use std::sync::Arc;

use anyhow::Result;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use sha2::{Digest, Sha256};
use tansyhall_core::{RequestId, ServiceName};
use tansyhall_journal::{Attempt, AttemptId, Decision, KeyOrigin, RecordKey, VoteReply};
use tansyhall_proto::{JournalAnswer, JournalRequest};

use super::members::ask_member;
use super::views::{PlacedMember, PlacedView};
use crate::state::Node;

/// Bytes of a digest that name a record.
const KEY_DIGEST_BYTES: usize = 16;

/// The record's key of a caller's key for a service. It is a digest, so that every record takes the
/// same room and callers' keys do not travel.
pub fn record_key(service: &ServiceName, key: &str) -> RecordKey {
    let mut digest = Sha256::new();
    digest.update(service.as_str());
    digest.update([0]);
    digest.update(key);
    RecordKey(hex::encode(&digest.finalize()[..KEY_DIGEST_BYTES]))
}

/// A try that has its quorum: the request may run.
#[derive(Debug, Clone)]
pub struct RecordedTry {
    view: Arc<PlacedView>,
    key: RecordKey,
    id: AttemptId,
}

/// Why a request with a caller's key may not run by this try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// Another try of the request has run, runs or may run.
    Duplicate {
        /// The try, where it is known.
        holder: Option<RequestId>,
    },
    /// Too few replicas granted the key. An earlier try may have run.
    NoQuorum,
}

/// Records a try of a request with a caller's key.
pub async fn record(
    node: &Arc<Node>,
    key: RecordKey,
    request: RequestId,
) -> Result<RecordedTry, Denied> {
    let outcome = match node.journal.view() {
        Some(view) => record_in_newest(node, key, AttemptId(request), view).await,
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

/// Tries in `view`, and in a later one if that became known meanwhile.
async fn record_in_newest(
    node: &Arc<Node>,
    key: RecordKey,
    id: AttemptId,
    mut view: Arc<PlacedView>,
) -> Result<RecordedTry, Denied> {
    loop {
        let tried = RecordedTry {
            view: Arc::clone(&view),
            key: key.clone(),
            id,
        };
        let denied = match tried.collect(node).await {
            Ok(()) => return Ok(tried),
            Err(denied) => denied,
        };
        match node.journal.view() {
            Some(newer) if newer.number > view.number => view = newer,
            _ => {
                tried.release(node);
                return Err(denied);
            }
        }
    }
}

impl RecordedTry {
    async fn collect(&self, node: &Arc<Node>) -> Result<(), Denied> {
        let view = self.view.view();
        let mut attempt = Attempt::new(self.key.clone(), self.id, KeyOrigin::Caller, view);
        let mut holder = None;
        let members = self.view.members.iter();
        let mut votes: FuturesUnordered<_> = members.map(|it| self.vote(node, it)).collect();
        while attempt.is_open() {
            let Some(vote) = votes.next().await else {
                break;
            };
            holder = holder.or(vote.holder);
            attempt.reply(&vote.voter.member, self.view.number, vote.reply);
        }
        match attempt.give_up() {
            Decision::Run => Ok(()),
            Decision::Duplicate => Err(Denied::Duplicate {
                holder: holder.map(|holder| holder.0),
            }),
            Decision::NotRun | Decision::MayHaveRun => Err(Denied::NoQuorum),
        }
    }

    async fn vote<'a>(&self, node: &Arc<Node>, voter: &'a PlacedMember) -> Vote<'a> {
        let request = JournalRequest::Vote {
            view: self.view.number,
            digest: Some(self.view.view().digest()),
            key: self.key.clone(),
            attempt: self.id,
        };
        let (reply, holder) = match ask_member(node, voter, request).await {
            Ok(JournalAnswer::Voted { reply, holder }) => (reply, holder),
            // A replica that does not answer in time has no vote here.
            Ok(_) | Err(_) => (VoteReply::NotVoting, None),
        };
        Vote {
            voter,
            reply,
            holder,
        }
    }

    /// Gives the records back. The request must never run by this try from now on.
    pub fn release(&self, node: &Arc<Node>) {
        let node = Arc::clone(node);
        let tried = self.clone();
        actix_rt::spawn(async move {
            let releases = tried.view.members.iter().map(|member| {
                let key = tried.key.clone();
                let attempt = tried.id;
                ask_member(&node, member, JournalRequest::Release { key, attempt })
            });
            // A replica that is not told keeps the key until its time has passed.
            futures_util::future::join_all(releases).await;
        });
    }
}

struct Vote<'a> {
    voter: &'a PlacedMember,
    reply: VoteReply,
    holder: Option<AttemptId>,
}
