//! The engine protocol over HTTP.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use bytes::Bytes;
use futures_util::stream;
use tansyhall_core::RequestId;
use tansyhall_engine::protocol::{
    estimate_tokens, EngineChunk, EngineRequest, LoadReport, Order, OrderReply, Refusal, Seal,
    CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, LOAD_PATH, ORDERS_PATH, SEAL_PATH, STATE_PATH,
};
use tansyhall_engine_model::{Progress, SubmitError, Work};
use tokio::sync::mpsc;

use super::answer::{answer_token, prompt_hash};
use super::faults::EngineFaults;
use super::load::SAMPLE_PERIOD;
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
        .route("/standin/records", web::get().to(records))
        .route("/standin/faults", web::post().to(set_faults));
}

fn refuse(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(Refusal {
        refused: true,
        reason: reason.to_owned(),
    })
}

/// Cancels the request when its caller goes away.
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

struct Answer {
    progress: mpsc::Receiver<Progress>,
    request: EngineRequest,
    hash: u64,
    finished: bool,
    _cancel: CancelOnDrop,
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
    let prefill = estimate_tokens(&prompt)
        .saturating_add(request.resume_after)
        .max(1);
    let work = Work {
        id,
        prefill_tokens: prefill,
        context_tokens: prefill,
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
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "another model is loaded");
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
    let answer = Answer {
        progress,
        request,
        hash,
        finished: false,
        _cancel: cancel,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream::unfold(answer, next_chunk))
}

async fn next_chunk(mut answer: Answer) -> Option<(Result<Bytes, std::io::Error>, Answer)> {
    if answer.finished {
        return None;
    }
    let step = answer.progress.recv().await?;
    answer.finished = step.finished;
    let index = answer.request.resume_after + step.generated - 1;
    let chunk = EngineChunk {
        id: answer.request.request_id.clone(),
        token_index: index,
        tokens: 1,
        text: answer_token(answer.hash, index),
        finish_reason: step.finished.then(|| "length".to_owned()),
        cached_tokens: (step.generated == 1).then_some(0),
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
    let (reply, requests) = {
        let mut control = engine.control.lock();
        control.advance(now);
        let requests = engine.runner.requests();
        (control.order(now, order.clone(), requests), requests)
    };
    let record = RecordedOrder {
        at_millis: now.as_millis(),
        order,
        reply: reply.clone(),
        requests,
    };
    engine.records.lock().push_order(record);
    schedule_end(&engine);
    match reply {
        OrderReply::Accepted => HttpResponse::Ok().json(reply),
        _ => HttpResponse::Conflict().json(reply),
    }
}

/// Ends the active order in time, or crashes halfway through it.
fn schedule_end(engine: &web::Data<Engine>) {
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
            return;
        }
        actix_rt::time::sleep(ends.since(engine.clock.now())).await;
        engine.control.lock().advance(engine.clock.now());
    });
}

async fn seal(engine: web::Data<Engine>, seal: web::Json<Seal>) -> HttpResponse {
    let mut control = engine.control.lock();
    control.seal(seal.fence_token);
    HttpResponse::Ok().json(control.state(engine.runner.requests()))
}

async fn state(engine: web::Data<Engine>) -> HttpResponse {
    let mut control = engine.control.lock();
    control.advance(engine.clock.now());
    HttpResponse::Ok().json(control.state(engine.runner.requests()))
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    let lag = Duration::from_millis(engine.faults.lock().load_lag_ms);
    let report = engine.load.lock().report(engine.clock.now(), lag);
    HttpResponse::Ok().json(report.unwrap_or_default())
}

/// Samples the load for as long as the engine runs.
pub(super) async fn sample_load(engine: web::Data<Engine>) {
    let mut ticks = actix_rt::time::interval(SAMPLE_PERIOD);
    loop {
        ticks.tick().await;
        let report = load_now(&engine);
        engine.load.lock().push(engine.clock.now(), report);
    }
}

fn load_now(engine: &Engine) -> LoadReport {
    engine.runner.with_batch(|batch| LoadReport {
        age_ms: 0,
        running: u32::try_from(batch.len() - batch.queued()).unwrap_or(u32::MAX),
        queued: u32::try_from(batch.queued()).unwrap_or(u32::MAX),
        pending_prefill_tokens: batch.pending_prefill_tokens(),
        kv_used_tokens: batch.kv_reserved(),
        kv_capacity_tokens: batch.kv_capacity(),
    })
}

async fn set_faults(engine: web::Data<Engine>, faults: web::Json<EngineFaults>) -> HttpResponse {
    *engine.faults.lock() = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn records(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&*engine.records.lock())
}
