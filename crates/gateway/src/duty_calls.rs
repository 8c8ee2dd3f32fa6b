//! Calls to the platform's operations API by the holder of the authority. Each call carries the fence of its claim, and
//! no further call is made once one was refused because another gateway has a higher fence.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_authority::Epoch;
use tokio::time::timeout;

use crate::authority::Authority;
use crate::duties::{DutyHolder, DutyOutcome, DutyService, UsageReport, WorkerOrder, CALL_TIMEOUT};
use crate::state::Shared;

/// Makes the calls of one task.
pub struct DutyCalls {
    shared: Arc<Shared>,
    service: Rc<dyn DutyService>,
    authority: Authority,
    /// The fence of a call that was refused because of a higher one.
    refused_fence: Option<Epoch>,
}

impl DutyCalls {
    /// Creates the calls to `service` under this authority.
    pub fn new(shared: &Arc<Shared>, service: Rc<dyn DutyService>, authority: Authority) -> Self {
        Self {
            shared: Arc::clone(shared),
            service,
            authority,
            refused_fence: None,
        }
    }

    /// Returns the fence of this gateway's claim if it may make calls now.
    pub fn fence(&self) -> Option<Epoch> {
        let fence = self.authority.fence(&self.shared);
        fence.filter(|fence| self.refused_fence != Some(*fence))
    }

    /// Prevents further calls with this fence, because another gateway has a higher one.
    pub fn stop_using(&mut self, fence: Epoch) {
        self.refused_fence = Some(fence);
    }

    /// Reports usage. Returns `None` without a call if `fence` may no longer be used.
    pub async fn report_usage(&self, fence: Epoch, report: &UsageReport) -> Option<DutyOutcome> {
        let holder = self.holder(fence)?;
        Some(with_timeout(self.service.report_usage(&holder, report)).await)
    }

    /// Orders workers. Returns `None` without a call if `fence` may no longer be used.
    pub async fn order_workers(&self, fence: Epoch, order: &WorkerOrder) -> Option<DutyOutcome> {
        let holder = self.holder(fence)?;
        Some(with_timeout(self.service.order_workers(&holder, order)).await)
    }

    fn holder(&self, fence: Epoch) -> Option<DutyHolder> {
        (self.fence() == Some(fence)).then(|| DutyHolder {
            name: self.shared.settings.read().node.name.clone(),
            fence: fence.0,
        })
    }
}

async fn with_timeout(call: impl Future<Output = DutyOutcome>) -> DutyOutcome {
    let answered = timeout(CALL_TIMEOUT, call).await;
    answered.unwrap_or_else(|_| DutyOutcome::Unknown(no_answer_message(CALL_TIMEOUT)))
}

fn no_answer_message(limit: Duration) -> String {
    format!("no answer within {} ms", limit.as_millis())
}
