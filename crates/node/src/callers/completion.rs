//! Chat and text completions.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::yield_now;
use actix_rt::time::timeout;
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use futures_util::stream;
use tansyhall_core::Verdict;
use tansyhall_engine::blocks::block_hashes;
use tansyhall_engine::protocol::{EngineRequest, Prompt};
use tansyhall_engine::EngineClient;
use tokio::sync::{mpsc, oneshot};

use super::admit::{
    admit, classify_completion, decode, end_rejected, options, read_body, register_request,
    require_configuration,
};
use super::attempt::{Execution, RequestContext};
use super::driver::{collect, drive, Delivery, InProgress};
use super::failure::{response_builder, Failure, REQUEST_ID_HEADER};
use super::requests::{status_path, AnswerSlot, RequestOutcome, RequestRecord};
use super::shape::{AnswerEncoder, DEFAULT_MAX_TOKENS};
use crate::dispatch::RequestClass;
use crate::state::Node;

/// Interval of the comments with the request's state while nothing else is streamed.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Handles a completion request.
pub async fn complete(
    node: web::Data<Node>,
    client: web::Data<EngineClient>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let record = register_request(&node);
    match start(&node, &client, &http, payload, &record).await {
        Ok(answer) => answer.respond().await,
        Err(failure) => {
            end_rejected(&node, &record, &failure);
            failure.response(record.id)
        }
    }
}

/// How the caller wants to receive its answer.
#[derive(Debug, Clone, Copy)]
enum DeliveryMode {
    /// As a stream.
    Stream,
    /// Complete, however long it takes.
    Buffered,
    /// Complete if it is available within this time, otherwise the status resource.
    BufferedWithin(Duration),
}

/// Message that the caller was referred to the status resource and the work goes on without it.
struct Detached;

struct Answer {
    deliveries: mpsc::Receiver<Delivery>,
    encoder: AnswerEncoder,
    mode: DeliveryMode,
    in_progress: Arc<InProgress>,
}

async fn start(
    node: &Arc<Node>,
    client: &EngineClient,
    http: &HttpRequest,
    payload: web::Payload,
    record: &Arc<RequestRecord>,
) -> Result<Answer, Failure> {
    require_configuration(node)?;
    let options = options(node, http)?;
    let body = read_body(node, payload).await?;
    let request = decode(node, &body)?;
    let params = classify_completion(node, http, body.len(), &request, &options, record)?;
    let in_progress = admit(node, record, &params, &options).await?;
    let mode = match (request.stream, options.wait) {
        (true, _) => DeliveryMode::Stream,
        (false, None) => DeliveryMode::Buffered,
        (false, Some(wait)) => DeliveryMode::BufferedWithin(wait),
    };
    let encoder = AnswerEncoder {
        id: record.id.to_string(),
        model: request.model.clone(),
        chat: matches!(request.prompt, Prompt::Chat { .. }),
        prompt_tokens: params.prompt_tokens,
    };
    let adapter = params.variant.adapter.as_ref();
    let adapter = adapter.map(|adapter| adapter.as_str().to_owned());
    let engine_request = EngineRequest {
        request_id: encoder.id.clone(),
        model: request.model,
        adapter: adapter.or(request.adapter),
        prompt: request.prompt,
        max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        stream: true,
        priority: params.priority,
        resume_after: 0,
    };
    let prompt = engine_request.prompt.flattened();
    let blocks = block_hashes(engine_request.model.as_str(), &prompt);
    let context = RequestContext {
        class: RequestClass {
            service: params.service,
            class: params.class,
        },
        prompt_tokens: params.prompt_tokens,
        blocks,
        repeatable: params.repeatable,
        deadline: params.deadline,
        record: Arc::clone(record),
    };
    let execution = Execution::new(Arc::clone(node), client.clone(), engine_request, context);
    Ok(Answer {
        deliveries: drive(execution, Arc::clone(&in_progress)),
        encoder,
        mode,
        in_progress,
    })
}

impl Answer {
    async fn respond(self) -> HttpResponse {
        match self.mode {
            DeliveryMode::Stream => self.respond_streaming().await,
            DeliveryMode::Buffered => self.respond_buffered().await,
            DeliveryMode::BufferedWithin(wait) => self.respond_within(wait).await,
        }
    }

    async fn respond_buffered(mut self) -> HttpResponse {
        let body = self.collect_body().await;
        let in_progress = self.in_progress;
        match body {
            Ok(body) => completed_response(&in_progress, body),
            Err(failure) => {
                in_progress.end(RequestOutcome::Failed(failure.clone()));
                failure.response(in_progress.id())
            }
        }
    }

    async fn collect_body(&mut self) -> Result<Bytes, Failure> {
        let limits = &self.in_progress.node.settings.limits;
        let (text, last) = collect(&mut self.deliveries, limits.max_answer_bytes).await?;
        let tokens = last.token_index.saturating_add(last.tokens);
        let reason = last.finish_reason.as_deref().unwrap_or_default();
        let body = self.encoder.complete_answer(&text, tokens, reason);
        body.map(Bytes::from).map_err(|error| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Failure::may_have_run(status, error.to_string())
        })
    }

    /// Waits at most `wait` for the answer. After that the work goes on, and the caller gets the
    /// status resource, from which it can fetch the answer.
    async fn respond_within(self, wait: Duration) -> HttpResponse {
        let in_progress = Arc::clone(&self.in_progress);
        let id = in_progress.id();
        let node = Arc::clone(&in_progress.node);
        let Some(slot) = node.callers.requests.reserve_answer(id) else {
            // No slot is free to keep the answer: the caller's preference cannot be met.
            return self.respond_buffered().await;
        };
        let (sender, mut receiver) = oneshot::channel();
        let (detach, detached) = oneshot::channel();
        actix_rt::spawn(self.collect_and_keep(slot, sender, detached));
        match timeout(wait, &mut receiver).await {
            Ok(Ok(Ok(body))) => completed_response(&in_progress, body),
            Ok(Ok(Err(failure))) => failure.response(id),
            Ok(Err(_)) => Failure::may_have_run(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the request's task ended without an answer",
            )
            .response(id),
            Err(_) => {
                // If the task has ended in the meantime, its answer is already kept.
                let _ = detach.send(Detached);
                accepted_response(&node, &in_progress.record)
            }
        }
    }

    /// Collects the answer and keeps it. If the caller disconnects before it was referred to the
    /// status resource, the work is cancelled.
    async fn collect_and_keep(
        mut self,
        slot: AnswerSlot,
        sender: oneshot::Sender<Result<Bytes, Failure>>,
        detached: oneshot::Receiver<Detached>,
    ) {
        let in_progress = Arc::clone(&self.in_progress);
        let caller_disconnected = async {
            if detached.await.is_ok() {
                std::future::pending::<()>().await;
            }
        };
        let body = tokio::select! {
            biased;
            body = self.collect_body() => body,
            () = caller_disconnected => return,
        };
        match &body {
            Ok(body) => in_progress.record.keep_answer(body.clone(), slot),
            Err(failure) => in_progress.end(RequestOutcome::Failed(failure.clone())),
        }
        // The caller may already have been referred to the status resource.
        let _ = sender.send(body);
    }

    /// Streams the answer. A failure within the first comment interval is reported by the status
    /// code; a later one is reported in the stream.
    async fn respond_streaming(mut self) -> HttpResponse {
        let first = timeout(COMMENT_INTERVAL, self.deliveries.recv()).await;
        let first = match first {
            Ok(Some(Delivery::Failed(failure))) => {
                return failure.response(self.in_progress.id());
            }
            Ok(Some(delivery)) => StreamEvent::Delivery(delivery),
            Ok(None) => StreamEvent::Interrupted,
            Err(_) => StreamEvent::Idle,
        };
        let id = self.encoder.id.clone();
        let events = EventStream {
            answer: self,
            next: Some(first),
        };
        HttpResponse::Ok()
            .insert_header((REQUEST_ID_HEADER, id))
            .content_type("text/event-stream")
            .streaming(stream::unfold(Some(events), EventStream::write_next))
    }
}

fn completed_response(in_progress: &InProgress, body: Bytes) -> HttpResponse {
    response_builder(StatusCode::OK, in_progress.id(), Verdict::Completed)
        .content_type("application/json")
        .body(body)
}

/// Refers a caller to its request's status resource. The request is in progress, so its verdict is
/// that it may have run.
fn accepted_response(node: &Node, record: &RequestRecord) -> HttpResponse {
    response_builder(StatusCode::ACCEPTED, record.id, Verdict::MayHaveRun)
        .insert_header(("location", status_path(record.id)))
        .insert_header(("preference-applied", "wait"))
        .json(record.status(node.clock.now()))
}

enum StreamEvent {
    Delivery(Delivery),
    /// Nothing arrived for one comment interval.
    Idle,
    /// The task that runs the request ended without a last chunk or a failure.
    Interrupted,
}

struct EventStream {
    answer: Answer,
    next: Option<StreamEvent>,
}

type StreamItem = Result<Bytes, std::io::Error>;

impl EventStream {
    async fn next_event(&mut self) -> StreamEvent {
        if let Some(event) = self.next.take() {
            return event;
        }
        match timeout(COMMENT_INTERVAL, self.answer.deliveries.recv()).await {
            Ok(Some(delivery)) => StreamEvent::Delivery(delivery),
            Ok(None) => StreamEvent::Interrupted,
            Err(_) => StreamEvent::Idle,
        }
    }

    async fn write_next(state: Option<Self>) -> Option<(StreamItem, Option<Self>)> {
        let mut events = state?;
        let (text, last) = match events.next_event().await {
            StreamEvent::Idle => (Ok(events.comment()), false),
            StreamEvent::Delivery(Delivery::Chunk(chunk)) => {
                let last = chunk.finish_reason.is_some();
                (events.answer.encoder.event(&chunk), last)
            }
            StreamEvent::Delivery(Delivery::Failed(failure)) => {
                let body = serde_json::to_string(&failure.body());
                (body.map(|json| format!("data: {json}\n\n")), true)
            }
            StreamEvent::Interrupted => {
                // The server writes what it has buffered before it polls again, and drops it at an error.
                yield_now().await;
                // An error closes the connection, so that the caller cannot mistake the partial
                // answer for the complete one.
                let error = std::io::Error::other("the answer broke off");
                return Some((Err(error), None));
            }
        };
        let item = text.map(Bytes::from).map_err(std::io::Error::other);
        Some((item, (!last).then_some(events)))
    }

    /// Returns a comment with the state of the request.
    fn comment(&self) -> String {
        let in_progress = &self.answer.in_progress;
        let status = in_progress.record.status(in_progress.node.clock.now());
        format!(
            ": tansyhall state={} waited_ms={} deadline_ms={}\n\n",
            status.state.name(),
            status.waited_ms,
            status.deadline_ms
        )
    }
}
