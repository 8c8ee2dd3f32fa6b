//! Orders for workers, sent by the holder of the authority: how many workers of which kind each zone must have.
//!
//! [`balance_workers`] computes the goal. An order is sent for each number of serving workers that differs from the
//! goal, and repeated after the time that ordered workers take to start. An order contains the total number, so it has
//! no further effect if it is carried out twice or sent again by the next holder. An order without an answer may be
//! carried out after a newer one and undo it, because both have the same fence. Another number is therefore ordered
//! only when this is no longer possible. The number of workers that the operator planned is kept in the store, so that
//! a new holder does not take the size of a fleet that has just lost a zone for the planned one.

mod history;
mod needed_engines;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_authority::Epoch;
use tansyhall_core::{ServiceName, ZoneName};
use tansyhall_forwarding::relay_plan::GATEWAYS_PER_RELAY;
use tansyhall_forwarding::{Service, Worker, WorkerKind, WorkerScaling, WorkerState};
use tansyhall_planner::{
    affordable_workers, balance_workers, ChangeAllowance, WorkerLimits, WorkerTargets, ZoneGoal,
    ZoneWorkers,
};
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, Transaction};
use tokio::time::sleep;

use self::history::OrderHistory;
use self::needed_engines::NeededEngines;
use crate::authority_claim;
use crate::duties::{DutyOutcome, WorkerOrder};
use crate::duty_calls::DutyCalls;
use crate::events::{Event, Priority};
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Store key of the planned numbers of workers.
const PLANNED_WORKERS_KEY: &str = "tansyhall/workers";
/// Pause between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of workers that are needed at any price, as a fraction of the planned ones. It applies before
/// anything is known about the demand.
const MIN_NEEDED_FRACTION: f64 = 1.0 / 3.0;

/// Number of planned workers by service, as written in the store.
type PlannedWorkers = BTreeMap<ServiceName, u32>;

/// Orders workers while this gateway holds the authority, until the gateway stops.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, calls: DutyCalls) {
    let allowance = ChangeAllowance::new(shared.now());
    let mut orders = WorkerOrders {
        shared,
        store,
        calls,
        history: OrderHistory::default(),
        needed_engines: HashMap::new(),
        allowance,
    };
    while !orders.shared.is_stopping() {
        sleep(CHECK_INTERVAL).await;
        orders.check().await;
    }
}

struct WorkerOrders {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    calls: DutyCalls,
    /// The orders sent so far and their outcomes.
    history: OrderHistory,
    /// Estimate of the needed engines of each service.
    needed_engines: HashMap<ServiceName, NeededEngines>,
    /// Limits how many workers may be added or removed.
    allowance: ChangeAllowance,
}

impl WorkerOrders {
    async fn check(&mut self) {
        if !self.shared.settings.read().decisions.worker_orders {
            return;
        }
        let Some(in_force) = self.shared.in_force() else {
            return;
        };
        for service in &in_force.configuration.services {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let Some(epoch) = self.calls.fence() else {
                return;
            };
            if let Some(planned) = self.planned(epoch, service).await {
                self.order_service(epoch, service, scaling, planned).await;
            }
        }
    }

    /// Returns how many reserved workers the operator planned for a service: those that it had when this was first
    /// recorded. Returns `None` if the number has just been written.
    async fn planned(&self, epoch: Epoch, service: &Service) -> Option<u32> {
        let (mut planned, revision) = self.read_planned();
        let workers = self.workers(&service.name);
        let present = u32::try_from(workers.len()).ok()?;
        // Workers that start together with the site are announced one after another, so the planned number may
        // grow as long as there are no spot workers.
        let none_was_ordered = workers
            .iter()
            .all(|worker| worker.kind == WorkerKind::Reserved);
        let known = planned.get(&service.name).copied();
        match known {
            Some(known) if known >= present || !none_was_ordered => Some(known),
            _ => {
                planned.insert(service.name.clone(), present);
                self.write_planned(epoch, &planned, revision).await;
                None
            }
        }
    }

    /// Returns how many of the planned workers are needed: for engines, the number that the demand keeps busy; for
    /// other workers, whose demand is unknown, all of them.
    fn needed_workers(&mut self, service: &Service, planned: u32) -> u32 {
        let Some(engine) = &service.engine else {
            return planned;
        };
        let now = self.shared.now();
        let demand = self
            .shared
            .directory
            .lock()
            .engine_demand(now, &service.name);
        let streams = demand.decode_slots / f64::from(engine.slots.max(1));
        let min_needed = f64::from(planned) * MIN_NEEDED_FRACTION;
        let needed_engines = self.needed_engines.entry(service.name.clone()).or_default();
        let busy = demand.prefill_engines + demand.decode_engines + streams;
        needed_engines.update(now, busy, min_needed)
    }

    fn read_planned(&self) -> (PlannedWorkers, Option<u64>) {
        let mirror = self.shared.mirror.lock();
        let Some(item) = mirror.get(PLANNED_WORKERS_KEY) else {
            return (PlannedWorkers::new(), None);
        };
        let planned = serde_json::from_slice(&item.value).unwrap_or_else(|error| {
            log::debug!("ignoring invalid value of {PLANNED_WORKERS_KEY}: {error}");
            PlannedWorkers::new()
        });
        (planned, Some(item.written.revision))
    }

    async fn write_planned(&self, epoch: Epoch, planned: &PlannedWorkers, known: Option<u64>) {
        let unchanged = match known {
            Some(revision) => Compare::ModifiedAt(PLANNED_WORKERS_KEY.into(), Revision(revision)),
            None => Compare::Absent(PLANNED_WORKERS_KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![authority_claim::held_condition(epoch), unchanged],
            operations: vec![Operation::Put {
                key: PLANNED_WORKERS_KEY.into(),
                value: serde_json::to_vec(planned).unwrap_or_default(),
                lease: None,
            }],
        };
        // The result is not used: the numbers are read back from the mirror of the store.
        if let Err(error) = with_timeout(self.store.transact(&transaction)).await {
            log::debug!("planned numbers of workers may not have been written: {error}");
        }
    }

    /// Returns the workers of the service that accept requests.
    fn workers(&self, service: &ServiceName) -> Vec<Worker> {
        let directory = self.shared.directory.lock();
        let announced = directory.announced_workers();
        let ready = announced
            .filter(|worker| worker.service == *service && worker.state == WorkerState::Ready);
        ready.cloned().collect()
    }

    async fn order_service(
        &mut self,
        epoch: Epoch,
        service: &Service,
        scaling: &WorkerScaling,
        planned: u32,
    ) {
        let workers = self.workers(&service.name);
        let zones = self.zones(&service.name, scaling, &workers);
        let limits = WorkerLimits {
            min_workers: scaling.min_workers,
            max_workers: scaling.max_workers,
            spot_price: scaling.spot_price,
        };
        let wanted = WorkerTargets {
            planned,
            wanted: affordable_workers(planned, zones.len(), &limits),
            needed: self.needed_workers(service, planned),
        };
        let goals = balance_workers(&zones, &limits, wanted);
        for (goal, zone) in goals.iter().zip(&zones) {
            for order in orders_for(&service.name, goal) {
                let serving = match order.kind {
                    WorkerKind::Reserved => zone.reserved,
                    WorkerKind::Spot => zone.spot,
                };
                let now = self.shared.now();
                if order.desired == serving
                    || !self.history.is_due(now, &order, scaling.startup_time)
                {
                    continue;
                }
                if let Some(order) = self.within_allowance(order, serving) {
                    self.send_order(epoch, order, wanted.needed).await;
                }
            }
        }
        self.retry_spot_orders(epoch, &service.name, &zones, &limits, wanted)
            .await;
    }

    /// Reduces an order to the number of changes that relays can send to their subscribers now. Returns `None` if
    /// nothing of it is left. Workers that were ordered but are not announced yet were already counted against the
    /// allowance.
    fn within_allowance(&mut self, order: WorkerOrder, serving: u32) -> Option<WorkerOrder> {
        let gateways = self.shared.gateways.load(Ordering::Relaxed);
        let zones = self.shared.fleet.read().plan.zone_count().max(1);
        let subscribers = subscribers_per_relay(gateways, zones);
        let allowed = self
            .allowance
            .affordable_changes(self.shared.now(), subscribers);
        let ordered = self.history.last_ordered(&order);
        let expected = ordered.map_or(serving, |ordered| ordered.max(serving));
        let desired = match order.desired > serving {
            true => order.desired.min(expected.saturating_add(allowed)),
            false => order.desired.max(serving.saturating_sub(allowed)),
        };
        let changes = match desired > serving {
            true => desired.saturating_sub(expected),
            false => serving - desired,
        };
        self.allowance.spend(changes, subscribers);
        (desired != serving).then_some(WorkerOrder { desired, ..order })
    }

    /// Orders spot workers again in zones that had none, after a wait. The order is for all workers that the zone
    /// should have: a smaller first order, if it were carried out late, would undo the one that follows.
    async fn retry_spot_orders(
        &mut self,
        epoch: Epoch,
        service: &ServiceName,
        zones: &[ZoneWorkers],
        limits: &WorkerLimits,
        wanted: WorkerTargets,
    ) {
        let now = self.shared.now();
        let mut all_have_spot = zones.to_vec();
        for zone in &mut all_have_spot {
            zone.has_spot = true;
        }
        let goals = balance_workers(&all_have_spot, limits, wanted);
        for (goal, zone) in goals.iter().zip(zones) {
            let [order, _] = orders_for(service, goal);
            if self.history.may_retry_spot(now, &order) && order.desired > zone.spot {
                self.send_order(epoch, order, wanted.needed).await;
            }
        }
    }

    fn zones(
        &self,
        service: &ServiceName,
        scaling: &WorkerScaling,
        workers: &[Worker],
    ) -> Vec<ZoneWorkers> {
        let zone = |(zone, price): (&ZoneName, f64)| {
            let of_kind = |kind| {
                let here = workers.iter().filter(|worker| worker.zone == *zone);
                here.filter(|worker| worker.kind == kind).count() as u32
            };
            ZoneWorkers {
                zone: zone.clone(),
                price,
                reserved: of_kind(WorkerKind::Reserved),
                spot: of_kind(WorkerKind::Spot),
                has_spot: self.history.has_spot(service, zone),
            }
        };
        zone_prices(scaling, workers)
            .into_iter()
            .map(zone)
            .collect()
    }

    async fn send_order(&mut self, epoch: Epoch, order: WorkerOrder, needed: u32) {
        if self.history.may_be_undone(self.shared.now(), &order) {
            return;
        }
        let Some(outcome) = self.calls.order_workers(epoch, &order).await else {
            return;
        };
        let is_refused = matches!(outcome, DutyOutcome::Refused(_));
        if is_refused && order.kind == WorkerKind::Reserved {
            self.calls.stop_using(epoch);
        }
        self.history.record(self.shared.now(), &order, &outcome);
        self.record(&order, needed, &outcome);
    }

    fn record(&self, order: &WorkerOrder, needed: u32, outcome: &DutyOutcome) {
        let (outcome, detail) = outcome.name_and_detail();
        let kind = order.kind.name();
        self.shared
            .metrics
            .worker_orders
            .with_label_values(&[kind, outcome])
            .inc();
        let event = Event::WorkersOrdered {
            service: order.service.as_str(),
            zone: order.zone.as_str(),
            kind,
            desired: order.desired,
            needed,
            outcome,
            detail,
        };
        self.shared.log.record(Priority::Important, &event);
    }
}

/// Returns the price in each zone. If the operator has not set prices, all zones that have workers get the same price.
fn zone_prices<'a>(
    scaling: &'a WorkerScaling,
    workers: &'a [Worker],
) -> BTreeMap<&'a ZoneName, f64> {
    if scaling.zone_prices.is_empty() {
        return workers.iter().map(|worker| (&worker.zone, 1.0)).collect();
    }
    let given = scaling.zone_prices.iter();
    given.map(|(zone, price)| (zone, *price)).collect()
}

/// Returns the orders that bring a zone to its goal, in the order in which they are sent: spot workers first.
fn orders_for(service: &ServiceName, goal: &ZoneGoal) -> [WorkerOrder; 2] {
    let order = |kind, desired| WorkerOrder {
        service: service.clone(),
        zone: goal.zone.clone(),
        kind,
        desired,
    };
    [
        order(WorkerKind::Spot, goal.spot),
        order(WorkerKind::Reserved, goal.reserved),
    ]
}

fn subscribers_per_relay(gateways: u64, zones: usize) -> usize {
    let in_zone = usize::try_from(gateways)
        .unwrap_or(usize::MAX)
        .div_ceil(zones);
    in_zone.min(GATEWAYS_PER_RELAY)
}
