//! Repairs differences between members that single messages left behind: compares whole tables, and
//! tries to reach members that are considered dead and contacts that were never reached.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use tansyhall_core::Timestamp;

use crate::member::MemberRecord;
use crate::membership::Membership;

impl Membership {
    pub(crate) fn sync_with_random_member(&mut self, now: Timestamp) {
        if now < self.timers.sync {
            return;
        }
        self.timers.sync = now + self.settings.sync_period;
        let own = self.name.clone();
        for record in self.random_members(1, &own) {
            self.send_sync(now, record.addresses.peers, Some(&record.name));
        }
    }

    /// Sends a sync request to a dead member or to an address at which no member is known. This
    /// rejoins the two sides of a zone after a network partition, and connects zones that know of
    /// each other only by a contact.
    pub(crate) fn reconnect(&mut self, now: Timestamp) {
        if now < self.timers.reconnect {
            return;
        }
        self.timers.reconnect = now + self.settings.reconnect_period;
        let mut candidates = self.unreachable_addresses();
        candidates.shuffle(&mut self.rng);
        if let Some(address) = candidates.pop() {
            let is_at_address = |record: &&MemberRecord| record.addresses.peers == address;
            let name = self.table.records().find(is_at_address);
            let name = name.map(|record| record.name.clone());
            self.send_sync(now, address, name.as_ref());
        }
    }

    /// Returns the addresses at which no reachable member is known. Only relays include contacts:
    /// contacts may be in other zones, and a few nodes that are the contact of every node would
    /// otherwise receive requests from every node.
    fn unreachable_addresses(&self) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = self
            .table
            .reachable()
            .map(|record| record.addresses.peers)
            .collect();
        let dead = self.table.records().filter(|it| !it.is_reachable());
        let dead = dead.map(|record| record.addresses.peers);
        let machines = self.machines.values().filter(|it| it.zone == self.zone);
        let machines = machines.map(|machine| machine.peers);
        let is_relay = self.relays().contains(&self.name);
        let contacts = self.contacts.iter().filter(|_| is_relay).copied();
        let addresses = dead.chain(machines).chain(contacts);
        addresses
            .filter(|address| !known.contains(address))
            .collect()
    }
}
