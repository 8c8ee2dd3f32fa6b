//! The engine protocol over HTTP.

use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use bytes::Bytes;
use futures_util::stream;
use tansyhall_core::RequestId;
use tansyhall_engine::protocol::{
    estimate_tokens, EngineChunk, EngineRequest, LoadReport, Order, OrderAction, OrderReply,
    Refusal, Seal, CACHE_EVENTS_PATH, CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, KV_EXPORT_PATH,
    KV_IMPORT_PATH, KV_PATH, LOAD_PATH, ORDERS_PATH, SEAL_PATH, STATE_PATH,
};
use tansyhall_engine_model::prefix_cache::{block_hashes, BlockHash};
use tansyhall_engine_model::{Progress, SubmitError, Work};
use tokio::sync::mpsc;

use super::answer::{answer_token, prompt_hash};
use super::cache::{self, Caches};
use super::faults::EngineFaults;
use super::kv;
use super::load::SAMPLE_INTERVAL;
use super::{next_incarnation, Engine, RecordedOrder, RecordedRequest};

pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route(COMPLETIONS_PATH, web::post().to(complete))
        .route(CHAT_COMPLETIONS_PATH, web::post().to(complete))
        .route("/v1/requests/{id}", web::delete().to(cancel))
        .route(ORDERS_PATH, web::post().to(order))
        .route(SEAL_PATH, web::post().to(seal))
        .route(STATE_PATH, web::get().to(state))
        .route(LOAD_PATH, web::get().to(load))
        .route(CACHE_EVENTS_PATH, web::get().to(cache::get_events))
        .route(KV_EXPORT_PATH, web::post().to(kv::export))
        .route(KV_IMPORT_PATH, web::post().to(kv::import))
        .route(&format!("{KV_PATH}/{{handle}}"), web::get().to(kv::read))
        .route("/standin/records", web::get().to(records))
        .route("/standin/faults", web::post().to(set_faults));
}

pub(super) fn refuse(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(Refusal {
        refused: true,
        reason: reason.to_owned(),
    })
}

/// Cancels the request when dropped, which happens when its caller disconnects.
struct CancelOnDrop {
    engine: web::Data<Engine>,
    id: RequestId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        cancel_work(&self.engine, self.id);
    }
}

fn cancel_work(engine: &Engine, id: RequestId) {
    if engine.runner.cancel(id) {
        engine.records.lock().cancelled += 1;
    }
}

struct AnswerStream {
    progress: mpsc::Receiver<Progress>,
    request: EngineRequest,
    hash: u64,
    blocks: Vec<BlockHash>,
    cached_tokens: u32,
    finished: bool,
    cancel: CancelOnDrop,
}

impl AnswerStream {
    /// Stores the prompt in the caches once it has been prefilled.
    fn record_prefill(&mut self) {
        let engine = &self.cancel.engine;
        let lose_one_in = engine.faults.lock().lose_one_cache_event_in;
        let mut caches = engine.caches.lock();
        caches.insert(engine.clock.now(), &self.blocks, lose_one_in);
        caches.make_exportable(self.cancel.id, std::mem::take(&mut self.blocks));
    }
}

async fn complete(engine: web::Data<Engine>, request: web::Json<EngineRequest>) -> HttpResponse {
    let request = request.into_inner();
    let Some(id) = RequestId::parse(&request.request_id) else {
        return HttpResponse::BadRequest().body("request_id must have 32 hexadecimal digits");
    };
    if request.max_tokens <= request.resume_after {
        return HttpResponse::BadRequest().body("max_tokens must pass resume_after");
    }
    let prompt = request.prompt.flattened();
    let hash = prompt_hash(request.model.as_str(), &prompt);
    let blocks = block_hashes(request.model.as_str(), &prompt);
    let cached_tokens = engine.caches.lock().cached_tokens(&blocks);
    let context_tokens = estimate_tokens(&prompt).saturating_add(request.resume_after);
    let work = Work {
        id,
        prefill_tokens: context_tokens.saturating_sub(cached_tokens).max(1),
        context_tokens: context_tokens.max(1),
        output_tokens: request.max_tokens - request.resume_after,
        priority: request.priority as u8,
    };
    if engine.faults.lock().refuse_work {
        return refuse(StatusCode::TOO_MANY_REQUESTS, "queue full");
    }
    let submitted = {
        let control = engine.control.lock();
        if !control.accepts_work() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "draining or changing");
        }
        if control.state(0).model != request.model {
            return refuse(StatusCode::CONFLICT, "another model is loaded");
        }
        engine.runner.submit(work)
    };
    let progress = match submitted {
        Ok(progress) => progress,
        Err(SubmitError::QueueFull) => return refuse(StatusCode::TOO_MANY_REQUESTS, "queue full"),
        Err(SubmitError::TooLarge) => {
            return HttpResponse::PayloadTooLarge().body("too many tokens")
        }
        Err(SubmitError::Duplicate) => return refuse(StatusCode::CONFLICT, "in progress already"),
    };
    let accepted = u64::from(work.prefill_tokens);
    engine
        .accepted_prompt_tokens
        .fetch_add(accepted, Ordering::Relaxed);
    engine.records.lock().push_request(RecordedRequest {
        at_millis: engine.clock.now().as_millis(),
        request_id: request.request_id.clone(),
        prompt_hash: hash,
        resume_after: request.resume_after,
    });
    let cancel = CancelOnDrop {
        engine: engine.clone(),
        id,
    };
    let answer = AnswerStream {
        progress,
        request,
        hash,
        blocks,
        cached_tokens,
        finished: false,
        cancel,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream::unfold(answer, next_chunk))
}

async fn next_chunk(
    mut answer: AnswerStream,
) -> Option<(Result<Bytes, std::io::Error>, AnswerStream)> {
    if answer.finished {
        return None;
    }
    let step = answer.progress.recv().await?;
    answer.finished = step.finished;
    if step.generated == 1 {
        answer.record_prefill();
    }
    let index = answer.request.resume_after + step.generated - 1;
    let chunk = EngineChunk {
        id: answer.request.request_id.clone(),
        token_index: index,
        tokens: 1,
        text: answer_token(answer.hash, index),
        finish_reason: step.finished.then(|| "length".to_owned()),
        cached_tokens: (step.generated == 1).then_some(answer.cached_tokens),
    };
    let mut event = match serde_json::to_string(&chunk) {
        Ok(json) => format!("data: {json}\n\n"),
        Err(error) => return Some((Err(std::io::Error::other(error)), answer)),
    };
    if step.finished {
        event.push_str("data: [DONE]\n\n");
    }
    Some((Ok(Bytes::from(event)), answer))
}

async fn cancel(engine: web::Data<Engine>, id: web::Path<String>) -> HttpResponse {
    if let Some(id) = RequestId::parse(&id) {
        cancel_work(&engine, id);
    }
    HttpResponse::NoContent().finish()
}

async fn order(engine: web::Data<Engine>, order: web::Json<Order>) -> HttpResponse {
    let order = order.into_inner();
    let now = engine.clock.now();
    finish_due_order(&engine);
    let (reply, requests) = {
        let mut control = engine.control.lock();
        let requests = engine.runner.request_count();
        let was_idle = control.active_order_ends().is_none();
        let reply = control.order(now, order.clone(), requests);
        if was_idle && control.active_order_ends().is_some() {
            control.extend_active_order(queue_weights_fetch(&engine, &order.action));
        }
        (reply, requests)
    };
    let record = RecordedOrder {
        at_millis: now.as_millis(),
        order,
        reply: reply.clone(),
        requests,
    };
    engine.records.lock().push_order(record);
    schedule_order_end(&engine);
    match reply {
        OrderReply::Accepted => HttpResponse::Ok().json(reply),
        _ => HttpResponse::Conflict().json(reply),
    }
}

/// Finishes the active order if its time has come. Loading a model clears the caches.
fn finish_due_order(engine: &Engine) {
    let now = engine.clock.now();
    let ended = engine.control.lock().advance(now);
    if ended.is_some_and(|order| matches!(order.action, OrderAction::LoadModel { .. })) {
        engine.caches.lock().clear(now);
    }
}

/// Queues the fetch of the weights that an order loads, and returns how long it takes.
fn queue_weights_fetch(engine: &Engine, action: &OrderAction) -> Duration {
    let weights = &engine.weights;
    match action {
        OrderAction::LoadModel { .. } => weights.store.fetch(weights.model_bytes),
        OrderAction::LoadAdapter { .. } => weights.store.fetch(weights.adapter_bytes),
        OrderAction::Drain | OrderAction::Resume | OrderAction::SetRole { .. } => Duration::ZERO,
    }
}

/// Schedules the end of the active order, or a crash halfway through it if that fault is set.
fn schedule_order_end(engine: &web::Data<Engine>) {
    let (ends, halfway) = {
        let control = engine.control.lock();
        (control.active_order_ends(), control.active_order_halfway())
    };
    let (Some(ends), Some(halfway)) = (ends, halfway) else {
        return;
    };
    let crash = std::mem::take(&mut engine.faults.lock().crash_halfway);
    let engine = engine.clone();
    actix_rt::spawn(async move {
        if crash {
            actix_rt::time::sleep(halfway.since(engine.clock.now())).await;
            engine.control.lock().restart(next_incarnation());
            engine.runner.crash();
            engine.accepted_prompt_tokens.store(0, Ordering::Relaxed);
            *engine.caches.lock() = Caches::new(engine.kv_capacity_tokens());
            return;
        }
        actix_rt::time::sleep(ends.since(engine.clock.now())).await;
        finish_due_order(&engine);
    });
}

async fn seal(engine: web::Data<Engine>, seal: web::Json<Seal>) -> HttpResponse {
    let mut control = engine.control.lock();
    control.seal(seal.fence_token);
    HttpResponse::Ok().json(control.state(engine.runner.request_count()))
}

async fn state(engine: web::Data<Engine>) -> HttpResponse {
    finish_due_order(&engine);
    let control = engine.control.lock();
    HttpResponse::Ok().json(control.state(engine.runner.request_count()))
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    let lag = Duration::from_millis(engine.faults.lock().load_lag_ms);
    let report = engine.load.lock().report(engine.clock.now(), lag);
    HttpResponse::Ok().json(report.unwrap_or_else(|| current_load(&engine)))
}

/// Samples the load periodically while the engine runs.
pub(super) async fn sample_load(engine: web::Data<Engine>) {
    let mut ticks = actix_rt::time::interval(SAMPLE_INTERVAL);
    loop {
        ticks.tick().await;
        let report = current_load(&engine);
        engine.load.lock().push(engine.clock.now(), report);
    }
}

fn current_load(engine: &Engine) -> LoadReport {
    let (role, accepts_work) = {
        let control = engine.control.lock();
        (control.state(0).role, control.accepts_work())
    };
    let accepted_prompt_tokens = engine.accepted_prompt_tokens.load(Ordering::Relaxed);
    engine.runner.with_batch(|batch| LoadReport {
        age_ms: 0,
        running: saturating_u32(batch.len() - batch.queued()),
        queued: saturating_u32(batch.queued()),
        pending_prefill_tokens: batch.pending_prefill_tokens(),
        kv_used_tokens: batch.kv_reserved(),
        kv_capacity_tokens: batch.kv_capacity(),
        decoding: saturating_u32(batch.decoding()),
        waiting: saturating_u32(batch.len() - batch.decoding()),
        free_sequences: batch.free_sequences(),
        accepted_prompt_tokens,
        role,
        accepts_work,
    })
}

fn saturating_u32(requests: usize) -> u32 {
    u32::try_from(requests).unwrap_or(u32::MAX)
}

async fn set_faults(engine: web::Data<Engine>, faults: web::Json<EngineFaults>) -> HttpResponse {
    *engine.faults.lock() = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn records(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&*engine.records.lock())
}
