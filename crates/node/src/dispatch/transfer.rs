//! Moves a request's KV cache from the engine that prefilled the prompt to the one that generates
//! the answer. The engines transfer the blocks directly; the node only passes the handle.

use std::net::SocketAddr;

use tansyhall_engine::protocol::{KvExport, KvImport};
use tansyhall_engine::{EngineClient, EngineError};

/// A failed transfer, by its step. The decode engine then prefills the prompt itself.
#[derive(Debug, Clone, thiserror::Error)]
pub enum TransferError {
    /// The prefill engine did not return a handle.
    #[error("the KV cache was not exported: {0}")]
    Export(EngineError),
    /// The decode engine could not fetch the cache.
    #[error("the KV cache was not imported: {0}")]
    Import(EngineError),
}

impl TransferError {
    /// Returns the step's name in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            TransferError::Export(_) => "export-failed",
            TransferError::Import(_) => "import-failed",
        }
    }

    /// Returns whether the prefill engine did not answer at all.
    pub const fn is_source_unresponsive(&self) -> bool {
        matches!(
            self,
            TransferError::Export(EngineError::Unreachable(_) | EngineError::Broken(_))
        )
    }
}

/// Moves the KV cache of a request that `source` has prefilled to `target`.
pub async fn move_kv_cache(
    client: &EngineClient,
    request_id: &str,
    source: SocketAddr,
    target: SocketAddr,
) -> Result<(), TransferError> {
    let export = KvExport {
        request_id: request_id.to_owned(),
    };
    let handle = client.export_kv(source, &export).await;
    let handle = handle.map_err(TransferError::Export)?;
    let import = KvImport { source, handle };
    let imported = client.import_kv(target, &import).await;
    imported.map_err(TransferError::Import)?;
    Ok(())
}
