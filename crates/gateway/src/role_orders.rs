//! Orders of the holder of the authority to engines, to change their roles.
//!
//! The holder writes the roles that engines should have (under the condition that its claim still
//! stands), waits until every gateway has heard of it, and orders each engine with its fence and the
//! number of orders that the engine has taken. An order that is carried out late finds another number and
//! has no effect.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tansyhall_authority::Epoch;
use tansyhall_core::{Role, ServiceName, Timestamp};
use tansyhall_forwarding::{EngineLoad, Worker, WorkerId, WorkerNotice};
use tansyhall_planner::{balance_roles, BalancedEngine, ExpectedDemand, RecentPeak};
use tansyhall_store::{Compare, KeyValueStore, Operation, Revision, Transaction};
use tokio::time::{sleep, timeout};

use crate::authority::Authority;
use crate::authority_claim;
use crate::desired_roles::{self, DesiredRoles};
use crate::events::{Event, Priority};
use crate::protocol::{EngineReport, RoleOrder, WorkerCall};
use crate::state::Shared;
use crate::store_call::in_time;
use crate::worker_notices::NoticeSource;
use crate::worker_request::{RequestKind, WorkerRequest};

/// Pause between two looks.
const PACE: Duration = Duration::from_millis(300);
/// Time in which every gateway hears of a desired role.
const NOTICE: Duration = Duration::from_millis(600);
/// Time between two changes of the desired roles.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Time after which an order that changed nothing is sent again.
const ORDER_PATIENCE: Duration = Duration::from_secs(4);
/// Time for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Engines that are ordered at the same time, so that some that do not answer hold up few others, and thousands are
/// not called in one burst.
const ORDERS_AT_ONCE: usize = 16;
/// Weight of the newest count in an engine's smoothed streams.
const STREAMS_WEIGHT: f64 = 0.15;
/// The longest answer of an engine.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Orders engines while this gateway holds the authority, until it stops.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>, authority: Authority) {
    let mut orders = RoleOrders {
        shared,
        store,
        authority,
        changed: Timestamp::default(),
        ordered: HashMap::new(),
        streams: HashMap::new(),
        short_reading: HashMap::new(),
    };
    while !orders.shared.is_stopping() {
        sleep(PACE).await;
        orders.look().await;
    }
}

struct RoleOrders {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    authority: Authority,
    changed: Timestamp,
    ordered: HashMap<WorkerId, Timestamp>,
    streams: HashMap<WorkerId, f64>,
    /// What reading short prompts asked of the decoders of each service lately.
    short_reading: HashMap<ServiceName, RecentPeak>,
}

impl RoleOrders {
    async fn look(&mut self) {
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
        if now.since(self.changed) < SETTLING {
            return;
        }
        let mut desired = DesiredRoles::read(&self.shared.mirror.lock());
        let mut changes = 0;
        for service in services_of(&engines) {
            let members: Vec<&EngineLoad> = engines
                .iter()
                .filter(|engine| engine.worker.service == service)
                .collect();
            let balanced: Vec<BalancedEngine> = members
                .iter()
                .map(|engine| self.balanced(engine, &desired))
                .collect();
            let demand = self.shared.directory.lock().engine_demand(now, &service);
            let peak = self.short_reading.entry(service.clone()).or_default();
            let expected = ExpectedDemand {
                prefill_engines: demand.prefill_engines,
                decode_engines_for_short_prompts: peak.observe(now, demand.decode_engines),
                decode_slots: demand.decode_slots,
            };
            for change in balance_roles(&balanced, expected) {
                desired.set(&members[change.engine].worker.id, change.role);
                changes += 1;
            }
        }
        if changes > 0 {
            let changing = changing_engines(&engines, &desired);
            desired.retain(|name| changing.contains(name));
            self.changed = now;
            self.write_desired_roles(epoch, &desired).await;
        }
    }

    fn engines(&mut self) -> Vec<EngineLoad> {
        let engines = self.shared.directory.lock().engine_loads();
        for engine in &engines {
            let streams = self.streams.entry(engine.worker.id.clone()).or_default();
            *streams += (f64::from(engine.sends) - *streams) * STREAMS_WEIGHT;
        }
        let present: HashSet<&WorkerId> = engines.iter().map(|engine| &engine.worker.id).collect();
        self.streams.retain(|id, _| present.contains(id));
        self.ordered.retain(|id, _| present.contains(id));
        engines
    }

    fn balanced(&self, engine: &EngineLoad, desired: &DesiredRoles) -> BalancedEngine {
        let worker = &engine.worker;
        let role = worker.role.unwrap_or_default();
        let wanted = desired.get(&worker.id).unwrap_or(role);
        let streams = self.streams.get(&worker.id).copied().unwrap_or_default();
        BalancedEngine {
            zone: worker.zone.clone(),
            role: wanted,
            changing: wanted != role,
            streams: streams.round() as u32,
            slots: worker.slots,
        }
    }

    async fn write_desired_roles(&self, epoch: Epoch, desired: &DesiredRoles) {
        let known = {
            let mirror = self.shared.mirror.lock();
            mirror
                .get(desired_roles::KEY)
                .map(|item| item.written.revision)
        };
        let unchanged = match known {
            Some(revision) => Compare::ModifiedAt(desired_roles::KEY.into(), Revision(revision)),
            None => Compare::Absent(desired_roles::KEY.into()),
        };
        let transaction = Transaction {
            compare: vec![authority_claim::stands(epoch), unchanged],
            operations: vec![Operation::Put {
                key: desired_roles::KEY.into(),
                value: desired.encode(),
                lease: None,
            }],
        };
        let _ = in_time(self.store.transact(&transaction)).await;
    }

    async fn order_engines(&mut self, epoch: Epoch) {
        let now = self.shared.now();
        if now.since(self.changed) < NOTICE {
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
            let ordered = self.ordered.get(&worker.id);
            ordered.is_none_or(|at| now.since(*at) >= ORDER_PATIENCE)
        };
        let due: Vec<(Worker, Role)> = changing.filter(|(worker, _)| is_due(worker)).collect();
        let ordered = due.iter().map(|(worker, _)| (worker.id.clone(), now));
        self.ordered.extend(ordered);
        let orders = due
            .iter()
            .map(|(worker, role)| self.order(epoch, worker, *role));
        futures_util::stream::iter(orders)
            .buffer_unordered(ORDERS_AT_ONCE)
            .collect::<()>()
            .await;
    }

    async fn order(&self, Epoch(fence): Epoch, worker: &Worker, role: Role) {
        let protocol = &self.shared.protocol;
        let report = self
            .call(worker, RequestKind::Report, protocol.report_call())
            .await;
        let report = report.and_then(|body| protocol.engine_report(&body).ok());
        let Some(EngineReport {
            orders_taken,
            role: present,
            busy,
            leaves,
        }) = report
        else {
            return;
        };
        if leaves {
            let notice = WorkerNotice {
                is_leaving: leaves,
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
        if busy || present == Some(role) || self.authority.fence(&self.shared) != Some(Epoch(fence))
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
            .call(worker, RequestKind::Order, protocol.role_order(&order))
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

    /// The body of a successful answer.
    async fn call(&self, worker: &Worker, asked: RequestKind, call: WorkerCall) -> Option<Bytes> {
        let request = WorkerRequest::from_call(asked, call);
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

/// The names of engines that do not have the role yet that they should have. Entries of others are dropped from the
/// document, so that it grows with the changes under way and not with the fleet.
fn changing_engines(engines: &[EngineLoad], desired: &DesiredRoles) -> HashSet<String> {
    let changing = engines.iter().filter(|engine| {
        let role = desired.get(&engine.worker.id);
        role.is_some() && role != engine.worker.role
    });
    changing
        .map(|engine| engine.worker.id.as_str().to_owned())
        .collect()
}

fn services_of(engines: &[EngineLoad]) -> Vec<ServiceName> {
    let mut services: Vec<_> = engines
        .iter()
        .map(|engine| engine.worker.service.clone())
        .collect();
    services.sort();
    services.dedup();
    services
}
