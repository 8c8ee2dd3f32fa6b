//! The form that is evaluated: a table of small tests with jumps.
//!
//! A number test is an interval, so that one shape serves every operator; `!=` is `==` with its
//! jumps exchanged. Texts stand in a separate table, which keeps a step at a few words.

use crate::ast::{Comparison, NumberFact, NumberOperator, TextFact, TextOperator};
use crate::facts::RequestFacts;

/// Where evaluation goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// At a test with a smaller index.
    Step(u16),
    /// Nowhere: the class is found.
    Class(u16),
}

/// One test with its jumps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Step {
    pub(crate) test: Test,
    pub(crate) holds: Target,
    pub(crate) fails: Target,
}

/// A test; texts and header names are indices into the table of literals.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Test {
    /// The number lies between the two, both included.
    Between(NumberFact, u64, u64),
    /// The text equals the literal.
    Equal(PlainText, u16),
    /// The text starts with the literal.
    StartsWith(PlainText, u16),
    /// The header, by name, equals the literal.
    HeaderEqual(u16, u16),
    /// The header, by name, starts with the literal.
    HeaderStartsWith(u16, u16),
    /// The request has the header.
    HeaderPresent(u16),
}

/// A text fact other than a header.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PlainText {
    Service,
    Path,
    Tenant,
    Model,
}

impl PlainText {
    fn of<'a>(self, facts: &RequestFacts<'a>) -> &'a str {
        match self {
            PlainText::Service => facts.service,
            PlainText::Path => facts.path,
            PlainText::Tenant => facts.tenant,
            PlainText::Model => facts.model,
        }
    }
}

/// Texts that the tests compare with.
#[derive(Debug, Clone, Default)]
pub(crate) struct Literals(Vec<Box<str>>);

impl Literals {
    fn add(&mut self, text: &str) -> u16 {
        let known = self.0.iter().position(|literal| **literal == *text);
        let index = known.unwrap_or_else(|| {
            self.0.push(text.into());
            self.0.len() - 1
        });
        index_of(index)
    }

    fn get(&self, index: u16) -> &str {
        &self.0[usize::from(index)]
    }
}

/// The parser bounds every table far below `u16::MAX`.
pub(crate) fn index_of(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}

/// Whether a comparison is compiled with its jumps exchanged.
pub(crate) fn is_negated(comparison: &Comparison) -> bool {
    matches!(
        comparison,
        Comparison::Number {
            operator: NumberOperator::NotEqual,
            ..
        } | Comparison::Text {
            operator: TextOperator::NotEqual,
            ..
        }
    )
}

/// Compiles a comparison, but for its negation.
pub(crate) fn test_of(comparison: &Comparison, literals: &mut Literals) -> Test {
    match comparison {
        Comparison::Number {
            fact,
            operator,
            value,
        } => {
            let (low, high) = interval(*operator, *value);
            Test::Between(*fact, low, high)
        }
        Comparison::HeaderPresent(name) => Test::HeaderPresent(literals.add(name)),
        Comparison::Text {
            fact,
            operator,
            value,
        } => {
            let literal = literals.add(&value.text);
            let prefix = *operator == TextOperator::StartsWith;
            let plain = match fact {
                TextFact::Service => PlainText::Service,
                TextFact::Path => PlainText::Path,
                TextFact::Tenant => PlainText::Tenant,
                TextFact::Model => PlainText::Model,
                TextFact::Header(name) => return header_test(literals.add(name), literal, prefix),
            };
            if prefix {
                Test::StartsWith(plain, literal)
            } else {
                Test::Equal(plain, literal)
            }
        }
    }
}

fn header_test(name: u16, literal: u16, prefix: bool) -> Test {
    if prefix {
        Test::HeaderStartsWith(name, literal)
    } else {
        Test::HeaderEqual(name, literal)
    }
}

/// The numbers that an operator accepts; from 1 to 0 if there are none.
fn interval(operator: NumberOperator, value: u64) -> (u64, u64) {
    const NOTHING: (u64, u64) = (1, 0);
    match operator {
        NumberOperator::Less => value.checked_sub(1).map_or(NOTHING, |most| (0, most)),
        NumberOperator::LessOrEqual => (0, value),
        NumberOperator::Greater => value
            .checked_add(1)
            .map_or(NOTHING, |least| (least, u64::MAX)),
        NumberOperator::GreaterOrEqual => (value, u64::MAX),
        NumberOperator::Equal | NumberOperator::NotEqual => (value, value),
    }
}

impl Test {
    /// Whether the test holds for a request.
    #[inline]
    pub(crate) fn holds(self, facts: &RequestFacts<'_>, literals: &Literals) -> bool {
        let header = |name| facts.headers.get(literals.get(name));
        match self {
            Test::Between(fact, low, high) => (low..=high).contains(&facts.number(fact)),
            Test::Equal(text, literal) => text.of(facts) == literals.get(literal),
            Test::StartsWith(text, literal) => text.of(facts).starts_with(literals.get(literal)),
            Test::HeaderEqual(name, literal) => header(name).unwrap_or("") == literals.get(literal),
            Test::HeaderStartsWith(name, literal) => header(name)
                .unwrap_or("")
                .starts_with(literals.get(literal)),
            Test::HeaderPresent(name) => header(name).is_some(),
        }
    }
}
