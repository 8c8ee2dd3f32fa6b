//! Calls to the platform's operations by the holder of the authority: each under the fence of its claim, none
//! after a call was refused because another gateway has a higher one.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_authority::Epoch;
use tokio::time::timeout;

use crate::authority::Authority;
use crate::duties::{DutyHolder, DutyOutcome, DutyService, UsageReport, WorkerOrder, CALL_TIMEOUT};
use crate::state::Shared;

/// The calls of one task.
pub struct DutyCalls {
    shared: Arc<Shared>,
    service: Rc<dyn DutyService>,
    authority: Authority,
    /// The fence with which a call was refused.
    refused: Option<Epoch>,
}

impl DutyCalls {
    /// Calls to these operations under this authority.
    pub fn new(shared: &Arc<Shared>, service: Rc<dyn DutyService>, authority: Authority) -> Self {
        Self {
            shared: Arc::clone(shared),
            service,
            authority,
            refused: None,
        }
    }

    /// The fence of this gateway's claim if it may call now.
    pub fn fence(&self) -> Option<Epoch> {
        let fence = self.authority.fence(&self.shared);
        fence.filter(|fence| self.refused != Some(*fence))
    }

    /// Makes no more calls with this fence: another gateway has a higher one.
    pub fn stop_using(&mut self, fence: Epoch) {
        self.refused = Some(fence);
    }

    /// Reports usage; nothing if the claim no longer stands.
    pub async fn report_usage(&self, fence: Epoch, report: &UsageReport) -> Option<DutyOutcome> {
        let holder = self.holder(fence)?;
        Some(in_time(self.service.report_usage(&holder, report)).await)
    }

    /// Orders workers; nothing if the claim no longer stands.
    pub async fn order_workers(&self, fence: Epoch, order: &WorkerOrder) -> Option<DutyOutcome> {
        let holder = self.holder(fence)?;
        Some(in_time(self.service.order_workers(&holder, order)).await)
    }

    fn holder(&self, fence: Epoch) -> Option<DutyHolder> {
        (self.fence() == Some(fence)).then(|| DutyHolder {
            name: self.shared.settings.read().node.name.clone(),
            fence: fence.0,
        })
    }
}

async fn in_time(call: impl Future<Output = DutyOutcome>) -> DutyOutcome {
    let answered = timeout(CALL_TIMEOUT, call).await;
    answered.unwrap_or_else(|_| DutyOutcome::Unknown(no_answer(CALL_TIMEOUT)))
}

fn no_answer(limit: Duration) -> String {
    format!("no answer within {} ms", limit.as_millis())
}
