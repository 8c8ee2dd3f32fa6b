//! Orders of workers that consider the risk of a withdrawal (switch `withdrawal_risk`).
//!
//! The plan is computed by [`RiskAwareWorkers`] from the need that [`EngineNeed`] estimates. Additions are ordered
//! first, then orders without an answer are repeated, because each may take until its timeout.

use std::collections::HashMap;

use tansyhall_authority::Epoch;
use tansyhall_core::{ServiceName, ZoneName};
use tansyhall_forwarding::{Service, Worker, WorkerKind, WorkerScaling, WorkerState};
use tansyhall_planner::{
    spot_if_offered, BusyEngines, EngineEstimate, EngineNeed, Requirement, RiskAwareWorkers,
    WorkerLimits, ZoneGoal, ZoneSupply,
};

use super::{orders_for, zone_prices, WorkerOrders, MIN_NEEDED_FRACTION};
use crate::duties::WorkerOrder;

/// What the holder of the authority remembers about one service.
#[derive(Debug)]
pub(super) struct RiskAwareState {
    need: EngineNeed,
    workers: RiskAwareWorkers,
    /// Whether spot workers were announced when this gateway first checked the service. They were ordered by an earlier
    /// holder, according to a demand that this gateway does not know yet.
    took_over: bool,
}

impl WorkerOrders {
    /// Orders the workers of a service such that it bears a withdrawal. Returns `false` if the switch is off or the
    /// demand is not known yet.
    pub(super) async fn order_with_risk(
        &mut self,
        epoch: Epoch,
        service: &Service,
        scaling: &WorkerScaling,
        planned: u32,
    ) -> bool {
        let tolerated_zones = {
            let settings = self.shared.settings.read();
            if !settings.decisions.withdrawal_risk {
                return false;
            }
            settings.tolerance.zones
        };
        let name = &service.name;
        let workers = self.announced(name);
        let Some((estimate, is_known)) = self.risk_aware_need(service, scaling, planned, &workers)
        else {
            return false;
        };
        let needed = estimate.needed;
        let required = Requirement {
            needed,
            wanted: estimate.with_burst,
            tolerated_zones,
        };
        let limits = WorkerLimits {
            min_workers: scaling.min_workers,
            max_workers: scaling.max_workers,
            spot_price: scaling.spot_price,
        };
        let zones = self.supplies(name, scaling, &workers);
        let Some(state) = self.risk_aware.get_mut(name) else {
            return false;
        };
        let goals = state.workers.update(&zones, &limits, required, is_known);
        let metrics = &self.shared.metrics;
        let gauge = metrics.needed_workers.with_label_values(&[name.as_str()]);
        gauge.set(i64::from(needed));
        let unanswered = self.unanswered_orders(name, &zones);
        self.order_goals(epoch, name, scaling, &goals, &zones, needed)
            .await;
        // The same number is sent again, so that it does not matter which of the orders is carried out.
        for order in &unanswered {
            self.send_order(epoch, order.clone(), needed).await;
        }
        if zones.iter().any(|zone| !zone.offers_spot) {
            let spot = spot_if_offered(&zones, &limits, required);
            self.retry_spot(epoch, name, &zones, &spot, needed).await;
        }
        true
    }

    /// Returns the number of workers that the service needs, and whether enough is known about the demand to release
    /// workers. Returns `None` if the number of workers does not depend on the demand yet.
    fn risk_aware_need(
        &mut self,
        service: &Service,
        scaling: &WorkerScaling,
        planned: u32,
        workers: &[Worker],
    ) -> Option<(EngineEstimate, bool)> {
        let state = self
            .risk_aware
            .entry(service.name.clone())
            .or_insert_with(|| RiskAwareState {
                need: EngineNeed::default(),
                workers: RiskAwareWorkers::default(),
                took_over: workers.iter().any(|worker| worker.kind == WorkerKind::Spot),
            });
        let Some(engine) = &service.engine else {
            let all_planned = EngineEstimate {
                needed: planned,
                with_burst: planned,
            };
            return Some((all_planned, true));
        };
        let now = self.shared.now();
        let demand = self
            .shared
            .directory
            .lock()
            .engine_demand(now, &service.name);
        let busy = BusyEngines {
            prefill: demand.prefill_engines,
            decode: demand.decode_engines + demand.decode_slots / f64::from(engine.slots.max(1)),
        };
        let min_needed = f64::from(planned) * MIN_NEEDED_FRACTION;
        match state
            .need
            .update(now, busy, scaling.startup_time, min_needed)
        {
            Some(estimate) => Some((estimate, true)),
            None if state.took_over => Some((state.need.estimate(min_needed), false)),
            None => None,
        }
    }

    /// Returns the announced workers of the service, including those that are leaving.
    fn announced(&self, service: &ServiceName) -> Vec<Worker> {
        let directory = self.shared.directory.lock();
        let announced = directory.announced_workers();
        announced
            .filter(|worker| worker.service == *service)
            .cloned()
            .collect()
    }

    fn supplies(
        &self,
        service: &ServiceName,
        scaling: &WorkerScaling,
        workers: &[Worker],
    ) -> Vec<ZoneSupply> {
        let counts = count_workers(workers);
        let now = self.shared.now();
        let history = &self.history;
        let supply = |(zone, price): (&ZoneName, f64)| {
            let count = |kind, is_ready| counts.get(&(zone, kind, is_ready)).copied().unwrap_or(0);
            let group = |kind| WorkerOrder {
                service: service.clone(),
                zone: zone.clone(),
                kind,
                desired: 0,
            };
            let (of_reserved, of_spot) = (group(WorkerKind::Reserved), group(WorkerKind::Spot));
            let ordered = |group| history.recently_ordered(now, group, scaling.startup_time);
            let unanswered_reserved = history.unanswered(now, &of_reserved);
            let unanswered_spot = history.unanswered(now, &of_spot);
            let reserved = split_by_orders(
                count(WorkerKind::Reserved, true),
                ordered(&of_reserved),
                unanswered_reserved,
            );
            let spot = split_by_orders(
                count(WorkerKind::Spot, true),
                ordered(&of_spot),
                unanswered_spot,
            );
            // If the zone has all workers of the last order, the others leave because of that order.
            let is_complete = history
                .last_ordered(&of_spot)
                .is_some_and(|ordered| spot.serving >= ordered);
            ZoneSupply {
                zone: zone.clone(),
                price,
                reserved: reserved.serving,
                spot: spot.serving,
                leaving_spot: match is_complete {
                    true => 0,
                    false => count(WorkerKind::Spot, false),
                },
                starting_reserved: reserved.starting,
                starting_spot: spot.starting,
                departing_reserved: reserved.departing,
                departing_spot: spot.departing,
                unanswered_spot: unanswered_spot.unwrap_or(0),
                offers_reserved: unanswered_reserved.is_none(),
                offers_spot: history.has_spot(service, zone) && unanswered_spot.is_none(),
            }
        };
        let prices = zone_prices(scaling, workers);
        prices.into_iter().map(supply).collect()
    }

    async fn order_goals(
        &mut self,
        epoch: Epoch,
        service: &ServiceName,
        scaling: &WorkerScaling,
        goals: &[ZoneGoal],
        zones: &[ZoneSupply],
        needed: u32,
    ) {
        let orders = goals.iter().zip(zones).flat_map(|(goal, zone)| {
            orders_for(service, goal).map(|order| (serving_of(&order, zone), order))
        });
        let mut orders: Vec<(u32, WorkerOrder)> = orders.collect();
        orders.sort_by_key(|(serving, order)| order.desired <= *serving);
        for (serving, order) in orders {
            let now = self.shared.now();
            if order.desired == serving || !self.history.is_due(now, &order, scaling.startup_time) {
                continue;
            }
            if let Some(order) = self.within_allowance(order, serving) {
                self.send_order(epoch, order, needed).await;
            }
        }
    }

    /// Returns the orders without an answer that add workers. Releases are planned anew when they can no longer be
    /// carried out.
    fn unanswered_orders(&self, service: &ServiceName, zones: &[ZoneSupply]) -> Vec<WorkerOrder> {
        let now = self.shared.now();
        let unanswered = zones.iter().flat_map(|zone| {
            let serving = ZoneGoal {
                zone: zone.zone.clone(),
                reserved: zone.reserved,
                spot: zone.spot,
            };
            orders_for(service, &serving)
                .into_iter()
                .filter_map(|order| {
                    let desired = self.history.unanswered(now, &order)?;
                    (desired > order.desired).then_some(WorkerOrder { desired, ..order })
                })
        });
        unanswered.collect()
    }

    /// Orders spot workers again in zones that had none, after a wait.
    async fn retry_spot(
        &mut self,
        epoch: Epoch,
        service: &ServiceName,
        zones: &[ZoneSupply],
        spot: &[u32],
        needed: u32,
    ) {
        let now = self.shared.now();
        for (zone, desired) in zones.iter().zip(spot) {
            let order = WorkerOrder {
                service: service.clone(),
                zone: zone.zone.clone(),
                kind: WorkerKind::Spot,
                desired: *desired,
            };
            if self.history.may_retry_spot(now, &order) && order.desired > zone.spot {
                self.send_order(epoch, order, needed).await;
            }
        }
    }
}

fn serving_of(order: &WorkerOrder, zone: &ZoneSupply) -> u32 {
    match order.kind {
        WorkerKind::Reserved => zone.reserved,
        WorkerKind::Spot => zone.spot,
    }
}

/// The workers of one group, by what the orders in progress do to them.
struct SplitGroup {
    serving: u32,
    starting: u32,
    departing: u32,
}

/// Returns how many of the `ready` workers stay and leave, and how many are starting, after an accepted order that may
/// not be visible yet and an unanswered one. The unanswered one counts only as far as it releases workers.
fn split_by_orders(
    ready: u32,
    recently_ordered: Option<u32>,
    unanswered: Option<u32>,
) -> SplitGroup {
    let ordered = recently_ordered.unwrap_or(ready);
    let serving = ready.min(ordered).min(unanswered.unwrap_or(ready));
    SplitGroup {
        serving,
        starting: ordered.saturating_sub(ready),
        departing: ready - serving,
    }
}

/// Returns the number of workers by zone, kind and whether they accept requests.
fn count_workers(workers: &[Worker]) -> HashMap<(&ZoneName, WorkerKind, bool), u32> {
    let mut counts = HashMap::new();
    for worker in workers {
        let is_ready = worker.state == WorkerState::Ready;
        *counts
            .entry((&worker.zone, worker.kind, is_ready))
            .or_default() += 1;
    }
    counts
}
