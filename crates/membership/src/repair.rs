//! What mends differences that single messages left behind: comparison of whole tables, and tries
//! to reach those that are counted as dead or were never met.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use tansyhall_core::Timestamp;

use crate::member::MemberRecord;
use crate::membership::Membership;

impl Membership {
    pub(crate) fn synchronise(&mut self, now: Timestamp) {
        if now < self.timers.sync {
            return;
        }
        self.timers.sync = now + self.settings.sync_period;
        let own = self.name.clone();
        for record in self.random_others(1, &own) {
            self.send_sync(now, record.addresses.peers, Some(&record.name));
        }
    }

    /// Tries one dead member or one address that is no member's, so that zones which were cut in
    /// two find together again, and zones that know of each other only by a contact do at all.
    pub(crate) fn reconnect(&mut self, now: Timestamp) {
        if now < self.timers.reconnect {
            return;
        }
        self.timers.reconnect = now + self.settings.reconnect_period;
        let mut candidates = self.lost_addresses();
        candidates.shuffle(&mut self.rng);
        if let Some(address) = candidates.pop() {
            let at_address = |record: &&MemberRecord| record.addresses.peers == address;
            let name = self.table.records().find(at_address);
            let name = name.map(|record| record.name.clone());
            self.send_sync(now, address, name.as_ref());
        }
    }

    /// Addresses where no reachable member is. Contacts may be in other zones, where the few nodes
    /// that are everyone's contact would be asked by everyone; so only relays try those.
    fn lost_addresses(&self) -> Vec<SocketAddr> {
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
