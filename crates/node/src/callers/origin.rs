//! Request identifiers that tell which node serves the request, and questions to that node.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::join_all;
use sha2::{Digest, Sha256};
use tansyhall_core::{NodeId, RequestId};
use tansyhall_proto::{decode_status_answer, PeerRequest, StatusAnswer, StatusQuery};

use crate::peers::exchange;
use crate::state::Node;

/// Bits of an identifier that are drawn at random; those above them are the serving node's tag.
const RANDOM_BITS: u32 = 96;
/// Bytes of a node's tag.
const TAG_BYTES: usize = 4;
/// Contacts of one other zone that are asked, one after the other.
const CONTACTS_ASKED: usize = 2;

/// A new identifier of a request that this node serves.
pub fn new_request_id(node: &Node) -> RequestId {
    let tag = u128::from(tag_of(&node.settings.name));
    let random = rand::random::<u128>() & ((1 << RANDOM_BITS) - 1);
    RequestId(tag << RANDOM_BITS | random)
}

/// A digest of a node's name. Two nodes may share one, and then both are asked.
fn tag_of(name: &NodeId) -> u32 {
    let digest = Sha256::digest(name.as_str());
    let mut bytes = [0; TAG_BYTES];
    bytes.copy_from_slice(&digest[..TAG_BYTES]);
    u32::from_be_bytes(bytes)
}

fn served_by(id: RequestId, name: &NodeId) -> bool {
    id.0 >> RANDOM_BITS == u128::from(tag_of(name))
}

/// What this node knows of a request that it serves or has served lately.
fn known_here(node: &Node, id: RequestId) -> Option<Bytes> {
    let record = node.callers.requests.get(id)?;
    let status = record.status(node.clock.now());
    serde_json::to_vec(&status).ok().map(Bytes::from)
}

/// Answers a peer's question; the serving node is asked if it is another member of this zone.
pub async fn answer_peer(node: &Node, query: StatusQuery) -> StatusAnswer {
    if let Some(resource) = known_here(node, query.request) {
        return StatusAnswer::Known(resource);
    }
    if !query.may_forward {
        return StatusAnswer::Unknown;
    }
    ask_zone(node, query.request).await
}

/// Asks for a request that this node does not know: the member of this zone that serves it, by the
/// identifier, and if there is none, one contact of each other zone.
pub async fn ask_peers(node: &Node, id: RequestId) -> StatusAnswer {
    if served_by(id, &node.settings.name) {
        return StatusAnswer::Unknown;
    }
    match ask_zone(node, id).await {
        StatusAnswer::Unknown => ask_other_zones(node, id).await,
        answer => answer,
    }
}

async fn ask_zone(node: &Node, id: RequestId) -> StatusAnswer {
    let snapshot = node.peers.snapshot();
    let own = &node.settings.name;
    let members = snapshot.members.iter();
    let serving = members.filter(|member| member.name != *own && served_by(id, &member.name));
    let query = StatusQuery {
        request: id,
        may_forward: false,
    };
    let asked = serving.map(|member| ask(node, member.peers, query));
    clearest(join_all(asked).await)
}

async fn ask_other_zones(node: &Node, id: RequestId) -> StatusAnswer {
    let snapshot = node.peers.snapshot();
    let asked = snapshot.zones.iter().map(|zone| async {
        let query = StatusQuery {
            request: id,
            may_forward: true,
        };
        for contact in zone.contacts.iter().take(CONTACTS_ASKED) {
            match ask(node, contact.peers, query).await {
                StatusAnswer::Unreachable if !served_by(id, &contact.name) => {}
                answer => return answer,
            }
        }
        StatusAnswer::Unreachable
    });
    clearest(join_all(asked).await)
}

/// The answer of one that knows the request; else that one cannot be reached; else none knows it.
fn clearest(answers: Vec<StatusAnswer>) -> StatusAnswer {
    let mut clearest = StatusAnswer::Unknown;
    for answer in answers {
        match answer {
            StatusAnswer::Known(_) => return answer,
            StatusAnswer::Unreachable => clearest = answer,
            StatusAnswer::Unknown => {}
        }
    }
    clearest
}

async fn ask(node: &Node, peer: SocketAddr, query: StatusQuery) -> StatusAnswer {
    let timeout = node.settings.limits.connect_timeout;
    let request = PeerRequest::Status(query);
    let answer = exchange::ask(node, peer, request, timeout).await;
    let answer = answer.ok().and_then(|it| decode_status_answer(&it).ok());
    answer.unwrap_or(StatusAnswer::Unreachable)
}
