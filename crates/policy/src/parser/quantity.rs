//! Parses numbers with units.

use std::time::Duration;

use super::cursor::Cursor;
use crate::ast::NumberFact;
use crate::diagnostic::Diagnostic;
use crate::lexer::Token;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
/// Units of time, in milliseconds.
const TIME_UNITS: [(&str, u64); 3] = [
    ("ms", 1),
    ("s", MILLIS_PER_SECOND),
    ("m", MILLIS_PER_MINUTE),
];
/// Units of size, in bytes.
const SIZE_UNITS: [(&str, u64); 3] = [("B", 1), ("KB", 1_000), ("MB", 1_000_000)];
const MAX_PERCENT: u64 = 100;

impl Cursor {
    /// Parses a duration, such as `250ms`, `4s` or `10m`.
    pub(super) fn duration(&mut self) -> Result<Duration, Diagnostic> {
        self.number_with_unit(&TIME_UNITS)
            .map(Duration::from_millis)
    }

    /// Parses the constant that a number fact is compared with, in the unit of the fact.
    pub(super) fn quantity(&mut self, fact: NumberFact) -> Result<u64, Diagnostic> {
        match fact {
            NumberFact::BodySize => self.number_with_unit(&SIZE_UNITS),
            NumberFact::PromptTokens | NumberFact::OutputTokens => self.token_count(),
        }
    }

    /// Parses a percentage from 0 to 100.
    pub(super) fn percent(&mut self) -> Result<u8, Diagnostic> {
        let span = self.span();
        let number = self.number()?;
        self.expect(&Token::Percent, "'%'")?;
        match u8::try_from(number) {
            Ok(percent) if number <= MAX_PERCENT => Ok(percent),
            _ => Err(Diagnostic::new(
                span,
                "the percentage is too large",
                "0% to 100%",
            )),
        }
    }

    /// Parses a number of tokens; the unit is optional.
    fn token_count(&mut self) -> Result<u64, Diagnostic> {
        let number = self.number()?;
        if self.consume_word("tokens") {
            return Ok(number);
        }
        let other_units = TIME_UNITS.iter().chain(&SIZE_UNITS).map(|(name, _)| *name);
        let found = match self.peek() {
            Some(Token::Word(word)) => word.as_str(),
            Some(Token::Percent) => "%",
            _ => return Ok(number),
        };
        if found == "%" || other_units.into_iter().any(|unit| unit == found) {
            let message = format!("the unit '{found}' does not fit a number of tokens");
            return Err(self.diagnostic(&message, "'tokens' or no unit"));
        }
        Ok(number)
    }

    fn number_with_unit(&mut self, units: &[(&str, u64)]) -> Result<u64, Diagnostic> {
        let span = self.span();
        let number = self.number()?;
        let factor = self.expect_one_of(units)?;
        let product = number.checked_mul(factor);
        product.ok_or_else(|| Diagnostic::new(span, "the number is too large", "a smaller number"))
    }
}
