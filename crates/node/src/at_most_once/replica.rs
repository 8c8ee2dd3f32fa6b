//! This node's replica, and the view that its attempts use.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tansyhall_config::NodeSettings;
use tansyhall_core::{Incarnation, Timestamp};
use tansyhall_journal::{Member, Replica, ReplicaLimits, VoteReply};
use tansyhall_proto::{JournalAnswer, JournalCall, JournalRequest};

use super::views::ViewWithAddresses;

/// This node's part of the at-most-once records.
#[derive(Debug)]
pub struct Journal {
    member: Member,
    replica: Mutex<Replica>,
    view: ArcSwapOption<ViewWithAddresses>,
}

impl Journal {
    /// Returns an empty replica with a new incarnation. Incarnations are only compared for
    /// equality, so it is drawn at random.
    pub fn new(settings: &NodeSettings) -> Self {
        let member = Member {
            node: settings.name.clone(),
            incarnation: Incarnation(rand::random()),
        };
        let limits = ReplicaLimits {
            max_records: settings.limits.max_idempotency_keys,
            retention: settings.limits.idempotency_retention,
        };
        Self {
            replica: Mutex::new(Replica::new(member.clone(), limits)),
            member,
            view: ArcSwapOption::empty(),
        }
    }

    /// Returns the node in this incarnation.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the view that attempts use.
    pub fn view(&self) -> Option<Arc<ViewWithAddresses>> {
        self.view.load_full()
    }

    /// Adopts a view unless it is older than the one in use; returns whether it differs from that
    /// one. Of two views with the same number, the one in the store counts.
    pub(super) fn adopt_view(&self, view: &ViewWithAddresses) -> bool {
        let is_new = self
            .view()
            .is_none_or(|current| current.number <= view.number && *current != *view);
        if is_new {
            self.view.store(Some(Arc::new(view.clone())));
        }
        is_new
    }

    /// Removes expired records; returns the number of those left.
    pub(super) fn sweep(&self, now: Timestamp) -> usize {
        let mut replica = self.replica.lock();
        replica.remove_expired(now);
        replica.len()
    }

    /// Answers a request to the replica. A request addressed to another member has no effect here:
    /// a vote counts for the member that was asked, whichever node is reached at its address.
    pub fn answer(&self, now: Timestamp, call: JournalCall, is_stopping: bool) -> JournalAnswer {
        match call.addressee {
            Some(addressee) if addressee != self.member => JournalAnswer::NotAddressed,
            Some(_) | None => self.answer_addressed(now, call.request, is_stopping),
        }
    }

    fn answer_addressed(
        &self,
        now: Timestamp,
        request: JournalRequest,
        is_stopping: bool,
    ) -> JournalAnswer {
        let mut replica = self.replica.lock();
        match request {
            JournalRequest::Identify => JournalAnswer::Identity {
                member: self.member.clone(),
                is_stopping,
            },
            JournalRequest::Vote {
                view,
                digest,
                key,
                attempt,
            } => {
                let is_of_view = digest.is_none_or(|digest| replica.has_installed(digest));
                let reply = match is_of_view {
                    true => replica.vote(now, view, &key, attempt),
                    false => VoteReply::NotVoting,
                };
                let is_taken = reply == VoteReply::Taken;
                JournalAnswer::Voted {
                    reply,
                    holder: is_taken.then(|| replica.holder(&key)).flatten(),
                }
            }
            JournalRequest::Release { key, attempt } => {
                replica.release(&key, attempt);
                JournalAnswer::Released
            }
            JournalRequest::Seal { active, next } => {
                JournalAnswer::Sealed(replica.seal(now, active, next))
            }
            JournalRequest::Install { view, records } => {
                JournalAnswer::Installed(replica.install(now, &view, &records))
            }
        }
    }
}
