//! Communication between zones. A few members of each zone, its relays, exchange digests, so that
//! zones know of each other without traffic between every pair of nodes. The platform's list of
//! machines is also processed here.

use std::net::SocketAddr;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_core::{NodeId, Timestamp, ZoneName};

use crate::backends::KnownBackend;
use crate::digest::{Contact, DigestUpdate, ZoneDigest};
use crate::member::{MemberRecord, MemberState};
use crate::membership::{Action, KnownMachine, Membership};
use crate::message::Body;

impl Membership {
    /// Returns the members that represent this zone to other zones. The first of them follows the
    /// configuration store. All members select the same relays as soon as they agree on which
    /// members are reachable. Dead and leaving members are not selected. Suspect members are, since
    /// suspicions are often short-lived.
    pub fn relays(&self) -> Vec<NodeId> {
        let accepting_work = self.table.reachable().filter(|it| it.accepts_work());
        let mut names: Vec<&NodeId> = accepting_work.map(|record| &record.name).collect();
        if names.is_empty() {
            names.push(&self.name);
        }
        let ranked = rendezvous_rank(self.zone.as_ref(), names);
        let relays = ranked.into_iter().take(self.settings.relays);
        relays.cloned().collect()
    }

    /// Returns whether this node follows the configuration store for its zone.
    pub fn is_watcher(&self, now: Timestamp) -> bool {
        self.is_settled(now) && self.relays().first() == Some(&self.name)
    }

    /// Processes the platform's list of machines: addresses to contact, and leaving marks. The list
    /// lags behind, so a mark applies only to the incarnation with which it was first seen, and not
    /// to a later incarnation of the same name. A node ignores its own entry in the list. Other
    /// members notify it.
    pub fn observe_machines(&mut self, now: Timestamp, machines: &[KnownMachine]) -> Vec<Action> {
        let capacity = self.settings.max_members;
        let others = machines.iter().filter(|machine| machine.name != self.name);
        let others = others.take(capacity).cloned();
        self.machines = others
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        let leaving: Vec<NodeId> = self
            .machines
            .values()
            .filter(|machine| machine.is_leaving)
            .map(|machine| machine.name.clone())
            .collect();
        self.leaving_marks.retain(|name, _| leaving.contains(name));
        for name in leaving {
            self.mark_leaving(now, name);
        }
        std::mem::take(&mut self.actions)
    }

    /// Processes the back ends of this zone on the platform's list of machines. Only the first
    /// relay creates marks: the list lags behind, and two members that read it at different times
    /// would revoke each other's marks.
    pub fn observe_backends(&mut self, now: Timestamp, backends: &[KnownBackend]) -> Vec<Action> {
        if self.relays().first() != Some(&self.name) {
            return Vec::new();
        }
        let version = self.current_version(now);
        for backend in backends.iter().take(self.settings.max_backend_marks) {
            if let Some(mark) = self.backends.new_mark(backend, version) {
                self.handle_backend_mark(&mark);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns a number that increases with time, also across restarts as long as the wall clock
    /// does not go back.
    fn current_version(&self, now: Timestamp) -> u64 {
        let elapsed = now.since(self.started_at.unwrap_or(now));
        let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.first_incarnation.0.saturating_add(elapsed)
    }

    fn mark_leaving(&mut self, now: Timestamp, name: NodeId) {
        let Some(record) = self.table.get(&name).cloned() else {
            return;
        };
        let marked_incarnation = self.leaving_marks.entry(name);
        if *marked_incarnation.or_insert(record.incarnation) != record.incarnation
            || !record.accepts_work()
        {
            return;
        }
        let state = MemberState::Leaving;
        self.apply(now, &MemberRecord { state, ..record });
    }

    /// Returns the digest of this zone that is sent to other zones.
    pub fn own_digest(&self, now: Timestamp) -> ZoneDigest {
        let relays = self.relays();
        let contact = |name: &NodeId| {
            let record = self.table.get(name)?;
            Some(Contact {
                name: record.name.clone(),
                peers: record.addresses.peers,
                configuration_revision: record.configuration_revision,
            })
        };
        let reachable = self.table.reachable();
        ZoneDigest {
            zone: self.zone.clone(),
            version: self.current_version(now),
            live_members: u32::try_from(reachable.count()).unwrap_or(u32::MAX),
            configuration_revision: self.highest_revision(),
            contacts: relays.iter().filter_map(contact).collect(),
            load: self.load,
        }
    }

    fn highest_revision(&self) -> u64 {
        let reachable = self.table.reachable();
        let revisions = reachable.map(|record| record.configuration_revision);
        revisions.max().unwrap_or_default()
    }

    pub(crate) fn handle_digest(&mut self, digest: &ZoneDigest) {
        if digest.zone == self.zone {
            if !self.has_joined {
                for contact in &digest.contacts {
                    self.add_contact(contact.peers);
                }
            }
            return;
        }
        let capacity = self.settings.max_zones;
        if self.digests.insert_if_newer(digest, capacity) == DigestUpdate::Changed {
            self.digest_broadcasts.push(digest.zone.clone());
        }
    }

    /// If this node is a relay, sends its zone's digest to one node of each other zone.
    pub(crate) fn send_digests(&mut self, now: Timestamp) {
        if now < self.timers.digest {
            return;
        }
        self.timers.digest = now + self.settings.digest_period;
        if !self.relays().contains(&self.name) {
            return;
        }
        let digest = self.own_digest(now);
        for to in self.choose_zone_contacts() {
            let mut message = self.build_empty_message(now, Body::Notice);
            message.digests.push(digest.clone());
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Returns one address in each other zone, chosen at random.
    fn choose_zone_contacts(&mut self) -> Vec<SocketAddr> {
        let machines = self.machines.values();
        let listed_zones = machines.map(|machine| machine.zone.clone());
        let digest_zones = self.digests.iter().map(|digest| digest.zone.clone());
        let mut zones: Vec<ZoneName> = listed_zones.chain(digest_zones).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| *zone != self.zone);
        zones.truncate(self.settings.max_zones);
        let chosen = zones
            .iter()
            .filter_map(|zone| self.choose_zone_contact(zone));
        chosen.collect()
    }

    fn choose_zone_contact(&mut self, zone: &ZoneName) -> Option<SocketAddr> {
        use rand::seq::IndexedRandom;
        let digest = self.digests.get(zone);
        let contacts = digest.into_iter().flat_map(|digest| &digest.contacts);
        let mut addresses: Vec<SocketAddr> = contacts.map(|contact| contact.peers).collect();
        // Includes a listed machine, in case all contacts of an old digest have left.
        let listed = self.machines.values().filter(|it| it.zone == *zone);
        let listed: Vec<SocketAddr> = listed.map(|machine| machine.peers).collect();
        addresses.extend(listed.choose(&mut self.rng));
        addresses.choose(&mut self.rng).copied()
    }

    /// Sends the digests of this zone and of all known zones, so that the receiver gets contacts in
    /// them.
    pub(crate) fn send_known_digests(&mut self, now: Timestamp, to: SocketAddr) {
        let mut digests = vec![self.own_digest(now)];
        digests.extend(self.digests.iter().cloned());
        for page in digests.chunks(self.settings.max_digests) {
            let mut message = self.build_empty_message(now, Body::Notice);
            message.digests = page.to_vec();
            self.actions.push(Action::Send { to, message });
        }
    }
}
