//! Which engines a node follows. No node follows every engine of a large pool: each takes the
//! engines that rank highest for it by rendezvous hashing, so that subsets overlap evenly, move
//! little when engines come and go, and need no agreement between nodes.

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{EngineName, NodeId};

/// The engines of a pool that `node` follows: all of them up to `limit`, else the `limit` that rank
/// highest for the node.
pub fn followed_engines<'a>(
    node: &NodeId,
    engines: impl IntoIterator<Item = &'a EngineName>,
    limit: usize,
) -> Vec<&'a EngineName> {
    let mut engines: Vec<&EngineName> = engines.into_iter().collect();
    if engines.len() <= limit {
        return engines;
    }
    engines.sort_by_cached_key(|engine| {
        std::cmp::Reverse(rendezvous_weight(
            node.as_ref(),
            AsRef::<[u8]>::as_ref(*engine),
        ))
    });
    engines.truncate(limit);
    engines
}
