//! Zone digests, which zones exchange instead of their full member tables: a few figures and
//! contacts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tansyhall_core::{NodeId, ZoneName};

/// A member of a zone that nodes of other zones may pull the configuration from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// The name of the member.
    pub name: NodeId,
    /// The address at which other nodes reach it.
    pub peers: SocketAddr,
    /// The revision of the configuration that it has in force.
    pub configuration_revision: u64,
}

/// The total load of a zone's back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSummary {
    /// The number of back ends that accept work.
    pub backends: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of requests in progress.
    pub running: u32,
}

/// A summary of one zone that is sent to the other zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneName,
    /// Increases with time. Of two digests of a zone, the one with the larger version is kept. The
    /// version is derived from the wall clocks of the zone's relays. A wrong clock only delays
    /// updates, which is acceptable because digests are advisory.
    pub version: u64,
    /// The number of reachable members.
    pub live_members: u32,
    /// The highest revision of the configuration that a member has in force.
    pub configuration_revision: u64,
    /// Members that nodes of other zones may contact.
    pub contacts: Vec<Contact>,
    /// The load of the zone's back ends.
    pub load: LoadSummary,
}

impl ZoneDigest {
    /// Returns whether this digest must be propagated to the members of the receiving zone, which
    /// have `known`. Differences of the load alone are not propagated.
    fn differs_from(&self, known: &ZoneDigest) -> bool {
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

/// The result of inserting a received digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestUpdate {
    /// The digest is not newer than the stored one, or the capacity is reached.
    Ignored,
    /// The digest is newer, but its content is the same.
    Refreshed,
    /// The digest has new content.
    Changed,
}

impl ZoneDigests {
    /// Stores a digest if it is newer than the stored one. The digest of a further zone is ignored
    /// if the capacity is reached.
    pub(crate) fn insert_if_newer(&mut self, digest: &ZoneDigest, capacity: usize) -> DigestUpdate {
        let Some(known) = self.zones.get_mut(&digest.zone) else {
            if self.zones.len() >= capacity {
                return DigestUpdate::Ignored;
            }
            self.zones.insert(digest.zone.clone(), digest.clone());
            return DigestUpdate::Changed;
        };
        if digest.version <= known.version {
            return DigestUpdate::Ignored;
        }
        let changed = digest.differs_from(known);
        *known = digest.clone();
        if changed {
            return DigestUpdate::Changed;
        }
        DigestUpdate::Refreshed
    }

    pub(crate) fn get(&self, zone: &ZoneName) -> Option<&ZoneDigest> {
        self.zones.get(zone)
    }

    /// Returns all digests, ordered by zone name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ZoneDigest> {
        self.zones.values()
    }
}
