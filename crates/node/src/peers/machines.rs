//! Reads the platform's list of machines. It lags and its service is rate-limited, so only
//! the first relay of each zone reads it, and nodes that know no other member yet.

use std::time::Duration;

use tansyhall_core::{EngineName, NodeId, ZoneName};
use tansyhall_membership::{KnownBackend, KnownMachine};
use tansyhall_store::machines::{Machine, MachineKind, MachineList};

/// What the list says.
#[derive(Debug, Default)]
pub(super) struct Listed {
    /// Nodes of every zone.
    pub(super) nodes: Vec<KnownMachine>,
    /// Back ends of this node's zone.
    pub(super) backends: Vec<KnownBackend>,
}

/// Reads the list; absent if it could not be read.
pub(super) async fn fetch(list: MachineList, zone: ZoneName) -> Option<Listed> {
    let mut listed = Listed::default();
    for machine in list.fetch().await.ok()? {
        if machine.kind == MachineKind::Node {
            listed.nodes.push(known_machine(machine));
        } else if machine.zone == zone.as_str() {
            listed.backends.push(KnownBackend {
                name: EngineName::new(machine.name),
                is_leaving: machine.leaving,
            });
        }
    }
    Some(listed)
}

fn known_machine(machine: Machine) -> KnownMachine {
    KnownMachine {
        name: NodeId::new(machine.name),
        zone: ZoneName::new(machine.zone),
        peers: machine.address,
        is_leaving: machine.leaving,
    }
}

/// When the list is read next.
#[derive(Debug)]
pub(super) struct MachineSchedule {
    pub(super) period: Duration,
    pub(super) next: tansyhall_core::Timestamp,
    pub(super) in_progress: bool,
}
