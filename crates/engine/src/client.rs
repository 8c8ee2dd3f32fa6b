//! The engine client. Its errors say whether the work may have run: a refused or never-connected
//! request did not; anything after the first byte was sent may have.
//!
//! Refusals, orders' replies, handles and reports bear nothing of their questions. Each call has a
//! connection of its own, so that an answer that comes late or twice is read by nobody.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::protocol::{
    CacheEvents, EngineChunk, EngineRequest, EngineState, FenceToken, KvBlocks, KvExport, KvHandle,
    KvImport, KvImported, LoadReport, Order, OrderReply, Refusal, Seal, CACHE_EVENTS_PATH,
    KV_EXPORT_PATH, KV_IMPORT_PATH, KV_PATH, LOAD_PATH, ORDERS_PATH, REQUESTS_PATH, SEAL_PATH,
    STATE_PATH, STREAM_DONE,
};
use crate::sse::{SseDecoder, SseError};
use crate::transport::{connector, never_sent};

/// Largest control answer read, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 1 << 20;

/// No limit on connections: requests in progress are limited before they come here.
const NO_LIMIT: usize = 0;
/// Most connections for control calls.
const MAX_CONTROL_CONNECTIONS: usize = 128;

/// What went wrong with a call to an engine.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EngineError {
    /// No connection could be made.
    #[error("no connection to the engine: {0}")]
    Unreachable(String),
    /// The engine accepts no work now, because it is draining or changing; it did not begin.
    #[error("the engine accepts no work now: {0}")]
    Unavailable(String),
    /// The engine refused the work before beginning it.
    #[error("the engine refused: {0}")]
    Refused(String),
    /// The request was rejected as malformed or unknown; trying elsewhere will not help.
    #[error("the engine rejected the request with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The engine's words.
        message: String,
    },
    /// The connection broke, or timed out, after the request was sent.
    #[error("the answer broke off: {0}")]
    Broken(String),
    /// A chunk belongs to another request, is out of order, or is malformed.
    #[error("the answer does not match the request: {0}")]
    Mismatch(String),
}

impl EngineError {
    /// Whether the work may have run, in part or whole.
    pub fn may_have_run(&self) -> bool {
        matches!(self, EngineError::Broken(_) | EngineError::Mismatch(_))
    }

    /// The error's name in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            EngineError::Unreachable(_) => "unreachable",
            EngineError::Unavailable(_) => "unavailable",
            EngineError::Refused(_) => "refused",
            EngineError::Rejected { .. } => "rejected",
            EngineError::Broken(_) => "broken",
            EngineError::Mismatch(_) => "mismatch",
        }
    }
}

impl From<SendRequestError> for EngineError {
    fn from(error: SendRequestError) -> Self {
        match error {
            error if never_sent(&error) => EngineError::Unreachable(error.to_string()),
            error => EngineError::Broken(error.to_string()),
        }
    }
}

impl From<SseError> for EngineError {
    fn from(error: SseError) -> Self {
        EngineError::Mismatch(error.to_string())
    }
}

/// A client of one worker thread; cheap to clone within it.
#[derive(Clone)]
pub struct EngineClient {
    work: awc::Client,
    control: awc::Client,
}

impl EngineClient {
    /// A client that gives up connecting after `connect_timeout`. Work holds as many connections
    /// as there are requests in progress; control calls have connections of their own, so that
    /// work never keeps them waiting.
    pub fn new(connect_timeout: Duration) -> Self {
        let client = |max_connections| {
            awc::Client::builder()
                .connector(connector(connect_timeout, max_connections))
                .disable_timeout()
                .disable_redirects()
                .finish()
        };
        Self {
            work: client(NO_LIMIT),
            control: client(MAX_CONTROL_CONNECTIONS),
        }
    }

    /// Begins a completion and returns its stream once the engine has accepted it.
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: &EngineRequest,
    ) -> Result<EngineStream, EngineError> {
        let url = format!("http://{address}{}", request.prompt.path());
        let mut response = self.work.post(url).force_close().send_json(request).await?;
        let status = response.status();
        if status == StatusCode::OK {
            let body = Box::pin(response.map(|item| item.map_err(|error| error.to_string())));
            return Ok(EngineStream::new(request, body));
        }
        let body = response
            .body()
            .limit(MAX_CONTROL_BODY_BYTES)
            .await
            .unwrap_or_default();
        Err(refusal(status, &body))
    }

    /// Cancels a request; engines ignore identifiers they do not know.
    pub async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<(), EngineError> {
        let url = format!("http://{address}{REQUESTS_PATH}/{request_id}");
        self.control
            .delete(url)
            .force_close()
            .timeout(CONTROL_TIMEOUT)
            .send()
            .await?;
        Ok(())
    }

    /// Sends an order.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderReply, EngineError> {
        self.post_control(address, ORDERS_PATH, order).await
    }

    /// Raises the engine's fence token and returns its state, or its refusal as a state whose
    /// token is higher.
    pub async fn seal(
        &self,
        address: SocketAddr,
        fence_token: FenceToken,
    ) -> Result<EngineState, EngineError> {
        self.post_control(address, SEAL_PATH, &Seal { fence_token })
            .await
    }

    /// Reads the engine's control state.
    pub async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError> {
        self.get_control(address, STATE_PATH).await
    }

    /// Reads the engine's load report.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        self.get_control(address, LOAD_PATH).await
    }

    /// Reads the cache events after a sequence number.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        let path = format!("{CACHE_EVENTS_PATH}?after={after}");
        self.get_control(address, &path).await
    }

    /// Asks for a handle to a request's KV cache.
    pub async fn export_kv(
        &self,
        address: SocketAddr,
        export: &KvExport,
    ) -> Result<KvHandle, EngineError> {
        self.post_control(address, KV_EXPORT_PATH, export).await
    }

    /// Lets an engine fetch a KV cache from another; returns once it is there.
    pub async fn import_kv(
        &self,
        address: SocketAddr,
        import: &KvImport,
    ) -> Result<KvImported, EngineError> {
        self.post_control(address, KV_IMPORT_PATH, import).await
    }

    /// Reads the blocks behind a handle, as an importing engine does.
    pub async fn read_kv(
        &self,
        address: SocketAddr,
        handle: &str,
    ) -> Result<KvBlocks, EngineError> {
        let path = format!("{KV_PATH}/{handle}");
        self.get_control(address, &path).await
    }

    async fn post_control<B: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<R, EngineError> {
        let request = self
            .control
            .post(format!("http://{address}{path}"))
            .force_close()
            .timeout(CONTROL_TIMEOUT);
        let mut response = request.send_json(body).await?;
        let body = response.body().limit(MAX_CONTROL_BODY_BYTES).await;
        decode_control(response.status(), body.map_err(|e| e.to_string()))
    }

    async fn get_control<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<R, EngineError> {
        let request = self
            .control
            .get(format!("http://{address}{path}"))
            .force_close()
            .timeout(CONTROL_TIMEOUT);
        let mut response = request.send().await?;
        let body = response.body().limit(MAX_CONTROL_BODY_BYTES).await;
        decode_control(response.status(), body.map_err(|e| e.to_string()))
    }
}

/// Longest wait for a control answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

fn decode_control<R: DeserializeOwned>(
    status: StatusCode,
    body: Result<Bytes, String>,
) -> Result<R, EngineError> {
    let body = body.map_err(EngineError::Broken)?;
    // Engines answer refused orders with a conflict whose body says why.
    let decoded = serde_json::from_slice(&body);
    match (status, decoded) {
        (StatusCode::CONFLICT, Err(_)) => Err(refusal(status, &body)),
        (status, _) if !status.is_success() && status != StatusCode::CONFLICT => {
            Err(refusal(status, &body))
        }
        (_, decoded) => decoded.map_err(|error| EngineError::Mismatch(error.to_string())),
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> EngineError {
    if let Ok(refusal) = serde_json::from_slice::<Refusal>(body) {
        return match status {
            StatusCode::SERVICE_UNAVAILABLE => EngineError::Unavailable(refusal.reason),
            _ => EngineError::Refused(refusal.reason),
        };
    }
    let message = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
    if status.is_client_error() {
        return EngineError::Rejected {
            status: status.as_u16(),
            message,
        };
    }
    EngineError::Broken(format!("status {status}: {message}"))
}

type ByteStream =
    std::pin::Pin<Box<dyn futures_util::Stream<Item = Result<Bytes, String>> + 'static>>;

/// An engine's answer. Yields chunks that match the request, in order and without gaps; anything
/// else ends the stream with [`EngineError::Mismatch`], never in a wrong delivery.
pub struct EngineStream {
    body: ByteStream,
    decoder: SseDecoder,
    ready: VecDeque<EngineChunk>,
    request_id: String,
    next_token: u32,
    finished: bool,
}

impl EngineStream {
    fn new(request: &EngineRequest, body: ByteStream) -> Self {
        Self {
            body,
            decoder: SseDecoder::default(),
            ready: VecDeque::new(),
            request_id: request.request_id.clone(),
            next_token: request.resume_after,
            finished: false,
        }
    }

    /// Tokens the caller has once every yielded chunk is delivered.
    pub fn next_token(&self) -> u32 {
        self.next_token
    }

    /// The next chunk, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<EngineChunk>, EngineError> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                return self.accept(chunk).map(Some);
            }
            if self.finished {
                return Ok(None);
            }
            let Some(bytes) = self.body.next().await else {
                return Err(EngineError::Broken(
                    "the stream ended before its last chunk".into(),
                ));
            };
            let bytes = bytes.map_err(EngineError::Broken)?;
            for data in self.decoder.push(&bytes)? {
                if data == STREAM_DONE {
                    continue;
                }
                let chunk = serde_json::from_str(&data)
                    .map_err(|error| EngineError::Mismatch(error.to_string()))?;
                self.ready.push_back(chunk);
            }
        }
    }

    fn accept(&mut self, chunk: EngineChunk) -> Result<EngineChunk, EngineError> {
        if chunk.id != self.request_id {
            return Err(EngineError::Mismatch(format!(
                "a chunk of request {}",
                chunk.id
            )));
        }
        if self.finished || chunk.token_index != self.next_token {
            let problem = format!(
                "token {} where {} was due",
                chunk.token_index, self.next_token
            );
            return Err(EngineError::Mismatch(problem));
        }
        self.next_token = self.next_token.saturating_add(chunk.tokens);
        self.finished = chunk.finish_reason.is_some();
        Ok(chunk)
    }
}
