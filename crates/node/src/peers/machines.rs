//! Reads the platform's list of machines. It lags and its service is rate-limited, so only those
//! members read it that speak for their zone, and those that know no other member yet.

use std::time::Duration;

use tansyhall_core::{NodeId, ZoneName};
use tansyhall_membership::KnownMachine;
use tansyhall_platform::machines::{Machine, MachineKind, MachineList};

/// Reads the list; absent if it could not be read.
pub(super) async fn fetch(list: MachineList) -> Option<Vec<KnownMachine>> {
    let machines = list.fetch().await.ok()?;
    let nodes = machines
        .into_iter()
        .filter(|it| it.kind == MachineKind::Node);
    Some(nodes.map(known_machine).collect())
}

fn known_machine(machine: Machine) -> KnownMachine {
    KnownMachine {
        name: NodeId::new(machine.name),
        zone: ZoneName::new(machine.zone),
        peers: machine.address,
        leaving: machine.leaving,
    }
}

/// When the list is read next.
#[derive(Debug)]
pub(super) struct MachineSchedule {
    pub(super) period: Duration,
    pub(super) next: tansyhall_core::Timestamp,
    pub(super) in_progress: bool,
}
