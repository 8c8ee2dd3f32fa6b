//! Faults in TOML files, with position and hint.

use std::ops::Range;

use tansyhall_policy::suggest::nearest;
use tansyhall_policy::Diagnostic;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

use crate::resource::ResourceKey;

/// Decodes a TOML file.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Diagnostic> {
    toml::from_str(text).map_err(|error| diagnose(text, &error))
}

fn diagnose(text: &str, error: &toml::de::Error) -> Diagnostic {
    let span = error.span().unwrap_or(0..0);
    let (message, expected) = match error.message().split_once(", expected ") {
        Some((message, expected)) => (message, expected),
        None => (
            error.message(),
            "a file as in docs/settings.md or docs/operators/",
        ),
    };
    let found = quoted(message).next();
    let found = found.or_else(|| text.get(span.clone())).unwrap_or("");
    let likely = nearest(found, quoted(expected));
    Diagnostic::new(span, message, expected).did_you_mean(likely)
}

/// The words that stand between backquotes.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Finds a field of a resource in the text of its file; the resource's name if the field is absent.
pub fn locate(text: &str, key: &ResourceKey, field: &str) -> Option<Range<usize>> {
    let document = DeTable::parse(text).ok()?;
    let tables = document
        .get_ref()
        .get(key.kind.name())?
        .get_ref()
        .as_array()?;
    let named = |table: &&Spanned<DeValue<'_>>| name_of(table.get_ref()) == Some(&key.name);
    let table = tables.iter().find(named)?.get_ref().as_table()?;
    let value = table.get(field).or_else(|| table.get("name"))?;
    Some(value.span())
}

fn name_of<'a>(value: &'a DeValue<'_>) -> Option<&'a str> {
    value.as_table()?.get("name")?.get_ref().as_str()
}
