//! Errors in TOML files, reported with a position and a hint.

use std::ops::Range;

use tansyhall_policy::suggest::nearest;
use tansyhall_policy::Diagnostic;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

use crate::resource::ResourceKey;

/// Decodes a TOML file. An error has a position and, if one is likely, a suggested correction.
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
    let found = backquoted_words(message).next();
    let found = found.or_else(|| text.get(span.clone())).unwrap_or("");
    let suggestion = nearest(found, backquoted_words(expected));
    Diagnostic::new(span, message, expected).did_you_mean(suggestion)
}

/// Returns the words in backquotes; serde's messages quote field and variant names this way.
fn backquoted_words(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Returns the byte range of a field's value in the text of a resource file, or that of the
/// resource's name if the field is absent.
pub fn locate(text: &str, key: &ResourceKey, field: &str) -> Option<Range<usize>> {
    let document = DeTable::parse(text).ok()?;
    let tables = document
        .get_ref()
        .get(key.kind.name())?
        .get_ref()
        .as_array()?;
    let has_name = |table: &&Spanned<DeValue<'_>>| name_of(table.get_ref()) == Some(&key.name);
    let table = tables.iter().find(has_name)?.get_ref().as_table()?;
    let value = table.get(field).or_else(|| table.get("name"))?;
    Some(value.span())
}

fn name_of<'a>(value: &'a DeValue<'_>) -> Option<&'a str> {
    value.as_table()?.get("name")?.get_ref().as_str()
}
