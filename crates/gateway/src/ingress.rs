//! The callers' side of the gateway: reads a request, runs it in an [`Exchange`] and sends the answer to the caller.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::body::{BodyStream, MessageBody};
use actix_web::http::{StatusCode, Version};
use actix_web::web::{self, Payload};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tansyhall_forwarding::{shared_parts, Fingerprint, RequestContent};
use tokio::time::timeout;

use crate::answer::{self, Answer, AnswerHead, AnswerSource, AnswerTruncated, GatewayAnswer};
use crate::caller_body::{self, BodyError};
use crate::caller_stream::{Flushing, Reading, RequestInProgress};
use crate::events::{Event, Priority};
use crate::exchange::{CallerRequest, Exchange};
use crate::headers::HeaderList;
use crate::protocol::CallerTerms;
use crate::response_body::ResponseBody;
use crate::state::{ConfigurationInForce, InFlightGuard, RoutedRequest, RoutingError, Shared};

/// Retry time for callers of a gateway that cannot serve requests yet. A gateway that started together with hundreds of
/// others had the configuration after 0.8 s; callers that retry earlier are refused again.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Retry time for callers of a gateway that is shutting down. Another gateway accepts the request immediately.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Retry time for callers whose requests found no memory. Bodies that make no progress release theirs within this time.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Maximum length of a streamed answer that is buffered for a caller that does not support chunked encoding.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Why a request is refused before an exchange is created for it.
enum Refusal {
    NotReady,
    Leaving,
    NoRoute,
    UnknownKey,
    BadRequest(String),
    Body(BodyError),
    BodyTimeout,
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

/// Handles one request of a caller.
pub async fn serve(
    request: HttpRequest,
    mut payload: Payload,
    shared: web::Data<Arc<Shared>>,
) -> HttpResponse {
    let shared: &Arc<Shared> = &shared;
    let in_flight = InFlightGuard::begin(shared);
    let reading = request.conn_data::<Rc<Reading>>().cloned();
    let length = caller_body::announced_length(&request);
    let in_progress = RequestInProgress::begin(reading.unwrap_or_default(), length);
    let read = read_request(&request, &mut payload, in_progress.reading(), shared).await;
    let (response, unread) = match read {
        Ok(caller_request) => {
            let response = forward(shared, caller_request, request.version()).await;
            (response, None)
        }
        Err(refusal) => {
            record_refusal(&request, &refusal, shared);
            (refusal_response(&refusal), Some(payload))
        }
    };
    let flushing = request.conn_data::<Rc<Flushing>>().cloned();
    close_if_stopping(response, shared).map_body(|_, body| {
        ResponseBody::new(body, flushing, in_flight, in_progress, unread).boxed()
    })
}

async fn read_request(
    request: &HttpRequest,
    payload: &mut Payload,
    reading: &Reading,
    shared: &Arc<Shared>,
) -> Result<CallerRequest, Refusal> {
    let arrived = shared.now();
    if !shared.accepts_requests() {
        return Err(Refusal::Leaving);
    }
    let in_force = shared.in_force().ok_or(Refusal::NotReady)?;
    let mut headers = caller_headers(request);
    headers.remove_connection_headers();
    let terms = shared
        .protocol
        .parse_caller_terms(&headers)
        .map_err(|bad| Refusal::BadRequest(bad.to_string()))?;
    let mut routed = route(request, &terms, &in_force)?;
    if shared.settings.read().decisions.urgent_first {
        routed.use_combined_urgency();
    }
    let limits = in_force.limits();
    let caller_timeout = terms.timeout.unwrap_or(routed.route.timeout);
    let time_limit = caller_timeout.min(routed.route.timeout);
    let length = caller_body::announced_length(request);
    let read = caller_body::read(payload, length, limits.body_bytes, &shared.memory, reading);
    let (body, memory) = timeout(time_limit, read)
        .await
        .map_err(|_| Refusal::BodyTimeout)??;
    if !shared.can_finish(&routed.route.name, time_limit) {
        return Err(Refusal::Leaving);
    }
    let target = target(request);
    let fingerprint = Fingerprint::of(&RequestContent {
        method: request.method().as_str(),
        host: host(request).unwrap_or_default(),
        target: &target,
        tenant: routed.tenant.as_ref(),
        body: &body,
        prompt: &terms.prompt,
    });
    let shared_parts = shared_parts(&routed.service, routed.tenant.as_ref(), &terms.prompt);
    Ok(CallerRequest {
        method: request.method().as_str().to_owned(),
        target,
        headers,
        body,
        memory,
        fingerprint,
        shared_parts: shared_parts.into(),
        terms,
        routed,
        arrived,
        deadline: arrived + time_limit,
    })
}

fn route(
    request: &HttpRequest,
    terms: &CallerTerms,
    in_force: &ConfigurationInForce,
) -> Result<RoutedRequest, Refusal> {
    let host = host(request).ok_or(Refusal::NoRoute)?;
    let routed = in_force.route(host, request.uri().path(), terms.key.as_ref());
    routed.map_err(|reason| match reason {
        RoutingError::NoRoute => Refusal::NoRoute,
        RoutingError::UnknownKey => Refusal::UnknownKey,
    })
}

fn host(request: &HttpRequest) -> Option<&str> {
    let header = request.headers().get("host").and_then(|h| h.to_str().ok());
    header.or_else(|| request.uri().host())
}

fn target(request: &HttpRequest) -> String {
    let uri = request.uri();
    uri.path_and_query().map_or_else(
        || uri.path().to_owned(),
        |target| target.as_str().to_owned(),
    )
}

fn caller_headers(request: &HttpRequest) -> HeaderList {
    let mut headers = HeaderList::default();
    for (name, value) in request.headers() {
        headers.push(name.as_str(), value.as_bytes());
    }
    headers
}

async fn forward(shared: &Arc<Shared>, request: CallerRequest, version: Version) -> HttpResponse {
    let (sink, source) = answer::channel();
    let arrived = request.arrived;
    let route = request.routed.route.name.clone();
    actix_rt::spawn(Exchange::new(shared, request, sink).run());
    let response = answer_caller(version, source).await;
    let latency = shared.now().since(arrived).as_secs_f64();
    shared
        .metrics
        .latency
        .with_label_values(&[route.as_str()])
        .observe(latency);
    response
}

/// Converts an answer to the response for a caller with this version of HTTP.
pub async fn answer_caller(version: Version, mut source: AnswerSource) -> HttpResponse {
    match source.head().await {
        Some(Answer::Whole(head, body)) => builder(&head).body(body),
        Some(Answer::Streamed(head)) if version < Version::HTTP_11 => {
            buffered_response(&head, source).await
        }
        Some(Answer::Streamed(head)) => builder(&head).body(BodyStream::new(source.into_parts())),
        Some(Answer::Gateway(answer)) => gateway_response(answer),
        None => gateway_response(GatewayAnswer::Lost),
    }
}

/// Buffers a streamed answer for a caller that does not support chunked encoding. Such a caller cannot distinguish a
/// truncated answer from a complete one, so it gets the complete answer with its length, or an error.
async fn buffered_response(head: &AnswerHead, source: AnswerSource) -> HttpResponse {
    let parts = std::pin::pin!(source.into_parts());
    match buffer_body(parts).await {
        Some(body) => builder(head).body(body),
        None => gateway_response(GatewayAnswer::Lost),
    }
}

async fn buffer_body(
    mut parts: impl Stream<Item = Result<Bytes, AnswerTruncated>> + Unpin,
) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(part) = parts.next().await {
        let part = part.ok()?;
        if body.len() + part.len() > MAX_BUFFERED_BYTES {
            return None;
        }
        body.extend_from_slice(&part);
    }
    Some(body.freeze())
}

fn builder(head: &AnswerHead) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for header in head.headers.iter() {
        builder.append_header((header.name.as_str(), header.value.as_slice()));
    }
    builder
}

fn gateway_response(answer: GatewayAnswer) -> HttpResponse {
    match answer {
        GatewayAnswer::NotRun { retry_after } => {
            not_run_response(retry_after, "no worker can take it now")
        }
        GatewayAnswer::Lost => {
            HttpResponse::BadGateway().body("the answer is lost; it may have run\n")
        }
        GatewayAnswer::TimedOut => {
            HttpResponse::GatewayTimeout().body("no answer in time; it may have run\n")
        }
        // Neither 502 nor 504, which callers retry, nor a status which promises that the request did not run.
        GatewayAnswer::Barred => HttpResponse::InternalServerError()
            .body("workers end under this request; it will not be sent again\n"),
    }
}

fn not_run_response(retry_after: Duration, reason: &'static str) -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .append_header(("Retry-After", format!("{:.3}", retry_after.as_secs_f64())))
        .body(format!("not run: {reason}\n"))
}

fn record_refusal(request: &HttpRequest, refusal: &Refusal, shared: &Shared) {
    let memory_refusals = &shared.metrics.memory_refusals;
    match refusal {
        Refusal::Body(BodyError::NoMemory) => memory_refusals.with_label_values(&["body"]).inc(),
        Refusal::Body(BodyError::Slow) => memory_refusals.with_label_values(&["slow_body"]).inc(),
        _ => {}
    }
    let terms = shared.protocol.parse_caller_terms(&caller_headers(request));
    let request_id = terms.ok().and_then(|terms| terms.request_id);
    let in_force = shared.in_force();
    let event = Event::Refused {
        request: request_id.as_deref().unwrap_or_default(),
        reason: refusal.name(),
        configuration: in_force.map_or(0, |in_force| in_force.configuration.version),
        store_age_ms: shared.store_age_ms(),
    };
    shared.log.record(Priority::Important, &event);
}

impl Refusal {
    fn name(&self) -> &'static str {
        match self {
            Refusal::NotReady => "no_configuration",
            Refusal::Leaving => "leaving",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::BadRequest(_) => "bad_request",
            Refusal::Body(BodyError::TooLong) => "body_too_long",
            Refusal::Body(BodyError::Incomplete) => "body_broken",
            Refusal::Body(BodyError::NoMemory) => "no_memory",
            Refusal::Body(BodyError::Slow) => "body_slow",
            Refusal::BodyTimeout => "body_late",
        }
    }
}

fn refusal_response(refusal: &Refusal) -> HttpResponse {
    match refusal {
        Refusal::NotReady => {
            not_run_response(NOT_READY_RETRY_AFTER, "no configuration is known yet")
        }
        Refusal::Leaving => not_run_response(LEAVING_RETRY_AFTER, "this gateway is leaving"),
        Refusal::NoRoute => HttpResponse::NotFound().body("no route for this host and path\n"),
        Refusal::UnknownKey => HttpResponse::Unauthorized().body("a key that is known is needed\n"),
        Refusal::BadRequest(reason) => HttpResponse::BadRequest().body(format!("{reason}\n")),
        Refusal::Body(error) => body_error_response(*error),
        Refusal::BodyTimeout => HttpResponse::RequestTimeout().body("the body came too late\n"),
    }
}

fn body_error_response(error: BodyError) -> HttpResponse {
    match error {
        BodyError::TooLong => HttpResponse::PayloadTooLarge().body("the body is too long\n"),
        BodyError::Incomplete => HttpResponse::BadRequest().body("the body broke off\n"),
        BodyError::NoMemory => {
            not_run_response(NO_MEMORY_RETRY_AFTER, "no memory is left for its body")
        }
        BodyError::Slow => not_run_response(
            NO_MEMORY_RETRY_AFTER,
            "its body came too slowly while memory was short",
        ),
    }
}

/// Closes the connection if the gateway is stopping: the caller's next connection reaches another gateway.
fn close_if_stopping(mut response: HttpResponse, shared: &Shared) -> HttpResponse {
    if shared.is_stopping() {
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}
