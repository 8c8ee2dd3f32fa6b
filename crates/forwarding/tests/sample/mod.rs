//! A sample worker for tests.

use tansyhall_core::{ServiceName, ZoneName};
use tansyhall_forwarding::{Worker, WorkerId, WorkerKind, WorkerState};

/// Returns a ready worker without a role, of service `s` in zone `z`.
pub fn ready_worker(id: &str) -> Worker {
    Worker {
        version: "v1".into(),
        id: WorkerId::from(id),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: 8,
        state: WorkerState::Ready,
        role: None,
        kind: WorkerKind::Reserved,
    }
}
