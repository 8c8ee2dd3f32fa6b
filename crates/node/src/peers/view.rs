//! The view of other nodes that the rest of this node reads: a snapshot that is cheap to load.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::Serialize;
use tansyhall_core::{EngineName, Incarnation, NodeId, ZoneName};
use tansyhall_membership::{Contact, MemberRecord, MemberState, Membership, ZoneDigest};

/// One member of the zone.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: NodeId,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: &'static str,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force there, as last reported.
    pub configuration_revision: u64,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where nodes reach it.
    pub peers: SocketAddr,
    /// Whether new work may be sent to it.
    pub takes_work: bool,
}

/// A member of another zone to which requests may be sent.
#[derive(Debug, Clone)]
pub struct ZoneContact {
    /// Its name.
    pub name: NodeId,
    /// Where nodes reach it.
    pub peers: SocketAddr,
}

/// Another zone, as last reported.
#[derive(Debug, Clone, Serialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneName,
    /// Members of the zone that are reachable.
    pub live_members: u32,
    /// Highest revision of the configuration in force there.
    pub configuration_revision: u64,
    /// Members to contact.
    #[serde(skip)]
    pub contacts: Vec<ZoneContact>,
}

/// Members and zones at one point in time.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PeersSnapshot {
    /// Members of this node's zone by name, including this node and dead members.
    pub members: Vec<MemberStatus>,
    /// Other zones, by name.
    pub zones: Vec<ZoneStatus>,
    /// Members that exchange information with other zones; the first one follows the configuration
    /// store.
    pub relays: Vec<NodeId>,
    /// Back ends of the zone that get no new work, because their machines are about to be removed.
    pub leaving_backends: BTreeSet<EngineName>,
}

/// The view of other nodes that this node's threads share.
#[derive(Debug, Default)]
pub struct PeersView {
    snapshot: ArcSwap<PeersSnapshot>,
    follows_store: AtomicBool,
}

/// Returns the name of a state in status answers and metrics.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

impl PeersView {
    /// Returns the members and zones as last published, which is a moment ago.
    pub fn snapshot(&self) -> Arc<PeersSnapshot> {
        self.snapshot.load_full()
    }

    /// Returns whether a back end's machine is about to be removed, so that it gets no new work.
    pub fn is_backend_leaving(&self, name: &EngineName) -> bool {
        self.snapshot.load().leaving_backends.contains(name)
    }

    /// Returns whether this node should follow the configuration store now.
    pub fn follows_store(&self) -> bool {
        self.follows_store.load(Ordering::Acquire)
    }

    pub(super) fn set_follows_store(&self, follows_store: bool) {
        self.follows_store.store(follows_store, Ordering::Release);
    }

    pub(super) fn publish(&self, membership: &Membership) {
        let snapshot = PeersSnapshot {
            members: membership.members().map(member_status).collect(),
            zones: membership.zone_digests().map(zone_status).collect(),
            relays: membership.relays(),
            leaving_backends: membership.leaving_backends().cloned().collect(),
        };
        self.snapshot.store(Arc::new(snapshot));
    }
}

fn member_status(record: &MemberRecord) -> MemberStatus {
    MemberStatus {
        name: record.name.clone(),
        state: state_name(record.state),
        incarnation: record.incarnation,
        configuration_revision: record.configuration_revision,
        admin: record.addresses.admin,
        callers: record.addresses.callers,
        peers: record.addresses.peers,
        takes_work: record.accepts_work(),
    }
}

fn zone_status(digest: &ZoneDigest) -> ZoneStatus {
    ZoneStatus {
        zone: digest.zone.clone(),
        live_members: digest.live_members,
        configuration_revision: digest.configuration_revision,
        contacts: digest.contacts.iter().map(zone_contact).collect(),
    }
}

fn zone_contact(contact: &Contact) -> ZoneContact {
    ZoneContact {
        name: contact.name.clone(),
        peers: contact.peers,
    }
}
