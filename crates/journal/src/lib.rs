//! At-most-once records: a request that is not repeatable is recorded on two of three replicas before it runs, so
//! that a second attempt through another node is detected. Nodes have no persistent storage, so the replicas are
//! members of numbered views, and a restarted node is a new member.
//!
//! This crate contains only the state machines. They are checked exhaustively by the model `spec/journal.pml`; each
//! module names the part of the model that it implements.

#![forbid(unsafe_code)]

pub mod attempt;
pub mod change;
pub mod record;
pub mod replica;
pub mod view;

pub use attempt::{Attempt, Decision, KeyOrigin};
pub use change::{ChangeStep, ViewChange};
pub use record::{AttemptId, RecordKey, RecordState, Records};
pub use replica::{Replica, ReplicaLimits, SealReply, VoteReply};
pub use view::{Member, View, ViewDigest, ViewNumber, QUORUM, VIEW_SIZE};
