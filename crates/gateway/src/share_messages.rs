//! Wire format of the division of rate limits by demand, a part of load reports.

use prost::Message;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::demand_shares::division::{Portion, WHOLE_PPM};
use tansyhall_forwarding::demand_shares::leadership::Vote;
use tansyhall_forwarding::demand_shares::{Grant, LimitDemand, MemberKey, ShareReport};
use tansyhall_forwarding::{GatewayKey, WorkerKey};

/// The highest demand that is accepted, in thousandths of a request per second. Far more than a gateway can send.
const MAX_DEMAND_MILLI: u64 = 1_000_000_000_000;

/// Demands of a gateway and leases that it grants, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct SharesMessage {
    /// The key of the reporting gateway's name.
    #[prost(fixed64, tag = "1")]
    pub member: u64,
    /// When the report was sent, in microseconds on the sender's clock.
    #[prost(uint64, tag = "2")]
    pub sent_at: u64,
    /// Hash of the members that the sender knows.
    #[prost(fixed64, tag = "3")]
    pub view: u64,
    /// Number of these members.
    #[prost(uint32, tag = "4")]
    pub member_count: u32,
    /// Whether the sender is the leader.
    #[prost(bool, tag = "5")]
    pub leads: bool,
    /// The sender's vote.
    #[prost(message, optional, tag = "6")]
    pub vote: Option<VoteMessage>,
    /// The sender's demands.
    #[prost(message, repeated, tag = "7")]
    pub demands: Vec<LimitDemandMessage>,
    /// Leases that the sender grants.
    #[prost(message, repeated, tag = "8")]
    pub grants: Vec<GrantMessage>,
}

/// A vote, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct VoteMessage {
    /// Key of the gateway that it is for.
    #[prost(fixed64, tag = "1")]
    pub leader: u64,
    /// When that gateway sent its last report, in microseconds on its clock.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
}

/// Demand for one worker with a rate limit, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct LimitDemandMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// Thousandths of a request per second.
    #[prost(uint64, tag = "2")]
    pub demand_milli: u64,
}

/// A lease, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct GrantMessage {
    /// The worker's key.
    #[prost(fixed64, tag = "1")]
    pub worker: u64,
    /// The key of the gateway that holds the lease.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// When the holder sent the report that this answers, in microseconds on its clock.
    #[prost(uint64, tag = "3")]
    pub seen: u64,
    /// Part of the main rate in millionths.
    #[prost(uint32, tag = "4")]
    pub rate_ppm: u32,
    /// Part of the main capacity in millionths.
    #[prost(uint32, tag = "5")]
    pub capacity_ppm: u32,
}

/// Encodes a report on shares.
pub fn encode(report: &ShareReport) -> SharesMessage {
    let demands = report.demands.iter().map(|entry| LimitDemandMessage {
        worker: entry.worker.0,
        demand_milli: entry.demand,
    });
    let grants = report.grants.iter().map(|grant| GrantMessage {
        worker: grant.worker.0,
        holder: grant.holder.0,
        seen: grant.seen.0,
        rate_ppm: grant.portion.rate_ppm,
        capacity_ppm: grant.portion.capacity_ppm,
    });
    SharesMessage {
        member: report.member.0,
        sent_at: report.sent_at.0,
        view: report.view,
        member_count: report.member_count,
        leads: report.leads,
        vote: report.vote.map(|vote| VoteMessage {
            leader: vote.leader.0,
            seen: vote.seen.0,
        }),
        demands: demands.collect(),
        grants: grants.collect(),
    }
}

/// Decodes a report on shares. Impossible demands and leases are left out.
pub fn decode(message: &SharesMessage) -> ShareReport {
    ShareReport {
        member: MemberKey(message.member),
        sent_at: Timestamp(message.sent_at),
        view: message.view,
        member_count: message.member_count,
        leads: message.leads,
        vote: message.vote.as_ref().map(|vote| Vote {
            leader: GatewayKey(vote.leader),
            seen: Timestamp(vote.seen),
        }),
        demands: message.demands.iter().filter_map(decode_demand).collect(),
        grants: message.grants.iter().filter_map(decode_grant).collect(),
    }
}

fn decode_demand(message: &LimitDemandMessage) -> Option<LimitDemand> {
    if message.demand_milli > MAX_DEMAND_MILLI {
        log::debug!("ignoring an impossible demand: {message:?}");
        return None;
    }
    Some(LimitDemand {
        worker: WorkerKey(message.worker),
        demand: message.demand_milli,
    })
}

fn decode_grant(message: &GrantMessage) -> Option<Grant> {
    if message.rate_ppm > WHOLE_PPM || message.capacity_ppm > WHOLE_PPM {
        log::debug!("ignoring an impossible lease: {message:?}");
        return None;
    }
    Some(Grant {
        worker: WorkerKey(message.worker),
        holder: GatewayKey(message.holder),
        seen: Timestamp(message.seen),
        portion: Portion {
            rate_ppm: message.rate_ppm,
            capacity_ppm: message.capacity_ppm,
        },
    })
}
