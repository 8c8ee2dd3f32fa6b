//! Errors in programs, with a position, what was expected, and a hint.

use std::fmt;
use std::ops::Range;

use ariadne::{Config, IndexType, Label, Report, ReportKind, Source};

/// An error in a program or a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Byte range of the error in the source.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
    /// What was expected instead.
    pub expected: String,
    /// A likely correction.
    pub hint: Option<String>,
}

impl Diagnostic {
    /// Creates a diagnostic without a hint.
    pub fn new(
        span: Range<usize>,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            span,
            message: message.into(),
            expected: expected.into(),
            hint: None,
        }
    }

    /// Adds a hint that suggests `word`, if there is one.
    pub fn did_you_mean(mut self, word: Option<&str>) -> Self {
        self.hint = word.map(|word| format!("did you mean '{word}'?"));
        self
    }

    /// Renders the diagnostic with the affected lines of `source`; `name` is the name of the
    /// source.
    pub fn render(&self, name: &str, source: &str) -> String {
        let label = Label::new((name, self.span.clone()))
            .with_message(format!("expected {}", self.expected));
        let config = Config::default()
            .with_color(false)
            .with_index_type(IndexType::Byte);
        let mut report = Report::build(ReportKind::Error, (name, self.span.clone()))
            .with_config(config)
            .with_message(&self.message)
            .with_label(label);
        if let Some(hint) = &self.hint {
            report = report.with_help(hint);
        }
        let mut text = Vec::new();
        let written = report
            .finish()
            .write((name, Source::from(source)), &mut text);
        match written {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(_) => self.to_string(),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (expected {})", self.message, self.expected)?;
        match &self.hint {
            Some(hint) => write!(f, "; {hint}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Diagnostic {}
