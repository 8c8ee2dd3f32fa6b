//! Configuration pulls: requests to peers, and this node's answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use tansyhall_dissemination::PullBody;
use tansyhall_proto::{decode_pull_answer, PeerRequest, PullAnswer};

use super::exchange;
use crate::state::Node;

/// Requests the changes newer than `held_revision` from a peer.
pub(super) async fn pull_configuration(
    node: Arc<Node>,
    peer: SocketAddr,
    held_revision: u64,
    timeout: Duration,
) -> Result<PullAnswer> {
    let request = PeerRequest::Pull { held_revision };
    let answer = exchange::send_request(&node, peer, request, timeout).await?;
    Ok(decode_pull_answer(&answer)?)
}

/// Answers a pull with the changes newer than `held_revision`. A node that is still recovering has
/// nothing in force and answers revision 0, so that it does not distribute a configuration that it
/// has not yet compared with other nodes.
pub(super) fn answer_pull(node: &Node, held_revision: u64) -> PullAnswer {
    let staleness = node.metrics.peers.staleness_seconds.get();
    let confirmation_age = Duration::try_from_secs_f64(staleness).unwrap_or(Duration::MAX);
    let is_recovering = node.in_force.load().configuration.revision == 0;
    let body = match is_recovering {
        true => PullBody::Current { revision: 0 },
        false => node.held_configuration.lock().answer(held_revision),
    };
    PullAnswer {
        confirmation_age,
        body,
    }
}
