//! Orders from the holder of the authority to engines to change their roles.
//!
//! The holder writes the desired roles to the store (on condition that its claim is still there), waits
//! until every gateway has received them, and then sends each engine an order with the fence of the claim
//! and the number of orders that the engine has accepted so far. An order that arrives late no longer
//! matches this number and has no effect.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tansyhall_authority::Epoch;
use tansyhall_core::{Role, ServiceName, Timestamp};
use tansyhall_forwarding::{EngineDemand, EngineLoad, Worker, WorkerId, WorkerNotice};
use tansyhall_planner::{
    balance_roles, BalancedEngine, ExpectedDemand, RecentPeak, RolePeakTracker, UrgentFractions,
};
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, Transaction};
use tokio::time::{sleep, timeout};

use crate::authority::Authority;
use crate::authority_claim;
use crate::desired_roles::{self, DesiredRoles};
use crate::events::{Event, Priority};
use crate::protocol::{EngineReport, RoleOrder, WorkerCall};
use crate::state::Shared;
use crate::store_call::with_timeout;
use crate::worker_notices::NoticeSource;
use crate::worker_request::{RequestKind, WorkerRequest};

const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which every gateway receives a change of the desired roles.
const PROPAGATION_WINDOW: Duration = Duration::from_millis(600);
/// Shortest time between two changes of the desired roles.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which an order is repeated if the engine has not changed its role.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// Timeout of one call to an engine, including the body of its answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Concurrent orders. More than one, so that a few engines that do not answer delay only a few others; limited, so that
/// thousands of engines are not called in one burst.
const MAX_CONCURRENT_ORDERS: usize = 16;
/// Weight of the newest sample in the exponential moving average of an engine's streams.
const STREAMS_SAMPLE_WEIGHT: f64 = 0.15;
/// Longest answer that is accepted from an engine.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Sends role orders to engines while this gateway holds the authority, until it stops.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, authority: Authority) {
    let mut orders = RoleOrders {
        shared,
        store,
        authority,
        last_change: Timestamp::default(),
        last_orders: HashMap::new(),
        average_streams: HashMap::new(),
        short_prompt_peaks: HashMap::new(),
        role_peaks: HashMap::new(),
    };
    while !orders.shared.is_stopping() {
        sleep(CHECK_INTERVAL).await;
        orders.update_roles().await;
    }
}

struct RoleOrders {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    authority: Authority,
    /// When the desired roles were last changed.
    last_change: Timestamp,
    /// When each engine was last sent an order.
    last_orders: HashMap<WorkerId, Timestamp>,
    average_streams: HashMap<WorkerId, f64>,
    /// Recent peak of the number of decoding engines of each service that reading short prompts keeps busy.
    short_prompt_peaks: HashMap<ServiceName, RecentPeak>,
    /// Recent peaks of the demand for both roles of each service's engines.
    role_peaks: HashMap<ServiceName, RolePeakTracker>,
}

impl RoleOrders {
    async fn update_roles(&mut self) {
        if !self.shared.settings.read().decisions.role_orders {
            return;
        }
        if let Some(epoch) = self.authority.fence(&self.shared) {
            self.change_desired_roles(epoch).await;
            self.order_engines(epoch).await;
        }
    }

    async fn change_desired_roles(&mut self, epoch: Epoch) {
        let now = self.shared.now();
        let engines = self.engines();
        if now.since(self.last_change) < MIN_CHANGE_INTERVAL {
            return;
        }
        let balances_spares = self.shared.settings.read().decisions.balanced_spares;
        let mut desired = DesiredRoles::read(&self.shared.mirror.lock());
        let mut changes = 0;
        for service in distinct_services(&engines) {
            let members: Vec<&EngineLoad> = engines
                .iter()
                .filter(|engine| engine.worker.service == service)
                .collect();
            let balanced_engines: Vec<BalancedEngine> = members
                .iter()
                .map(|engine| self.balanced_engine(engine, &desired))
                .collect();
            let demand = self.shared.directory.lock().engine_demand(now, &service);
            let peak = self.short_prompt_peaks.entry(service.clone()).or_default();
            let expected = ExpectedDemand {
                prefill_engines: demand.prefill_engines,
                decode_engines_for_short_prompts: peak.observe(now, demand.decode_engines),
                decode_slots: demand.decode_slots,
                urgent: urgent_fractions(&demand),
            };
            let peaks = self.role_peaks.entry(service.clone()).or_default();
            let peaks = peaks.observe(now, &balanced_engines, expected);
            let peaks = Some(peaks).filter(|_| balances_spares);
            for change in balance_roles(&balanced_engines, expected, peaks) {
                desired.set(&members[change.engine].worker.id, change.role);
                changes += 1;
            }
        }
        if changes > 0 {
            let changing = names_of_changing_engines(&engines, &desired);
            desired.retain(|name| changing.contains(name));
            self.last_change = now;
            self.write_desired_roles(epoch, &desired).await;
        }
    }

    fn engines(&mut self) -> Vec<EngineLoad> {
        let engines = self.shared.directory.lock().engine_loads();
        for engine in &engines {
            let streams = self
                .average_streams
                .entry(engine.worker.id.clone())
                .or_default();
            *streams += (f64::from(engine.sends) - *streams) * STREAMS_SAMPLE_WEIGHT;
        }
        let present: HashSet<&WorkerId> = engines.iter().map(|engine| &engine.worker.id).collect();
        self.average_streams.retain(|id, _| present.contains(id));
        self.last_orders.retain(|id, _| present.contains(id));
        engines
    }

    fn balanced_engine(&self, engine: &EngineLoad, desired: &DesiredRoles) -> BalancedEngine {
        let worker = &engine.worker;
        let role = worker.role.unwrap_or_default();
        let desired_role = desired.get(&worker.id).unwrap_or(role);
        let streams = self
            .average_streams
            .get(&worker.id)
            .copied()
            .unwrap_or_default();
        BalancedEngine {
            zone: worker.zone.clone(),
            role: desired_role,
            changing: desired_role != role,
            streams: streams.round() as u32,
            slots: worker.slots,
        }
    }

    async fn write_desired_roles(&self, epoch: Epoch, desired: &DesiredRoles) {
        let known_revision = {
            let mirror = self.shared.mirror.lock();
            mirror
                .get(desired_roles::KEY)
                .map(|item| item.written.revision)
        };
        let unchanged = match known_revision {
            Some(revision) => Compare::ModifiedAt(desired_roles::KEY.into(), Revision(revision)),
            None => Compare::Absent(desired_roles::KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![authority_claim::held_condition(epoch), unchanged],
            operations: vec![Operation::Put {
                key: desired_roles::KEY.into(),
                value: desired.encode(),
                lease: None,
            }],
        };
        let _ = with_timeout(self.store.transact(&transaction)).await;
    }

    async fn order_engines(&mut self, epoch: Epoch) {
        let now = self.shared.now();
        if now.since(self.last_change) < PROPAGATION_WINDOW {
            return;
        }
        let desired = DesiredRoles::read(&self.shared.mirror.lock());
        let loads = self.shared.directory.lock().engine_loads();
        let engines = loads.into_iter().map(|load| load.worker);
        let changing = engines.filter_map(|worker| {
            let role = desired.get(&worker.id)?;
            (worker.role != Some(role)).then_some((worker, role))
        });
        let is_due = |worker: &Worker| {
            let last_order = self.last_orders.get(&worker.id);
            last_order.is_none_or(|at| now.since(*at) >= ORDER_RETRY_INTERVAL)
        };
        let due: Vec<(Worker, Role)> = changing.filter(|(worker, _)| is_due(worker)).collect();
        let ordered = due.iter().map(|(worker, _)| (worker.id.clone(), now));
        self.last_orders.extend(ordered);
        let orders = due
            .iter()
            .map(|(worker, role)| self.order_role(epoch, worker, *role));
        futures_util::stream::iter(orders)
            .buffer_unordered(MAX_CONCURRENT_ORDERS)
            .collect::<()>()
            .await;
    }

    async fn order_role(&self, Epoch(fence): Epoch, worker: &Worker, role: Role) {
        let protocol = &self.shared.protocol;
        let report = self
            .call(worker, RequestKind::Report, protocol.engine_report_call())
            .await;
        let report = report.and_then(|body| protocol.decode_engine_report(&body).ok());
        let Some(EngineReport {
            orders_taken,
            role: current_role,
            is_executing_order,
            is_leaving,
        }) = report
        else {
            return;
        };
        if is_leaving {
            let notice = WorkerNotice {
                is_leaving,
                ..WorkerNotice::default()
            };
            let notices = &self.shared.connections.notices;
            notices.apply(
                &worker.id,
                notice,
                NoticeSource::Answer(RequestKind::Report),
            );
            return;
        }
        if is_executing_order
            || current_role == Some(role)
            || self.authority.fence(&self.shared) != Some(Epoch(fence))
        {
            return;
        }
        let order = RoleOrder {
            worker: worker.id.clone(),
            role,
            holder: self.shared.settings.read().node.name.clone(),
            fence,
            orders_taken,
        };
        let answered = self
            .call(worker, RequestKind::Order, protocol.role_order_call(&order))
            .await;
        let event = Event::Order {
            worker: worker.id.as_str(),
            role: role.name(),
            fence,
            orders_taken,
            outcome: if answered.is_some() {
                "taken"
            } else {
                "unknown"
            },
        };
        self.shared.log.record(Priority::Important, &event);
    }

    /// Calls an engine. Returns the body of a successful answer, or `None` if the call failed.
    async fn call(&self, worker: &Worker, kind: RequestKind, call: WorkerCall) -> Option<Bytes> {
        let request = WorkerRequest::from_call(kind, call);
        let destination = self.shared.destination(worker);
        let answered = async {
            let sent = self.shared.connections.send(&destination, &request).await;
            let mut answer = sent.ok()?;
            let body = answer.body.read_whole(MAX_ANSWER_BYTES).await?;
            (200..300).contains(&answer.status).then_some(body)
        };
        timeout(CALL_TIMEOUT, answered).await.ok().flatten()
    }
}

/// Returns the names of the engines that do not have their desired role yet. The entries of other engines are dropped
/// from the document, so that its size depends on the number of pending changes and not on the size of the fleet.
/// Returns the fractions of a demand that belong to the most urgent routes.
fn urgent_fractions(demand: &EngineDemand) -> UrgentFractions {
    let fraction = |part: f64, whole: f64| match whole > 0.0 {
        true => (part / whole).min(1.0),
        false => 0.0,
    };
    UrgentFractions {
        prefill: fraction(demand.urgent_prefill_engines, demand.prefill_engines),
        short_prefill: fraction(demand.urgent_decode_engines, demand.decode_engines),
        slots: fraction(demand.urgent_decode_slots, demand.decode_slots),
    }
}

fn names_of_changing_engines(engines: &[EngineLoad], desired: &DesiredRoles) -> HashSet<String> {
    let changing = engines.iter().filter(|engine| {
        let role = desired.get(&engine.worker.id);
        role.is_some() && role != engine.worker.role
    });
    changing
        .map(|engine| engine.worker.id.as_str().to_owned())
        .collect()
}

fn distinct_services(engines: &[EngineLoad]) -> Vec<ServiceName> {
    let mut services: Vec<_> = engines
        .iter()
        .map(|engine| engine.worker.service.clone())
        .collect();
    services.sort();
    services.dedup();
    services
}
