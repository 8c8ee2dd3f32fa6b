//! Requests to replicas, and the choice of a view's members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use futures_util::future::join_all;
use tansyhall_core::ZoneName;
use tansyhall_journal::VIEW_SIZE;
use tansyhall_proto::{
    decode_journal_answer, JournalAnswer, JournalCall, JournalRequest, PeerRequest,
};

use super::views::PlacedMember;
use crate::peers::exchange;
use crate::state::Node;

/// Nodes asked at most when a member is sought.
const MAX_CANDIDATES: usize = 8;

/// Longest wait for an answer that carries, or follows, a whole table of records.
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A node that may become a member.
struct Candidate {
    zone: ZoneName,
    placed: PlacedMember,
}

/// Sends a request to the replica at an address.
async fn ask(node: &Node, address: SocketAddr, call: JournalCall) -> Result<JournalAnswer> {
    let timeout = match &call.request {
        JournalRequest::Seal { .. } | JournalRequest::Install { .. } => TABLE_TIMEOUT,
        JournalRequest::Identify | JournalRequest::Vote { .. } | JournalRequest::Release { .. } => {
            node.settings.journal.vote_timeout
        }
    };
    let request = PeerRequest::Journal(call);
    let answer = exchange::ask(node, address, request, timeout).await?;
    Ok(decode_journal_answer(&answer)?)
}

/// Sends a request to a member; this node's own replica answers without a connection.
pub(super) async fn ask_member(
    node: &Node,
    member: &PlacedMember,
    request: JournalRequest,
) -> Result<JournalAnswer> {
    let is_own = member.member == *node.journal.member();
    let call = JournalCall {
        addressee: Some(member.member.clone()),
        request,
    };
    if is_own {
        let now = node.clock.now();
        return Ok(node.journal.answer(now, call, node.is_stopping()));
    }
    ask(node, member.peers, call).await
}

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Presence {
    /// It answers, in its incarnation.
    Present,
    /// It is stopping, or another incarnation answers in its place.
    Gone,
    /// It does not answer.
    Silent,
}

/// Looks whether a member answers in its incarnation.
pub(super) async fn look_at(node: &Node, placed: &PlacedMember) -> Presence {
    match ask_member(node, placed, JournalRequest::Identify).await {
        Ok(JournalAnswer::Identity {
            member,
            is_stopping: false,
        }) if member == placed.member => Presence::Present,
        Ok(_) => Presence::Gone,
        Err(_) => Presence::Silent,
    }
}

/// Three members: those to keep, then others that answer, of zones that have none first. Absent if
/// too few answer.
pub(super) async fn choose(
    node: &Node,
    keep: Vec<PlacedMember>,
) -> Option<[PlacedMember; VIEW_SIZE]> {
    let mut candidates = candidates(node, &keep).await;
    let mut zones: BTreeSet<ZoneName> = BTreeSet::new();
    let mut chosen = Vec::new();
    for kept in keep {
        let name = &kept.member.node;
        zones.extend(zone_of(node, name.as_str()));
        chosen.push(kept);
    }
    while chosen.len() < VIEW_SIZE && !candidates.is_empty() {
        let elsewhere = candidates.iter().position(|it| !zones.contains(&it.zone));
        let candidate = candidates.remove(elsewhere.unwrap_or(0));
        zones.insert(candidate.zone);
        chosen.push(candidate.placed);
    }
    chosen.try_into().ok()
}

/// The zone of a node, as far as this node has heard of it.
fn zone_of(node: &Node, name: &str) -> Option<ZoneName> {
    let snapshot = node.peers.snapshot();
    if snapshot.members.iter().any(|it| it.name.as_str() == name) {
        return Some(node.settings.zone.clone());
    }
    let mut zones = snapshot.zones.iter();
    let zone = zones.find(|zone| zone.contacts.iter().any(|it| it.name.as_str() == name));
    zone.map(|zone| zone.zone.clone())
}

/// Nodes that answer and are not about to stop, without those to keep.
async fn candidates(node: &Node, keep: &[PlacedMember]) -> Vec<Candidate> {
    let snapshot = node.peers.snapshot();
    let members = snapshot.members.iter().filter(|member| member.takes_work);
    let here = members.map(|member| (&node.settings.zone, &member.name, member.peers));
    let elsewhere = snapshot.zones.iter().flat_map(|zone| {
        let contacts = zone.contacts.iter();
        contacts.map(|contact| (&zone.zone, &contact.name, contact.peers))
    });
    let known = elsewhere.chain(here);
    let is_new = |name: &str| keep.iter().all(|kept| kept.member.node.as_str() != name);
    let asked = known
        .filter(|(_, name, _)| is_new(name.as_str()))
        .take(MAX_CANDIDATES)
        .map(|(zone, _, peers)| identify(node, zone.clone(), peers));
    join_all(asked).await.into_iter().flatten().collect()
}

async fn identify(node: &Node, zone: ZoneName, peers: SocketAddr) -> Option<Candidate> {
    let call = JournalCall {
        addressee: None,
        request: JournalRequest::Identify,
    };
    let member = match ask(node, peers, call).await.ok()? {
        JournalAnswer::Identity {
            member,
            is_stopping: false,
        } => member,
        _ => return None,
    };
    Some(Candidate {
        zone,
        placed: PlacedMember { member, peers },
    })
}
