//! Tenants' limits at this node: the shares that it holds, a meter for each limit in use, and the
//! slots that tenants hold.

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
use crate::configuration::ConfigurationInForce;

/// Divisor of the headroom that is requested in addition to the measured demand (a quarter of it),
/// so that demand can grow before more is granted.
const HEADROOM_DIVISOR: Amount = 4;

/// Usage of one limit at this node.
#[derive(Debug, Default)]
struct Meter {
    bucket: TokenBucket,
    /// Units requested since the last tick, admitted or not.
    offered: u64,
    in_progress: u64,
    /// Maximum number of requests that were in progress or asked to be since the last tick.
    peak: u64,
}

struct Shares {
    node: ShareNode,
    /// Configuration whose limits are applied.
    applied: Option<Arc<ConfigurationInForce>>,
}

/// Enforces the limits of tenants at this node.
pub struct TenantLimiter {
    shares: Mutex<Shares>,
    meters: Sharded<LimitKey, Meter>,
    max_meters: usize,
    /// Slots of this node, by tenant. Requests without a tenant count as one tenant.
    pub(super) slots: Mutex<FairSlots<Option<TenantName>>>,
}

impl TenantLimiter {
    /// Returns the limiter of a node that starts and assumes that it is the only one.
    pub fn new(name: NodeId, incarnation: u64, limits: &Limits, now: Timestamp) -> Self {
        let settings = ShareSettings::default();
        let node = ShareNode::new(settings, name, incarnation, 1, now);
        let applied = None;
        Self {
            shares: Mutex::new(Shares { node, applied }),
            meters: Sharded::with_capacity_limit(limits.max_limit_meters),
            max_meters: limits.max_limit_meters,
            slots: Mutex::new(FairSlots::new(limits.max_requests)),
        }
    }

    /// Applies the limits of a configuration, unless they are already applied.
    pub fn apply_limits(&self, now: Timestamp, in_force: &Arc<ConfigurationInForce>) {
        let mut shares = self.shares.lock();
        let is_applied = |applied: &Arc<ConfigurationInForce>| Arc::ptr_eq(applied, in_force);
        if shares.applied.as_ref().is_some_and(is_applied) {
            return;
        }
        let limits = limits_in_force(in_force);
        self.remove_unused_meters(&limits);
        shares.node.step(now, Event::Limits(limits));
        shares.applied = Some(Arc::clone(in_force));
    }

    /// Removes the meters of limits that are no longer in force, unless requests are in progress.
    fn remove_unused_meters(&self, limits: &BTreeMap<LimitKey, Amount>) {
        self.meters
            .retain(|key, meter| limits.contains_key(key) || meter.in_progress > 0);
    }

    /// Sets this node's view of the fleet.
    pub fn set_view(&self, now: Timestamp, view: FleetView) {
        self.shares.lock().node.step(now, Event::View(view));
    }

    /// Processes a message from another node and sends the reply.
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

    /// Returns the share of a limit that this node may use now, in thousandths.
    pub fn usable(&self, now: Timestamp, key: LimitKey) -> Amount {
        self.shares.lock().node.usable(now, key)
    }

    /// Requests shares according to the demand since the last tick.
    pub fn tick(&self, now: Timestamp, transport: &dyn ShareTransport) {
        let wanted = self.wanted_amounts();
        let actions = {
            let node = &mut self.shares.lock().node;
            for (key, amount) in wanted {
                node.step(now, Event::Demand { key, amount });
            }
            node.step(now, Event::Tick)
        };
        send(actions, transport);
    }

    /// Takes units of a rate limit.
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

    /// Corrects the units taken of a rate limit.
    pub(super) fn correct(&self, now: Timestamp, key: LimitKey, event: BucketEvent) {
        let rate = self.usable(now, key);
        self.with_meter(key, |meter| meter.bucket.step(now, rate, event));
    }

    /// Counts a request as in progress. Returns false if its limit is reached.
    pub(super) fn start_request(&self, now: Timestamp, key: LimitKey) -> bool {
        let max = self.usable(now, key) / UNIT;
        let start = |meter: &mut Meter| {
            meter.peak = meter.peak.max(meter.in_progress + 1);
            let admitted = meter.in_progress < max;
            meter.in_progress += u64::from(admitted);
            admitted
        };
        self.with_meter(key, start).unwrap_or(false)
    }

    /// Counts a request as no longer in progress.
    pub(super) fn finish_request(&self, key: LimitKey) {
        self.with_meter(key, |meter| {
            meter.in_progress = meter.in_progress.saturating_sub(1);
        });
    }

    /// Reads or changes a meter. Returns `None` if the meter does not exist and there are too many
    /// to create it.
    fn with_meter<R>(&self, key: LimitKey, access: impl FnOnce(&mut Meter) -> R) -> Option<R> {
        let known = self.meters.with(&key, |meters| meters.contains_key(&key));
        if !known && self.meters.len() >= self.max_meters {
            return None;
        }
        self.meters
            .with(&key, |meters| Some(access(meters.entry(key).or_default())))
    }

    /// Returns the amount of each limit that this node could use, according to the demand since the
    /// last call.
    fn wanted_amounts(&self) -> HashMap<LimitKey, Amount> {
        let mut wanted = HashMap::new();
        self.meters.retain(|key, meter| {
            let demand = meter.offered.max(meter.peak).saturating_mul(UNIT);
            if demand > 0 {
                wanted.insert(*key, demand + demand / HEADROOM_DIVISOR + UNIT);
            }
            meter.offered = 0;
            meter.peak = meter.in_progress;
            true
        });
        wanted
    }
}

fn send(actions: Vec<Action>, transport: &dyn ShareTransport) {
    for Action::Send { to, message } in actions {
        transport.send(&to, &message);
    }
}
