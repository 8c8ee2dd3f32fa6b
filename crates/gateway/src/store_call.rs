//! Bounds a call to the store: what has not been answered in time may still be done.

use std::future::Future;
use std::time::Duration;

use tansyhall_store::StoreError;
use tokio::time::timeout;

/// Time for one call, the wait of a watch included.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The call's answer, or that it is unknown.
pub async fn in_time<T>(
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())))
}
