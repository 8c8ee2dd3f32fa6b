//! Wire types of the engine protocol, documented in `docs/protocols/engine.md`.
//!
//! Work travels in the OpenAI completion shape with a few added fields; control travels as JSON
//! under `/control`. Every order carries a fence token, an order identifier and the incarnation it
//! is meant for, so that an engine can refuse what is stale without asking anyone.

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
/// Path of the engine's cache events: `?after=N` asks for those with larger sequence numbers.
pub const CACHE_EVENTS_PATH: &str = "/control/cache-events";
/// Path that exports a request's KV cache.
pub const KV_EXPORT_PATH: &str = "/control/kv/export";
/// Path that imports a KV cache from another engine.
pub const KV_IMPORT_PATH: &str = "/control/kv/import";
/// Prefix of the path at which engines fetch exported KV caches: `GET {KV_PATH}/{handle}`.
pub const KV_PATH: &str = "/control/kv/blocks";
/// Prefix of the path that cancels one request: `DELETE {REQUESTS_PATH}/{id}`.
pub const REQUESTS_PATH: &str = "/v1/requests";
/// Last data line of a stream.
pub const STREAM_DONE: &str = "[DONE]";

/// Orders requests in an engine's queue; lower runs first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person is waiting at a counter.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Nobody waits; runs when there is room.
    Batch,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The message's text.
    pub content: String,
}

/// What a completion starts from.
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
        /// The conversation so far.
        messages: Vec<ChatMessage>,
    },
}

impl Prompt {
    /// The path that serves this kind of prompt.
    pub fn path(&self) -> &'static str {
        match self {
            Prompt::Text { .. } => COMPLETIONS_PATH,
            Prompt::Chat { .. } => CHAT_COMPLETIONS_PATH,
        }
    }

    /// The text the engine reads, with chat messages joined by line breaks.
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

/// Estimates the tokens of a prompt as its whitespace-separated words.
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// A completion request to an engine; the answer is always a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The request's identifier; each chunk of the answer repeats it.
    pub request_id: String,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// What to complete.
    #[serde(flatten)]
    pub prompt: Prompt,
    /// Most tokens to generate, counting those before `resume_after`.
    pub max_tokens: u32,
    /// Always true: engines answer the system in streams only.
    pub stream: bool,
    /// Queue order within the engine.
    #[serde(default)]
    pub priority: Priority,
    /// Generated tokens that the caller already has; the answer starts after them.
    #[serde(default)]
    pub resume_after: u32,
}

/// One chunk of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChunk {
    /// The request this chunk belongs to.
    pub id: String,
    /// Index of the chunk's first token in the whole answer, from zero.
    pub token_index: u32,
    /// Tokens in this chunk.
    pub tokens: u32,
    /// The generated text.
    pub text: String,
    /// Why generation ended; absent until the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
    /// Prompt tokens served from the prefix cache; on the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<u32>,
}

/// A fence token: grows with each change of authority over a pool.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FenceToken(pub u64);

/// What an order asks an engine to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum OrderAction {
    /// Refuse new work and let work in progress end.
    Drain,
    /// Accept new work again.
    Resume,
    /// Change role; accepted only with no work in progress.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Load a model version in place of the current one; accepted only with no work in progress.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
    },
    /// Load an adapter beside those already loaded.
    LoadAdapter {
        /// The adapter's name.
        adapter: String,
    },
}

/// A fenced order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Repeating an order with the same identifier has no further effect.
    pub order_id: String,
    /// The sender's authority.
    pub fence_token: FenceToken,
    /// The incarnation the sender observed; an engine that restarted since refuses.
    pub incarnation: Incarnation,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum OrderReply {
    /// Begun now or before under the same identifier.
    Accepted,
    /// Refused: a higher token has been seen.
    StaleToken {
        /// The highest token seen.
        highest: FenceToken,
    },
    /// Refused: another order is being carried out.
    Busy {
        /// That order.
        order_id: String,
    },
    /// Refused: requests are in progress.
    WorkInProgress {
        /// How many.
        requests: u32,
    },
    /// Refused: the engine restarted since the sender looked.
    WrongIncarnation {
        /// The present incarnation.
        incarnation: Incarnation,
    },
}

/// Raises the engine's fence token.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Seal {
    /// The new holder's token.
    pub fence_token: FenceToken,
}

/// An engine's control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's name.
    pub engine: EngineName,
    /// Grows with each restart of the engine.
    pub incarnation: Incarnation,
    /// The role in force, or the one being left while an order is carried out.
    pub role: Role,
    /// The loaded model.
    pub model: ModelName,
    /// The loaded model's version.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// The highest token seen.
    pub fence_token: FenceToken,
    /// Whether new work is refused.
    pub draining: bool,
    /// The order being carried out.
    pub active_order: Option<String>,
    /// The last order that was carried out to its end.
    pub last_order: Option<String>,
    /// Requests in progress, queued ones included.
    pub requests: u32,
}

/// An engine's load, as of `age_ms` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// Requests generating or prefilling.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Prompt tokens still to prefill, over all requests.
    pub pending_prefill_tokens: u64,
    /// KV cache tokens in use.
    pub kv_used_tokens: u64,
    /// KV cache tokens in all.
    pub kv_capacity_tokens: u64,
    /// Sequences being decoded.
    pub decoding: u32,
    /// Requests whose prompts are not prefilled yet, in the batch or outside it.
    pub waiting: u32,
    /// Room in the batch, in sequences; negative when requests queue for it.
    pub free_sequences: i64,
    /// Tokens to prefill of all requests accepted since the start; falls only at a restart.
    pub accepted_prompt_tokens: u64,
    /// The role in force.
    pub role: Role,
    /// Whether new work is accepted: the engine neither drains nor changes.
    pub accepts_work: bool,
}

/// Why an engine refused work that it did not begin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Always true, to tell this body from other errors.
    pub refused: bool,
    /// The reason, for people.
    pub reason: String,
}

/// What happened to a block of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The block is held from now on.
    Stored,
    /// The block is no longer held.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event of an incarnation; a gap means that events were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block's hash, which covers everything before the block.
    pub block: u64,
}

/// Cache events in order of their sequence numbers; they may be late and have gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The incarnation they belong to; a new one holds nothing of what an earlier one held.
    pub incarnation: Incarnation,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Asks for a handle to a request's KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The request, which has generated a token at this engine.
    pub request_id: String,
}

/// A handle to an exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Names the cache at the engine that exported it.
    pub handle: String,
    /// The incarnation that exported it; the handle ends with it.
    pub incarnation: Incarnation,
    /// Tokens in the cache.
    pub tokens: u32,
}

/// Orders a KV cache to be fetched from another engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImport {
    /// The exporting engine.
    pub source: SocketAddr,
    /// Its handle.
    pub handle: KvHandle,
}

/// The answer to an import that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImported {
    /// Tokens imported.
    pub tokens: u32,
}

/// What one engine hands to another for a handle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlocks {
    /// The incarnation that hands it over.
    pub incarnation: Incarnation,
    /// The cache's blocks, by hash, from the first on.
    pub blocks: Vec<u64>,
}
