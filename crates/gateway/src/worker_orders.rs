//! Orders of the holder of the authority for workers: how many of which kind each zone shall have.
//!
//! [`balance_workers`] says what is wanted; an order is sent where that is not what serves, and repeated
//! after the time in which ordered workers start. Orders name the whole number, so that one which is
//! carried out twice or by the next holder changes nothing. One that was left unanswered may be carried out
//! after a newer one, which it would undo, as both have the same fence: another number is ordered only when
//! that is over. How many the operator planned stands in the store, so that a new holder does not take a
//! zone that was just withdrawn for the fleet's size.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_authority::Epoch;
use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::relay_plan::GATEWAYS_PER_RELAY;
use tansyhall_forwarding::{Service, Worker, WorkerKind, WorkerScaling, WorkerState};
use tansyhall_planner::{
    affordable_workers, balance_workers, ChangeAllowance, RecentPeak, WorkerLimits, WorkersWanted,
    ZoneGoal, ZoneWorkers,
};
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, Transaction};
use tokio::time::sleep;

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
/// Time beyond a worker's start after which an order that changed nothing is sent again: two writes of the
/// worker's entry.
const NOTICE: Duration = Duration::from_secs(2);
/// Time in which an order that was left unanswered is carried out, if it ever is: twice what a new holder of
/// the authority waits as a rule.
const LATENESS: Duration = Duration::from_secs(6);
/// Time after which spot workers are asked for again where there were none,
const FIRST_ABSENCE: Duration = Duration::from_secs(2);
/// and the longest such time; each refusal doubles it.
const LONGEST_ABSENCE: Duration = Duration::from_secs(16);

/// The part of their time that engines are busy if there are just as many as the recent peak of what is
/// asked needs: at 0.8 a prompt waits twice its own time on the mean (M/D/1), late but served, until spot
/// workers are to be had again.
const BUSY_PART: f64 = 0.8;
/// The part of the planned workers that is needed at any price before anything is known of the demand.
const NEEDED_PART: f64 = 1.0 / 3.0;

/// The part of the workers that were needed lately below which fewer count as needed: what is asked varies by
/// less from one second to the next, and each order for one worker fewer would be followed by one for one more.
const FALLING_PART: f64 = 0.75;

/// Which workers an order is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Subject {
    service: ServiceName,
    zone: ZoneName,
    kind: WorkerKind,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    desired: u32,
    at: Timestamp,
}

/// An order that may still be carried out.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    desired: u32,
    until: Timestamp,
}

/// Spot workers that a zone did not have.
#[derive(Debug, Clone, Copy)]
struct Absence {
    until: Timestamp,
    length: Duration,
}

/// Workers that were planned for each service, as they stand in the store.
type Planned = BTreeMap<ServiceName, u32>;

/// Orders workers while this gateway holds the authority, until it stops.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, calls: DutyCalls) {
    let allowance = ChangeAllowance::new(shared.now());
    let mut orders = WorkerOrders {
        shared,
        store,
        calls,
        ordered: HashMap::new(),
        unanswered: HashMap::new(),
        absences: HashMap::new(),
        asked: HashMap::new(),
        allowance,
    };
    while !orders.shared.is_stopping() {
        sleep(PACE).await;
        orders.look().await;
    }
}

/// What is asked of the engines of a service.
#[derive(Debug, Default)]
struct Asked {
    peak: RecentPeak,
    needed: f64,
}

impl Asked {
    /// How many engines are needed, at least so many, if so many are busy now.
    fn needed(&mut self, now: Timestamp, busy: f64, least: f64) -> u32 {
        let needed = (self.peak.observe(now, busy) / BUSY_PART).max(least);
        if needed > self.needed || needed < self.needed * FALLING_PART {
            self.needed = needed;
        }
        self.needed.ceil() as u32
    }
}

struct WorkerOrders {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    calls: DutyCalls,
    ordered: HashMap<Subject, Ordered>,
    unanswered: HashMap<Subject, Unanswered>,
    absences: HashMap<Subject, Absence>,
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
        let streams = demand.places / f64::from(engine.slots.max(1));
        let least = f64::from(planned) * NEEDED_PART;
        let asked = self.asked.entry(service.name.clone()).or_default();
        let busy = demand.readers + demand.decoders + streams;
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
        (planned, Some(item.revision))
    }

    async fn write_planned(&self, Epoch(epoch): Epoch, planned: &Planned, known: Option<u64>) {
        let unchanged = match known {
            Some(revision) => Compare::ModifiedAt(KEY.into(), Revision(revision)),
            None => Compare::Absent(KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![
                Compare::ModifiedAt(authority_claim::KEY.into(), Revision(epoch)),
                unchanged,
            ],
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
            least: scaling.least,
            most: scaling.most,
            spot_price: scaling.spot_price,
        };
        let wanted = WorkersWanted {
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
                if order.desired == serving || !self.is_due(&order, scaling.start) {
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
        let zones = self.shared.fleet.read().plan.zones().max(1);
        let subscribers = subscribers_of_a_relay(gateways, zones);
        let allowed = self.allowance.workers(self.shared.now(), subscribers);
        let ordered = self.ordered.get(&subject_of(&order));
        let expected = ordered.map_or(serving, |ordered| ordered.desired.max(serving));
        let desired = match order.desired > serving {
            true => order.desired.min(expected.saturating_add(allowed)),
            false => order.desired.max(serving.saturating_sub(allowed)),
        };
        let changes = match desired > serving {
            true => desired.saturating_sub(expected),
            false => serving - desired,
        };
        self.allowance.take(changes, subscribers);
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
        wanted: WorkersWanted,
    ) {
        let now = self.shared.now();
        let mut all_have_spot = zones.to_vec();
        for zone in &mut all_have_spot {
            zone.has_spot = true;
        }
        let goals = balance_workers(&all_have_spot, limits, wanted);
        for (goal, zone) in goals.iter().zip(zones) {
            let [order, _] = orders_of(service, goal);
            let absence = self.absences.get(&subject_of(&order));
            let is_over = absence.is_some_and(|absence| now >= absence.until);
            if is_over && order.desired > zone.spot {
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
            let subject = Subject {
                service: service.clone(),
                zone: zone.clone(),
                kind: WorkerKind::Spot,
            };
            ZoneWorkers {
                zone: zone.clone(),
                price,
                reserved: of_kind(WorkerKind::Reserved),
                spot: of_kind(WorkerKind::Spot),
                has_spot: !self.absences.contains_key(&subject),
            }
        };
        prices_of(scaling, workers).into_iter().map(zone).collect()
    }

    fn is_due(&self, order: &WorkerOrder, start: Duration) -> bool {
        if self.may_be_undone(order) {
            return false;
        }
        let ordered = self.ordered.get(&subject_of(order));
        ordered.is_none_or(|ordered| {
            let waited = self.shared.now().since(ordered.at);
            ordered.desired != order.desired || waited >= start + NOTICE
        })
    }

    /// Whether an earlier order with another number may be carried out after this one.
    fn may_be_undone(&self, order: &WorkerOrder) -> bool {
        let earlier = self.unanswered.get(&subject_of(order));
        earlier.is_some_and(|earlier| {
            earlier.desired != order.desired && self.shared.now() < earlier.until
        })
    }

    async fn order(&mut self, epoch: Epoch, order: WorkerOrder, needed: u32) {
        if self.may_be_undone(&order) {
            return;
        }
        let Some(outcome) = self.calls.order_workers(epoch, &order).await else {
            return;
        };
        let now = self.shared.now();
        let subject = subject_of(&order);
        match (&outcome, order.kind) {
            (DutyOutcome::Done, _) => {
                self.absences.remove(&subject);
                let desired = order.desired;
                self.ordered.insert(subject, Ordered { desired, at: now });
            }
            (DutyOutcome::Refused(_), WorkerKind::Spot) => self.note_absence(now, subject),
            (DutyOutcome::Refused(_), WorkerKind::Reserved) => self.calls.stop_using(epoch),
            (DutyOutcome::Unknown(_), _) => {
                let desired = order.desired;
                let until = now + LATENESS;
                self.unanswered
                    .insert(subject, Unanswered { desired, until });
            }
            (DutyOutcome::NotDone(_), _) => {}
        }
        self.record(&order, needed, &outcome);
    }

    fn note_absence(&mut self, now: Timestamp, subject: Subject) {
        let known = self.absences.get(&subject);
        let length = known.map_or(FIRST_ABSENCE, |known| {
            (known.length * 2).min(LONGEST_ABSENCE)
        });
        let until = now + length;
        self.absences.insert(subject, Absence { until, length });
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

fn subject_of(order: &WorkerOrder) -> Subject {
    Subject {
        service: order.service.clone(),
        zone: order.zone.clone(),
        kind: order.kind,
    }
}
