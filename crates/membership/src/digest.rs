//! What zones tell each other: a few figures and contacts, not every member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tansyhall_core::{NodeId, ZoneName};

/// A member of a zone that others may pull the configuration from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Its name.
    pub name: NodeId,
    /// Where nodes reach it.
    pub peers: SocketAddr,
    /// Revision of the configuration in force there.
    pub configuration_revision: u64,
}

/// Load of a zone's back ends, summed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSummary {
    /// Back ends that take work.
    pub backends: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests in progress.
    pub running: u32,
}

/// What one zone tells the others about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneName,
    /// Grows with time; of two digests of a zone the one with the larger version is kept. It
    /// follows the relays' wall clocks, and a wrong clock only delays what is advice anyway.
    pub version: u64,
    /// Members that answer.
    pub live_members: u32,
    /// Highest revision of the configuration in force at a member.
    pub configuration_revision: u64,
    /// Members to contact.
    pub contacts: Vec<Contact>,
    /// Load of the zone's back ends.
    pub load: LoadSummary,
}

impl ZoneDigest {
    /// Whether the zone's members should hear of this digest, `known` being what they have.
    fn differs(&self, known: &ZoneDigest) -> bool {
        self.live_members != known.live_members
            || self.contacts.len() != known.contacts.len()
            || self.configuration_revision != known.configuration_revision
    }
}

/// The newest digest of each other zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneDigests {
    zones: BTreeMap<ZoneName, ZoneDigest>,
}

/// What became of a digest that was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestOutcome {
    /// Nothing new, or no room.
    Ignored,
    /// Newer, but with the same content.
    Refreshed,
    /// New content.
    Changed,
}

impl ZoneDigests {
    /// Keeps a digest if it is newer than the one held, and there is room for its zone.
    pub(crate) fn offer(&mut self, digest: &ZoneDigest, capacity: usize) -> DigestOutcome {
        let Some(known) = self.zones.get_mut(&digest.zone) else {
            if self.zones.len() >= capacity {
                return DigestOutcome::Ignored;
            }
            self.zones.insert(digest.zone.clone(), digest.clone());
            return DigestOutcome::Changed;
        };
        if digest.version <= known.version {
            return DigestOutcome::Ignored;
        }
        let changed = digest.differs(known);
        *known = digest.clone();
        if changed {
            return DigestOutcome::Changed;
        }
        DigestOutcome::Refreshed
    }

    /// The digest of a zone.
    pub(crate) fn get(&self, zone: &ZoneName) -> Option<&ZoneDigest> {
        self.zones.get(zone)
    }

    /// Every digest, by zone name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ZoneDigest> {
        self.zones.values()
    }
}
