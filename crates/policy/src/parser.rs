//! A recursive-descent parser with positions in its errors.

use std::ops::Range;
use std::time::Duration;

use logos::Logos;

use crate::ast::{ClassAst, Condition, PolicyAst, PriorityName, Setting};
use crate::lexer::Token;

/// Most classes a program may have; bounds the cost of evaluation.
pub const MAX_CLASSES: usize = 64;

/// A fault in a program.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message} (expected {expected})")]
pub struct Diagnostic {
    /// Byte range of the fault.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub expected: String,
}

/// Parses a program.
pub fn parse(source: &str) -> Result<PolicyAst, Diagnostic> {
    let mut tokens = Vec::new();
    for (token, span) in Token::lexer(source).spanned() {
        let token = token.map_err(|()| Diagnostic {
            span: span.clone(),
            message: format!("unknown text {:?}", &source[span.clone()]),
            expected: "a word, a number, a quoted string or one of { } ; < > ==".into(),
        })?;
        tokens.push((token, span));
    }
    let end = source.len()..source.len();
    Parser {
        tokens,
        position: 0,
        end,
    }
    .policy()
}

struct Parser {
    tokens: Vec<(Token, Range<usize>)>,
    position: usize,
    end: Range<usize>,
}

impl Parser {
    fn policy(mut self) -> Result<PolicyAst, Diagnostic> {
        let mut policy = PolicyAst::default();
        while self.peek().is_some() {
            if policy.classes.len() == MAX_CLASSES {
                return Err(self.fault("too many classes", &format!("at most {MAX_CLASSES}")));
            }
            policy.classes.push(self.class()?);
        }
        Ok(policy)
    }

    fn class(&mut self) -> Result<ClassAst, Diagnostic> {
        self.keyword("class")?;
        let name = self.word("a class name")?;
        let condition = match self.peek() {
            Some(Token::Word(word)) if word == "when" => {
                self.position += 1;
                Some(self.condition()?)
            }
            _ => None,
        };
        self.punctuation(&Token::OpenBrace, "'{'")?;
        let mut settings = Vec::new();
        while self.peek() != Some(&Token::CloseBrace) {
            settings.push(self.setting()?);
            self.punctuation(&Token::Semicolon, "';'")?;
        }
        self.position += 1;
        Ok(ClassAst {
            name,
            condition,
            settings,
        })
    }

    fn condition(&mut self) -> Result<Condition, Diagnostic> {
        const FACTS: &str = "'prompt_tokens' or 'path'";
        match self.word(FACTS)?.as_str() {
            "prompt_tokens" => match self.next() {
                Some(Token::Greater) => Ok(Condition::PromptTokensAbove(self.number()?)),
                Some(Token::Less) => Ok(Condition::PromptTokensBelow(self.number()?)),
                _ => Err(self.fault_before("unknown comparison", "'<' or '>'")),
            },
            "path" => {
                self.punctuation(&Token::Equal, "'=='")?;
                match self.next() {
                    Some(Token::Text(text)) => Ok(Condition::PathIs(text)),
                    _ => Err(self.fault_before("no path", "a quoted string")),
                }
            }
            _ => Err(self.fault_before("unknown fact", FACTS)),
        }
    }

    fn setting(&mut self) -> Result<Setting, Diagnostic> {
        const SETTINGS: &str = "'deadline', 'priority' or 'not-repeatable'";
        match self.word(SETTINGS)?.as_str() {
            "deadline" => self.duration().map(Setting::Deadline),
            "priority" => self.priority().map(Setting::Priority),
            "not-repeatable" => Ok(Setting::NotRepeatable),
            _ => Err(self.fault_before("unknown setting", SETTINGS)),
        }
    }

    fn duration(&mut self) -> Result<Duration, Diagnostic> {
        let number = self.number()?;
        match self.word("'ms' or 's'")?.as_str() {
            "ms" => Ok(Duration::from_millis(number)),
            "s" => Ok(Duration::from_secs(number)),
            _ => Err(self.fault_before("unknown unit", "'ms' or 's'")),
        }
    }

    fn priority(&mut self) -> Result<PriorityName, Diagnostic> {
        const NAMES: &str = "'interactive', 'standard' or 'batch'";
        match self.word(NAMES)?.as_str() {
            "interactive" => Ok(PriorityName::Interactive),
            "standard" => Ok(PriorityName::Standard),
            "batch" => Ok(PriorityName::Batch),
            _ => Err(self.fault_before("unknown priority", NAMES)),
        }
    }

    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.position).map(|(token, _)| token)
    }

    fn next(&mut self) -> Option<Token> {
        let token = self.peek().cloned();
        self.position += 1;
        token
    }

    fn keyword(&mut self, keyword: &str) -> Result<(), Diagnostic> {
        let expected = format!("'{keyword}'");
        match self.next() {
            Some(Token::Word(word)) if word == keyword => Ok(()),
            _ => Err(self.fault_before("unexpected text", &expected)),
        }
    }

    fn word(&mut self, expected: &str) -> Result<String, Diagnostic> {
        match self.next() {
            Some(Token::Word(word)) => Ok(word),
            _ => Err(self.fault_before("unexpected text", expected)),
        }
    }

    fn number(&mut self) -> Result<u64, Diagnostic> {
        match self.next() {
            Some(Token::Number(number)) => Ok(number),
            _ => Err(self.fault_before("unexpected text", "a whole number")),
        }
    }

    fn punctuation(&mut self, token: &Token, expected: &str) -> Result<(), Diagnostic> {
        match self.next() {
            Some(found) if found == *token => Ok(()),
            _ => Err(self.fault_before("unexpected text", expected)),
        }
    }

    fn fault(&self, message: &str, expected: &str) -> Diagnostic {
        self.fault_at(self.position, message, expected)
    }

    /// A fault at the token that was taken last.
    fn fault_before(&self, message: &str, expected: &str) -> Diagnostic {
        self.fault_at(self.position.saturating_sub(1), message, expected)
    }

    fn fault_at(&self, position: usize, message: &str, expected: &str) -> Diagnostic {
        let span = self
            .tokens
            .get(position)
            .map_or(self.end.clone(), |(_, span)| span.clone());
        Diagnostic {
            span,
            message: message.into(),
            expected: expected.into(),
        }
    }
}
