//! Timeout for calls to the store. A call that was not answered in time may still be carried out.

use std::future::Future;
use std::time::Duration;

use tansyhall_store::StoreError;
use tokio::time::timeout;

/// Timeout of one call, including the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the store may wait for a change before it answers a watch.
pub const MAX_STORE_WAIT: Duration = Duration::from_millis(400);

/// Returns the result of the call, or [`StoreError::Unknown`] if there was no answer in time.
pub async fn with_timeout<T>(
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| {
        Err(StoreError::Unknown(
            "no answer within the call timeout".into(),
        ))
    })
}
