//! Numbers with units.

use std::time::Duration;

use super::cursor::Cursor;
use crate::ast::NumberFact;
use crate::diagnostic::Diagnostic;
use crate::lexer::Token;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
/// Milliseconds of each unit of time.
const TIME_UNITS: [(&str, u64); 3] = [
    ("ms", 1),
    ("s", MILLIS_PER_SECOND),
    ("m", MILLIS_PER_MINUTE),
];
/// Bytes of each unit of size.
const SIZE_UNITS: [(&str, u64); 3] = [("B", 1), ("KB", 1_000), ("MB", 1_000_000)];
const MAX_PERCENT: u64 = 100;

impl Cursor {
    /// A time, such as `250ms`, `4s` or `10m`.
    pub(super) fn duration(&mut self) -> Result<Duration, Diagnostic> {
        self.scaled(&TIME_UNITS).map(Duration::from_millis)
    }

    /// The constant that a number fact is compared with, in the fact's own unit.
    pub(super) fn quantity(&mut self, fact: NumberFact) -> Result<u64, Diagnostic> {
        match fact {
            NumberFact::BodySize => self.scaled(&SIZE_UNITS),
            NumberFact::PromptTokens | NumberFact::OutputTokens => self.tokens(),
        }
    }

    /// A percentage from 0 to 100.
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

    /// A number of tokens; the unit may be left out.
    fn tokens(&mut self) -> Result<u64, Diagnostic> {
        let number = self.number()?;
        if self.take_word("tokens") {
            return Ok(number);
        }
        let other_unit = TIME_UNITS.iter().chain(&SIZE_UNITS).map(|(name, _)| *name);
        let found = match self.peek() {
            Some(Token::Word(word)) => word.as_str(),
            Some(Token::Percent) => "%",
            _ => return Ok(number),
        };
        if found == "%" || other_unit.into_iter().any(|unit| unit == found) {
            let message = format!("the unit '{found}' does not fit a number of tokens");
            return Err(self.fault(&message, "'tokens' or no unit"));
        }
        Ok(number)
    }

    fn scaled(&mut self, units: &[(&str, u64)]) -> Result<u64, Diagnostic> {
        let span = self.span();
        let number = self.number()?;
        let factor = self.choose(units)?;
        let product = number.checked_mul(factor);
        product.ok_or_else(|| Diagnostic::new(span, "the number is too large", "a smaller number"))
    }
}
