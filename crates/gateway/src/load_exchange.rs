//! Sends reports of the load that this gateway places to the others that place some, and takes
//! datagrams in. A lost report is made good by the next.

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
use crate::usage;

/// Pause between reports.
const PACE: Duration = Duration::from_millis(20);
/// Pause between two looks for placements whose time is over.
const EXPIRY_PACE: Duration = Duration::from_millis(200);

/// Sends and receives for ever.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(send(&shared), receive(&shared));
}

async fn send(shared: &Shared) {
    let mut expired = shared.now();
    let mut divided = None;
    loop {
        let fleet = shared.fleet.read().clone();
        sleep(pace(&fleet)).await;
        divide_limits(shared, &fleet, &mut divided);
        let now = shared.now();
        if now.since(expired) >= EXPIRY_PACE {
            expired = now;
            placement::expire(shared);
        }
        quarantine::send_due_updates(shared);
        let due = {
            let mut directory = shared.directory.lock();
            directory.set_other_gateways(other_schedulers(shared, &fleet), pace(&fleet));
            directory.report_due(now)
        };
        if let Some(report) = due.filter(|_| places_requests(shared, &fleet)) {
            tell(shared, &fleet, &report);
        }
    }
}

/// Divides the rate limits of workers anew if the gateways that place requests are not those of `divided` any more.
fn divide_limits(shared: &Shared, fleet: &Arc<Fleet>, divided: &mut Option<Division>) {
    let settings = shared.settings.read();
    let schedulers = settings.decisions.schedulers;
    let is_same = |division: &Division| {
        Arc::ptr_eq(&division.fleet, fleet) && division.schedulers == schedulers
    };
    if divided.as_ref().is_some_and(is_same) {
        return;
    }
    let own = settings.node.name.as_str();
    let sharers = match schedulers {
        true => LimitSharers::new(own, fleet.plan.scheduler_names()),
        false => LimitSharers::new(own, fleet.names()),
    };
    shared.directory.lock().set_limit_sharers(sharers);
    *divided = Some(Division {
        fleet: Arc::clone(fleet),
        schedulers,
    });
}

/// Among whom rate limits are divided.
struct Division {
    fleet: Arc<Fleet>,
    /// Whether schedulers place the requests of all.
    schedulers: bool,
}

/// Other schedulers. In a small fleet, where each gateway places its own requests, none counts: there are
/// few engines, and to compare a part of them was worth 0.02 less on a fleet of eight gateways.
fn other_schedulers(shared: &Shared, fleet: &Fleet) -> usize {
    let schedulers = fleet.plan.scheduler_count();
    let some_ask = schedulers < fleet.len() && shared.settings.read().decisions.schedulers;
    match some_ask {
        true => schedulers.saturating_sub(1),
        false => 0,
    }
}

/// Whether what this gateway has under way is known to no scheduler.
fn places_requests(shared: &Shared, fleet: &Fleet) -> bool {
    let settings = shared.settings.read();
    let for_itself = !settings.decisions.schedulers || fleet.plan.is_scheduler(&settings.node.name);
    for_itself || shared.ledger.lock().has_requesting_gateways()
}

/// Sends a report to those who place requests, and to the holder of the authority.
fn tell(shared: &Shared, fleet: &Fleet, report: &LoadReport) {
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

/// The pause between reports: it grows with those that report, so that what each gets does not.
fn pace(fleet: &Fleet) -> Duration {
    let stretch = fleet
        .plan
        .scheduler_count()
        .div_ceil(MAX_FULL_RATE_REPORTERS)
        .max(1);
    PACE * u32::try_from(stretch).unwrap_or(u32::MAX)
}

async fn receive(shared: &Shared) {
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
        if let Some(message) = datagram.usage {
            usage::receive_counts(shared, sender, message);
        }
        if let Some(message) = datagram.usage_acknowledged {
            usage::receive_acknowledgement(shared, &message);
        }
        if let Some(answer) = datagram.answer {
            match answer.decode_answer() {
                Ok((id, answer)) => shared.placements.receive_answer(id, answer),
                Err(error) => log::warn!("an answer of {sender} is passed over: {error:#}"),
            }
        }
    }
}
