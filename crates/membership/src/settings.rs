//! Settings of the membership protocol.

use tansyhall_core::{Duration, FleetId};

/// Intervals, timeouts and limits of the membership protocol. The defaults suit zones of up to a
/// few hundred nodes.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The fleet of the node. Messages from other fleets are ignored.
    pub fleet: FleetId,
    /// The time between probes. Each probe is sent to one member.
    pub probe_period: Duration,
    /// The time after which an unanswered probe is retried through other members.
    pub probe_timeout: Duration,
    /// The number of members that are requested to probe a target indirectly.
    pub indirect_probes: usize,
    /// A member stays suspect for this many probe periods, multiplied by the decimal logarithm of
    /// the zone's size.
    pub suspicion_factor: u32,
    /// The maximum number of updates in one datagram.
    pub max_updates: usize,
    /// The maximum number of zone digests in one datagram.
    pub max_digests: usize,
    /// Each update is sent this many times, multiplied by the number of binary digits of the zone's
    /// size.
    pub retransmit_factor: u32,
    /// The number of members that are notified of a change at once.
    pub notice_fanout: usize,
    /// The minimum time between rounds of such notices.
    pub notice_period: Duration,
    /// The time between comparisons of the whole table with one other member.
    pub sync_period: Duration,
    /// The time between attempts to reach a dead member or a contact that is not a member.
    pub reconnect_period: Duration,
    /// The time between attempts to join.
    pub join_period: Duration,
    /// The time after which a node without an answer to its join requests considers itself the only
    /// member.
    pub join_grace: Duration,
    /// How long dead members are kept in the table.
    pub dead_retention: Duration,
    /// The maximum number of members in the table, including dead members.
    pub max_members: usize,
    /// The maximum number of contacts.
    pub max_contacts: usize,
    /// The number of members of a zone that exchange digests with other zones.
    pub relays: usize,
    /// The time between digests to each other zone.
    pub digest_period: Duration,
    /// The maximum number of other zones whose digests are kept.
    pub max_zones: usize,
    /// The maximum number of back ends for which a leaving mark, in force or revoked, is kept.
    pub max_backend_marks: usize,
    /// The maximum number of concurrent probes on behalf of other members.
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
    /// Returns how long a member of a zone with `members` members stays suspect before it is
    /// declared dead.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = (members.max(1) as f64).log10().max(1.0);
        self.probe_period
            .mul_f64(f64::from(self.suspicion_factor) * scale)
    }

    /// Returns the number of messages that an update is included in, in a zone with `members`
    /// members.
    pub fn max_transmissions(&self, members: usize) -> u32 {
        self.retransmit_factor * (usize::BITS - members.leading_zeros()).max(1)
    }
}
