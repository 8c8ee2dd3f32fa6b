//! Selects the engines that a node follows. No node follows every engine of a large pool: each follows the
//! engines that rank highest for it by rendezvous hashing. The subsets then overlap evenly, change little
//! when engines join or leave, and need no coordination between nodes.

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{EngineName, NodeId};

/// Returns the engines of a pool that `node` follows: all of them if there are at most `limit`, otherwise the
/// `limit` engines that rank highest for the node.
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
