//! Export and import of KV caches. The importing engine fetches the cache directly from the exporting
//! engine; the node between them forwards only a handle.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tansyhall_core::RequestId;
use tansyhall_engine::protocol::{KvBlocks, KvExport, KvHandle, KvImport, KvImported};
use tansyhall_engine::EngineClient;
use tansyhall_engine_model::prefix_cache::BLOCK_TOKENS;

use super::http::refuse;
use super::Engine;

/// Time to transfer the KV cache of one token between engines.
const TRANSFER_TIME_PER_TOKEN: Duration = Duration::from_micros(10);
/// Timeout for connecting to the exporting engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a handle to the KV cache of a request.
pub(super) async fn export(engine: web::Data<Engine>, export: web::Json<KvExport>) -> HttpResponse {
    let blocks = exportable_blocks(&engine, &export.request_id);
    let Some(blocks) = blocks else {
        return refuse(StatusCode::NOT_FOUND, "no KV cache of this request");
    };
    let incarnation = engine.control.lock().state(0).incarnation;
    HttpResponse::Ok().json(KvHandle {
        handle: export.into_inner().request_id,
        incarnation,
        tokens: tokens_in_blocks(blocks.len()),
    })
}

/// Returns the blocks of the KV cache behind a handle to another engine.
pub(super) async fn read(engine: web::Data<Engine>, handle: web::Path<String>) -> HttpResponse {
    let incarnation = engine.control.lock().state(0).incarnation;
    match exportable_blocks(&engine, &handle) {
        Some(blocks) => HttpResponse::Ok().json(KvBlocks {
            incarnation,
            blocks,
        }),
        None => refuse(StatusCode::NOT_FOUND, "no KV cache behind this handle"),
    }
}

/// Fetches a KV cache from the engine that exported it.
pub(super) async fn import(engine: web::Data<Engine>, import: web::Json<KvImport>) -> HttpResponse {
    let client = EngineClient::new(CONNECT_TIMEOUT);
    let fetched = client.read_kv(import.source, &import.handle.handle).await;
    let fetched = match fetched {
        Ok(fetched) => fetched,
        Err(error) => return refuse(StatusCode::CONFLICT, &error.to_string()),
    };
    if fetched.incarnation != import.handle.incarnation {
        return refuse(StatusCode::CONFLICT, "the exporting engine has restarted");
    }
    let tokens = tokens_in_blocks(fetched.blocks.len());
    actix_rt::time::sleep(TRANSFER_TIME_PER_TOKEN * tokens).await;
    let lose_one_in = engine.faults.lock().lose_one_cache_event_in;
    let now = engine.clock.now();
    engine
        .caches
        .lock()
        .insert(now, &fetched.blocks, lose_one_in);
    HttpResponse::Ok().json(KvImported { tokens })
}

fn exportable_blocks(engine: &Engine, request_id: &str) -> Option<Vec<u64>> {
    if engine.faults.lock().forget_kv_caches {
        return None;
    }
    let id = RequestId::parse(request_id)?;
    engine.caches.lock().exported_blocks(id)
}

fn tokens_in_blocks(blocks: usize) -> u32 {
    u32::try_from(blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(BLOCK_TOKENS)
}
