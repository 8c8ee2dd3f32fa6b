//! Tokens of the policy language.

use logos::Logos;

/// A token; numbers keep their unit as a separate word token.
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
    /// `;`
    #[token(";")]
    Semicolon,
    /// `>`
    #[token(">")]
    Greater,
    /// `<`
    #[token("<")]
    Less,
    /// `==`
    #[token("==")]
    Equal,
}
