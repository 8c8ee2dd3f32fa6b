//! What passes between zones: a few relay members of each exchange digests, so that zones know of
//! each other without every pair of nodes talking. The platform's list of machines also comes in
//! here.

use std::net::SocketAddr;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_core::{NodeId, Timestamp, ZoneName};

use crate::backends::KnownBackend;
use crate::digest::{Contact, DigestOutcome, ZoneDigest};
use crate::member::{MemberRecord, MemberState};
use crate::membership::{Action, KnownMachine, Membership};
use crate::message::Body;

impl Membership {
    /// The members that speak for this zone, first the one that follows the configuration store.
    /// Members agree on them as soon as they agree on who is reachable; a leaving or suspect
    /// member is passed over only when it is dead or leaving, since suspicions come and go.
    pub fn relays(&self) -> Vec<NodeId> {
        let takes_work = self.table.reachable().filter(|it| it.takes_work());
        let mut names: Vec<&NodeId> = takes_work.map(|record| &record.name).collect();
        if names.is_empty() {
            names.push(&self.name);
        }
        let ranked = rendezvous_rank(self.zone.as_ref(), names);
        let relays = ranked.into_iter().take(self.settings.relays);
        relays.cloned().collect()
    }

    /// Whether this node follows the configuration store for its zone.
    pub fn is_watcher(&self, now: Timestamp) -> bool {
        self.is_settled(now) && self.relays().first() == Some(&self.name)
    }

    /// Takes the platform's list of machines: addresses to contact, and leaving marks. The list
    /// lags, so a mark counts for the incarnation that it was first seen with, and not for a later
    /// run of the same name. A node does not believe the list about itself; others tell it.
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
            .filter(|machine| machine.leaving)
            .map(|machine| machine.name.clone())
            .collect();
        self.leaving_marks.retain(|name, _| leaving.contains(name));
        for name in leaving {
            self.mark_leaving(now, name);
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes the back ends of this zone on the platform's list of machines. Only the first relay
    /// makes marks: the list lags, and two members that read it at different moments would take
    /// back each other's marks.
    pub fn observe_backends(&mut self, now: Timestamp, backends: &[KnownBackend]) -> Vec<Action> {
        if self.relays().first() != Some(&self.name) {
            return Vec::new();
        }
        let version = self.version(now);
        for backend in backends.iter().take(self.settings.max_backend_marks) {
            if let Some(mark) = self.backends.observe(backend, version) {
                self.take_backend_mark(&mark);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// A number that grows with time, across restarts too, as far as wall clocks do.
    fn version(&self, now: Timestamp) -> u64 {
        let elapsed = now.since(self.started.unwrap_or(now));
        let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.first_incarnation.0.saturating_add(elapsed)
    }

    fn mark_leaving(&mut self, now: Timestamp, name: NodeId) {
        let Some(record) = self.table.get(&name).cloned() else {
            return;
        };
        let marked = self.leaving_marks.entry(name);
        if *marked.or_insert(record.incarnation) != record.incarnation || !record.takes_work() {
            return;
        }
        let state = MemberState::Leaving;
        self.apply(now, &MemberRecord { state, ..record });
    }

    /// What this zone tells others about itself.
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
            version: self.version(now),
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

    pub(crate) fn take_digest(&mut self, digest: &ZoneDigest) {
        if digest.zone == self.zone {
            if !self.joined {
                for contact in &digest.contacts {
                    self.add_contact(contact.peers);
                }
            }
            return;
        }
        let capacity = self.settings.max_zones;
        if self.digests.offer(digest, capacity) == DigestOutcome::Changed {
            self.digest_broadcasts.push(digest.zone.clone());
        }
    }

    /// If this node is a relay, tells one member of each other zone about its own.
    pub(crate) fn exchange_digests(&mut self, now: Timestamp) {
        if now < self.timers.digest {
            return;
        }
        self.timers.digest = now + self.settings.digest_period;
        if !self.relays().contains(&self.name) {
            return;
        }
        let digest = self.own_digest(now);
        for to in self.zone_contacts() {
            let mut message = self.empty_message(now, Body::Notice);
            message.digests.push(digest.clone());
            self.actions.push(Action::Send { to, message });
        }
    }

    /// One address in each other zone, a different one from time to time.
    fn zone_contacts(&mut self) -> Vec<SocketAddr> {
        let machines = self.machines.values();
        let listed = machines.map(|machine| machine.zone.clone());
        let heard = self.digests.iter().map(|digest| digest.zone.clone());
        let mut zones: Vec<ZoneName> = listed.chain(heard).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| *zone != self.zone);
        zones.truncate(self.settings.max_zones);
        let chosen = zones.iter().filter_map(|zone| self.zone_contact(zone));
        chosen.collect()
    }

    fn zone_contact(&mut self, zone: &ZoneName) -> Option<SocketAddr> {
        use rand::seq::IndexedRandom;
        let digest = self.digests.get(zone);
        let contacts = digest.into_iter().flat_map(|digest| &digest.contacts);
        let mut addresses: Vec<SocketAddr> = contacts.map(|contact| contact.peers).collect();
        // A listed machine has a turn too, in case every contact of an old digest has gone.
        let listed = self.machines.values().filter(|it| it.zone == *zone);
        let listed: Vec<SocketAddr> = listed.map(|machine| machine.peers).collect();
        addresses.extend(listed.choose(&mut self.rng));
        addresses.choose(&mut self.rng).copied()
    }

    /// Answers a node of another zone that looks for contacts.
    pub(crate) fn send_known_digests(&mut self, now: Timestamp, to: SocketAddr) {
        let mut digests = vec![self.own_digest(now)];
        digests.extend(self.digests.iter().cloned());
        for page in digests.chunks(self.settings.max_digests) {
            let mut message = self.empty_message(now, Body::Notice);
            message.digests = page.to_vec();
            self.actions.push(Action::Send { to, message });
        }
    }
}
