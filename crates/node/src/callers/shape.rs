//! The callers' JSON: requests and answers in the shape that language-model clients speak.

use serde::{Deserialize, Serialize};
use tansyhall_core::ModelName;
use tansyhall_engine::protocol::{EngineChunk, Priority, Prompt};

/// Tokens generated when the caller names no number.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// A completion request from a caller; fields that the system does not use are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct CallerRequest {
    /// The model.
    pub model: ModelName,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// What to complete.
    #[serde(flatten)]
    pub prompt: Prompt,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to answer in a stream.
    #[serde(default)]
    pub stream: bool,
    /// Overrides the class's priority.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

/// The text of one choice, in the field its kind of answer calls for.
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

/// Writes answers to one request.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The request's identifier.
    pub id: String,
    /// The model asked for.
    pub model: ModelName,
    /// Whether the request was a chat.
    pub chat: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
}

const ASSISTANT: &str = "assistant";

impl Shape {
    fn usage(&self, completion_tokens: u32) -> Usage {
        let total_tokens = self.prompt_tokens.saturating_add(completion_tokens);
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
            total_tokens,
        }
    }

    /// One event of a streamed answer.
    pub fn event(&self, chunk: &EngineChunk) -> Result<String, serde_json::Error> {
        let last = chunk.finish_reason.is_some();
        let message = MessageText {
            role: ASSISTANT,
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
        let usage = last.then(|| self.usage(chunk.token_index.saturating_add(chunk.tokens)));
        let verdict = last.then_some("completed");
        let finish_reason = chunk.finish_reason.as_deref();
        let body = self.body(object, text, finish_reason, usage, verdict);
        let json = serde_json::to_string(&body)?;
        let done = if last { "data: [DONE]\n\n" } else { "" };
        Ok(format!("data: {json}\n\n{done}"))
    }

    /// The whole answer at once.
    pub fn whole(
        &self,
        text: &str,
        completion_tokens: u32,
        finish_reason: &str,
    ) -> Result<String, serde_json::Error> {
        let message = MessageText {
            role: ASSISTANT,
            content: text,
        };
        let choice = if self.chat {
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
            choice,
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
