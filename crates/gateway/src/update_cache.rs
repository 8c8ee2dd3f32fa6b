//! Answers to gateways that ask for what is new in the store, deflated once for all that lack the same.
//!
//! A relay tells dozens of subscribers the same over one link. Entries of workers are alike: 10,000 of them are some
//! 3 MB as they lie in the store and a tenth of that deflated. The whole copy is deflated anew only when the changes
//! since are not remembered any more: whoever gets an older one asks for those next.

use std::collections::VecDeque;

use bytes::Bytes;
use tansyhall_forwarding::{Mirror, MirrorUpdate, Position};

use crate::update_message::deflate_items;

/// Shorter updates are sent as they are, in bytes.
const MIN_DEFLATED_BYTES: usize = 1 << 10;
/// Deflated changes that are kept: subscribers that ask at the same pace lack one of few ranges.
const KEPT_CHANGES: usize = 8;

/// Items that were deflated, and what they lead to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeflatedUpdate {
    /// The position that its receiver then has.
    pub position: Position,
    /// Whether it is the whole copy, and not changes of it.
    pub whole: bool,
    /// Whether its changes lead over a gap.
    pub skips: bool,
    /// The deflated items.
    pub items: Bytes,
}

/// What is to be told.
#[derive(Debug)]
pub enum CopyAnswer {
    /// Nothing is new.
    Nothing,
    /// Little is.
    Plain(MirrorUpdate),
    /// This, deflated.
    Deflated(DeflatedUpdate),
}

impl CopyAnswer {
    /// Whether it tells changes that lead over a gap.
    pub fn skips(&self) -> bool {
        match self {
            CopyAnswer::Nothing => false,
            CopyAnswer::Plain(update) => matches!(
                update,
                MirrorUpdate::Changes {
                    spans_gap: true,
                    ..
                }
            ),
            CopyAnswer::Deflated(update) => update.skips,
        }
    }
}

/// Updates that were deflated lately.
#[derive(Debug, Default)]
pub struct CopyAnswers {
    whole: Option<DeflatedUpdate>,
    /// With the positions after which they are changes.
    changes: VecDeque<(Position, DeflatedUpdate)>,
}

impl CopyAnswers {
    /// What a gateway whose copy has this position is to be told.
    pub fn after(&mut self, mirror: &Mirror, position: Position) -> CopyAnswer {
        if position >= mirror.position() {
            return CopyAnswer::Nothing;
        }
        if let Some(known) = self.known(mirror, position) {
            return CopyAnswer::Deflated(known);
        }
        let Some(update) = mirror.update_after(position) else {
            return CopyAnswer::Nothing;
        };
        if size(&update) < MIN_DEFLATED_BYTES {
            return CopyAnswer::Plain(update);
        }
        let Some(deflated) = deflate(update.clone()) else {
            return CopyAnswer::Plain(update);
        };
        self.keep(position, deflated.clone());
        CopyAnswer::Deflated(deflated)
    }

    fn known(&self, mirror: &Mirror, position: Position) -> Option<DeflatedUpdate> {
        if !mirror.has_history_since(position) {
            let whole = self.whole.as_ref()?;
            return leads_on(whole, mirror, position).then(|| whole.clone());
        }
        let leads_to_now = |(after, update): &&(Position, DeflatedUpdate)| {
            *after == position && update.position == mirror.position()
        };
        let known = self.changes.iter().find(leads_to_now);
        known.map(|(_, update)| update.clone())
    }

    fn keep(&mut self, after: Position, update: DeflatedUpdate) {
        if update.whole {
            self.whole = Some(update);
            return;
        }
        self.changes.push_back((after, update));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// Whether a whole copy that was deflated earlier helps whoever has this position: it is newer, of the present epoch, and
/// the changes since are remembered.
fn leads_on(whole: &DeflatedUpdate, mirror: &Mirror, position: Position) -> bool {
    let is_newer = whole.position > position;
    let is_present = whole.position.epoch == mirror.position().epoch;
    is_newer && is_present && mirror.has_history_since(whole.position)
}

fn size(update: &MirrorUpdate) -> usize {
    match update {
        MirrorUpdate::Changes { changes, .. } => changes.iter().map(|change| change.bytes()).sum(),
        MirrorUpdate::Snapshot(snapshot) => snapshot.items.iter().map(|item| item.bytes()).sum(),
    }
}

fn deflate(update: MirrorUpdate) -> Option<DeflatedUpdate> {
    let (position, whole, skips) = match &update {
        MirrorUpdate::Changes {
            position,
            spans_gap: skips,
            ..
        } => (*position, false, *skips),
        MirrorUpdate::Snapshot(snapshot) => (snapshot.position, true, false),
    };
    let items = deflate_items(update)?;
    Some(DeflatedUpdate {
        position,
        whole,
        skips,
        items: Bytes::from(items),
    })
}
