//! Updates the state that this gateway bases its decisions on from the mirror of the store: the
//! configuration in force, the workers, their desired roles, and the size of the fleet.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    sharing_gateways, Configuration, EngineCapacity, Item, SharingGateways, Touched,
};

use crate::desired_roles::{self, DesiredRoles};
use crate::events::{Event, Priority};
use crate::presence::{self, Announcement};
use crate::quarantine;
use crate::state::{ConfigurationInForce, Shared};
use crate::stream_versions;
use crate::worker_entries;

/// Longest reason in a log line about an item that cannot be used. Reasons quote values, which may be long.
const MAX_REASON_CHARACTERS: usize = 300;

/// Updates the shared state from the items of the mirror that were touched. With thousands of workers, the cost of a
/// batch of changes thus depends on the number of changes and not on the size of the store.
pub fn refresh(shared: &Arc<Shared>, touched: &Touched) {
    let services_changed = refresh_configuration(shared, touched);
    refresh_fleet(shared, touched);
    if touched.covers(desired_roles::KEY) {
        let desired = DesiredRoles::read(&shared.mirror.lock());
        shared
            .directory
            .lock()
            .set_desired_roles(desired.into_roles());
    }
    worker_entries::refresh(shared, touched, services_changed);
    for subject in quarantine::Subject::ALL {
        if touched.covers_any_with_prefix(subject.key_prefix()) {
            quarantine::read_store_list(shared, subject);
        }
    }
    if touched.covers_any_with_prefix(stream_versions::SERVED_PREFIX) {
        stream_versions::read_served_versions(shared);
    }
    let position = shared.mirror.lock().position();
    shared.mirror_position.send_replace(position);
    let epoch = i64::try_from(position.epoch).unwrap_or(i64::MAX);
    shared.metrics.mirror_epoch.set(epoch);
    let revision = i64::try_from(position.revision).unwrap_or(i64::MAX);
    shared.metrics.mirror_revision.set(revision);
}

/// Updates the list of gateways.
fn refresh_fleet(shared: &Shared, touched: &Touched) {
    if !touched.covers_any_with_prefix(presence::PREFIX) {
        return;
    }
    let mut members = presence::members(&shared.mirror.lock());
    let announced = members.len() as u64;
    // A gateway that has just started places and reports requests before its announcement is in the store.
    let own = presence::own_member(&shared.settings.read());
    let own_name = own.name.clone();
    if members.iter().all(|member| member.name != own.name) {
        members.push(own);
    }
    if !shared.fleet.read().has_members(&members) {
        shared.worker_relays.set_members(&own_name, &members);
        let mut fleet = shared.fleet.write();
        *fleet = Arc::new(fleet.succeeded_by(shared.now(), members));
    }
    share_budgets(shared, announced);
}

/// Recomputes this gateway's share of the fleet's budgets if more gateways are counted than are announced. Gateways
/// whose announcements were lost when the store was restored have announced themselves again by now, or are gone.
pub fn update_budget_shares(shared: &Shared) {
    let announced = shared.fleet.read().len() as u64;
    let has_snapshot = !shared.mirror.lock().position().is_start();
    if has_snapshot && shared.gateways.load(Ordering::Relaxed) > announced {
        share_budgets(shared, announced);
    }
}

fn share_budgets(shared: &Shared, announced: u64) {
    let contact = &shared.store_contact;
    let was_restored = contact.was_restored_within(shared.now(), presence::REANNOUNCEMENT_WINDOW);
    let known_gateways = shared.gateways.load(Ordering::Relaxed);
    // Gateways that start at the same time find no other gateway announced; each would use the whole budget.
    let announcement = presence::own_announcement(shared);
    let is_unannounced = announcement.is_none();
    let is_stopping = shared.is_stopping();
    let may_be_missing = is_stopping || was_restored || is_unannounced;
    let sharing_count = sharing_gateways(announced, known_gateways, may_be_missing);
    shared.gateways.store(sharing_count, Ordering::Relaxed);
    // The others still count a gateway that has withdrawn its announcement because it stops.
    let is_counted = is_stopping || !is_unannounced;
    let sharing = is_counted.then_some(SharingGateways {
        count: sharing_count,
        has_earlier_life: announcement != Some(Announcement::First),
    });
    shared.retries.lock().set_gateways(shared.now(), sharing);
    shared.metrics.gateways.set(announced as i64);
}

/// Applies the configuration. Returns whether it contains other services than the previous one.
fn refresh_configuration(shared: &Arc<Shared>, touched: &Touched) -> bool {
    let key = shared.store_schema.configuration_key();
    if !touched.covers(key) {
        return false;
    }
    let Some(item) = shared.mirror.lock().get(key).cloned() else {
        return false;
    };
    let previous = shared.in_force();
    if previous.as_ref().map(|in_force| in_force.written) == Some(item.written) {
        return false;
    }
    let configuration = shared.store_schema.decode_configuration(&item.value);
    let checked = configuration.and_then(|configuration| {
        configuration.validate()?;
        Ok(configuration)
    });
    let known_version = previous
        .as_ref()
        .map(|in_force| in_force.configuration.version);
    match checked {
        // A restored store holds an older configuration until the operator writes the latest one again.
        Ok(older) if known_version.is_some_and(|known| older.version <= known) => {
            let event = Event::ConfigurationPassedOver {
                version: older.version,
                revision: item.written.revision,
                in_force: known_version.unwrap_or_default(),
            };
            shared.log.record(Priority::Important, &event);
            false
        }
        Ok(configuration) => {
            let event = Event::ConfigurationApplied {
                version: configuration.version,
                revision: item.written.revision,
                routes: configuration.routes.len(),
                tenants: configuration.tenants.as_ref().map_or(0, Vec::len),
            };
            shared.log.record(Priority::Important, &event);
            let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
            shared.metrics.configuration_version.set(version);
            let engines = engine_capacities(&configuration);
            shared.directory.lock().set_engines(engines);
            let routes: HashSet<&str> = configuration
                .routes
                .iter()
                .map(|route| route.name.as_str())
                .collect();
            let mut answer_times = shared.answer_times.lock();
            answer_times.retain(|route| routes.contains(route));
            drop(answer_times);
            let in_force = ConfigurationInForce::new(configuration, item.written);
            let services_changed =
                previous.is_none_or(|previous| !previous.names_same_services(&in_force));
            *shared.in_force.write() = Some(Arc::new(in_force));
            services_changed
        }
        Err(error) => {
            record_refused_item(shared, &item, &error);
            false
        }
    }
}

fn engine_capacities(configuration: &Configuration) -> HashMap<ServiceName, EngineCapacity> {
    let engines = configuration
        .services
        .iter()
        .filter_map(|service| Some((service.name.clone(), service.engine?)));
    engines.collect()
}

/// Logs an item that cannot be used.
pub fn record_refused_item(shared: &Shared, item: &Item, error: &anyhow::Error) {
    let reason = format!("{error:#}");
    let reason: String = reason.chars().take(MAX_REASON_CHARACTERS).collect();
    let event = Event::ItemRefused {
        key: &item.key,
        revision: item.written.revision,
        reason: &reason,
    };
    shared.log.record(Priority::Important, &event);
}
