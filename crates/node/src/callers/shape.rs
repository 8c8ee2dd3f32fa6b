//! JSON exchanged with callers: requests and answers in the format of language-model clients.

use serde::{Deserialize, Serialize};
use tansyhall_core::ModelName;
use tansyhall_engine::protocol::{EngineChunk, Priority, Prompt};

/// Number of tokens generated if the caller sets no maximum.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// A completion request from a caller. Fields that the system does not use are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct CallerRequest {
    /// The model.
    pub model: ModelName,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Prompt to complete.
    #[serde(flatten)]
    pub prompt: Prompt,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Overrides the priority of the class.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// Text of one choice, in the field that the kind of answer requires.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum ChoiceText<'a> {
    Text(&'a str),
    Delta(MessageText<'a>),
    Message(MessageText<'a>),
}

#[derive(Debug, Serialize)]
struct MessageText<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    text: ChoiceText<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct AnswerBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    tansyhall_verdict: Option<&'static str>,
}

/// Encodes the answers to one request.
#[derive(Debug, Clone)]
pub struct AnswerEncoder {
    /// The request's identifier.
    pub id: String,
    /// Requested model.
    pub model: ModelName,
    /// Whether the request is a chat completion.
    pub chat: bool,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
}

const ASSISTANT_ROLE: &str = "assistant";

impl AnswerEncoder {
    fn usage(&self, completion_tokens: u32) -> Usage {
        let total_tokens = self.prompt_tokens.saturating_add(completion_tokens);
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens,
        }
    }

    /// Returns one event of a streamed answer.
    pub fn event(&self, chunk: &EngineChunk) -> Result<String, serde_json::Error> {
        let is_last = chunk.finish_reason.is_some();
        let message = MessageText {
            role: ASSISTANT_ROLE,
            content: &chunk.text,
        };
        let text = if self.chat {
            ChoiceText::Delta(message)
        } else {
            ChoiceText::Text(&chunk.text)
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let usage = is_last.then(|| self.usage(chunk.token_index.saturating_add(chunk.tokens)));
        let verdict = is_last.then_some("completed");
        let finish_reason = chunk.finish_reason.as_deref();
        let body = self.body(object, text, finish_reason, usage, verdict);
        let json = serde_json::to_string(&body)?;
        let done = if is_last { "data: [DONE]\n\n" } else { "" };
        Ok(format!("data: {json}\n\n{done}"))
    }

    /// Returns the complete answer.
    pub fn complete_answer(
        &self,
        text: &str,
        completion_tokens: u32,
        finish_reason: &str,
    ) -> Result<String, serde_json::Error> {
        let message = MessageText {
            role: ASSISTANT_ROLE,
            content: text,
        };
        let text_in_choice = if self.chat {
            ChoiceText::Message(message)
        } else {
            ChoiceText::Text(text)
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let usage = Some(self.usage(completion_tokens));
        let body = self.body(
            object,
            text_in_choice,
            Some(finish_reason),
            usage,
            Some("completed"),
        );
        serde_json::to_string(&body)
    }

    fn body<'a>(
        &'a self,
        object: &'static str,
        text: ChoiceText<'a>,
        finish_reason: Option<&'a str>,
        usage: Option<Usage>,
        tansyhall_verdict: Option<&'static str>,
    ) -> AnswerBody<'a> {
        AnswerBody {
            id: &self.id,
            object,
            model: self.model.as_str(),
            choices: [Choice {
                index: 0,
                text,
                finish_reason,
            }],
            usage,
            tansyhall_verdict,
        }
    }
}
