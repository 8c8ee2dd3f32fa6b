//! What the copy of the store holds becomes what this gateway decides by: the configuration in
//! force, the workers, their desired roles, and the fleet's size.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tansyhall_core::ServiceName;
use tansyhall_forwarding::{sharing_gateways, Configuration, EngineCapacity, Item, Touched};

use crate::desired_roles::{self, DesiredRoles};
use crate::events::{Event, Priority};
use crate::fleet::Fleet;
use crate::presence;
use crate::quarantine;
use crate::state::{InForce, Shared};
use crate::worker_entries;

/// Takes in what the copy of the store holds now, as far as it was touched: with thousands of workers a batch of
/// changes costs what it changes, not what the store holds.
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
    if touched.covers_any_with_prefix(quarantine::PREFIX) {
        quarantine::read_store_list(shared);
    }
    let position = shared.mirror.lock().position();
    shared.mirror_position.send_replace(position);
    let gauge = i64::try_from(position.epoch).unwrap_or(i64::MAX);
    shared.metrics.mirror_epoch.set(gauge);
    let gauge = i64::try_from(position.revision).unwrap_or(i64::MAX);
    shared.metrics.mirror_revision.set(gauge);
}

/// Takes in which gateways there are.
fn refresh_fleet(shared: &Shared, touched: &Touched) {
    if !touched.covers_any_with_prefix(presence::PREFIX) {
        return;
    }
    let mut members = presence::members(&shared.mirror.lock());
    let announced = members.len() as u64;
    // One that has just started places and reports requests before its announcement is in the store.
    let own = presence::own_member(&shared.settings.read());
    if members.iter().all(|member| member.name != own.name) {
        members.push(own);
    }
    if !shared.fleet.read().is_of(&members) {
        *shared.fleet.write() = Arc::new(Fleet::new(members));
    }
    share_budgets(shared, announced);
}

/// Shares the fleet's budgets anew where more gateways are counted than are announced: those whose announcements a
/// restored store has lost are back by now, or gone.
pub fn share_budgets_anew(shared: &Shared) {
    let announced = shared.fleet.read().len() as u64;
    let is_read = !shared.mirror.lock().position().is_start();
    if is_read && shared.gateways.load(Ordering::Relaxed) > announced {
        share_budgets(shared, announced);
    }
}

fn share_budgets(shared: &Shared, announced: u64) {
    let contact = &shared.store_contact;
    let was_restored = contact.was_restored_within(shared.now(), presence::REANNOUNCED_WITHIN);
    let known = shared.gateways.load(Ordering::Relaxed);
    // Gateways that start together find none announced; each would take the whole budget.
    let is_unannounced = !presence::is_announced(shared);
    let may_be_missing = shared.is_stopping() || was_restored || is_unannounced;
    let sharing = sharing_gateways(announced, known, may_be_missing);
    shared.gateways.store(sharing, Ordering::Relaxed);
    shared.retries.lock().set_gateways(sharing as u32);
    shared.metrics.gateways.set(announced as i64);
}

/// Takes in the configuration; returns whether it names other services than the one before.
fn refresh_configuration(shared: &Arc<Shared>, touched: &Touched) -> bool {
    let key = shared.catalogue.configuration_key();
    if !touched.covers(key) {
        return false;
    }
    let Some(item) = shared.mirror.lock().get(key).cloned() else {
        return false;
    };
    let before = shared.in_force();
    if before.as_ref().map(|in_force| in_force.written) == Some(item.written) {
        return false;
    }
    let configuration = shared.catalogue.configuration(&item.value);
    let checked = configuration.and_then(|configuration| {
        configuration.validate()?;
        Ok(configuration)
    });
    let known_version = before
        .as_ref()
        .map(|in_force| in_force.configuration.version);
    match checked {
        // A store that was restored holds an older one until the operator has written the latest again.
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
            let engines = engines(&configuration);
            shared.directory.lock().set_engines(engines);
            let in_force = InForce::new(configuration, item.written);
            let services_changed =
                before.is_none_or(|before| !before.names_same_services(&in_force));
            *shared.in_force.write() = Some(Arc::new(in_force));
            services_changed
        }
        Err(error) => {
            record_refused(shared, &item, &error);
            false
        }
    }
}

fn engines(configuration: &Configuration) -> HashMap<ServiceName, EngineCapacity> {
    let engines = configuration
        .services
        .iter()
        .filter_map(|service| Some((service.name.clone(), service.engine?)));
    engines.collect()
}

/// Records an item that can't be used.
pub fn record_refused(shared: &Shared, item: &Item, error: &anyhow::Error) {
    let event = Event::ItemRefused {
        key: &item.key,
        revision: item.written.revision,
        reason: &format!("{error:#}"),
    };
    shared.log.record(Priority::Important, &event);
}
