//! Steps between a request's arrival and its first attempt: reading the body and the options,
//! classifying the request, applying this node's limits and, for a request that is not repeatable,
//! acquiring a run permit.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest};
use bytes::Bytes;
use tansyhall_core::{ModelName, ServiceName, TenantName, Timestamp};
use tansyhall_engine::protocol::{estimate_tokens, Priority};
use tansyhall_policy::ast::ClassPriority;
use tansyhall_policy::Class;
use tansyhall_policy::RequestFacts;

use super::at_most_once::RunPermit;
use super::driver::InProgress;
use super::failure::Failure;
use super::options::RequestOptions;
use super::origin::new_request_id;
use super::requests::RequestRecord;
use super::shape::{CallerRequest, DEFAULT_MAX_TOKENS};
use crate::configuration::RequestHeaders;
use crate::limits::{tenant_of, Admission, Refusal, Variant};
use crate::state::Node;

/// Wait advised to callers while this node has no configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Rejects a request while no configuration is in force: the node cannot know yet whether it could
/// serve the request.
pub fn require_configuration(node: &Node) -> Result<(), Failure> {
    if node.in_force.load().configuration.revision > 0 {
        return Ok(());
    }
    let refused = &node.metrics.refused;
    refused.with_label_values(&["no-configuration"]).inc();
    Err(Failure::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "this node has no configuration in force yet",
        UNCONFIGURED_RETRY_AFTER,
    ))
}

/// Reads a completion request's body, within the node's limits on size and time.
pub async fn read_body(node: &Node, payload: web::Payload) -> Result<Bytes, Failure> {
    let limits = &node.settings.limits;
    let read = payload.to_bytes_limited(limits.max_body_bytes);
    match timeout(limits.body_timeout, read).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(error))) => {
            let message = format!("the body cannot be read: {error}");
            Err(rejection(node, "body", StatusCode::BAD_REQUEST, message))
        }
        Ok(Err(_)) => {
            let message = format!("the body passes {} bytes", limits.max_body_bytes);
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(rejection(node, "too-large", status, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time".to_owned();
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(rejection(node, "slow-body", status, message))
        }
    }
}

/// Decodes a completion request's body.
pub fn decode(node: &Node, body: &[u8]) -> Result<CallerRequest, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        rejection(
            node,
            "malformed",
            StatusCode::BAD_REQUEST,
            error.to_string(),
        )
    })
}

/// Parses a request's options.
pub fn options(node: &Node, http: &HttpRequest) -> Result<RequestOptions, Failure> {
    RequestOptions::parse(http.headers())
        .map_err(|error| rejection(node, "option", StatusCode::BAD_REQUEST, error.to_string()))
}

/// Returns the failure of an invalid request and counts it in the metrics.
pub fn rejection(node: &Node, reason: &str, status: StatusCode, message: String) -> Failure {
    node.metrics.refused.with_label_values(&[reason]).inc();
    Failure::invalid(status, message)
}

/// Parameters of a request that follow from its class and its options.
pub struct RequestParams {
    /// Requested service.
    pub service: ServiceName,
    /// Name of the request's class in the service's policy.
    pub class: Arc<str>,
    /// The caller's tenant, if it has one.
    pub tenant: Option<TenantName>,
    /// Deadline of the complete answer.
    pub deadline: Timestamp,
    /// Priority in the queue.
    pub priority: Priority,
    /// Whether the request may be attempted again after it may have run.
    pub repeatable: bool,
    /// Preferred version and adapter to apply.
    pub variant: Variant,
    /// Estimated number of prompt tokens; zero for an application's request.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; zero for an application's request.
    pub output_tokens: u32,
}

/// Classifies a completion request by its service's policy.
pub fn classify_completion(
    node: &Node,
    http: &HttpRequest,
    body_bytes: usize,
    request: &CallerRequest,
    options: &RequestOptions,
    record: &RequestRecord,
) -> Result<RequestParams, Failure> {
    let service = service_of_model(node, &request.model)?;
    let tenant = tenant(node, http, &service)?;
    let prompt_tokens = estimate_tokens(&request.prompt.flattened());
    let headers = RequestHeaders(http.headers());
    let facts = RequestFacts {
        output_tokens: u64::from(request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
        body_bytes: body_bytes as u64,
        service: service.as_str(),
        tenant: tenant.as_ref().map_or("", TenantName::as_str),
        model: request.model.as_str(),
        headers: &headers,
        ..RequestFacts::new(http.path(), u64::from(prompt_tokens))
    };
    let mut params = classify(node, http, service.clone(), &facts, options, record);
    params.tenant = tenant.clone();
    if let (None, Some(priority)) = (options.priority, request.priority) {
        params.priority = priority;
    }
    Ok(params)
}

/// Classifies a request by its service's policy. The caller's options take precedence over the
/// class.
pub fn classify(
    node: &Node,
    http: &HttpRequest,
    service: ServiceName,
    facts: &RequestFacts<'_>,
    options: &RequestOptions,
    record: &RequestRecord,
) -> RequestParams {
    let program = node.in_force.load().program(&service);
    let class = program.classify(facts);
    RequestParams {
        class: Arc::clone(&class.name),
        deadline: record.arrived_at + options.deadline.unwrap_or(class.deadline),
        priority: options.priority.unwrap_or_else(|| priority_of(class)),
        repeatable: class.repeatable && !options.not_repeatable,
        prompt_tokens: u32::try_from(facts.prompt_tokens).unwrap_or(u32::MAX),
        output_tokens: u32::try_from(facts.output_tokens).unwrap_or(u32::MAX),
        tenant: None,
        variant: Variant::pick(class, http.headers(), record.id),
        service,
    }
}

/// Returns the caller's tenant. Fails if the configuration does not contain it.
pub fn tenant(
    node: &Node,
    http: &HttpRequest,
    service: &ServiceName,
) -> Result<Option<TenantName>, Failure> {
    tenant_of(&node.in_force.load(), service, http.headers()).map_err(|error| {
        let status = StatusCode::BAD_REQUEST;
        rejection(node, "unknown-tenant", status, error.to_string())
    })
}

fn service_of_model(node: &Node, model: &ModelName) -> Result<ServiceName, Failure> {
    let in_force = node.in_force.load();
    let pool = in_force.pools_of_model(model).next();
    let service = pool.map(|pool| pool.service.clone());
    service.ok_or_else(|| {
        let message = format!("no pool loads the model {model}");
        rejection(node, "unknown-model", StatusCode::NOT_FOUND, message)
    })
}

fn priority_of(class: &Class) -> Priority {
    match class.priority {
        ClassPriority::Interactive => Priority::Interactive,
        ClassPriority::Standard => Priority::Standard,
        ClassPriority::Batch => Priority::Batch,
    }
}

/// Admits a request to this node. If the request is not repeatable and has an idempotency key,
/// acquires its run permit.
pub async fn admit(
    node: &Arc<Node>,
    record: &Arc<RequestRecord>,
    params: &RequestParams,
    options: &RequestOptions,
) -> Result<Arc<InProgress>, Failure> {
    record.set_deadline(params.deadline);
    check_limits(node, &params.service)?;
    let acquired = Admission::acquire(node, params);
    let admission = acquired.map_err(|refusal| limit_failure(node, &params.service, refusal))?;
    let permit = match &options.idempotency_key {
        Some(key) if !params.repeatable => {
            Some(RunPermit::acquire(node, &params.service, key, record.id).await?)
        }
        _ => None,
    };
    let service = params.service.clone();
    let record = Arc::clone(record);
    let node = Arc::clone(node);
    Ok(InProgress::begin(node, record, service, permit, admission))
}

/// Returns the failure of a request refused by its tenant's limits or for lack of a slot, and
/// counts it in the metrics.
fn limit_failure(node: &Node, service: &ServiceName, refusal: Refusal) -> Failure {
    let reason = refusal.name();
    node.metrics.refused.with_label_values(&[reason]).inc();
    let advised = || node.callers.health.advised_wait(service);
    let retry_after = refusal.retry_after().unwrap_or_else(advised);
    if refusal.is_limit() {
        let message = format!("the tenant's limit is reached: {reason}");
        return Failure::not_run(StatusCode::TOO_MANY_REQUESTS, message, retry_after);
    }
    let message = "too many requests in progress at this node";
    Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, message, retry_after)
}

fn check_limits(node: &Node, service: &ServiceName) -> Result<(), Failure> {
    let refuse = |reason: &str, message: &str| {
        node.metrics.refused.with_label_values(&[reason]).inc();
        let retry_after = node.callers.health.advised_wait(service);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Failure::not_run(status, message, retry_after))
    };
    if node.is_stopping() {
        return refuse("stopping", "this node is stopping");
    }
    let limit = i64::try_from(node.settings.limits.max_requests).unwrap_or(i64::MAX);
    if node.metrics.in_progress.get() >= limit {
        return refuse("full", "too many requests in progress at this node");
    }
    Ok(())
}

/// Assigns an identifier to a new request and creates its record.
pub fn register_request(node: &Node) -> Arc<RequestRecord> {
    let id = new_request_id(node);
    node.callers.requests.create(id, node.clock.now())
}

/// Ends a request that failed before it was admitted.
pub fn end_rejected(node: &Node, record: &RequestRecord, failure: &Failure) {
    let outcome = super::requests::RequestOutcome::Failed(failure.clone());
    if record.end(node.clock.now(), outcome) {
        node.metrics
            .requests
            .with_label_values(&[failure.verdict.name()])
            .inc();
    }
}
