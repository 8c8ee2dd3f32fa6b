//! Forwards plain HTTP requests to application workers. Bodies are streamed in both directions and
//! are never buffered completely.
//!
//! A worker's answer does not identify its request. Each request therefore uses its own connection,
//! so that a late or repeated answer cannot reach another caller.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::yield_now;
use actix_rt::time::{sleep, timeout};
use actix_web::body::SizedStream;
use actix_web::http::{header, Method, StatusCode};
use actix_web::{web, HttpMessage, HttpRequest, HttpResponse};
use awc::error::SendRequestError;
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::StreamExt;
use tansyhall_admission::{BreakerDecision, BreakerEvent};
use tansyhall_config::settings::Limits;
use tansyhall_config::Backend;
use tansyhall_core::stream_end::is_event_stream;
use tansyhall_core::{EngineName, ServiceName, StreamEnd, TenantName, Verdict};
use tansyhall_engine::transport::{build_connector, never_sent};

use super::admit::{
    admit, classify, end_rejected, options, register_request, rejection, require_configuration,
    tenant, RequestParams,
};
use super::driver::InProgress;
use super::failure::{response_builder, Failure};
use super::replay::ReplayableBody;
use super::requests::{RequestOutcome, RequestRecord};
use crate::configuration::RequestHeaders;
use crate::state::Node;
use tansyhall_policy::RequestFacts;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::HOST,
];

/// The statuses of final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns the HTTP client of one worker thread, with its pool of connections to application
/// workers.
pub fn client(limits: &Limits) -> awc::Client {
    let connector = build_connector(limits.connect_timeout, limits.max_backend_connections);
    awc::Client::builder()
        .connector(connector)
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Forwards a request to a worker of the application whose path prefix matches.
pub async fn forward(
    node: web::Data<Node>,
    client: web::Data<awc::Client>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let node = node.into_inner();
    let record = register_request(&node);
    match try_forward(&node, &client, &http, payload, &record).await {
        Ok(response) => response,
        Err(failure) => {
            end_rejected(&node, &record, &failure);
            failure.response(record.id)
        }
    }
}

async fn try_forward(
    node: &Arc<Node>,
    client: &awc::Client,
    http: &HttpRequest,
    payload: web::Payload,
    record: &Arc<RequestRecord>,
) -> Result<HttpResponse, Failure> {
    require_configuration(node)?;
    let options = options(node, http)?;
    let service = service_of_path(node, http.path())?;
    let tenant = tenant(node, http, &service)?;
    let headers = RequestHeaders(http.headers());
    let facts = RequestFacts {
        service: service.as_str(),
        tenant: tenant.as_ref().map_or("", TenantName::as_str),
        headers: &headers,
        ..RequestFacts::new(http.path(), 0)
    };
    let mut params = classify(node, http, service.clone(), &facts, &options, record);
    params.tenant = tenant.clone();
    params.repeatable = params.repeatable && is_safe(http.method());
    let max_bytes = node.settings.limits.max_forwarded_body_bytes;
    let length = content_length(http);
    if length.is_some_and(|length| length > max_bytes) {
        let message = format!("the body passes {max_bytes} bytes");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(rejection(node, "too-large", status, message));
    }
    let in_progress = admit(node, record, &params, &options).await?;
    let forwarding = Forwarding {
        node,
        client,
        http,
        body: ReplayableBody::new(payload, max_bytes),
        length,
        params,
        record,
    };
    let answered = forwarding.run().await;
    let checked = answered
        .and_then(|(response, worker)| forwarding.check_status(response, worker))
        .and_then(|(response, worker)| forwarding.check_framing(response, worker));
    match checked {
        Ok((response, worker)) => Ok(respond(response, worker, in_progress)),
        Err(failure) => {
            in_progress.end(RequestOutcome::Failed(failure.clone()));
            Err(failure)
        }
    }
}

/// Returns whether the method only reads, so that a request may be sent again after it may have
/// run.
fn is_safe(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS].contains(method)
}

fn content_length(http: &HttpRequest) -> Option<u64> {
    let value = http.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn service_of_path(node: &Node, path: &str) -> Result<ServiceName, Failure> {
    let in_force = node.in_force.load();
    let service = in_force.application(path);
    service.map(|service| service.name.clone()).ok_or_else(|| {
        let message = "no application serves this path".to_owned();
        rejection(node, "unknown-path", StatusCode::NOT_FOUND, message)
    })
}

struct Forwarding<'a> {
    node: &'a Arc<Node>,
    client: &'a awc::Client,
    http: &'a HttpRequest,
    body: ReplayableBody,
    length: Option<u64>,
    params: RequestParams,
    record: &'a RequestRecord,
}

impl Forwarding<'_> {
    /// Sends the request to workers until one answers; returns the answer and the worker's address.
    async fn run(&self) -> Result<(ClientResponse, SocketAddr), Failure> {
        let mut tried_workers = Vec::new();
        let mut verdict = Verdict::NotRun {
            retry_after: self.advised_wait(),
        };
        loop {
            let worker = self.choose(&tried_workers, verdict)?;
            self.record.count_attempt();
            let Ok(send_result) = timeout(self.time_to_deadline(), self.send(worker.address)).await
            else {
                self.observe(worker.address, BreakerEvent::Failure);
                let message = "the deadline passed before the worker answered";
                return Err(Failure::may_have_run(StatusCode::GATEWAY_TIMEOUT, message));
            };
            let error = match send_result {
                Ok(response) => return Ok((response, worker.address)),
                Err(error) => error,
            };
            let failure = self.handle_send_failure(&worker, &error, verdict);
            verdict = failure.verdict;
            tried_workers.push(worker.name);
            self.wait_before_retry(&failure, tried_workers.len())
                .await?;
        }
    }

    /// Returns an error for an answer whose status is not a final one. The client also returns interim answers.
    fn check_status(
        &self,
        response: ClientResponse,
        worker: SocketAddr,
    ) -> Result<(ClientResponse, SocketAddr), Failure> {
        let status = response.status().as_u16();
        if FINAL_STATUSES.contains(&status) {
            return Ok((response, worker));
        }
        self.observe(worker, BreakerEvent::Failure);
        let message = format!("the worker's answer has the status {status}");
        Err(Failure::may_have_run(StatusCode::BAD_GATEWAY, message))
    }

    /// Returns an error for an answer whose body ends with its connection. The client reads no such body, and its end would
    /// not show whether the worker's process has ended with it.
    fn check_framing(
        &self,
        response: ClientResponse,
        worker: SocketAddr,
    ) -> Result<(ClientResponse, SocketAddr), Failure> {
        let has_length = response.headers().contains_key(header::CONTENT_LENGTH);
        let is_framed = has_length || response.chunked().unwrap_or(false);
        if is_framed || has_no_body(self.http.method(), response.status()) {
            return Ok((response, worker));
        }
        self.observe(worker, BreakerEvent::Success);
        let message = "the worker's answer has neither a length nor chunks";
        Err(Failure::may_have_run(StatusCode::BAD_GATEWAY, message))
    }

    async fn send(&self, address: SocketAddr) -> Result<ClientResponse, SendRequestError> {
        let http = self.http;
        let url = format!("http://{address}{}", http.uri());
        let mut request = self
            .client
            .request(http.method().clone(), url)
            .force_close()
            .no_decompress();
        for (name, value) in http.headers() {
            if !HOP_BY_HOP.contains(name) {
                request = request.append_header((name.clone(), value.clone()));
            }
        }
        let body = self.body.clone();
        let chunked = http.headers().contains_key(header::TRANSFER_ENCODING);
        match self.length {
            Some(length) if length > 0 => request.send_body(SizedStream::new(length, body)).await,
            None if chunked => request.send_stream(body).await,
            _ => request.send().await,
        }
    }

    fn handle_send_failure(
        &self,
        worker: &Backend,
        error: &SendRequestError,
        earlier_verdict: Verdict,
    ) -> Failure {
        if self.body.is_too_large() {
            let message = "the body passes the limit".to_owned();
            let mut failure = rejection(
                self.node,
                "too-large",
                StatusCode::PAYLOAD_TOO_LARGE,
                message,
            );
            failure.verdict = Verdict::MayHaveRun;
            return failure;
        }
        let was_never_sent = never_sent(error);
        let outcome = if was_never_sent {
            "unreachable"
        } else {
            "broken"
        };
        let metrics = &self.node.metrics;
        metrics.attempts.with_label_values(&[outcome]).inc();
        self.observe(worker.address, BreakerEvent::Failure);
        let (status, verdict) = if was_never_sent {
            let retry_after = self.advised_wait();
            let not_run = Verdict::NotRun { retry_after };
            (StatusCode::SERVICE_UNAVAILABLE, not_run)
        } else {
            (StatusCode::BAD_GATEWAY, Verdict::MayHaveRun)
        };
        Failure {
            status,
            verdict: earlier_verdict.after_attempt(verdict),
            message: error.to_string(),
        }
    }

    /// Waits before the next attempt if the verdict, the body, the limits and the retry budget
    /// allow one; otherwise returns the failure immediately.
    async fn wait_before_retry(&self, failure: &Failure, attempts: usize) -> Result<(), Failure> {
        let max_attempts = self.node.settings.limits.max_attempts as usize;
        let allowed = failure.verdict.allows_retry(self.params.repeatable)
            && !self.body.is_started()
            && attempts < max_attempts;
        if !allowed {
            return Err(failure.clone());
        }
        let now = self.node.clock.now();
        let retry = u32::try_from(attempts - 1).unwrap_or(u32::MAX);
        let health = &self.node.callers.health;
        let wait = health.request_retry(&self.node.metrics, now, retry);
        let wait = wait.ok_or_else(|| failure.clone())?;
        sleep(wait.min(self.time_to_deadline())).await;
        Ok(())
    }

    /// Chooses at random a worker that is not leaving, has not been tried and whose circuit breaker
    /// admits an attempt.
    fn choose(&self, tried_workers: &[EngineName], verdict: Verdict) -> Result<Backend, Failure> {
        let in_force = self.node.in_force.load();
        let pools = in_force.pools_of_service(&self.params.service);
        let workers = pools.flat_map(|pool| &pool.backends);
        let mut workers: Vec<&Backend> = workers
            .filter(|worker| !tried_workers.contains(&worker.name))
            .filter(|worker| !self.node.peers.is_backend_leaving(&worker.name))
            .collect();
        let mut probe_in: Option<Duration> = None;
        while !workers.is_empty() {
            let worker = workers.swap_remove(rand::random_range(0..workers.len()));
            match self.observe(worker.address, BreakerEvent::Attempt) {
                BreakerDecision::Admit => return Ok(worker.clone()),
                BreakerDecision::Refuse { probe_in: wait } => {
                    probe_in = Some(probe_in.map_or(wait, |known| known.min(wait)));
                }
            }
        }
        let retry_after = probe_in.unwrap_or_else(|| self.advised_wait());
        Err(Failure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: verdict.after_attempt(Verdict::NotRun { retry_after }),
            message: "no worker of the application accepts work now".into(),
        })
    }

    fn time_to_deadline(&self) -> Duration {
        self.params.deadline.since(self.node.clock.now())
    }

    fn advised_wait(&self) -> Duration {
        let health = &self.node.callers.health;
        health.advised_wait(&self.params.service)
    }

    fn observe(&self, address: SocketAddr, event: BreakerEvent) -> BreakerDecision {
        let now = self.node.clock.now();
        let health = &self.node.callers.health;
        health.observe(&self.node.metrics, address, now, event)
    }
}

/// Returns whether an answer to this method, with this status, never has a body.
fn has_no_body(method: &Method, status: StatusCode) -> bool {
    *method == Method::HEAD || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status)
}

/// Returns whether the status means that a worker can be reached but cannot do its work.
fn is_worker_fault(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

fn respond(
    response: ClientResponse,
    worker: SocketAddr,
    in_progress: Arc<InProgress>,
) -> HttpResponse {
    let event = if is_worker_fault(response.status()) {
        BreakerEvent::Failure
    } else {
        BreakerEvent::Success
    };
    let node = &in_progress.node;
    let now = node.clock.now();
    node.callers
        .health
        .observe(&node.metrics, worker, now, event);
    let mut answer = response_builder(response.status(), in_progress.id(), Verdict::Completed);
    for (name, value) in response.headers() {
        if !HOP_BY_HOP.contains(name) {
            answer.append_header((name.clone(), value.clone()));
        }
    }
    let length = response
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let body = WorkerBody {
        stream_end: is_stream(&response).then(StreamEnd::default),
        response,
        in_progress,
        remaining_bytes: length,
        break_after_last: None,
    };
    let body = futures_util::stream::unfold(Some(body), WorkerBody::read_next);
    match length {
        Some(length) => answer.body(SizedStream::new(length, body)),
        None => answer.streaming(body),
    }
}

fn is_stream(response: &ClientResponse) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(is_event_stream)
}

/// The worker's body while it is streamed to the caller. The request ends with the body, whether
/// the body is complete or broken.
struct WorkerBody {
    response: ClientResponse,
    in_progress: Arc<InProgress>,
    /// Number of bytes still expected, if the worker sent a content length.
    remaining_bytes: Option<u64>,
    /// How the body ends, if it is an event stream.
    stream_end: Option<StreamEnd>,
    /// Why the answer breaks off after its last bytes, of which the caller does not get the last one.
    break_after_last: Option<&'static str>,
}

type BodyItem = Result<Bytes, std::io::Error>;

impl WorkerBody {
    async fn read_next(state: Option<Self>) -> Option<(BodyItem, Option<Self>)> {
        let mut body = state?;
        if let Some(problem) = body.break_after_last {
            return Some(body.break_off(problem).await);
        }
        match body.response.next().await {
            Some(Ok(mut bytes)) => {
                body.record_bytes(&bytes);
                match body.cut_off() {
                    _ if !body.has_ended() => {}
                    // The body may not be polled again after its last byte.
                    None => body.in_progress.end(RequestOutcome::Completed),
                    problem => {
                        // The caller's answer would be complete with its last byte.
                        bytes.truncate(bytes.len().saturating_sub(1));
                        body.break_after_last = problem;
                    }
                }
                Some((Ok(bytes), Some(body)))
            }
            Some(Err(error)) => Some(body.break_off(&error.to_string()).await),
            None => {
                if let Some(problem) = body.cut_off() {
                    return Some(body.break_off(problem).await);
                }
                body.in_progress.end(RequestOutcome::Completed);
                None
            }
        }
    }

    /// Ends the request as failed and returns an error, which closes the caller's connection.
    async fn break_off(self, problem: &str) -> (BodyItem, Option<Self>) {
        let message = format!("the worker's answer broke off: {problem}");
        let failure = Failure::may_have_run(StatusCode::BAD_GATEWAY, message.clone());
        self.in_progress.end(RequestOutcome::Failed(failure));
        // The server writes what it has buffered before it polls again, and drops it at an error.
        yield_now().await;
        (Err(std::io::Error::other(message)), None)
    }

    fn record_bytes(&mut self, bytes: &[u8]) {
        if let Some(end) = &mut self.stream_end {
            end.push(bytes);
        }
        let remaining = self.remaining_bytes.as_mut();
        if let Some(remaining) = remaining {
            *remaining = remaining.saturating_sub(bytes.len() as u64);
        }
    }

    /// Returns whether the length that the worker sent is reached.
    fn has_ended(&self) -> bool {
        self.remaining_bytes == Some(0)
    }

    /// Returns why the stream is incomplete if it ends now. Nothing says that such a stream has events.
    fn cut_off(&self) -> Option<&'static str> {
        self.stream_end.as_ref()?.cut_off(false)
    }
}
