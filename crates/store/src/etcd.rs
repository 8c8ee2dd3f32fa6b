//! Client of the etcd v3 JSON gateway, which encodes keys and values in base64 and 64-bit integers as decimal strings.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use async_trait::async_trait;
use awc::error::{ConnectError, SendRequestError};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::limiter::RateLimit;
use crate::store::{
    Compare, KeyValue, KeyValueStore, LeaseId, Operation, RangeOutcome, Revision, StoreError,
    Transaction, TransactionOutcome, WatchEvent, WatchStream,
};

/// Maximum length of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum length of a line of a watch, in bytes.
const MAX_WATCH_LINE_BYTES: usize = 64 << 20;

/// A client of one gateway address. Answers contain nothing that identifies their calls, so each call uses a separate
/// connection.
#[derive(Clone)]
pub struct EtcdStore {
    http: awc::Client,
    address: SocketAddr,
    timeout: Duration,
    limit: Option<RateLimit>,
}

impl EtcdStore {
    /// Creates a client whose calls, except watches, time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let connector = awc::Connector::new().timeout(timeout);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        Self {
            http,
            address,
            timeout,
            limit: None,
        }
    }

    /// Makes calls wait, or fail before they are sent, when the process's share of the rate limit is exhausted.
    pub fn with_limit(self, limit: RateLimit) -> Self {
        let limit = Some(limit);
        Self { limit, ..self }
    }

    async fn admit(&self) -> Result<(), StoreError> {
        let Some(limit) = &self.limit else {
            return Ok(());
        };
        let result = limit.admit(self.timeout).await;
        result.map_err(|error| StoreError::NotApplied(error.to_string()))
    }

    async fn call<R: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<R, StoreError> {
        self.admit().await?;
        let url = format!("http://{}{path}", self.address);
        let request = self.http.post(url).force_close().timeout(self.timeout);
        let mut response = request.send_json(body).await.map_err(send_error)?;
        let status = response.status();
        response = response.timeout(self.timeout);
        let bytes = response.body().limit(MAX_BODY_BYTES).await;
        let bytes = bytes.map_err(|error| StoreError::Unknown(error.to_string()))?;
        if !status.is_success() {
            return Err(status_error(status.as_u16(), &bytes));
        }
        serde_json::from_slice(&bytes).map_err(|error| StoreError::Unknown(error.to_string()))
    }
}

/// Converts a send error. `ConnectError::Disconnected` counts as a lost answer, because the HTTP client library also
/// reports it when a connection closes after the call was sent.
fn send_error(error: SendRequestError) -> StoreError {
    match error {
        SendRequestError::Connect(cause @ ConnectError::Disconnected) => {
            StoreError::Unknown(cause.to_string())
        }
        SendRequestError::Connect(cause) => StoreError::NotApplied(cause.to_string()),
        other => StoreError::Unknown(other.to_string()),
    }
}

/// gRPC status codes that the gateway includes in the body of an error answer.
const CODE_NOT_FOUND: i64 = 5;
const CODE_RESOURCE_EXHAUSTED: i64 = 8;

fn status_error(status: u16, body: &[u8]) -> StoreError {
    #[derive(Deserialize, Default)]
    struct Body {
        #[serde(default)]
        code: i64,
        #[serde(default)]
        message: String,
    }
    let body: Body = serde_json::from_slice(body).unwrap_or_default();
    let message = format!("status {status}: {}", body.message);
    if body.code == CODE_NOT_FOUND && body.message.contains("lease") {
        return StoreError::LeaseLapsed;
    }
    if status == 429 || body.code == CODE_RESOURCE_EXHAUSTED || (400..500).contains(&status) {
        return StoreError::NotApplied(message);
    }
    StoreError::Unknown(message)
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Returns the smallest key that is greater than every key that starts with `prefix`.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn deserialize_number<'de, D, N>(deserializer: D) -> Result<N, D::Error>
where
    D: serde::Deserializer<'de>,
    N: std::str::FromStr + TryFrom<i64>,
{
    match Value::deserialize(deserializer)? {
        Value::String(text) => text
            .parse()
            .map_err(|_| serde::de::Error::custom("not a whole number")),
        Value::Number(number) => number
            .as_i64()
            .and_then(|number| N::try_from(number).ok())
            .ok_or_else(|| serde::de::Error::custom("not a whole number")),
        _ => Err(serde::de::Error::custom("not a number")),
    }
}

#[derive(Deserialize, Default)]
struct Header {
    #[serde(default, deserialize_with = "deserialize_number")]
    revision: u64,
}

#[derive(Deserialize)]
struct GatewayKeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "deserialize_number")]
    create_revision: u64,
    #[serde(default, deserialize_with = "deserialize_number")]
    mod_revision: u64,
}

impl GatewayKeyValue {
    fn decode(self) -> Result<KeyValue, StoreError> {
        let invalid = |error: String| StoreError::Unknown(error);
        let key = STANDARD
            .decode(&self.key)
            .map_err(|e| invalid(e.to_string()))?;
        Ok(KeyValue {
            key: String::from_utf8(key).map_err(|e| invalid(e.to_string()))?,
            value: STANDARD
                .decode(&self.value)
                .map_err(|e| invalid(e.to_string()))?,
            created: Revision(self.create_revision),
            modified: Revision(self.mod_revision),
        })
    }
}

#[derive(Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<GatewayKeyValue>,
}

#[derive(Deserialize)]
struct TransactionAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseAnswer {
    #[serde(default, rename = "ID", deserialize_with = "deserialize_number")]
    id: i64,
    #[serde(default, rename = "TTL", deserialize_with = "deserialize_number")]
    ttl: i64,
}

#[derive(Deserialize)]
struct Wrapped<T> {
    result: T,
}

#[derive(Deserialize)]
struct WatchAnswer {
    #[serde(default)]
    canceled: bool,
    #[serde(default, deserialize_with = "deserialize_number")]
    compact_revision: u64,
    #[serde(default)]
    events: Vec<GatewayEvent>,
}

#[derive(Deserialize)]
struct GatewayEvent {
    #[serde(default, rename = "type")]
    kind: EventKind,
    kv: GatewayKeyValue,
}

#[derive(Deserialize, Serialize, Default, PartialEq, Eq, Clone, Copy)]
enum EventKind {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

fn encode_compare(compare: &Compare) -> Value {
    match compare {
        Compare::Absent(key) => json!({
            "result": "EQUAL", "target": "CREATE", "key": encode(key), "create_revision": "0",
        }),
        Compare::ModifiedAt(key, revision) => json!({
            "result": "EQUAL", "target": "MOD", "key": encode(key),
            "mod_revision": revision.0.to_string(),
        }),
    }
}

fn encode_operation(operation: &Operation) -> Value {
    match operation {
        Operation::Put { key, value, lease } => {
            let lease = lease.map_or(0, |lease| lease.0).to_string();
            json!({ "request_put": { "key": encode(key), "value": encode(value), "lease": lease } })
        }
        Operation::Delete { key } => {
            json!({ "request_delete_range": { "key": encode(key) } })
        }
    }
}

#[async_trait(?Send)]
impl KeyValueStore for EtcdStore {
    async fn range(&self, prefix: &str) -> Result<RangeOutcome, StoreError> {
        let body = json!({ "key": encode(prefix), "range_end": encode(prefix_end(prefix)) });
        let answer: RangeAnswer = self.call("/v3/kv/range", &body).await?;
        let entries: Result<Vec<_>, _> = answer
            .kvs
            .into_iter()
            .map(GatewayKeyValue::decode)
            .collect();
        Ok(RangeOutcome {
            entries: entries?,
            epoch: self.epoch(),
            revision: Revision(answer.header.revision),
        })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let compare: Vec<Value> = transaction.compare.iter().map(encode_compare).collect();
        let success: Vec<Value> = transaction
            .operations
            .iter()
            .map(encode_operation)
            .collect();
        let body = json!({ "compare": compare, "success": success });
        let answer: TransactionAnswer = self.call("/v3/kv/txn", &body).await?;
        let revision = Revision(answer.header.revision);
        Ok(TransactionOutcome {
            succeeded: answer.succeeded,
            revision,
        })
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        let seconds = time_to_live.as_secs().max(1).to_string();
        let answer: LeaseAnswer = self
            .call("/v3/lease/grant", &json!({ "TTL": seconds }))
            .await?;
        Ok(LeaseId(answer.id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        let answer: Wrapped<LeaseAnswer> = self.call("/v3/lease/keepalive", &body).await?;
        match u64::try_from(answer.result.ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(StoreError::LeaseLapsed),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        let _: Value = self.call("/v3/lease/revoke", &body).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, start: Revision) -> Result<WatchStream, StoreError> {
        self.admit().await?;
        let create = json!({ "create_request": {
            "key": encode(prefix),
            "range_end": encode(prefix_end(prefix)),
            "start_revision": start.0.to_string(),
        }});
        let url = format!("http://{}/v3/watch", self.address);
        let request = self.http.post(url).force_close();
        // A timeout of the request itself would also limit the time of its body.
        let response = timeout(self.timeout, request.send_json(&create)).await;
        let response = response
            .map_err(|_| StoreError::Unknown("the watch was not answered in time".into()))?
            .map_err(send_error)?;
        if !response.status().is_success() {
            return Err(status_error(response.status().as_u16(), b""));
        }
        let lines = LineDecoder::default();
        let stream = response.scan(lines, |lines, chunk| {
            let events = match chunk {
                Ok(bytes) => lines.push(&bytes),
                Err(error) => Err(StoreError::Unknown(error.to_string())),
            };
            std::future::ready(Some(events))
        });
        Ok(Box::pin(stream))
    }
}

#[derive(Default)]
struct LineDecoder {
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that contain no end of a line.
    scanned_bytes: usize,
}

impl LineDecoder {
    fn push(&mut self, bytes: &[u8]) -> Result<Vec<WatchEvent>, StoreError> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_WATCH_LINE_BYTES {
            return Err(StoreError::Unknown("a watch line is too long".into()));
        }
        let mut events = Vec::new();
        let mut line_start = 0;
        while let Some(offset) = self.buffer[self.scanned_bytes..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.scanned_bytes + offset;
            let line = &self.buffer[line_start..line_end];
            if !line.trim_ascii().is_empty() {
                decode_watch_line(line, &mut events)?;
            }
            line_start = line_end + 1;
            self.scanned_bytes = line_start;
        }
        self.buffer.drain(..line_start);
        self.scanned_bytes = self.buffer.len();
        Ok(events)
    }
}

fn decode_watch_line(line: &[u8], events: &mut Vec<WatchEvent>) -> Result<(), StoreError> {
    let answer: Wrapped<WatchAnswer> =
        serde_json::from_slice(line).map_err(|error| StoreError::Unknown(error.to_string()))?;
    if answer.result.compact_revision > 0 {
        return Err(StoreError::Compacted);
    }
    if answer.result.canceled {
        return Err(StoreError::Unknown("the watch was cancelled".into()));
    }
    for event in answer.result.events {
        let entry = event.kv.decode()?;
        events.push(match event.kind {
            EventKind::Put => WatchEvent::Put(entry),
            EventKind::Delete => WatchEvent::Delete {
                key: entry.key,
                revision: entry.modified,
            },
        });
    }
    Ok(())
}
