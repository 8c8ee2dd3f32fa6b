//! The SWIM failure detector: one probe per period, indirect probes, suspicion, and declaring
//! members dead.

use tansyhall_core::{NodeId, Timestamp};

use crate::member::{MemberRecord, MemberState};
use crate::membership::Membership;
use crate::message::Body;
use crate::probe::Probe;

impl Membership {
    pub(crate) fn expire_members(&mut self, now: Timestamp) {
        for mut record in self.table.due(now) {
            if record.state == MemberState::Dead {
                self.table.remove(&record.name);
                self.broadcasts.remove(&record.name);
                continue;
            }
            record.state = MemberState::Dead;
            self.statistics.members_declared_dead += 1;
            self.apply(now, &record);
        }
    }

    pub(crate) fn advance_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.prober.current.clone() else {
            return;
        };
        if now >= probe.fails_at {
            self.prober.current = None;
            self.statistics.failed_probes += 1;
            self.suspect(now, &probe.target);
            return;
        }
        if probe.indirect_at.is_some_and(|due| now >= due) {
            self.send_indirect_probes(now, &probe);
        }
    }

    fn send_indirect_probes(&mut self, now: Timestamp, probe: &Probe) {
        if let Some(current) = &mut self.prober.current {
            current.indirect_at = None;
        }
        let Some(target) = self.table.get(&probe.target) else {
            return;
        };
        let body = Body::PingRequest {
            sequence: probe.sequence,
            target: target.addresses.peers,
        };
        for helper in self.random_members(self.settings.indirect_probes, &probe.target) {
            self.send(now, &helper, body);
        }
    }

    pub(crate) fn start_probe(&mut self, now: Timestamp) {
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now + self.settings.probe_period;
        let table = &self.table;
        let own = &self.name;
        let is_probe_candidate = |name: &NodeId| {
            let record = table.get(name);
            name != own && record.is_some_and(MemberRecord::is_reachable)
        };
        let probe_candidates = || {
            let names = table.reachable().map(|record| record.name.clone());
            names.filter(|name| name != own).collect()
        };
        let target = self
            .prober
            .next_target(&mut self.rng, probe_candidates, is_probe_candidate);
        let Some(record) = target.and_then(|name| self.table.get(&name).cloned()) else {
            return;
        };
        let sequence = self.prober.take_sequence();
        self.statistics.probes += 1;
        self.prober.current = Some(Probe {
            target: record.name.clone(),
            sequence,
            indirect_at: Some(now + self.settings.probe_timeout),
            fails_at: now + self.settings.probe_period,
        });
        self.send(now, &record, Body::Ping { sequence });
    }

    /// Marks a member that failed a probe as suspect. A leaving member is declared dead at once,
    /// since it has probably stopped.
    fn suspect(&mut self, now: Timestamp, name: &NodeId) {
        let Some(mut record) = self.table.get(name).cloned() else {
            return;
        };
        record.state = match record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.apply(now, &record);
        self.send(now, &record, Body::Notice);
    }
}
