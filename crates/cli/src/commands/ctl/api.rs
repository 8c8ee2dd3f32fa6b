//! A client of a node's administration API.

use std::process::ExitCode;
use std::time::Duration;

use awc::http::{header, Method, StatusCode};
use serde_json::Value;

/// Timeout of a call. It is longer than the time for which a node waits for the platform and then reads the result back.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Exit code of a change that the node refuses as invalid.
const EXIT_REFUSED: u8 = 2;
/// Exit code of a change that conflicts with another operator's change, or with a resource in use.
const EXIT_CONFLICT: u8 = 3;
/// Exit code of a change whose outcome is unknown: it may have been made.
const EXIT_UNKNOWN: u8 = 4;

/// A client of one node's administration API.
pub struct Api {
    /// The node's administration address.
    pub node: String,
    /// The bearer token.
    pub token: String,
}

/// One call to the administration API.
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: &'a str,
    /// The entity tag that the resource must still have.
    pub if_match: Option<String>,
    /// The body.
    pub body: String,
}

impl<'a> Call<'a> {
    /// Creates a call that reads a path.
    pub fn get(path: &'a str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a call without a body.
    pub fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            if_match: None,
            body: String::new(),
        }
    }
}

/// A successful answer.
pub struct Answer {
    /// The body.
    pub value: Value,
    /// The entity tag, if there is one.
    pub entity_tag: Option<String>,
}

/// Why a call did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The node did not answer.
    #[error("no answer from {node}: {cause}{}", change_warning(.may_change))]
    NoAnswer {
        /// The node.
        node: String,
        /// What went wrong.
        cause: String,
        /// Whether the call requested a change.
        may_change: bool,
    },
    /// The node refused the call.
    #[error("{status}: {}", describe_refusal(.body))]
    Refused {
        /// The status.
        status: StatusCode,
        /// The body.
        body: Value,
    },
}

fn change_warning(may_change: &bool) -> &'static str {
    if *may_change {
        "; the change may have been made, check with ctl diff"
    } else {
        ""
    }
}

/// Returns the message of a refusal with its problems and the current state of the resource, if the node sent them.
fn describe_refusal(body: &Value) -> String {
    let error = &body["error"];
    let mut text = match error["message"].as_str() {
        Some(message) => message.to_owned(),
        None => body.to_string(),
    };
    for problem in error["problems"].as_array().into_iter().flatten() {
        let field = |name: &str| problem[name].as_str().unwrap_or("");
        let resource = &problem["resource"];
        text += &format!(
            "\n  {}/{}: {} = {:?}: {} (allowed: {}) {}",
            resource["kind"].as_str().unwrap_or(""),
            resource["name"].as_str().unwrap_or(""),
            field("field"),
            field("value"),
            field("message"),
            field("allowed"),
            field("hint"),
        );
    }
    if !body["present"].is_null() {
        let revision = &body["present_revision"];
        text += &format!(
            "\ncurrent state, at revision {revision}:\n{:#}",
            body["present"]
        );
    }
    text
}

impl CallError {
    /// Returns the exit code for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CallError::NoAnswer {
                may_change: true, ..
            } => ExitCode::from(EXIT_UNKNOWN),
            CallError::NoAnswer {
                may_change: false, ..
            } => ExitCode::FAILURE,
            CallError::Refused { status, .. } => match *status {
                StatusCode::PRECONDITION_FAILED
                | StatusCode::PRECONDITION_REQUIRED
                | StatusCode::CONFLICT => ExitCode::from(EXIT_CONFLICT),
                StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
                    ExitCode::from(EXIT_REFUSED)
                }
                StatusCode::GATEWAY_TIMEOUT => ExitCode::from(EXIT_UNKNOWN),
                _ => ExitCode::FAILURE,
            },
        }
    }
}

impl Api {
    /// Makes a call and returns its answer, or an error if there is none or its status is not a success.
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let may_change = call.method != Method::GET;
        let no_answer = |cause: String| CallError::NoAnswer {
            node: self.node.clone(),
            cause,
            may_change,
        };
        let url = format!("http://{}{}", self.node, call.path);
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let mut request = client.request(call.method, url).bearer_auth(&self.token);
        if let Some(tag) = call.if_match {
            request = request.insert_header((header::IF_MATCH, tag));
        }
        let sent = request.send_body(call.body).await;
        let mut response = sent.map_err(|error| no_answer(error.to_string()))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| no_answer(error.to_string()))?;
        let value = serde_json::from_slice(&body)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned()));
        let status = response.status();
        if !status.is_success() {
            let body = value;
            return Err(CallError::Refused { status, body });
        }
        let tag = response.headers().get(header::ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        Ok(Answer {
            value,
            entity_tag: tag,
        })
    }

    /// Reads a path and returns the answer's body.
    pub async fn read(&self, path: &str) -> Result<Value, CallError> {
        self.call(Call::get(path)).await.map(|answer| answer.value)
    }
}
