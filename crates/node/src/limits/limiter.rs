//! What this node keeps about limits: the shares that it holds, a meter for each limit in use, and
//! the places that tenants take.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;
use tansyhall_admission::{BucketDecision, BucketEvent, FairSlots, TokenBucket};
use tansyhall_config::settings::Limits;
use tansyhall_core::{NodeId, Sharded, TenantName, Timestamp};
use tansyhall_shares::key::UNIT;
use tansyhall_shares::{
    Action, Amount, Event, FleetView, LimitKey, Message, ShareNode, ShareSettings,
};

use super::keys::limits_in_force;
use super::transport::ShareTransport;
use crate::configuration::InForce;

/// Wanted beyond the demand seen, so that it can grow before more is granted: one part in this.
const HEADROOM_DIVISOR: Amount = 4;

/// The use of one limit at this node.
#[derive(Debug, Default)]
struct Meter {
    bucket: TokenBucket,
    /// Units asked for since the last tick, admitted or not.
    offered: u64,
    in_progress: u64,
    /// Most requests that were or wanted to be in progress since the last tick.
    peak: u64,
}

struct Shares {
    node: ShareNode,
    /// The configuration whose limits are divided.
    divided: Option<Arc<InForce>>,
}

/// What this node keeps about limits.
pub struct LimitKeeper {
    shares: Mutex<Shares>,
    meters: Sharded<LimitKey, Meter>,
    max_meters: usize,
    /// Places of this node, by tenant; requests without a tenant count as one.
    pub(super) places: Mutex<FairSlots<Option<TenantName>>>,
}

impl LimitKeeper {
    /// A node that starts and believes to be the only one.
    pub fn new(name: NodeId, incarnation: u64, limits: &Limits, now: Timestamp) -> Self {
        let settings = ShareSettings::default();
        let node = ShareNode::new(settings, name, incarnation, 1, now);
        let divided = None;
        Self {
            shares: Mutex::new(Shares { node, divided }),
            meters: Sharded::with_capacity_limit(limits.max_limit_meters),
            max_meters: limits.max_limit_meters,
            places: Mutex::new(FairSlots::new(limits.max_requests)),
        }
    }

    /// Divides the limits of a configuration, unless they are divided already.
    pub fn divide(&self, now: Timestamp, in_force: &Arc<InForce>) {
        let mut shares = self.shares.lock();
        let same = |divided: &Arc<InForce>| Arc::ptr_eq(divided, in_force);
        if shares.divided.as_ref().is_some_and(same) {
            return;
        }
        let limits = limits_in_force(in_force);
        self.forget_meters(&limits);
        shares.node.step(now, Event::Limits(limits));
        shares.divided = Some(Arc::clone(in_force));
    }

    /// Forgets meters of limits that are no longer in force, unless requests are in progress.
    fn forget_meters(&self, limits: &BTreeMap<LimitKey, Amount>) {
        self.meters
            .retain(|key, meter| limits.contains_key(key) || meter.in_progress > 0);
    }

    /// Takes a view of the fleet.
    pub fn set_view(&self, now: Timestamp, view: FleetView) {
        self.shares.lock().node.step(now, Event::View(view));
    }

    /// Takes a message from another node, and sends the answer.
    pub fn receive(
        &self,
        now: Timestamp,
        from: NodeId,
        message: Message,
        transport: &dyn ShareTransport,
    ) {
        let event = Event::Received { from, message };
        let actions = self.shares.lock().node.step(now, event);
        send(actions, transport);
    }

    /// The share of a limit that this node may use now, in thousandths.
    pub fn usable(&self, now: Timestamp, key: LimitKey) -> Amount {
        self.shares.lock().node.usable(now, key)
    }

    /// Asks for shares by the demand since the last tick.
    pub fn tick(&self, now: Timestamp, transport: &dyn ShareTransport) {
        let wants = self.wants();
        let actions = {
            let node = &mut self.shares.lock().node;
            for (key, amount) in wants {
                node.step(now, Event::Demand { key, amount });
            }
            node.step(now, Event::Tick)
        };
        send(actions, transport);
    }

    /// Takes units of a limited rate.
    pub(super) fn take(&self, now: Timestamp, key: LimitKey, units: u64) -> BucketDecision {
        let rate = self.usable(now, key);
        let take = |meter: &mut Meter| {
            meter.offered = meter.offered.saturating_add(units);
            meter.bucket.step(now, rate, BucketEvent::Take(units))
        };
        self.with_meter(key, take)
            .unwrap_or(BucketDecision::Refused {
                retry_after: tansyhall_admission::token_bucket::ZERO_RATE_WAIT,
            })
    }

    /// Corrects what was taken of a limited rate.
    pub(super) fn correct(&self, now: Timestamp, key: LimitKey, event: BucketEvent) {
        let rate = self.usable(now, key);
        self.with_meter(key, |meter| meter.bucket.step(now, rate, event));
    }

    /// Counts a request in progress, unless its limit is reached.
    pub(super) fn enter(&self, now: Timestamp, key: LimitKey) -> bool {
        let most = self.usable(now, key) / UNIT;
        let enter = |meter: &mut Meter| {
            meter.peak = meter.peak.max(meter.in_progress + 1);
            let enters = meter.in_progress < most;
            meter.in_progress += u64::from(enters);
            enters
        };
        self.with_meter(key, enter).unwrap_or(false)
    }

    /// Counts a request out again.
    pub(super) fn leave(&self, key: LimitKey) {
        self.with_meter(key, |meter| {
            meter.in_progress = meter.in_progress.saturating_sub(1);
        });
    }

    /// Reads or changes a meter; `None` if there are too many to begin another one.
    fn with_meter<R>(&self, key: LimitKey, access: impl FnOnce(&mut Meter) -> R) -> Option<R> {
        let known = self.meters.with(&key, |meters| meters.contains_key(&key));
        if !known && self.meters.len() >= self.max_meters {
            return None;
        }
        self.meters
            .with(&key, |meters| Some(access(meters.entry(key).or_default())))
    }

    /// What this node could use of each limit, by the demand since the last call.
    fn wants(&self) -> HashMap<LimitKey, Amount> {
        let mut wants = HashMap::new();
        self.meters.retain(|key, meter| {
            let demand = meter.offered.max(meter.peak).saturating_mul(UNIT);
            if demand > 0 {
                wants.insert(*key, demand + demand / HEADROOM_DIVISOR + UNIT);
            }
            meter.offered = 0;
            meter.peak = meter.in_progress;
            true
        });
        wants
    }
}

fn send(actions: Vec<Action>, transport: &dyn ShareTransport) {
    for Action::Send { to, message } in actions {
        transport.send(&to, &message);
    }
}
