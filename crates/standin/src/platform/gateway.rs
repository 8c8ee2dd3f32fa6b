//! The calls of the etcd v3 JSON gateway.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::watch;

use super::faults::CallDecision;
use super::keyspace::{Change, Condition, Event, StoredValue};
use super::Platform;

/// Time after which an unanswered call fails. Callers time out earlier.
const UNANSWERED_CALL_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/put", web::post().to(put))
        .route("/v3/kv/txn", web::post().to(transact))
        .route("/v3/lease/grant", web::post().to(grant_lease))
        .route("/v3/lease/keepalive", web::post().to(keep_lease_alive))
        .route("/v3/lease/revoke", web::post().to(revoke_lease))
        .route("/v3/watch", web::post().to(watch_range));
}

/// A call that is answered with an error.
#[derive(Debug, thiserror::Error)]
enum GatewayError {
    #[error("too many requests")]
    Limited,
    #[error("requested lease not found")]
    LeaseNotFound,
    #[error("{0}")]
    Invalid(String),
    #[error("unavailable")]
    Unavailable,
}

impl actix_web::ResponseError for GatewayError {
    fn status_code(&self) -> StatusCode {
        match self {
            GatewayError::Limited => StatusCode::TOO_MANY_REQUESTS,
            GatewayError::LeaseNotFound => StatusCode::NOT_FOUND,
            GatewayError::Invalid(_) => StatusCode::BAD_REQUEST,
            GatewayError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let code = match self {
            GatewayError::Limited => 8,
            GatewayError::LeaseNotFound => 5,
            GatewayError::Invalid(_) => 3,
            GatewayError::Unavailable => 14,
        };
        let message = self.to_string();
        HttpResponse::build(self.status_code())
            .json(json!({ "error": message, "code": code, "message": message }))
    }
}

async fn admit(platform: &Platform) -> Result<(), GatewayError> {
    let now = platform.now_millis();
    let decision = platform.faults.lock().admit(now);
    match decision {
        CallDecision::Serve(delay) => {
            if !delay.is_zero() {
                actix_rt::time::sleep(delay).await;
            }
            Ok(())
        }
        CallDecision::Reject => Err(GatewayError::Limited),
        CallDecision::NeverAnswer => {
            actix_rt::time::sleep(UNANSWERED_CALL_TIMEOUT).await;
            Err(GatewayError::Unavailable)
        }
    }
}

async fn answer_write(platform: &Platform, body: Value) -> Result<HttpResponse, GatewayError> {
    let is_lost = platform.faults.lock().take_lost_answer();
    if is_lost {
        actix_rt::time::sleep(UNANSWERED_CALL_TIMEOUT).await;
        return Err(GatewayError::Unavailable);
    }
    Ok(HttpResponse::Ok().json(body))
}

fn decode(text: &str) -> Result<Vec<u8>, GatewayError> {
    STANDARD
        .decode(text)
        .map_err(|error| GatewayError::Invalid(error.to_string()))
}

fn parse_number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn header(revision: u64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string() })
}

fn encode_key_value(key: &[u8], stored: &StoredValue) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.created.to_string(),
        "mod_revision": stored.modified.to_string(),
        "version": stored.version.to_string(),
        "lease": stored.lease.to_string(),
    })
}

#[derive(Deserialize)]
struct KeyRange {
    key: String,
    #[serde(default)]
    range_end: String,
}

async fn range(
    platform: web::Data<Platform>,
    request: web::Json<KeyRange>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let start = decode(&request.key)?;
    let end = decode(&request.range_end)?;
    let body = platform.with_keyspace(|keyspace| {
        let found = keyspace.range(&start, &end);
        let entries: Vec<Value> = found
            .into_iter()
            .map(|(key, stored)| encode_key_value(key, stored))
            .collect();
        let count = entries.len().to_string();
        json!({ "header": header(keyspace.revision()), "kvs": entries, "count": count })
    });
    Ok(HttpResponse::Ok().json(body))
}

#[derive(Deserialize)]
struct PutRequest {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    lease: Value,
}

impl PutRequest {
    fn change(&self) -> Result<Change, GatewayError> {
        Ok(Change::Put {
            key: decode(&self.key)?,
            value: decode(&self.value)?,
            lease: parse_number(&self.lease),
        })
    }
}

async fn put(
    platform: web::Data<Platform>,
    request: web::Json<PutRequest>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let change = request.change()?;
    let body = platform.with_keyspace(|keyspace| {
        let outcome = keyspace.transact(&[], vec![change]);
        outcome.map(|_| json!({ "header": header(keyspace.revision()) }))
    });
    answer_write(&platform, body.map_err(|_| GatewayError::LeaseNotFound)?).await
}

#[derive(Deserialize)]
struct CompareRequest {
    target: String,
    key: String,
    #[serde(default)]
    create_revision: Value,
    #[serde(default)]
    mod_revision: Value,
}

impl CompareRequest {
    fn condition(&self) -> Result<Condition, GatewayError> {
        let key = decode(&self.key)?;
        let revision = |value: &Value| u64::try_from(parse_number(value)).unwrap_or(0);
        match self.target.as_str() {
            "CREATE" => Ok(Condition::Created(key, revision(&self.create_revision))),
            "MOD" => Ok(Condition::Modified(key, revision(&self.mod_revision))),
            other => Err(GatewayError::Invalid(format!("unknown target {other}"))),
        }
    }
}

#[derive(Deserialize)]
struct OperationRequest {
    request_put: Option<PutRequest>,
    request_delete_range: Option<KeyRange>,
}

impl OperationRequest {
    fn change(&self) -> Result<Change, GatewayError> {
        match (&self.request_put, &self.request_delete_range) {
            (Some(put), None) => put.change(),
            (None, Some(delete)) => Ok(Change::Delete {
                key: decode(&delete.key)?,
            }),
            _ => Err(GatewayError::Invalid("unknown operation".into())),
        }
    }
}

#[derive(Deserialize)]
struct TransactionRequest {
    #[serde(default)]
    compare: Vec<CompareRequest>,
    #[serde(default)]
    success: Vec<OperationRequest>,
}

async fn transact(
    platform: web::Data<Platform>,
    request: web::Json<TransactionRequest>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let conditions: Result<Vec<_>, _> = request
        .compare
        .iter()
        .map(CompareRequest::condition)
        .collect();
    let conditions = conditions?;
    let changes: Result<Vec<_>, _> = request
        .success
        .iter()
        .map(OperationRequest::change)
        .collect();
    let changes = changes?;
    let body = platform.with_keyspace(|keyspace| {
        let outcome = keyspace.transact(&conditions, changes);
        outcome.map(
            |succeeded| json!({ "header": header(keyspace.revision()), "succeeded": succeeded }),
        )
    });
    answer_write(&platform, body.map_err(|_| GatewayError::LeaseNotFound)?).await
}

#[derive(Deserialize)]
struct LeaseRequest {
    #[serde(default, rename = "ID")]
    id: Value,
    #[serde(default, rename = "TTL")]
    ttl: Value,
}

async fn grant_lease(
    platform: web::Data<Platform>,
    request: web::Json<LeaseRequest>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let ttl = parse_number(&request.ttl).max(1);
    let now = platform.now_millis();
    let id = platform.with_keyspace(|keyspace| keyspace.grant(now, ttl));
    answer_write(
        &platform,
        json!({ "ID": id.to_string(), "TTL": ttl.to_string() }),
    )
    .await
}

async fn keep_lease_alive(
    platform: web::Data<Platform>,
    request: web::Json<LeaseRequest>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let id = parse_number(&request.id);
    let now = platform.now_millis();
    let ttl = platform
        .with_keyspace(|keyspace| keyspace.keep_alive(now, id))
        .unwrap_or(0);
    let result = json!({ "ID": id.to_string(), "TTL": ttl.to_string() });
    Ok(HttpResponse::Ok().json(json!({ "result": result })))
}

async fn revoke_lease(
    platform: web::Data<Platform>,
    request: web::Json<LeaseRequest>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let id = parse_number(&request.id);
    if !platform.with_keyspace(|keyspace| keyspace.revoke(id)) {
        return Err(GatewayError::LeaseNotFound);
    }
    answer_write(&platform, json!({})).await
}

#[derive(Deserialize)]
struct WatchCreate {
    key: String,
    #[serde(default)]
    range_end: String,
    #[serde(default)]
    start_revision: Value,
}

#[derive(Deserialize)]
struct WatchRequest {
    create_request: WatchCreate,
}

struct WatchState {
    platform: web::Data<Platform>,
    changed: watch::Receiver<u64>,
    start: Vec<u8>,
    end: Vec<u8>,
    next_revision: u64,
}

async fn watch_range(
    platform: web::Data<Platform>,
    request: web::Json<WatchRequest>,
) -> Result<HttpResponse, GatewayError> {
    admit(&platform).await?;
    let create = &request.create_request;
    let requested = u64::try_from(parse_number(&create.start_revision)).unwrap_or(0);
    let current_revision = platform.with_keyspace(|keyspace| keyspace.revision());
    let state = WatchState {
        changed: platform.changed.subscribe(),
        start: decode(&create.key)?,
        end: decode(&create.range_end)?,
        next_revision: if requested == 0 {
            current_revision + 1
        } else {
            requested
        },
        platform,
    };
    let created = json!({ "result": { "header": header(current_revision), "created": true } });
    let first = stream::once(std::future::ready(Ok::<_, GatewayError>(json_line(
        &created,
    ))));
    let events = stream::unfold(state, next_events);
    use futures_util::StreamExt;
    Ok(HttpResponse::Ok().streaming(first.chain(events)))
}

async fn next_events(mut state: WatchState) -> Option<(Result<Bytes, GatewayError>, WatchState)> {
    loop {
        state.changed.borrow_and_update();
        let is_outage = state.platform.faults.lock().is_outage();
        let (events, current_revision) = state.platform.with_keyspace(|keyspace| {
            let events = keyspace.events(&state.start, &state.end, state.next_revision);
            (events, keyspace.revision())
        });
        match events {
            Ok(events) if !events.is_empty() && !is_outage => {
                state.next_revision = current_revision + 1;
                let events: Vec<Value> = events.iter().map(encode_event).collect();
                let result = json!({ "header": header(current_revision), "events": events });
                return Some((Ok(json_line(&json!({ "result": result }))), state));
            }
            Err(compacted) => {
                let result = json!({ "canceled": true, "compact_revision": compacted.to_string() });
                return Some((Ok(json_line(&json!({ "result": result }))), state));
            }
            Ok(_) => {}
        }
        let wait = actix_rt::time::timeout(OUTAGE_POLL_INTERVAL, state.changed.changed()).await;
        if matches!(wait, Ok(Err(_))) {
            return None;
        }
    }
}

/// How often a watch without new events checks whether an outage has ended.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(200);

fn encode_event(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => json!({ "kv": encode_key_value(&event.key, stored) }),
        None => json!({ "type": "DELETE", "kv": {
            "key": STANDARD.encode(&event.key),
            "mod_revision": event.revision.to_string(),
        }}),
    }
}

fn json_line(value: &Value) -> Bytes {
    let mut text = value.to_string();
    text.push('\n');
    Bytes::from(text)
}
