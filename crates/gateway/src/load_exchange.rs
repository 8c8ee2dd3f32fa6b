//! Sends reports of the load that this gateway places to the other gateways that place requests, and
//! receives datagrams. A lost report is compensated by the next one.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tansyhall_forwarding::scheduler_plan::MAX_FULL_RATE_REPORTERS;
use tansyhall_forwarding::{LimitSharers, LoadReport};
use tokio::time::sleep;

use crate::authority_claim;
use crate::datagrams::{Datagram, MAX_DATAGRAM_BYTES};
use crate::fleet::Fleet;
use crate::load_messages::{decode, encode};
use crate::placement;
use crate::quarantine;
use crate::state::Shared;
use crate::stream_versions;
use crate::usage;

/// Pause between two reports in a fleet whose number of schedulers does not require a longer one.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two checks for expired placements.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Sends and receives datagrams until the task is dropped.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(send(&shared), receive(&shared));
}

async fn send(shared: &Shared) {
    let mut last_expiry = shared.now();
    let mut division = None;
    loop {
        let fleet = shared.fleet.read().clone();
        sleep(report_interval(&fleet)).await;
        divide_limits(shared, &fleet, &mut division);
        let now = shared.now();
        if now.since(last_expiry) >= EXPIRY_CHECK_INTERVAL {
            last_expiry = now;
            placement::expire(shared);
            let tenants_of_others = shared.directory.lock().tenants_of_others();
            shared
                .metrics
                .tenants_of_others
                .set(tenants_of_others as i64);
        }
        quarantine::send_due_updates(shared);
        let due = {
            let mut directory = shared.directory.lock();
            directory.set_other_gateways(
                other_scheduler_count(shared, &fleet),
                report_interval(&fleet),
            );
            directory.report_due(now)
        };
        if let Some(report) = due.filter(|_| places_requests(shared, &fleet)) {
            send_report(shared, &fleet, &report);
        }
    }
}

/// Divides the rate limits of workers again if the gateways that place requests have changed since `division`.
fn divide_limits(shared: &Shared, fleet: &Arc<Fleet>, division: &mut Option<Division>) {
    let settings = shared.settings.read();
    let schedulers = settings.decisions.schedulers;
    let is_same = |division: &Division| {
        Arc::ptr_eq(&division.fleet, fleet) && division.schedulers == schedulers
    };
    if division.as_ref().is_some_and(is_same) {
        return;
    }
    let own = settings.node.name.as_str();
    let sharers = match schedulers {
        true => LimitSharers::new(own, fleet.plan.scheduler_names()),
        false => LimitSharers::new(own, fleet.names()),
    };
    shared.directory.lock().set_limit_sharers(sharers);
    *division = Some(Division {
        fleet: Arc::clone(fleet),
        schedulers,
    });
}

/// The gateways among which rate limits are divided.
struct Division {
    fleet: Arc<Fleet>,
    /// Whether the schedulers place the requests of all gateways.
    schedulers: bool,
}

/// Returns the number of other schedulers; 0 in a small fleet, where each gateway places its own requests. Such a fleet
/// has few engines, and comparing only a part of them scored 0.02 lower on a fleet of eight gateways.
fn other_scheduler_count(shared: &Shared, fleet: &Fleet) -> usize {
    let schedulers = fleet.plan.scheduler_count();
    let has_requesting_gateways =
        schedulers < fleet.len() && shared.settings.read().decisions.schedulers;
    match has_requesting_gateways {
        true => schedulers.saturating_sub(1),
        false => 0,
    }
}

/// Returns whether this gateway places requests, its own or those of other gateways. No scheduler knows of these
/// requests unless this gateway reports them.
fn places_requests(shared: &Shared, fleet: &Fleet) -> bool {
    let settings = shared.settings.read();
    let places_own_requests =
        !settings.decisions.schedulers || fleet.plan.is_scheduler(&settings.node.name);
    places_own_requests || shared.granted_placements.lock().has_requesting_gateways()
}

/// Sends a report to the gateways that place requests and to the holder of the authority.
fn send_report(shared: &Shared, fleet: &Fleet, report: &LoadReport) {
    let settings = shared.settings.read().clone();
    let datagram = Datagram::report(encode(report)).encode_to_vec();
    let own = settings.node.name.as_str();
    let holder = authority_claim::holder(&shared.mirror.lock());
    let holder = holder.filter(|name| !fleet.plan.is_listener(name));
    let listeners: Vec<&str> = match settings.decisions.schedulers {
        true => fleet.plan.listeners().chain(holder.as_deref()).collect(),
        false => fleet.names().collect(),
    };
    let others = listeners.into_iter().filter(|name| *name != own);
    for address in others.filter_map(|name| fleet.load_address(name)) {
        shared.datagrams.send_encoded(address, &datagram);
    }
}

/// Returns the pause between two reports. It grows with the number of reporting gateways, so that the number of reports
/// that each gateway receives per second does not.
fn report_interval(fleet: &Fleet) -> Duration {
    let factor = fleet
        .plan
        .scheduler_count()
        .div_ceil(MAX_FULL_RATE_REPORTERS)
        .max(1);
    MIN_REPORT_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)
}

async fn receive(shared: &Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Some((datagram, sender)) = shared.datagrams.receive(&mut buffer).await else {
            continue;
        };
        if let Some(report) = datagram.report {
            let now = shared.now();
            shared.directory.lock().receive_report(now, &decode(report));
        }
        if let Some(question) = datagram.question {
            placement::handle_message(shared, sender, question);
        }
        if let Some(message) = datagram.quarantine {
            quarantine::receive_update(shared, sender, message);
        }
        if let Some(message) = datagram.part_quarantine {
            quarantine::receive_part_update(shared, sender, message);
        }
        if let Some(message) = datagram.usage {
            usage::receive_counts(shared, sender, message);
        }
        if let Some(message) = datagram.usage_acknowledged {
            usage::receive_acknowledgement(shared, &message);
        }
        if let Some(message) = datagram.streams {
            stream_versions::receive_streams(shared, sender, &message);
        }
        if let Some(message) = datagram.recorded_streams {
            stream_versions::receive_recorded_streams(shared, &message);
        }
        if let Some(question) = datagram.version_question {
            stream_versions::receive_question(shared, sender, &question);
        }
        if let Some(answer) = datagram.version_answer {
            stream_versions::receive_answer(shared, sender, &answer);
        }
        if let Some(question) = datagram.history_question {
            stream_versions::receive_history_question(shared, sender, &question);
        }
        if let Some(answer) = datagram.history_answer {
            stream_versions::receive_history_answer(shared, &answer);
        }
        if let Some(answer) = datagram.answer {
            match answer.decode_answer() {
                Ok((id, answer)) => shared.placements.receive_answer(id, answer),
                Err(error) => log::warn!("ignoring malformed answer from {sender}: {error:#}"),
            }
        }
    }
}
