//! Orders of the holder of the authority for workers: how many of which kind each zone shall have.
//!
//! [`balance_workers`] says what is wanted; an order is sent where that is not what serves, and repeated
//! after the time in which ordered workers start. Orders name the whole number, so that one which is
//! carried out twice or by the next holder changes nothing. One that was left unanswered may be carried out
//! after a newer one, which it would undo, as both have the same fence: another number is ordered only when
//! that is over. How many the operator planned stands in the store, so that a new holder does not take a
//! zone that was just withdrawn for the fleet's size.

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
use self::needed_engines::Asked;
use crate::authority_claim;
use crate::duties::{DutyOutcome, WorkerOrder};
use crate::duty_calls::DutyCalls;
use crate::events::{Event, Weight};
use crate::state::Shared;
use crate::store_call::in_time;

/// The key of the numbers of workers that were planned.
const KEY: &str = "tansyhall/workers";
/// Pause between two looks.
const PACE: Duration = Duration::from_millis(500);
/// The part of the planned workers that is needed at any price before anything is known of the demand.
const NEEDED_PART: f64 = 1.0 / 3.0;

/// Workers that were planned for each service, as they stand in the store.
type Planned = BTreeMap<ServiceName, u32>;

/// Orders workers while this gateway holds the authority, until it stops.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, calls: DutyCalls) {
    let allowance = ChangeAllowance::new(shared.now());
    let mut orders = WorkerOrders {
        shared,
        store,
        calls,
        history: OrderHistory::default(),
        asked: HashMap::new(),
        allowance,
    };
    while !orders.shared.is_stopping() {
        sleep(PACE).await;
        orders.look().await;
    }
}

struct WorkerOrders {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    calls: DutyCalls,
    /// What was ordered before, and what came of it.
    history: OrderHistory,
    /// Engines of each service that what is asked kept busy lately, and how many count as needed.
    asked: HashMap<ServiceName, Asked>,
    /// Workers that may still come or go.
    allowance: ChangeAllowance,
}

impl WorkerOrders {
    async fn look(&mut self) {
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

    /// How many reserved workers the operator planned for a service: those it had when it was first seen.
    async fn planned(&self, epoch: Epoch, service: &Service) -> Option<u32> {
        let (mut planned, revision) = self.read_planned();
        let workers = self.workers(&service.name);
        let present = u32::try_from(workers.len()).ok()?;
        // Workers that start with the site are announced one after the other.
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

    /// How many of them the demand keeps busy, as far as that is known: of engines, by what is asked of
    /// them; of other workers, all.
    fn needed(&mut self, service: &Service, planned: u32) -> u32 {
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
        let least = f64::from(planned) * NEEDED_PART;
        let asked = self.asked.entry(service.name.clone()).or_default();
        let busy = demand.prefill_engines + demand.decode_engines + streams;
        asked.needed(now, busy, least)
    }

    fn read_planned(&self) -> (Planned, Option<u64>) {
        let mirror = self.shared.mirror.lock();
        let Some(item) = mirror.get(KEY) else {
            return (Planned::new(), None);
        };
        let planned = serde_json::from_slice(&item.value).unwrap_or_else(|error| {
            log::warn!("{KEY} is passed over: {error}");
            Planned::new()
        });
        (planned, Some(item.written.revision))
    }

    async fn write_planned(&self, epoch: Epoch, planned: &Planned, known: Option<u64>) {
        let unchanged = match known {
            Some(revision) => Compare::ModifiedAt(KEY.into(), Revision(revision)),
            None => Compare::Absent(KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![authority_claim::stands(epoch), unchanged],
            operations: vec![Operation::Put {
                key: KEY.into(),
                value: serde_json::to_vec(planned).unwrap_or_default(),
                lease: None,
            }],
        };
        // Whatever the answer: the numbers are read back from the copy of the store.
        if let Err(error) = in_time(self.store.transact(&transaction)).await {
            log::debug!("the numbers of workers may not be written: {error}");
        }
    }

    /// The service's workers that take requests.
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
            needed: self.needed(service, planned),
        };
        let goals = balance_workers(&zones, &limits, wanted);
        for (goal, zone) in goals.iter().zip(&zones) {
            for order in orders_of(&service.name, goal) {
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
                    self.order(epoch, order, wanted.needed).await;
                }
            }
        }
        self.ask_again(epoch, &service.name, &zones, &limits, wanted)
            .await;
    }

    /// As much of an order as relays can pass on now, if any of it. Workers that are ordered and have not come
    /// yet were taken of the allowance before.
    fn within_allowance(&mut self, order: WorkerOrder, serving: u32) -> Option<WorkerOrder> {
        let gateways = self.shared.gateways.load(Ordering::Relaxed);
        let zones = self.shared.fleet.read().plan.zone_count().max(1);
        let subscribers = subscribers_of_a_relay(gateways, zones);
        let allowed = self
            .allowance
            .affordable_changes(self.shared.now(), subscribers);
        let ordered = self.history.ordered(&order);
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

    /// Asks zones that had no spot workers for all that they should have, after a while. It is never asked
    /// for fewer to begin with: such an order, if it were carried out late, would undo the one that follows.
    async fn ask_again(
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
            let [order, _] = orders_of(service, goal);
            if self.history.may_ask_again(now, &order) && order.desired > zone.spot {
                self.order(epoch, order, wanted.needed).await;
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
        prices_of(scaling, workers).into_iter().map(zone).collect()
    }

    async fn order(&mut self, epoch: Epoch, order: WorkerOrder, needed: u32) {
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
        self.history.note(self.shared.now(), &order, &outcome);
        self.record(&order, needed, &outcome);
    }

    fn record(&self, order: &WorkerOrder, needed: u32, outcome: &DutyOutcome) {
        let (outcome, detail) = outcome.parts();
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
        self.shared.log.record(Weight::Important, &event);
    }
}

/// The price in each zone; where the operator gives none, the zones that have workers cost the same.
fn prices_of<'a>(scaling: &'a WorkerScaling, workers: &'a [Worker]) -> BTreeMap<&'a ZoneName, f64> {
    if scaling.zone_prices.is_empty() {
        return workers.iter().map(|worker| (&worker.zone, 1.0)).collect();
    }
    let given = scaling.zone_prices.iter();
    given.map(|(zone, price)| (zone, *price)).collect()
}

/// The orders that bring a zone to its goal: what is added first.
fn orders_of(service: &ServiceName, goal: &ZoneGoal) -> [WorkerOrder; 2] {
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

fn subscribers_of_a_relay(gateways: u64, zones: usize) -> usize {
    let in_zone = usize::try_from(gateways)
        .unwrap_or(usize::MAX)
        .div_ceil(zones);
    in_zone.min(GATEWAYS_PER_RELAY)
}
