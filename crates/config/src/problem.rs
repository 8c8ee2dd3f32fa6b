//! Violations of the configuration rules.

use std::fmt;
use std::ops::Range;

use serde::Serialize;

use crate::resource::ResourceKey;

/// One broken rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, utoipa::ToSchema)]
pub struct Problem {
    /// The resource that breaks it.
    pub resource: ResourceKey,
    /// The field.
    pub field: &'static str,
    /// The value that is refused.
    pub value: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed.
    pub allowed: String,
    /// A likely correction.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hint: Option<String>,
    /// Byte range within a policy's source.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<Object>)]
    pub span: Option<Range<usize>>,
}

impl Problem {
    /// Creates a problem without a hint or a position.
    pub fn new(
        resource: ResourceKey,
        field: &'static str,
        value: impl fmt::Display,
        message: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            resource,
            field,
            value: value.to_string(),
            message: message.into(),
            allowed: allowed.into(),
            hint: None,
            span: None,
        }
    }

    /// Adds a hint with the existing name nearest to the rejected value, if one is near enough to
    /// be a likely correction.
    pub fn did_you_mean<'a>(mut self, names: impl IntoIterator<Item = &'a str>) -> Self {
        let nearest = tansyhall_policy::suggest::nearest(&self.value, names);
        self.hint = nearest.map(|name| format!("did you mean '{name}'?"));
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} = {:?}: ", self.resource, self.field, self.value)?;
        write!(f, "{} (allowed: {})", self.message, self.allowed)?;
        match &self.hint {
            Some(hint) => write!(f, "; {hint}"),
            None => Ok(()),
        }
    }
}

/// The error for an inconsistent configuration, with every rule violation found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", join_problems(.0))]
pub struct ConfigurationError(pub Vec<Problem>);

fn join_problems(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}
