//! The calls to the platform's operations API that the holder of the authority makes for the whole site. An
//! adapter implements them; it only translates the calls and makes no decisions.

use std::time::Duration;

use async_trait::async_trait;
use tansyhall_core::{ServiceName, ZoneName};
use tansyhall_forwarding::WorkerKind;
use tansyhall_usage::{TenantCounts, WindowNumber};

/// Timeout of one call. The lease under which the call is made outlives it.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The gateway that makes a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyHolder {
    /// The gateway's name.
    pub name: String,
    /// The fence of its claim; the platform refuses a call whose fence is lower than one it has already seen.
    pub fence: u64,
}

/// The usage in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// Number of requests of each tenant that started to run in the window.
    pub counts: TenantCounts,
}

/// Desired number of workers of one kind for a service in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The kind of the workers.
    pub kind: WorkerKind,
    /// The desired number.
    pub desired: u32,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The call was carried out.
    Done,
    /// The platform refused the call, because it has seen a higher fence or has no workers available. Holds the
    /// platform's message.
    Refused(String),
    /// The call was not carried out and may be retried.
    NotDone(String),
    /// The call may have been carried out, or may still be carried out seconds later.
    Unknown(String),
}

impl DutyOutcome {
    /// Returns the name of the outcome in logs, and the platform's message.
    pub fn name_and_detail(&self) -> (&'static str, &str) {
        match self {
            DutyOutcome::Done => ("done", ""),
            DutyOutcome::Refused(detail) => ("refused", detail),
            DutyOutcome::NotDone(detail) => ("not_done", detail),
            DutyOutcome::Unknown(detail) => ("unknown", detail),
        }
    }
}

/// The platform's operations API.
#[async_trait(?Send)]
pub trait DutyService {
    /// Reports the usage in a window. Sending the same report again is allowed.
    async fn report_usage(&self, holder: &DutyHolder, report: &UsageReport) -> DutyOutcome;
    /// Sets the desired number of workers of one kind for a service in a zone.
    async fn order_workers(&self, holder: &DutyHolder, order: &WorkerOrder) -> DutyOutcome;
}
