//! Waits for engines that may have fallen silent.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use actix_rt::time::timeout;
use tansyhall_engine::{EngineClient, EngineError};

/// Awaits an engine's answer. Whenever nothing has come for the time `stall`, the engine is asked
/// for its state; if it does not answer that either, the attempt is broken off.
pub async fn watched<T>(
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
