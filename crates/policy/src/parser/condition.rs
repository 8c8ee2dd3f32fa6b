//! Parses conditions. `or` has the lowest precedence, then `and`, then `not`.

use super::cursor::Cursor;
use super::{MAX_COMPARISONS, MAX_DEPTH, MAX_HEADER_COMPARISONS};
use crate::ast::{Comparison, Condition, NumberFact, NumberOperator, TextFact, TextOperator};
use crate::diagnostic::Diagnostic;
use crate::lexer::Token;

/// The left-hand side of a comparison.
#[derive(Clone)]
enum Subject {
    Number(NumberFact),
    Text(TextFact),
    Header,
}

const SUBJECTS: [(&str, Subject); 8] = [
    ("prompt_tokens", Subject::Number(NumberFact::PromptTokens)),
    ("output_tokens", Subject::Number(NumberFact::OutputTokens)),
    ("body_size", Subject::Number(NumberFact::BodySize)),
    ("service", Subject::Text(TextFact::Service)),
    ("path", Subject::Text(TextFact::Path)),
    ("tenant", Subject::Text(TextFact::Tenant)),
    ("model", Subject::Text(TextFact::Model)),
    ("header", Subject::Header),
];

impl Cursor {
    pub(super) fn condition(&mut self) -> Result<Condition, Diagnostic> {
        let mut left = self.conjunction()?;
        while self.consume_word("or") {
            let right = self.conjunction()?;
            left = Condition::Or(Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    fn conjunction(&mut self) -> Result<Condition, Diagnostic> {
        let mut left = self.negation()?;
        while self.consume_word("and") {
            let right = self.negation()?;
            left = Condition::And(Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    fn negation(&mut self) -> Result<Condition, Diagnostic> {
        if self.consume_word("not") {
            let inner = self.nested(Self::negation)?;
            return Ok(Condition::Not(Box::new(inner)));
        }
        if self.consume(&Token::OpenParenthesis) {
            let inner = self.nested(Self::condition)?;
            self.expect(&Token::CloseParenthesis, "')', 'and' or 'or'")?;
            return Ok(inner);
        }
        self.comparison().map(Condition::Test)
    }

    fn nested(
        &mut self,
        parse: fn(&mut Self) -> Result<Condition, Diagnostic>,
    ) -> Result<Condition, Diagnostic> {
        if self.depth == MAX_DEPTH {
            let expected = format!("at most {MAX_DEPTH} levels of parentheses and 'not'");
            return Err(self.diagnostic("the condition is nested too deeply", &expected));
        }
        self.depth += 1;
        let inner = parse(self);
        self.depth -= 1;
        inner
    }

    fn comparison(&mut self) -> Result<Comparison, Diagnostic> {
        self.check_count(self.comparisons, MAX_COMPARISONS, "comparisons")?;
        self.comparisons += 1;
        match self.expect_one_of(&SUBJECTS)? {
            Subject::Number(fact) => {
                let operator = self.number_operator()?;
                let value = self.quantity(fact)?;
                Ok(Comparison::Number {
                    fact,
                    operator,
                    value,
                })
            }
            Subject::Text(fact) => self.text_comparison(fact),
            Subject::Header => self.header_comparison(),
        }
    }

    fn header_comparison(&mut self) -> Result<Comparison, Diagnostic> {
        self.check_count(
            self.header_comparisons,
            MAX_HEADER_COMPARISONS,
            "comparisons of headers",
        )?;
        self.header_comparisons += 1;
        let name = self.text("a quoted header name")?.text.to_ascii_lowercase();
        if self.consume_word("present") {
            return Ok(Comparison::HeaderPresent(name));
        }
        self.text_comparison(TextFact::Header(name))
    }

    fn text_comparison(&mut self, fact: TextFact) -> Result<Comparison, Diagnostic> {
        let operator = self.text_operator()?;
        let value = self.text("a quoted text")?;
        Ok(Comparison::Text {
            fact,
            operator,
            value,
        })
    }

    fn number_operator(&mut self) -> Result<NumberOperator, Diagnostic> {
        let operator = match self.peek() {
            Some(Token::Less) => NumberOperator::Less,
            Some(Token::LessOrEqual) => NumberOperator::LessOrEqual,
            Some(Token::Greater) => NumberOperator::Greater,
            Some(Token::GreaterOrEqual) => NumberOperator::GreaterOrEqual,
            Some(Token::Equal) => NumberOperator::Equal,
            Some(Token::NotEqual) => NumberOperator::NotEqual,
            _ => return Err(self.unexpected("one of < <= > >= == !=")),
        };
        self.next();
        Ok(operator)
    }

    fn text_operator(&mut self) -> Result<TextOperator, Diagnostic> {
        let operator = match self.peek() {
            Some(Token::Equal) => TextOperator::Equal,
            Some(Token::NotEqual) => TextOperator::NotEqual,
            Some(Token::Word(_)) => {
                return self.expect_one_of(&[("starts-with", TextOperator::StartsWith)])
            }
            _ => return Err(self.unexpected("one of == != starts-with")),
        };
        self.next();
        Ok(operator)
    }
}
