//! Detection of engines that no longer answer.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use actix_rt::time::timeout;
use tansyhall_engine::{EngineClient, EngineError};

/// Awaits an engine's answer. Whenever nothing has arrived for the time `stall`, the engine is
/// queried for its state; if that query fails as well, the attempt is aborted.
pub async fn await_with_stall_check<T>(
    client: &EngineClient,
    address: SocketAddr,
    stall: Duration,
    answer: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    let mut answer = pin!(answer);
    loop {
        if let Ok(result) = timeout(stall, answer.as_mut()).await {
            return result;
        }
        tokio::select! {
            biased;
            result = answer.as_mut() => return result,
            state = client.state(address) => {
                state.map_err(|error| EngineError::Broken(format!("a silent engine: {error}")))?;
            }
        }
    }
}
