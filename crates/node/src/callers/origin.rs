//! Request identifiers that encode which node serves the request, and status queries to that node.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::join_all;
use sha2::{Digest, Sha256};
use tansyhall_core::{NodeId, RequestId};
use tansyhall_proto::{decode_status_answer, PeerRequest, StatusAnswer, StatusQuery};

use crate::peers::exchange;
use crate::state::Node;

/// Number of random bits in an identifier. The bits above them are the tag of the serving node.
const RANDOM_BITS: u32 = 96;
/// Size of a node's tag, in bytes.
const NODE_TAG_BYTES: usize = 4;
/// Maximum number of contacts of another zone that are queried, one after the other.
const MAX_CONTACTS_PER_ZONE: usize = 2;

/// Returns a new identifier for a request that this node serves.
pub fn new_request_id(node: &Node) -> RequestId {
    let tag = u128::from(node_tag(&node.settings.name));
    let random = rand::random::<u128>() & ((1 << RANDOM_BITS) - 1);
    RequestId(tag << RANDOM_BITS | random)
}

/// Returns a node's tag, a digest of its name. Two nodes may have the same tag; both are queried
/// then.
fn node_tag(name: &NodeId) -> u32 {
    let digest = Sha256::digest(name.as_str());
    let mut bytes = [0; NODE_TAG_BYTES];
    bytes.copy_from_slice(&digest[..NODE_TAG_BYTES]);
    u32::from_be_bytes(bytes)
}

fn is_served_by(id: RequestId, name: &NodeId) -> bool {
    id.0 >> RANDOM_BITS == u128::from(node_tag(name))
}

/// Returns the status of a request that this node serves or has recently served.
fn local_status(node: &Node, id: RequestId) -> Option<Bytes> {
    let record = node.callers.requests.get(id)?;
    let status = record.status(node.clock.now());
    serde_json::to_vec(&status).ok().map(Bytes::from)
}

/// Answers a peer's status query. If another member of this zone serves the request and the query
/// may be forwarded, that member is queried.
pub async fn answer_peer(node: &Node, query: StatusQuery) -> StatusAnswer {
    if let Some(resource) = local_status(node, query.request) {
        return StatusAnswer::Known(resource);
    }
    if !query.may_forward {
        return StatusAnswer::Unknown;
    }
    query_zone(node, query.request).await
}

/// Queries peers for a request that this node does not know: the member of this zone that serves it
/// according to its identifier and, if there is none, a contact in each other zone.
pub async fn query_peers(node: &Node, id: RequestId) -> StatusAnswer {
    if is_served_by(id, &node.settings.name) {
        return StatusAnswer::Unknown;
    }
    match query_zone(node, id).await {
        StatusAnswer::Unknown => query_other_zones(node, id).await,
        answer => answer,
    }
}

async fn query_zone(node: &Node, id: RequestId) -> StatusAnswer {
    let snapshot = node.peers.snapshot();
    let own_name = &node.settings.name;
    let members = snapshot.members.iter();
    let serving =
        members.filter(|member| member.name != *own_name && is_served_by(id, &member.name));
    let query = StatusQuery {
        request: id,
        may_forward: false,
    };
    let queries = serving.map(|member| query_peer(node, member.peers, query));
    most_informative(join_all(queries).await)
}

async fn query_other_zones(node: &Node, id: RequestId) -> StatusAnswer {
    let snapshot = node.peers.snapshot();
    let queries = snapshot.zones.iter().map(|zone| async {
        let query = StatusQuery {
            request: id,
            may_forward: true,
        };
        for contact in zone.contacts.iter().take(MAX_CONTACTS_PER_ZONE) {
            match query_peer(node, contact.peers, query).await {
                StatusAnswer::Unreachable if !is_served_by(id, &contact.name) => {}
                answer => return answer,
            }
        }
        StatusAnswer::Unreachable
    });
    most_informative(join_all(queries).await)
}

/// Returns the most informative answer: that of a peer that knows the request, otherwise that a
/// peer cannot be reached, otherwise that no peer knows the request.
fn most_informative(answers: Vec<StatusAnswer>) -> StatusAnswer {
    let mut most_informative = StatusAnswer::Unknown;
    for answer in answers {
        match answer {
            StatusAnswer::Known(_) => return answer,
            StatusAnswer::Unreachable => most_informative = answer,
            StatusAnswer::Unknown => {}
        }
    }
    most_informative
}

async fn query_peer(node: &Node, peer: SocketAddr, query: StatusQuery) -> StatusAnswer {
    let timeout = node.settings.limits.connect_timeout;
    let request = PeerRequest::Status(query);
    let answer = exchange::send_request(node, peer, request, timeout).await;
    let answer = answer
        .ok()
        .and_then(|bytes| decode_status_answer(&bytes).ok());
    answer.unwrap_or(StatusAnswer::Unreachable)
}
