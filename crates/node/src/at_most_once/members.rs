//! Requests to replicas, and the selection of a view's members.

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

use super::views::MemberWithAddress;
use crate::peers::exchange;
use crate::state::Node;

/// Maximum number of nodes queried when a member is selected.
const MAX_CANDIDATES: usize = 8;

/// Timeout of a request whose answer carries a complete table of records (seal) or that carries one
/// itself (install).
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A node that may become a member.
struct Candidate {
    zone: ZoneName,
    member: MemberWithAddress,
}

/// Sends a request to the replica at an address.
async fn call_replica(
    node: &Node,
    address: SocketAddr,
    call: JournalCall,
) -> Result<JournalAnswer> {
    let timeout = match &call.request {
        JournalRequest::Seal { .. } | JournalRequest::Install { .. } => TABLE_TIMEOUT,
        JournalRequest::Identify | JournalRequest::Vote { .. } | JournalRequest::Release { .. } => {
            node.settings.journal.vote_timeout
        }
    };
    let request = PeerRequest::Journal(call);
    let answer = exchange::send_request(node, address, request, timeout).await?;
    Ok(decode_journal_answer(&answer)?)
}

/// Sends a request to a member. This node's own replica answers without a connection.
pub(super) async fn call_member(
    node: &Node,
    member: &MemberWithAddress,
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
    call_replica(node, member.peers, call).await
}

/// Result of a probe of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Presence {
    /// The member answers, in the same incarnation.
    Present,
    /// The member is stopping, or another incarnation answers at its address.
    Gone,
    /// The member does not answer.
    Unresponsive,
}

/// Probes whether a member answers in the same incarnation.
pub(super) async fn probe_member(node: &Node, expected: &MemberWithAddress) -> Presence {
    match call_member(node, expected, JournalRequest::Identify).await {
        Ok(JournalAnswer::Identity {
            member,
            is_stopping: false,
        }) if member == expected.member => Presence::Present,
        Ok(_) => Presence::Gone,
        Err(_) => Presence::Unresponsive,
    }
}

/// Selects three members: those in `keep`, then other nodes that answer, preferably from zones
/// without a member. Returns `None` if too few nodes answer.
pub(super) async fn choose(
    node: &Node,
    keep: Vec<MemberWithAddress>,
) -> Option<[MemberWithAddress; VIEW_SIZE]> {
    let mut candidates = candidates(node, &keep).await;
    let mut zones: BTreeSet<ZoneName> = BTreeSet::new();
    let mut chosen = Vec::new();
    for kept in keep {
        let name = &kept.member.node;
        zones.extend(zone_of(node, name.as_str()));
        chosen.push(kept);
    }
    while chosen.len() < VIEW_SIZE && !candidates.is_empty() {
        let elsewhere = candidates
            .iter()
            .position(|member| !zones.contains(&member.zone));
        let candidate = candidates.remove(elsewhere.unwrap_or(0));
        zones.insert(candidate.zone);
        chosen.push(candidate.member);
    }
    chosen.try_into().ok()
}

/// Returns the zone of a node, if this node knows it.
fn zone_of(node: &Node, name: &str) -> Option<ZoneName> {
    let snapshot = node.peers.snapshot();
    if snapshot
        .members
        .iter()
        .any(|member| member.name.as_str() == name)
    {
        return Some(node.settings.zone.clone());
    }
    let mut zones = snapshot.zones.iter();
    let zone = zones.find(|zone| {
        zone.contacts
            .iter()
            .any(|member| member.name.as_str() == name)
    });
    zone.map(|zone| zone.zone.clone())
}

/// Returns nodes that answer and are not stopping, without those in `keep`.
async fn candidates(node: &Node, keep: &[MemberWithAddress]) -> Vec<Candidate> {
    let snapshot = node.peers.snapshot();
    let members = snapshot.members.iter().filter(|member| member.takes_work);
    let here = members.map(|member| (&node.settings.zone, &member.name, member.peers));
    let elsewhere = snapshot.zones.iter().flat_map(|zone| {
        let contacts = zone.contacts.iter();
        contacts.map(|contact| (&zone.zone, &contact.name, contact.peers))
    });
    let known = elsewhere.chain(here);
    let is_new = |name: &str| keep.iter().all(|kept| kept.member.node.as_str() != name);
    let identifications = known
        .filter(|(_, name, _)| is_new(name.as_str()))
        .take(MAX_CANDIDATES)
        .map(|(zone, _, peers)| identify(node, zone.clone(), peers));
    join_all(identifications)
        .await
        .into_iter()
        .flatten()
        .collect()
}

async fn identify(node: &Node, zone: ZoneName, peers: SocketAddr) -> Option<Candidate> {
    let call = JournalCall {
        addressee: None,
        request: JournalRequest::Identify,
    };
    let member = match call_replica(node, peers, call).await.ok()? {
        JournalAnswer::Identity {
            member,
            is_stopping: false,
        } => member,
        _ => return None,
    };
    Some(Candidate {
        zone,
        member: MemberWithAddress { member, peers },
    })
}
