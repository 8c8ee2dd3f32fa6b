//! Reads the platform's list of machines. The list lags behind and its service is rate-limited, so
//! only the first relay of each zone and nodes that know no other member yet read it.

use std::time::Duration;

use tansyhall_core::{EngineName, NodeId, ZoneName};
use tansyhall_membership::{KnownBackend, KnownMachine};
use tansyhall_store::machines::{Machine, MachineKind, MachineList};

/// The machines on the list that matter to this node.
#[derive(Debug, Default)]
pub(super) struct ListedMachines {
    /// Nodes of every zone.
    pub(super) nodes: Vec<KnownMachine>,
    /// Back ends of this node's zone.
    pub(super) backends: Vec<KnownBackend>,
}

/// Reads the list; returns `None` if it could not be read.
pub(super) async fn fetch_machines(list: MachineList, zone: ZoneName) -> Option<ListedMachines> {
    let mut listed = ListedMachines::default();
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

/// The schedule of reads of the list.
#[derive(Debug)]
pub(super) struct MachineSchedule {
    pub(super) interval: Duration,
    pub(super) next_read_at: tansyhall_core::Timestamp,
    pub(super) in_progress: bool,
}
