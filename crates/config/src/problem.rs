//! Broken rules of a configuration.

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
    /// A problem without hint or position.
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

    /// Adds the nearest of the names that exist, if one is near.
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

/// A configuration that does not hold together.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", list(.0))]
pub struct ConfigurationError(pub Vec<Problem>);

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}
