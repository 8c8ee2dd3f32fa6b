//! The engine client. Its errors state whether the work may have run: a request that was refused, or
//! for which no connection was made, has not run. A request that fails otherwise after its first
//! byte was sent may have run.
//!
//! Refusals, answers to orders, handles and reports contain nothing that identifies the request
//! they answer. Each call therefore uses a separate connection, so that a late or duplicate answer
//! is never read.

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
use crate::transport::{build_connector, never_sent};

/// The maximum size of an answer to a control call, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 1 << 20;

/// The connection limit of the client for work; zero means no limit. The number of requests in
/// progress is limited before they reach this client.
const UNLIMITED_CONNECTIONS: usize = 0;
/// The maximum number of connections for control calls.
const MAX_CONTROL_CONNECTIONS: usize = 128;

/// The error of a call to an engine.
#[derive(Debug, Clone, thiserror::Error)]
pub enum EngineError {
    /// No connection could be made.
    #[error("no connection to the engine: {0}")]
    Unreachable(String),
    /// The engine accepts no work now, because it is draining or carrying out an order. It has not
    /// started the work.
    #[error("the engine accepts no work now: {0}")]
    Unavailable(String),
    /// The engine refused the work before starting it.
    #[error("the engine refused: {0}")]
    Refused(String),
    /// The request was rejected as malformed or unknown. A retry at another engine would fail as
    /// well.
    #[error("the engine rejected the request with status {status}: {message}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The engine's error message.
        message: String,
    },
    /// The connection was closed or timed out after the request was sent.
    #[error("the answer broke off: {0}")]
    Broken(String),
    /// A chunk belongs to another request, is out of order, or is malformed.
    #[error("the answer does not match the request: {0}")]
    Mismatch(String),
}

impl EngineError {
    /// Returns whether the work may have run, partially or completely.
    pub fn may_have_run(&self) -> bool {
        matches!(self, EngineError::Broken(_) | EngineError::Mismatch(_))
    }

    /// Returns the error's label value in metrics.
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

/// An engine client for one worker thread. It is cheap to clone within the thread.
#[derive(Clone)]
pub struct EngineClient {
    work: awc::Client,
    control: awc::Client,
}

impl EngineClient {
    /// Creates a client whose attempts to connect fail after `connect_timeout`. Work uses as many
    /// connections as there are requests in progress. Control calls use a separate set of
    /// connections, so that work never delays them.
    pub fn new(connect_timeout: Duration) -> Self {
        let client = |max_connections| {
            awc::Client::builder()
                .connector(build_connector(connect_timeout, max_connections))
                .disable_timeout()
                .disable_redirects()
                .finish()
        };
        Self {
            work: client(UNLIMITED_CONNECTIONS),
            control: client(MAX_CONTROL_CONNECTIONS),
        }
    }

    /// Starts a completion and returns its stream once the engine has accepted it.
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
        Err(error_from_response(status, &body))
    }

    /// Cancels a request. Engines ignore unknown request identifiers.
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

    /// Sends an order and returns the engine's answer, which may be a refusal.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderReply, EngineError> {
        self.post_control(address, ORDERS_PATH, order).await
    }

    /// Raises the engine's fence token and returns the engine's state. If the engine refuses the
    /// token, the returned state has a higher token.
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

    /// Reads the cache events with sequence numbers larger than `after`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        let path = format!("{CACHE_EVENTS_PATH}?after={after}");
        self.get_control(address, &path).await
    }

    /// Requests a handle to the KV cache of a request.
    pub async fn export_kv(
        &self,
        address: SocketAddr,
        export: &KvExport,
    ) -> Result<KvHandle, EngineError> {
        self.post_control(address, KV_EXPORT_PATH, export).await
    }

    /// Makes an engine fetch a KV cache from another engine. Returns once the cache has been
    /// imported.
    pub async fn import_kv(
        &self,
        address: SocketAddr,
        import: &KvImport,
    ) -> Result<KvImported, EngineError> {
        self.post_control(address, KV_IMPORT_PATH, import).await
    }

    /// Reads the blocks of a handle, as an importing engine does.
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

/// The timeout of a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

fn decode_control<R: DeserializeOwned>(
    status: StatusCode,
    body: Result<Bytes, String>,
) -> Result<R, EngineError> {
    let body = body.map_err(EngineError::Broken)?;
    // Engines answer refused orders with status 409 and a body that states the reason.
    let decoded = serde_json::from_slice(&body);
    match (status, decoded) {
        (StatusCode::CONFLICT, Err(_)) => Err(error_from_response(status, &body)),
        (status, _) if !status.is_success() && status != StatusCode::CONFLICT => {
            Err(error_from_response(status, &body))
        }
        (_, decoded) => decoded.map_err(|error| EngineError::Mismatch(error.to_string())),
    }
}

fn error_from_response(status: StatusCode, body: &[u8]) -> EngineError {
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

/// The stream of an engine's answer. Yields only chunks that match the request, in order and
/// without gaps. Any other chunk is not yielded and ends the stream with [`EngineError::Mismatch`].
pub struct EngineStream {
    body: ByteStream,
    decoder: SseDecoder,
    decoded_chunks: VecDeque<EngineChunk>,
    request_id: String,
    next_token: u32,
    is_finished: bool,
}

impl EngineStream {
    fn new(request: &EngineRequest, body: ByteStream) -> Self {
        Self {
            body,
            decoder: SseDecoder::default(),
            decoded_chunks: VecDeque::new(),
            request_id: request.request_id.clone(),
            next_token: request.resume_after,
            is_finished: false,
        }
    }

    /// Returns the number of tokens that the caller has once all yielded chunks are delivered.
    pub fn next_token(&self) -> u32 {
        self.next_token
    }

    /// Returns the next chunk, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<EngineChunk>, EngineError> {
        loop {
            if let Some(chunk) = self.decoded_chunks.pop_front() {
                return self.check_chunk(chunk).map(Some);
            }
            if self.is_finished {
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
                self.decoded_chunks.push_back(chunk);
            }
        }
    }

    fn check_chunk(&mut self, chunk: EngineChunk) -> Result<EngineChunk, EngineError> {
        if chunk.id != self.request_id {
            return Err(EngineError::Mismatch(format!(
                "a chunk of request {}",
                chunk.id
            )));
        }
        if self.is_finished || chunk.token_index != self.next_token {
            let problem = format!(
                "token {} where {} was due",
                chunk.token_index, self.next_token
            );
            return Err(EngineError::Mismatch(problem));
        }
        self.next_token = self.next_token.saturating_add(chunk.tokens);
        self.is_finished = chunk.finish_reason.is_some();
        Ok(chunk)
    }
}
