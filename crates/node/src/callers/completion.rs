//! Chat and text completions.

use std::sync::Arc;
use std::time::Duration;

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
    admit, arrive, completion_terms, decode, end_refused, options, read_body, require_configuration,
};
use super::attempt::{Execution, Plan};
use super::driver::{collect, drive, Delivery, InProgress};
use super::failure::{answer_with, Failure, REQUEST_ID_HEADER};
use super::requests::{status_path, AnswerSlot, Ending, RequestRecord};
use super::shape::{Shape, DEFAULT_MAX_TOKENS};
use crate::dispatch::RequestClass;
use crate::state::Node;

/// How often a stream says how its request stands while nothing else arrives.
const COMMENT_PERIOD: Duration = Duration::from_secs(1);

/// Answers a completion request.
pub async fn complete(
    node: web::Data<Node>,
    client: web::Data<EngineClient>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let record = arrive(&node);
    match begin(&node, &client, &http, payload, &record).await {
        Ok(answer) => answer.respond().await,
        Err(failure) => {
            end_refused(&node, &record, &failure);
            failure.response(record.id)
        }
    }
}

/// How the caller wants its answer.
#[derive(Debug, Clone, Copy)]
enum Manner {
    /// In a stream.
    Stream,
    /// Whole, however long it takes.
    Whole,
    /// Whole if it is there in this time, else the status resource.
    WholeWithin(Duration),
}

/// The caller was sent to the status resource: the work goes on without it.
struct Detached;

struct Answer {
    deliveries: mpsc::Receiver<Delivery>,
    shape: Shape,
    manner: Manner,
    in_progress: Arc<InProgress>,
}

async fn begin(
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
    let terms = completion_terms(node, http, body.len(), &request, &options, record)?;
    let in_progress = admit(node, record, &terms, &options).await?;
    let manner = match (request.stream, options.wait) {
        (true, _) => Manner::Stream,
        (false, None) => Manner::Whole,
        (false, Some(wait)) => Manner::WholeWithin(wait),
    };
    let shape = Shape {
        id: record.id.to_string(),
        model: request.model.clone(),
        chat: matches!(request.prompt, Prompt::Chat { .. }),
        prompt_tokens: terms.prompt_tokens,
    };
    let adapter = terms.variant.adapter.as_ref();
    let adapter = adapter.map(|adapter| adapter.as_str().to_owned());
    let engine_request = EngineRequest {
        request_id: shape.id.clone(),
        model: request.model,
        adapter: adapter.or(request.adapter),
        prompt: request.prompt,
        max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        stream: true,
        priority: terms.priority,
        resume_after: 0,
    };
    let prompt = engine_request.prompt.flattened();
    let blocks = block_hashes(engine_request.model.as_str(), &prompt);
    let plan = Plan {
        class: RequestClass {
            service: terms.service,
            class: terms.class,
        },
        prompt_tokens: terms.prompt_tokens,
        blocks,
        repeatable: terms.repeatable,
        deadline: terms.deadline,
        record: Arc::clone(record),
    };
    let execution = Execution::new(Arc::clone(node), client.clone(), engine_request, plan);
    Ok(Answer {
        deliveries: drive(execution, Arc::clone(&in_progress)),
        shape,
        manner,
        in_progress,
    })
}

impl Answer {
    async fn respond(self) -> HttpResponse {
        match self.manner {
            Manner::Stream => self.respond_streaming().await,
            Manner::Whole => self.respond_whole().await,
            Manner::WholeWithin(wait) => self.respond_within(wait).await,
        }
    }

    async fn respond_whole(mut self) -> HttpResponse {
        let body = self.collect_body().await;
        let in_progress = self.in_progress;
        match body {
            Ok(body) => whole_response(&in_progress, body),
            Err(failure) => {
                in_progress.end(Ending::Failed(failure.clone()));
                failure.response(in_progress.id())
            }
        }
    }

    async fn collect_body(&mut self) -> Result<Bytes, Failure> {
        let limits = &self.in_progress.node.settings.limits;
        let (text, last) = collect(&mut self.deliveries, limits.max_answer_bytes).await?;
        let tokens = last.token_index.saturating_add(last.tokens);
        let reason = last.finish_reason.as_deref().unwrap_or_default();
        let body = self.shape.whole(&text, tokens, reason);
        body.map(Bytes::from).map_err(|error| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Failure::may_have_run(status, error.to_string())
        })
    }

    /// Waits for the answer, but no longer than `wait`: then the work goes on, and the caller gets
    /// the status resource, from which it can fetch the answer.
    async fn respond_within(self, wait: Duration) -> HttpResponse {
        let in_progress = Arc::clone(&self.in_progress);
        let id = in_progress.id();
        let node = Arc::clone(&in_progress.node);
        let Some(slot) = node.callers.requests.reserve_answer(id) else {
            // Nowhere to keep the answer: the caller's preference cannot be met.
            return self.respond_whole().await;
        };
        let (sender, mut receiver) = oneshot::channel();
        let (detach, detached) = oneshot::channel();
        actix_rt::spawn(self.collect_and_keep(slot, sender, detached));
        match timeout(wait, &mut receiver).await {
            Ok(Ok(Ok(body))) => whole_response(&in_progress, body),
            Ok(Ok(Err(failure))) => failure.response(id),
            Ok(Err(_)) => Failure::may_have_run(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the request's task ended without an answer",
            )
            .response(id),
            Err(_) => {
                // If the task has ended meanwhile, its answer is kept already.
                let _ = detach.send(Detached);
                accepted_response(&node, &in_progress.record)
            }
        }
    }

    /// Collects the answer and keeps it. A caller that goes away before it has been sent to the
    /// status resource ends the work.
    async fn collect_and_keep(
        mut self,
        slot: AnswerSlot,
        sender: oneshot::Sender<Result<Bytes, Failure>>,
        detached: oneshot::Receiver<Detached>,
    ) {
        let in_progress = Arc::clone(&self.in_progress);
        let caller_gone = async {
            if detached.await.is_ok() {
                std::future::pending::<()>().await;
            }
        };
        let body = tokio::select! {
            biased;
            body = self.collect_body() => body,
            () = caller_gone => return,
        };
        match &body {
            Ok(body) => in_progress.record.keep_answer(body.clone(), slot),
            Err(failure) => in_progress.end(Ending::Failed(failure.clone())),
        }
        // The caller may have been sent to the status resource already.
        let _ = sender.send(body);
    }

    /// Answers in a stream. The status code can still say that the request failed if that is known
    /// within one comment period; after that, the stream itself says so.
    async fn respond_streaming(mut self) -> HttpResponse {
        let first = timeout(COMMENT_PERIOD, self.deliveries.recv()).await;
        let first = match first {
            Ok(Some(Delivery::Failed(failure))) => {
                return failure.response(self.in_progress.id());
            }
            Ok(Some(delivery)) => StreamEvent::Delivery(delivery),
            Ok(None) => StreamEvent::BrokenOff,
            Err(_) => StreamEvent::Silence,
        };
        let id = self.shape.id.clone();
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

fn whole_response(in_progress: &InProgress, body: Bytes) -> HttpResponse {
    answer_with(StatusCode::OK, in_progress.id(), Verdict::Completed)
        .content_type("application/json")
        .body(body)
}

/// Points a caller to its request's status resource. The request is under way, so that its
/// verdict so far is that it may have run.
fn accepted_response(node: &Node, record: &RequestRecord) -> HttpResponse {
    answer_with(StatusCode::ACCEPTED, record.id, Verdict::MayHaveRun)
        .insert_header(("location", status_path(record.id)))
        .insert_header(("preference-applied", "wait"))
        .json(record.status(node.clock.now()))
}

enum StreamEvent {
    Delivery(Delivery),
    /// Nothing arrived for one comment period.
    Silence,
    /// The task that runs the request ended without a last piece.
    BrokenOff,
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
        match timeout(COMMENT_PERIOD, self.answer.deliveries.recv()).await {
            Ok(Some(delivery)) => StreamEvent::Delivery(delivery),
            Ok(None) => StreamEvent::BrokenOff,
            Err(_) => StreamEvent::Silence,
        }
    }

    async fn write_next(state: Option<Self>) -> Option<(StreamItem, Option<Self>)> {
        let mut events = state?;
        let (text, last) = match events.next_event().await {
            StreamEvent::Silence => (Ok(events.comment()), false),
            StreamEvent::Delivery(Delivery::Chunk(chunk)) => {
                let last = chunk.finish_reason.is_some();
                (events.answer.shape.event(&chunk), last)
            }
            StreamEvent::Delivery(Delivery::Failed(failure)) => {
                let body = serde_json::to_string(&failure.body());
                (body.map(|json| format!("data: {json}\n\n")), true)
            }
            StreamEvent::BrokenOff => {
                // An error cuts the connection, so that the caller cannot take the part it has for
                // the whole.
                let error = std::io::Error::other("the answer broke off");
                return Some((Err(error), None));
            }
        };
        let item = text.map(Bytes::from).map_err(std::io::Error::other);
        Some((item, (!last).then_some(events)))
    }

    /// A comment that says how the request stands.
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
