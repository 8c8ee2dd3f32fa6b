//! The calls to the platform's operations that the holder of the authority makes for the whole site. An
//! adapter implements them; it translates and decides nothing.

use std::time::Duration;

use async_trait::async_trait;
use tansyhall_core::{ServiceName, ZoneName};
use tansyhall_forwarding::WorkerKind;
use tansyhall_usage::{TenantCounts, WindowNumber};

/// Time for one call; the lease that it is made under outlasts it.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Who calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyHolder {
    /// The gateway's name.
    pub name: String,
    /// The fence of its claim; a call with a lower one than was seen is refused.
    pub fence: u64,
}

/// The usage of a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// Requests of each tenant that began to run in it.
    pub counts: TenantCounts,
}

/// How many workers of one kind a service shall have in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Their kind.
    pub kind: WorkerKind,
    /// How many.
    pub desired: u32,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyOutcome {
    /// It is done.
    Done,
    /// It is refused, since a higher fence was seen or there is nothing to be had; the platform's words.
    Refused(String),
    /// Nothing was done; it may be tried again.
    NotDone(String),
    /// It may be done, also seconds later.
    Unknown(String),
}

impl DutyOutcome {
    /// Its name in logs, and the platform's words.
    pub fn parts(&self) -> (&'static str, &str) {
        match self {
            DutyOutcome::Done => ("done", ""),
            DutyOutcome::Refused(detail) => ("refused", detail),
            DutyOutcome::NotDone(detail) => ("not_done", detail),
            DutyOutcome::Unknown(detail) => ("unknown", detail),
        }
    }
}

/// The platform's operations.
#[async_trait(?Send)]
pub trait DutyService {
    /// Reports the usage of a window. The same report may be repeated.
    async fn report_usage(&self, holder: &DutyHolder, report: &UsageReport) -> DutyOutcome;
    /// Orders workers.
    async fn order_workers(&self, holder: &DutyHolder, order: &WorkerOrder) -> DutyOutcome;
}
