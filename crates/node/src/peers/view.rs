//! Other nodes as the rest of this node may see them: a snapshot that is cheap to read.

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
    /// Revision of the configuration in force there, as last heard.
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

/// A member of another zone that may be asked.
#[derive(Debug, Clone)]
pub struct ZoneContact {
    /// Its name.
    pub name: NodeId,
    /// Where nodes reach it.
    pub peers: SocketAddr,
}

/// Another zone, as last heard.
#[derive(Debug, Clone, Serialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneName,
    /// Members that answer.
    pub live_members: u32,
    /// Highest revision of the configuration in force there.
    pub configuration_revision: u64,
    /// Members to contact.
    #[serde(skip)]
    pub contacts: Vec<ZoneContact>,
}

/// Members and zones at one moment.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PeersSnapshot {
    /// Members of this node's zone, itself and the dead included, by name.
    pub members: Vec<MemberStatus>,
    /// Other zones, by name.
    pub zones: Vec<ZoneStatus>,
    /// Members that speak for the zone; the first follows the configuration store.
    pub relays: Vec<NodeId>,
    /// Back ends of the zone that get no new work, because their machines are about to be taken
    /// away.
    pub leaving_backends: BTreeSet<EngineName>,
}

/// What the node's threads see of its peers.
#[derive(Debug, Default)]
pub struct PeersView {
    snapshot: ArcSwap<PeersSnapshot>,
    follows_store: AtomicBool,
}

/// The name of a state in status and metrics.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

impl PeersView {
    /// The members and zones, as of a moment ago.
    pub fn snapshot(&self) -> Arc<PeersSnapshot> {
        self.snapshot.load_full()
    }

    /// Whether a back end's machine is about to be taken away, so that it gets no new work.
    pub fn is_backend_leaving(&self, name: &EngineName) -> bool {
        self.snapshot.load().leaving_backends.contains(name)
    }

    /// Whether this node should follow the configuration store now.
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
