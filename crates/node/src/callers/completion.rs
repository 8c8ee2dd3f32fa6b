//! Chat and text completions.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use futures_util::stream;
use tansyhall_core::verdict::VERDICT_HEADER;
use tansyhall_core::RequestId;
use tansyhall_engine::protocol::{estimate_tokens, EngineRequest, Priority, Prompt};
use tansyhall_engine::EngineClient;
use tansyhall_policy::ast::PriorityName;
use tansyhall_policy::RequestFacts;

use super::attempt::Execution;
use super::failure::Failure;
use super::shape::{CallerRequest, Shape, DEFAULT_MAX_TOKENS};
use crate::configuration::RequestHeaders;
use crate::state::Node;

/// Header that carries the request's identifier on every answer.
pub const REQUEST_ID_HEADER: &str = "tansyhall-request-id";

/// Answers a completion request.
pub async fn complete(
    node: web::Data<Node>,
    client: web::Data<EngineClient>,
    http: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let node = node.into_inner();
    match begin(&node, &client, &http, &body).await {
        Ok(answer) if answer.stream => answer.respond_streaming(node),
        Ok(answer) => answer.respond_whole(&node).await,
        Err(failure) => finish_failed(&node, &failure),
    }
}

fn finish_failed(node: &Node, failure: &Failure) -> HttpResponse {
    node.metrics
        .requests
        .with_label_values(&[failure.verdict.name()])
        .inc();
    failure.response()
}

struct Answer {
    execution: Execution,
    shape: Shape,
    stream: bool,
    _in_progress: InProgress,
}

/// Counts a request in progress until it is dropped.
struct InProgress(Arc<Node>);

impl InProgress {
    fn admit(node: &Arc<Node>) -> Result<Self, Failure> {
        if node.is_stopping() {
            let message = "this node is stopping";
            return Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, message));
        }
        let limit = i64::try_from(node.settings.limits.max_requests).unwrap_or(i64::MAX);
        if node.metrics.in_progress.get() >= limit {
            let message = "too many requests in progress at this node";
            return Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, message));
        }
        node.metrics.in_progress.inc();
        Ok(Self(Arc::clone(node)))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

async fn begin(
    node: &Arc<Node>,
    client: &EngineClient,
    http: &HttpRequest,
    body: &[u8],
) -> Result<Answer, Failure> {
    let in_progress = InProgress::admit(node)?;
    let request: CallerRequest = serde_json::from_slice(body)
        .map_err(|error| Failure::not_run(StatusCode::BAD_REQUEST, error.to_string()))?;
    let prompt_tokens = estimate_tokens(&request.prompt.flattened());
    let class = {
        let in_force = node.in_force.load();
        let pool = in_force.pools_of_model(&request.model).next();
        let Some(pool) = pool else {
            let message = format!("no pool loads the model {}", request.model);
            return Err(Failure::not_run(StatusCode::NOT_FOUND, message));
        };
        let headers = RequestHeaders(http.headers());
        let facts = RequestFacts {
            output_tokens: u64::from(request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
            body_bytes: body.len() as u64,
            service: pool.service.as_str(),
            model: request.model.as_str(),
            headers: &headers,
            ..RequestFacts::new(http.path(), u64::from(prompt_tokens))
        };
        in_force.program(&pool.service).classify(&facts).clone()
    };
    let id = RequestId(rand::random()).to_string();
    let engine_request = EngineRequest {
        request_id: id.clone(),
        model: request.model.clone(),
        adapter: request.adapter,
        prompt: request.prompt,
        max_tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        stream: true,
        priority: request.priority.unwrap_or(match class.priority {
            PriorityName::Interactive => Priority::Interactive,
            PriorityName::Standard => Priority::Standard,
            PriorityName::Batch => Priority::Batch,
        }),
        resume_after: 0,
    };
    let chat = matches!(engine_request.prompt, Prompt::Chat { .. });
    let shape = Shape {
        id,
        model: request.model,
        chat,
        prompt_tokens,
    };
    let execution = Execution::begin(
        Arc::clone(node),
        client.clone(),
        engine_request,
        class.repeatable,
    )
    .await?;
    Ok(Answer {
        execution,
        shape,
        stream: request.stream,
        _in_progress: in_progress,
    })
}

impl Answer {
    async fn respond_whole(mut self, node: &Node) -> HttpResponse {
        let mut text = String::new();
        loop {
            let chunk = match self.execution.next().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => {
                    let status = StatusCode::BAD_GATEWAY;
                    return finish_failed(node, &Failure::not_run(status, "an empty answer"));
                }
                Err(failure) => return finish_failed(node, &failure),
            };
            text.push_str(&chunk.text);
            let Some(reason) = &chunk.finish_reason else {
                continue;
            };
            let tokens = chunk.token_index.saturating_add(chunk.tokens);
            return match self.shape.whole(&text, tokens, reason) {
                Ok(body) => {
                    node.metrics
                        .requests
                        .with_label_values(&["completed"])
                        .inc();
                    HttpResponse::Ok()
                        .insert_header((VERDICT_HEADER, "completed"))
                        .insert_header((REQUEST_ID_HEADER, self.shape.id.clone()))
                        .content_type("application/json")
                        .body(body)
                }
                Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
            };
        }
    }

    fn respond_streaming(self, node: Arc<Node>) -> HttpResponse {
        let id = self.shape.id.clone();
        let events = stream::unfold(Some((self, node)), next_event);
        HttpResponse::Ok()
            .insert_header((REQUEST_ID_HEADER, id))
            .content_type("text/event-stream")
            .streaming(events)
    }
}

type StreamState = Option<(Answer, Arc<Node>)>;

async fn next_event(state: StreamState) -> Option<(Result<Bytes, std::io::Error>, StreamState)> {
    let (mut answer, node) = state?;
    let (event, verdict) = match answer.execution.next().await {
        Ok(Some(chunk)) => {
            let verdict = chunk.finish_reason.is_some().then_some("completed");
            (answer.shape.event(&chunk), verdict)
        }
        Ok(None) => return None,
        Err(failure) => {
            let body = serde_json::to_string(&failure.body());
            (
                body.map(|json| format!("data: {json}\n\n")),
                Some(failure.verdict.name()),
            )
        }
    };
    if let Some(verdict) = verdict {
        node.metrics.requests.with_label_values(&[verdict]).inc();
    }
    let next = verdict.is_none().then_some((answer, node));
    Some((event.map(Bytes::from).map_err(std::io::Error::other), next))
}
