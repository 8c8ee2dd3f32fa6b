//! Wire types of the engine protocol, documented in `docs/protocols/engine.md`.
//!
//! Work uses the format of OpenAI completions with a few additional fields. Control uses JSON under
//! `/control`. Every order carries a fence token, an order identifier and the incarnation that it
//! is addressed to, so that an engine can refuse a stale order without querying another process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyhall_core::{EngineName, Incarnation, ModelName, Role};

/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path that accepts orders.
pub const ORDERS_PATH: &str = "/control/orders";
/// Path that raises the engine's fence token without ordering anything.
pub const SEAL_PATH: &str = "/control/seal";
/// Path of the engine's control state.
pub const STATE_PATH: &str = "/control/state";
/// Path of the engine's load report.
pub const LOAD_PATH: &str = "/control/load";
/// Path of the engine's cache events. `?after=N` selects those with larger sequence numbers.
pub const CACHE_EVENTS_PATH: &str = "/control/cache-events";
/// Path that exports a request's KV cache.
pub const KV_EXPORT_PATH: &str = "/control/kv/export";
/// Path that imports a KV cache from another engine.
pub const KV_IMPORT_PATH: &str = "/control/kv/import";
/// Prefix of the path at which engines fetch exported KV caches: `GET {KV_PATH}/{handle}`.
pub const KV_PATH: &str = "/control/kv/blocks";
/// Prefix of the path that cancels one request: `DELETE {REQUESTS_PATH}/{id}`.
pub const REQUESTS_PATH: &str = "/v1/requests";
/// The data line that ends a stream.
pub const STREAM_DONE: &str = "[DONE]";

/// The priority of a request in an engine's queue. Lower values run first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person is waiting for the answer.
    Interactive,
    /// The default priority.
    #[default]
    Standard,
    /// Nobody is waiting for the answer. The request runs when there is free capacity.
    Batch,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// The input of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// A text completion.
    Text {
        /// The prompt.
        prompt: String,
    },
    /// A chat completion.
    Chat {
        /// The messages of the conversation.
        messages: Vec<ChatMessage>,
    },
}

impl Prompt {
    /// Returns the path that serves this kind of prompt.
    pub fn path(&self) -> &'static str {
        match self {
            Prompt::Text { .. } => COMPLETIONS_PATH,
            Prompt::Chat { .. } => CHAT_COMPLETIONS_PATH,
        }
    }

    /// Returns the prompt as the text that the engine processes, with chat messages joined by line
    /// breaks.
    pub fn flattened(&self) -> String {
        match self {
            Prompt::Text { prompt } => prompt.clone(),
            Prompt::Chat { messages } => {
                let lines: Vec<String> = messages
                    .iter()
                    .map(|m| format!("{}: {}", m.role, m.content))
                    .collect();
                lines.join("\n")
            }
        }
    }
}

/// Estimates the number of tokens of a prompt as its number of whitespace-separated words.
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// A completion request to an engine. The answer is always a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The identifier of the request. Each chunk of the answer repeats it.
    pub request_id: String,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The prompt to complete.
    #[serde(flatten)]
    pub prompt: Prompt,
    /// The maximum number of tokens to generate, including those before `resume_after`.
    pub max_tokens: u32,
    /// Always true: only streamed answers are requested from engines.
    pub stream: bool,
    /// The priority in the engine's queue.
    #[serde(default)]
    pub priority: Priority,
    /// The number of generated tokens that the caller already has. The answer starts after them.
    #[serde(default)]
    pub resume_after: u32,
}

/// One chunk of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChunk {
    /// The identifier of the request that this chunk belongs to.
    pub id: String,
    /// The zero-based index of the chunk's first token in the complete answer.
    pub token_index: u32,
    /// The number of tokens in this chunk.
    pub tokens: u32,
    /// The generated text.
    pub text: String,
    /// The reason why generation ended. Present only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
    /// The number of prompt tokens that were found in the prefix cache. Present only in the first
    /// chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<u32>,
}

/// A fence token. It increases with each change of authority over a pool.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FenceToken(pub u64);

/// The action that an order requests from an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum OrderAction {
    /// Refuse new work and complete the work in progress.
    Drain,
    /// Accept new work again.
    Resume,
    /// Change the role. Accepted only while no work is in progress.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Replace the loaded model version with another one. Accepted only while no work is in
    /// progress.
    LoadModel {
        /// The name of the model.
        model: ModelName,
        /// The version of the model.
        version: String,
    },
    /// Load an adapter in addition to those already loaded.
    LoadAdapter {
        /// The name of the adapter.
        adapter: String,
    },
}

/// An order with a fence token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The identifier of the order. Repeating an order with the same identifier has no further
    /// effect.
    pub order_id: String,
    /// The fence token of the sender's authority over the pool.
    pub fence_token: FenceToken,
    /// The incarnation that the sender observed. An engine that has restarted since then refuses
    /// the order.
    pub incarnation: Incarnation,
    /// The requested action.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum OrderReply {
    /// The engine has started the order, now or earlier under the same identifier.
    Accepted,
    /// Refused: a higher token has been received.
    StaleToken {
        /// The highest token received.
        highest: FenceToken,
    },
    /// Refused: another order is being carried out.
    Busy {
        /// The identifier of that order.
        order_id: String,
    },
    /// Refused: requests are in progress.
    WorkInProgress {
        /// The number of requests in progress.
        requests: u32,
    },
    /// Refused: the engine has restarted since the sender observed its incarnation.
    WrongIncarnation {
        /// The current incarnation.
        incarnation: Incarnation,
    },
}

/// A request to raise the engine's fence token, after which orders with a lower token are refused.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Seal {
    /// The token of the new holder of the authority.
    pub fence_token: FenceToken,
}

/// The control state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The name of the engine.
    pub engine: EngineName,
    /// The incarnation. It increases with each restart of the engine.
    pub incarnation: Incarnation,
    /// The current role. While an order changes the role, this is the previous one.
    pub role: Role,
    /// The loaded model.
    pub model: ModelName,
    /// The version of the loaded model.
    pub version: String,
    /// The loaded adapters.
    pub adapters: Vec<String>,
    /// The highest token received.
    pub fence_token: FenceToken,
    /// Whether new work is refused.
    pub draining: bool,
    /// The identifier of the order being carried out.
    pub active_order: Option<String>,
    /// The identifier of the last order that was completed.
    pub last_order: Option<String>,
    /// The number of requests in progress, including queued requests.
    pub requests: u32,
}

/// The load of an engine as it was `age_ms` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The age of the values, in milliseconds.
    pub age_ms: u64,
    /// The number of requests that are generating or prefilling.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of prompt tokens still to prefill, over all requests.
    pub pending_prefill_tokens: u64,
    /// The used capacity of the KV cache, in tokens.
    pub kv_used_tokens: u64,
    /// The total capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// The number of sequences being decoded.
    pub decoding: u32,
    /// The number of requests whose prompts are not prefilled yet, in the batch or outside it.
    pub waiting: u32,
    /// The free capacity of the batch, in sequences. Negative when requests are queued for the
    /// batch.
    pub free_sequences: i64,
    /// The total number of tokens to prefill of all requests accepted since the start. Decreases
    /// only at a restart.
    pub accepted_prompt_tokens: u64,
    /// The current role.
    pub role: Role,
    /// Whether new work is accepted: the engine is neither draining nor carrying out a change.
    pub accepts_work: bool,
}

/// The answer of an engine that refused work without starting it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Always true. Distinguishes this body from other errors.
    pub refused: bool,
    /// The human-readable reason.
    pub reason: String,
}

/// The kind of a change of a block in an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number. It increases by one with each event of an incarnation. A gap means that
    /// events were lost.
    pub sequence: u64,
    /// The kind of change.
    pub kind: CacheEventKind,
    /// The hash of the block, which also covers everything before the block.
    pub block: u64,
}

/// Cache events in order of their sequence numbers. They may be late and may have gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The incarnation that the events belong to. The cache of a new incarnation is initially
    /// empty.
    pub incarnation: Incarnation,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// A request for a handle to the KV cache of a completion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The identifier of the completion request, which must have generated a token at this engine.
    pub request_id: String,
}

/// A handle to an exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// The identifier of the cache at the engine that exported it.
    pub handle: String,
    /// The incarnation that exported the cache. The handle is valid only during this incarnation.
    pub incarnation: Incarnation,
    /// The number of tokens in the cache.
    pub tokens: u32,
}

/// A request to fetch a KV cache from another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImport {
    /// The address of the exporting engine.
    pub source: SocketAddr,
    /// The handle of the cache at the exporting engine.
    pub handle: KvHandle,
}

/// The answer to an import that has completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImported {
    /// The number of imported tokens.
    pub tokens: u32,
}

/// The blocks that one engine sends to another for a handle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlocks {
    /// The incarnation that sends the blocks.
    pub incarnation: Incarnation,
    /// The hashes of the cache's blocks, in order from the first block.
    pub blocks: Vec<u64>,
}
