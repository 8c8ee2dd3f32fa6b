//! Times and bounds of the failure detector.

use tansyhall_core::{Duration, FleetId};

/// Times and bounds; the defaults fit zones of up to a few hundred nodes.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The node's fleet; messages of others are passed over.
    pub fleet: FleetId,
    /// Time between probes; each probes one member.
    pub probe_period: Duration,
    /// Time after which a probe without an answer is retried through other members.
    pub probe_timeout: Duration,
    /// Members asked to probe on one's behalf.
    pub indirect_probes: usize,
    /// Suspicion lasts this many probe periods, times the decimal logarithm of the zone's size.
    pub suspicion_factor: u32,
    /// Updates carried by one datagram at most.
    pub max_updates: usize,
    /// Zone digests carried by one datagram at most.
    pub max_digests: usize,
    /// Each update is carried this many times, times the binary logarithm of the zone's size.
    pub retransmit_factor: u32,
    /// Members that are told of a change at once.
    pub notice_fanout: usize,
    /// Shortest time between rounds of such notices.
    pub notice_period: Duration,
    /// Time between comparisons of the whole table with one other member.
    pub sync_period: Duration,
    /// Time between tries to reach a dead member or a contact that is no member.
    pub reconnect_period: Duration,
    /// Time between tries to join.
    pub join_period: Duration,
    /// After this long without an answer to a join, the node counts itself as alone.
    pub join_grace: Duration,
    /// How long dead members are remembered.
    pub dead_retention: Duration,
    /// Most members remembered, dead ones included.
    pub max_members: usize,
    /// Most contacts remembered.
    pub max_contacts: usize,
    /// Members of a zone that exchange digests with other zones.
    pub relays: usize,
    /// Time between digests to each other zone.
    pub digest_period: Duration,
    /// Most other zones remembered.
    pub max_zones: usize,
    /// Back ends remembered as leaving or as having left.
    pub max_backend_marks: usize,
    /// Most probes carried out for others at once.
    pub max_relayed_probes: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            fleet: FleetId::UNNAMED,
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_factor: 4,
            max_updates: 6,
            max_digests: 2,
            retransmit_factor: 3,
            notice_fanout: 3,
            notice_period: Duration::from_millis(200),
            sync_period: Duration::from_secs(10),
            reconnect_period: Duration::from_secs(5),
            join_period: Duration::from_millis(500),
            join_grace: Duration::from_secs(2),
            dead_retention: Duration::from_secs(600),
            max_members: 1_024,
            max_contacts: 64,
            relays: 2,
            digest_period: Duration::from_secs(2),
            max_zones: 32,
            max_backend_marks: 1_024,
            max_relayed_probes: 64,
        }
    }
}

impl MembershipSettings {
    /// How long a member of a zone with `members` members stays suspect before it counts as dead.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = (members.max(1) as f64).log10().max(1.0);
        self.probe_period
            .mul_f64(f64::from(self.suspicion_factor) * scale)
    }

    /// How often an update is carried in a zone with `members` members.
    pub fn transmissions(&self, members: usize) -> u32 {
        self.retransmit_factor * (usize::BITS - members.leading_zeros()).max(1)
    }
}
