//! The lexer of the policy language.

use std::ops::Range;

use logos::Logos;

use crate::diagnostic::Diagnostic;

/// A token. The unit of a number is a separate word token.
#[derive(Logos, Debug, Clone, PartialEq, Eq)]
#[logos(skip r"[ \t\r\n]+")]
#[logos(skip(r"#[^\n]*", allow_greedy = true))]
pub enum Token {
    /// A keyword, name or unit.
    #[regex(r"[A-Za-z_][A-Za-z0-9_.-]*", |lex| lex.slice().to_owned())]
    Word(String),
    /// A whole number.
    #[regex(r"[0-9]+", |lex| lex.slice().parse::<u64>().ok())]
    Number(u64),
    /// A quoted string.
    #[regex(r#""[^"\n]*""#, |lex| lex.slice().trim_matches('"').to_owned())]
    Text(String),
    /// `{`
    #[token("{")]
    OpenBrace,
    /// `}`
    #[token("}")]
    CloseBrace,
    /// `(`
    #[token("(")]
    OpenParenthesis,
    /// `)`
    #[token(")")]
    CloseParenthesis,
    /// `;`
    #[token(";")]
    Semicolon,
    /// `,`
    #[token(",")]
    Comma,
    /// `%`
    #[token("%")]
    Percent,
    /// `>`
    #[token(">")]
    Greater,
    /// `>=`
    #[token(">=")]
    GreaterOrEqual,
    /// `<`
    #[token("<")]
    Less,
    /// `<=`
    #[token("<=")]
    LessOrEqual,
    /// `==`
    #[token("==")]
    Equal,
    /// `!=`
    #[token("!=")]
    NotEqual,
}

/// Returns whether `text` is exactly one [`Token::Word`].
pub fn is_word(text: &str) -> bool {
    let mut characters = text.chars();
    let starts = |c: char| c.is_ascii_alphabetic() || c == '_';
    let continues = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '.' | '-');
    characters.next().is_some_and(starts) && characters.all(continues)
}

/// Splits a source into tokens with their byte ranges.
pub fn tokens(source: &str) -> Result<Vec<(Token, Range<usize>)>, Diagnostic> {
    let spanned = Token::lexer(source).spanned();
    spanned
        .map(|(token, span)| match token {
            Ok(token) => Ok((token, span)),
            Err(()) => Err(invalid_token(source, span)),
        })
        .collect()
}

fn invalid_token(source: &str, span: Range<usize>) -> Diagnostic {
    let text = &source[span.clone()];
    if text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Diagnostic::new(span, "the number is too large", "at most 2^64 - 1");
    }
    if text.starts_with('"') {
        return Diagnostic::new(
            span,
            "the quoted text does not end",
            "'\"' on the same line",
        );
    }
    let expected = "a word, a number, a quoted string or one of { } ( ) ; , % < <= > >= == !=";
    Diagnostic::new(span, format!("unknown text {text:?}"), expected)
}
