//! The facts of a request that conditions can test.

use std::fmt;

use crate::ast::NumberFact;

/// The headers of a request.
pub trait Headers: fmt::Debug {
    /// Returns the value of a header by its name in lower case; `None` if it is absent or not text.
    fn get(&self, name: &str) -> Option<&str>;
}

/// A request without headers.
#[derive(Debug, Clone, Copy)]
pub struct NoHeaders;

impl Headers for NoHeaders {
    fn get(&self, _name: &str) -> Option<&str> {
        None
    }
}

impl Headers for Vec<(String, String)> {
    fn get(&self, name: &str) -> Option<&str> {
        let matches = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.iter().find(matches).map(|(_, value)| value.as_str())
    }
}

/// The facts of a request that conditions can test. Create it with [`RequestFacts::new`] and set
/// further facts with struct update syntax; facts that do not apply stay empty.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'a> {
    /// The request's path.
    pub path: &'a str,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens that the caller requested.
    pub output_tokens: u64,
    /// Size of the body in bytes.
    pub body_bytes: u64,
    /// The service's name.
    pub service: &'a str,
    /// The tenant's name.
    pub tenant: &'a str,
    /// The model's name.
    pub model: &'a str,
    /// The headers.
    pub headers: &'a dyn Headers,
}

impl<'a> RequestFacts<'a> {
    /// Creates the facts of a request of which only the path and the prompt's size are known.
    pub const fn new(path: &'a str, prompt_tokens: u64) -> Self {
        Self {
            path,
            prompt_tokens,
            output_tokens: 0,
            body_bytes: 0,
            service: "",
            tenant: "",
            model: "",
            headers: &NoHeaders,
        }
    }

    pub(crate) fn number(&self, fact: NumberFact) -> u64 {
        match fact {
            NumberFact::PromptTokens => self.prompt_tokens,
            NumberFact::OutputTokens => self.output_tokens,
            NumberFact::BodySize => self.body_bytes,
        }
    }
}

impl Default for RequestFacts<'_> {
    fn default() -> Self {
        Self::new("", 0)
    }
}
