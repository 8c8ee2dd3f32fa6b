//! Mirror updates for other gateways, deflated once for all gateways that lack the same changes.
//!
//! A relay sends the same updates to dozens of subscribers over one link. Workers' entries resemble each other: 10,000
//! of them take about 3 MB in the store and a tenth of that when deflated. A snapshot is deflated again only when the
//! mirror's history no longer contains the changes since; a gateway that receives an older snapshot requests these
//! changes next.

use std::collections::VecDeque;

use bytes::Bytes;
use tansyhall_forwarding::{Mirror, MirrorUpdate, Position};

use crate::update_message::deflate_items;

/// Updates with fewer bytes are sent without compression.
const MIN_DEFLATED_BYTES: usize = 1 << 10;
/// Number of deflated sets of changes that are kept. A few suffice, because subscribers that poll at the same rate lack
/// one of a few ranges.
const MAX_CACHED_CHANGES: usize = 8;

/// A deflated update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeflatedUpdate {
    /// The position of the receiver's mirror after the update.
    pub position: Position,
    /// Whether the items are a snapshot; otherwise they are changes.
    pub is_snapshot: bool,
    /// Whether the changes span a gap, see [`MirrorUpdate::Changes`].
    pub spans_gap: bool,
    /// The deflated items.
    pub items: Bytes,
}

/// The answer to a gateway that requests changes.
#[derive(Debug)]
pub enum UpdateAnswer {
    /// The gateway's mirror lacks no changes.
    UpToDate,
    /// An update that is too short to be deflated, or could not be.
    Plain(MirrorUpdate),
    /// A deflated update.
    Deflated(DeflatedUpdate),
}

impl UpdateAnswer {
    /// Returns whether it consists of changes that span a gap.
    pub fn spans_gap(&self) -> bool {
        match self {
            UpdateAnswer::UpToDate => false,
            UpdateAnswer::Plain(update) => matches!(
                update,
                MirrorUpdate::Changes {
                    spans_gap: true,
                    ..
                }
            ),
            UpdateAnswer::Deflated(update) => update.spans_gap,
        }
    }
}

/// The latest deflated updates.
#[derive(Debug, Default)]
pub struct UpdateCache {
    snapshot: Option<DeflatedUpdate>,
    /// Each with the position after which its changes begin.
    changes: VecDeque<(Position, DeflatedUpdate)>,
}

impl UpdateCache {
    /// Returns the update for a gateway whose mirror has this position.
    pub fn update_after(&mut self, mirror: &Mirror, position: Position) -> UpdateAnswer {
        if position >= mirror.position() {
            return UpdateAnswer::UpToDate;
        }
        if let Some(cached) = self.cached(mirror, position) {
            return UpdateAnswer::Deflated(cached);
        }
        let Some(update) = mirror.update_after(position) else {
            return UpdateAnswer::UpToDate;
        };
        if size_in_bytes(&update) < MIN_DEFLATED_BYTES {
            return UpdateAnswer::Plain(update);
        }
        let Some(deflated) = deflate(update.clone()) else {
            return UpdateAnswer::Plain(update);
        };
        self.store(position, deflated.clone());
        UpdateAnswer::Deflated(deflated)
    }

    fn cached(&self, mirror: &Mirror, position: Position) -> Option<DeflatedUpdate> {
        if !mirror.has_history_since(position) {
            let snapshot = self.snapshot.as_ref()?;
            return is_usable_after(snapshot, mirror, position).then(|| snapshot.clone());
        }
        let leads_to_mirror = |(after, update): &&(Position, DeflatedUpdate)| {
            *after == position && update.position == mirror.position()
        };
        let cached = self.changes.iter().find(leads_to_mirror);
        cached.map(|(_, update)| update.clone())
    }

    fn store(&mut self, after: Position, update: DeflatedUpdate) {
        if update.is_snapshot {
            self.snapshot = Some(update);
            return;
        }
        self.changes.push_back((after, update));
        if self.changes.len() > MAX_CACHED_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// Returns whether a snapshot that was deflated earlier can be sent to a gateway at this position: it is newer, belongs
/// to the current epoch, and the mirror's history contains the changes since.
fn is_usable_after(snapshot: &DeflatedUpdate, mirror: &Mirror, position: Position) -> bool {
    let is_newer = snapshot.position > position;
    let is_current_epoch = snapshot.position.epoch == mirror.position().epoch;
    is_newer && is_current_epoch && mirror.has_history_since(snapshot.position)
}

fn size_in_bytes(update: &MirrorUpdate) -> usize {
    match update {
        MirrorUpdate::Changes { changes, .. } => changes.iter().map(|change| change.bytes()).sum(),
        MirrorUpdate::Snapshot(snapshot) => snapshot.items.iter().map(|item| item.bytes()).sum(),
    }
}

fn deflate(update: MirrorUpdate) -> Option<DeflatedUpdate> {
    let (position, is_snapshot, spans_gap) = match &update {
        MirrorUpdate::Changes {
            position,
            spans_gap,
            ..
        } => (*position, false, *spans_gap),
        MirrorUpdate::Snapshot(snapshot) => (snapshot.position, true, false),
    };
    let items = deflate_items(update)?;
    Some(DeflatedUpdate {
        position,
        is_snapshot,
        spans_gap,
        items: Bytes::from(items),
    })
}
