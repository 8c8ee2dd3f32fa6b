//! The position in the tokens, and the faults reported there.

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
    /// Comparisons of headers among them.
    pub(super) header_comparisons: usize,
    /// Present nesting of conditions.
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

    /// Takes the next token if it is this one.
    pub(super) fn take(&mut self, token: &Token) -> bool {
        let found = self.peek() == Some(token);
        if found {
            self.position += 1;
        }
        found
    }

    /// Takes the next token if it is this word.
    pub(super) fn take_word(&mut self, word: &str) -> bool {
        let found = matches!(self.peek(), Some(Token::Word(found)) if found == word);
        if found {
            self.position += 1;
        }
        found
    }

    /// Takes a token that must come next.
    pub(super) fn expect(&mut self, token: &Token, expected: &str) -> Result<(), Diagnostic> {
        if self.take(token) {
            return Ok(());
        }
        Err(self.unexpected(expected))
    }

    /// Takes a word that must come next.
    pub(super) fn expect_word(&mut self, word: &str) -> Result<(), Diagnostic> {
        self.choose(&[(word, ())])
    }

    /// Takes one of several words, each with its meaning.
    pub(super) fn choose<T: Clone>(&mut self, choices: &[(&str, T)]) -> Result<T, Diagnostic> {
        let names = || choices.iter().map(|(name, _)| *name);
        let found = match self.peek() {
            Some(Token::Word(word)) => word.clone(),
            _ => return Err(self.unexpected(&alternatives(names()))),
        };
        let meaning = choices.iter().find(|(name, _)| *name == found);
        match meaning {
            Some((_, meaning)) => {
                self.position += 1;
                Ok(meaning.clone())
            }
            None => {
                let message = format!("unknown word '{found}'");
                let fault = self.fault(&message, &alternatives(names()));
                Err(fault.did_you_mean(nearest(&found, names())))
            }
        }
    }

    /// Takes a name: a word, or any quoted text.
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

    /// Takes a quoted text.
    pub(super) fn text(&mut self, expected: &str) -> Result<Name, Diagnostic> {
        match self.peek() {
            Some(Token::Text(_)) => self.name(expected),
            _ => Err(self.unexpected(expected)),
        }
    }

    /// Takes a whole number.
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

    /// The byte range of the next token.
    pub(super) fn span(&self) -> Range<usize> {
        let next = self.tokens.get(self.position);
        next.map_or(self.end..self.end, |(_, span)| span.clone())
    }

    /// A fault at the next token.
    pub(super) fn fault(&self, message: &str, expected: &str) -> Diagnostic {
        Diagnostic::new(self.span(), message, expected)
    }

    /// Refuses one more of something of which a program may have at most `most`.
    pub(super) fn room(&self, present: usize, most: usize, what: &str) -> Result<(), Diagnostic> {
        if present < most {
            return Ok(());
        }
        Err(self.fault(&format!("too many {what}"), &format!("at most {most}")))
    }

    /// The next token is not what the grammar asks for.
    pub(super) fn unexpected(&self, expected: &str) -> Diagnostic {
        let message = match self.peek() {
            Some(_) => "unexpected text",
            None => "the program ends too early",
        };
        self.fault(message, expected)
    }
}

fn alternatives<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let quoted: Vec<String> = names.map(|name| format!("'{name}'")).collect();
    quoted.join(" or ")
}
