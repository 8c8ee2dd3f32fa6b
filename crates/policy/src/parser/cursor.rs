//! The parser's position in the tokens, and the errors reported at that position.

use std::ops::Range;

use crate::ast::Name;
use crate::diagnostic::Diagnostic;
use crate::lexer::Token;
use crate::suggest::nearest;

/// A position in the tokens of a program.
pub(super) struct Cursor {
    tokens: Vec<(Token, Range<usize>)>,
    position: usize,
    end: usize,
    /// Comparisons parsed so far.
    pub(super) comparisons: usize,
    /// Comparisons of headers parsed so far.
    pub(super) header_comparisons: usize,
    /// Current nesting depth of conditions.
    pub(super) depth: usize,
}

impl Cursor {
    pub(super) fn new(tokens: Vec<(Token, Range<usize>)>, end: usize) -> Self {
        Self {
            tokens,
            position: 0,
            end,
            comparisons: 0,
            header_comparisons: 0,
            depth: 0,
        }
    }

    pub(super) fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.position).map(|(token, _)| token)
    }

    pub(super) fn next(&mut self) -> Option<Token> {
        let token = self.peek().cloned();
        self.position += 1;
        token
    }

    /// Consumes the next token if it equals `token`; returns whether it did.
    pub(super) fn consume(&mut self, token: &Token) -> bool {
        let found = self.peek() == Some(token);
        if found {
            self.position += 1;
        }
        found
    }

    /// Consumes the next token if it is this word; returns whether it did.
    pub(super) fn consume_word(&mut self, word: &str) -> bool {
        let found = matches!(self.peek(), Some(Token::Word(found)) if found == word);
        if found {
            self.position += 1;
        }
        found
    }

    /// Consumes the next token, which must equal `token`.
    pub(super) fn expect(&mut self, token: &Token, expected: &str) -> Result<(), Diagnostic> {
        if self.consume(token) {
            return Ok(());
        }
        Err(self.unexpected(expected))
    }

    /// Consumes the next token, which must be this word.
    pub(super) fn expect_word(&mut self, word: &str) -> Result<(), Diagnostic> {
        self.expect_one_of(&[(word, ())])
    }

    /// Consumes the next token, which must be one of several words, and returns the word's value.
    pub(super) fn expect_one_of<T: Clone>(
        &mut self,
        choices: &[(&str, T)],
    ) -> Result<T, Diagnostic> {
        let names = || choices.iter().map(|(name, _)| *name);
        let found = match self.peek() {
            Some(Token::Word(word)) => word.clone(),
            _ => return Err(self.unexpected(&alternatives(names()))),
        };
        let choice = choices.iter().find(|(name, _)| *name == found);
        match choice {
            Some((_, value)) => {
                self.position += 1;
                Ok(value.clone())
            }
            None => {
                let message = format!("unknown word '{found}'");
                let diagnostic = self.diagnostic(&message, &alternatives(names()));
                Err(diagnostic.did_you_mean(nearest(&found, names())))
            }
        }
    }

    /// Consumes a name: a word or a quoted text.
    pub(super) fn name(&mut self, expected: &str) -> Result<Name, Diagnostic> {
        let span = self.span();
        match self.peek() {
            Some(Token::Word(text) | Token::Text(text)) => {
                let text = text.clone();
                self.position += 1;
                Ok(Name { text, span })
            }
            _ => Err(self.unexpected(expected)),
        }
    }

    /// Consumes a quoted text.
    pub(super) fn text(&mut self, expected: &str) -> Result<Name, Diagnostic> {
        match self.peek() {
            Some(Token::Text(_)) => self.name(expected),
            _ => Err(self.unexpected(expected)),
        }
    }

    /// Consumes a whole number.
    pub(super) fn number(&mut self) -> Result<u64, Diagnostic> {
        match self.peek() {
            Some(Token::Number(number)) => {
                let number = *number;
                self.position += 1;
                Ok(number)
            }
            _ => Err(self.unexpected("a whole number")),
        }
    }

    /// Returns the byte range of the next token.
    pub(super) fn span(&self) -> Range<usize> {
        let next = self.tokens.get(self.position);
        next.map_or(self.end..self.end, |(_, span)| span.clone())
    }

    /// Creates a diagnostic at the next token.
    pub(super) fn diagnostic(&self, message: &str, expected: &str) -> Diagnostic {
        Diagnostic::new(self.span(), message, expected)
    }

    /// Returns an error if a program has `count` items already and may have at most `max`.
    pub(super) fn check_count(
        &self,
        count: usize,
        max: usize,
        what: &str,
    ) -> Result<(), Diagnostic> {
        if count < max {
            return Ok(());
        }
        Err(self.diagnostic(&format!("too many {what}"), &format!("at most {max}")))
    }

    /// Creates a diagnostic for a next token that the grammar does not allow.
    pub(super) fn unexpected(&self, expected: &str) -> Diagnostic {
        let message = match self.peek() {
            Some(_) => "unexpected text",
            None => "the program ends too early",
        };
        self.diagnostic(message, expected)
    }
}

fn alternatives<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let quoted: Vec<String> = names.map(|name| format!("'{name}'")).collect();
    quoted.join(" or ")
}
