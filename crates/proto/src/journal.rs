//! Requests to a replica of the at-most-once records, and the replica's answers.

use prost::Message as _;
use tansyhall_core::Incarnation;
use tansyhall_journal::{
    AttemptId, Member, RecordKey, Records, SealReply, View, ViewDigest, ViewNumber, VoteReply,
};

use crate::datagram::decode_node;
use crate::error::DecodeError;
use crate::generated as wire;
use crate::generated::journal_answer::Body as AnswerBody;
use crate::generated::journal_request::Body as RequestBody;
use crate::request::{decode_id, encode_id};

/// A request to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalRequest {
    /// Asks which node answers, and in which incarnation.
    Identify,
    /// Asks the replica to grant a key to an attempt.
    Vote {
        /// The view in which the vote counts.
        view: ViewNumber,
        /// Distinguishes the view from another one with the same number. Absent if an older build asks.
        digest: Option<ViewDigest>,
        /// The key.
        key: RecordKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Gives back the key of an attempt that will never run.
    Release {
        /// The key.
        key: RecordKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Orders the replica to stop voting in views before `next`.
    Seal {
        /// The view that is active.
        active: ViewNumber,
        /// The view that is to follow it.
        next: ViewNumber,
    },
    /// Orders the replica to vote in a view from now on.
    Install {
        /// The view.
        view: View,
        /// The keys recorded in the preceding view.
        records: Records,
    },
}

/// A request to a replica, and its addressee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalCall {
    /// The member that the request is meant for. Absent if any member may answer, or if an older build asks.
    pub addressee: Option<Member>,
    /// The request.
    pub request: JournalRequest,
}

/// A replica's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalAnswer {
    /// The member that answers.
    Identity {
        /// The node and its incarnation.
        member: Member,
        /// Whether the node is about to stop.
        is_stopping: bool,
    },
    /// The answer to a request for a vote.
    Voted {
        /// The vote.
        reply: VoteReply,
        /// The attempt that holds a taken key, if it is known.
        holder: Option<AttemptId>,
    },
    /// The key was given back.
    Released,
    /// The answer to a seal.
    Sealed(SealReply),
    /// Whether the replica votes in the view.
    Installed(bool),
    /// The request is meant for another member, such as one that previously had this address.
    NotAddressed,
}

/// Encodes a replica's answer.
pub fn encode_journal_answer(answer: &JournalAnswer) -> Vec<u8> {
    let body = match answer {
        JournalAnswer::Identity {
            member,
            is_stopping,
        } => AnswerBody::Identity(wire::Identity {
            member: Some(encode_member(member)),
            is_stopping: *is_stopping,
        }),
        JournalAnswer::Voted { reply, holder } => AnswerBody::Voted(wire::Voted {
            outcome: encode_vote(*reply).into(),
            holder: holder.map(|holder| encode_id(holder.0)),
        }),
        JournalAnswer::Released => AnswerBody::Released(wire::Released {}),
        JournalAnswer::Sealed(reply) => AnswerBody::Sealed(encode_sealed(reply)),
        JournalAnswer::Installed(votes) => AnswerBody::Installed(wire::Installed { votes: *votes }),
        JournalAnswer::NotAddressed => AnswerBody::NotAddressed(wire::NotAddressed {}),
    };
    wire::JournalAnswer { body: Some(body) }.encode_to_vec()
}

/// Decodes a replica's answer.
pub fn decode_journal_answer(bytes: &[u8]) -> Result<JournalAnswer, DecodeError> {
    let answer = wire::JournalAnswer::decode(bytes)?;
    Ok(match answer.body.ok_or(DecodeError::Missing("body"))? {
        AnswerBody::Identity(identity) => JournalAnswer::Identity {
            member: decode_member(identity.member.ok_or(DecodeError::Missing("member"))?)?,
            is_stopping: identity.is_stopping,
        },
        AnswerBody::Voted(voted) => JournalAnswer::Voted {
            reply: decode_vote(voted.outcome)?,
            holder: voted.holder.map(|id| decode_attempt(&id)).transpose()?,
        },
        AnswerBody::Released(_) => JournalAnswer::Released,
        AnswerBody::Sealed(sealed) => JournalAnswer::Sealed(decode_sealed(sealed)),
        AnswerBody::Installed(installed) => JournalAnswer::Installed(installed.votes),
        AnswerBody::NotAddressed(_) => JournalAnswer::NotAddressed,
    })
}

pub(crate) fn encode_call(call: &JournalCall) -> wire::JournalRequest {
    wire::JournalRequest {
        addressee: call.addressee.as_ref().map(encode_member),
        body: Some(encode_request(&call.request)),
    }
}

fn encode_request(request: &JournalRequest) -> RequestBody {
    match request {
        JournalRequest::Identify => RequestBody::Identify(wire::Identify {}),
        JournalRequest::Vote {
            view,
            digest,
            key,
            attempt,
        } => RequestBody::Vote(wire::Vote {
            view: view.0,
            view_digest: digest.map_or(0, |digest| digest.0),
            key: key.0.clone(),
            attempt: encode_id(attempt.0),
        }),
        JournalRequest::Release { key, attempt } => RequestBody::Release(wire::Release {
            key: key.0.clone(),
            attempt: encode_id(attempt.0),
        }),
        JournalRequest::Seal { active, next } => RequestBody::Seal(wire::Seal {
            next: next.0,
            active: active.0,
        }),
        JournalRequest::Install { view, records } => RequestBody::Install(wire::Install {
            view: Some(encode_view(view)),
            keys: encode_keys(records),
        }),
    }
}

pub(crate) fn decode_call(request: wire::JournalRequest) -> Result<JournalCall, DecodeError> {
    let body = request.body.ok_or(DecodeError::Missing("body"))?;
    Ok(JournalCall {
        addressee: request.addressee.map(decode_member).transpose()?,
        request: decode_request(body)?,
    })
}

fn decode_request(body: RequestBody) -> Result<JournalRequest, DecodeError> {
    Ok(match body {
        RequestBody::Identify(_) => JournalRequest::Identify,
        RequestBody::Vote(vote) => JournalRequest::Vote {
            view: ViewNumber(vote.view),
            digest: (vote.view_digest != 0).then_some(ViewDigest(vote.view_digest)),
            key: RecordKey(vote.key),
            attempt: decode_attempt(&vote.attempt)?,
        },
        RequestBody::Release(release) => JournalRequest::Release {
            key: RecordKey(release.key),
            attempt: decode_attempt(&release.attempt)?,
        },
        RequestBody::Seal(seal) => JournalRequest::Seal {
            active: ViewNumber(match seal.active {
                0 => seal.next.saturating_sub(1),
                active => active,
            }),
            next: ViewNumber(seal.next),
        },
        RequestBody::Install(install) => JournalRequest::Install {
            view: decode_view(install.view.ok_or(DecodeError::Missing("view"))?)?,
            records: decode_keys(install.keys),
        },
    })
}

fn decode_attempt(bytes: &[u8]) -> Result<AttemptId, DecodeError> {
    decode_id(bytes).map(AttemptId)
}

fn encode_member(member: &Member) -> wire::JournalMember {
    wire::JournalMember {
        node: member.node.to_string(),
        incarnation: member.incarnation.0,
    }
}

fn decode_member(member: wire::JournalMember) -> Result<Member, DecodeError> {
    Ok(Member {
        node: decode_node(member.node)?,
        incarnation: Incarnation(member.incarnation),
    })
}

fn encode_view(view: &View) -> wire::JournalView {
    wire::JournalView {
        number: view.number.0,
        members: view.members.iter().map(encode_member).collect(),
    }
}

fn decode_view(view: wire::JournalView) -> Result<View, DecodeError> {
    let members = view.members.into_iter().map(decode_member);
    let members = members.collect::<Result<Vec<_>, _>>()?;
    Ok(View {
        number: ViewNumber(view.number),
        members: members
            .try_into()
            .map_err(|_| DecodeError::Invalid("members"))?,
    })
}

fn encode_keys(records: &Records) -> Vec<String> {
    records.0.iter().map(|key| key.0.clone()).collect()
}

fn decode_keys(keys: Vec<String>) -> Records {
    Records(keys.into_iter().map(RecordKey).collect())
}

fn encode_vote(reply: VoteReply) -> wire::VoteOutcome {
    match reply {
        VoteReply::Granted => wire::VoteOutcome::Granted,
        VoteReply::Taken => wire::VoteOutcome::Taken,
        VoteReply::NotVoting => wire::VoteOutcome::NotVoting,
        VoteReply::Full => wire::VoteOutcome::Full,
    }
}

fn decode_vote(outcome: i32) -> Result<VoteReply, DecodeError> {
    let outcome = wire::VoteOutcome::try_from(outcome);
    Ok(
        match outcome.map_err(|_| DecodeError::Invalid("outcome"))? {
            wire::VoteOutcome::Granted => VoteReply::Granted,
            wire::VoteOutcome::Taken => VoteReply::Taken,
            wire::VoteOutcome::NotVoting => VoteReply::NotVoting,
            wire::VoteOutcome::Full => VoteReply::Full,
        },
    )
}

fn encode_sealed(reply: &SealReply) -> wire::Sealed {
    match reply {
        SealReply::Sealed(records) => wire::Sealed {
            is_member: true,
            keys: encode_keys(records),
        },
        SealReply::NotMember => wire::Sealed::default(),
    }
}

fn decode_sealed(sealed: wire::Sealed) -> SealReply {
    if sealed.is_member {
        SealReply::Sealed(decode_keys(sealed.keys))
    } else {
        SealReply::NotMember
    }
}
