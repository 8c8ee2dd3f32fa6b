//! The evaluated form of a program: a table of branches, each a test with two jump targets.
//!
//! A number test is an interval, so that one kind of test implements all operators; `!=` is `==`
//! with its targets swapped. Texts are in a separate table, which keeps a branch a few machine
//! words small.

use crate::ast::{Comparison, NumberFact, NumberOperator, TextFact, TextOperator};
use crate::facts::RequestFacts;

/// Where evaluation continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// At the branch with this index, which is smaller than that of the present branch.
    Branch(u16),
    /// Evaluation ends with the class of this index.
    Class(u16),
}

/// A test with its jump targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Branch {
    pub(crate) test: Test,
    pub(crate) if_true: Target,
    pub(crate) if_false: Target,
}

/// A test; texts and header names are indices into the table of literals.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Test {
    /// The number is in the inclusive range.
    Between(NumberFact, u64, u64),
    /// The text equals the literal.
    Equal(TextField, u16),
    /// The text starts with the literal.
    StartsWith(TextField, u16),
    /// The header of this name equals the literal.
    HeaderEqual(u16, u16),
    /// The header of this name starts with the literal.
    HeaderStartsWith(u16, u16),
    /// The request has a header of this name.
    HeaderPresent(u16),
}

/// A text fact other than a header.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TextField {
    Service,
    Path,
    Tenant,
    Model,
}

impl TextField {
    fn value_in<'a>(self, facts: &RequestFacts<'a>) -> &'a str {
        match self {
            TextField::Service => facts.service,
            TextField::Path => facts.path,
            TextField::Tenant => facts.tenant,
            TextField::Model => facts.model,
        }
    }
}

/// The texts and header names that tests use, without duplicates.
#[derive(Debug, Clone, Default)]
pub(crate) struct Literals(Vec<Box<str>>);

impl Literals {
    fn add(&mut self, text: &str) -> u16 {
        let known = self.0.iter().position(|literal| **literal == *text);
        let index = known.unwrap_or_else(|| {
            self.0.push(text.into());
            self.0.len() - 1
        });
        table_index(index)
    }

    fn get(&self, index: u16) -> &str {
        &self.0[usize::from(index)]
    }
}

/// Converts a table length to an index. The parser limits all tables to far less than `u16::MAX`
/// entries, so that the conversion never saturates.
pub(crate) fn table_index(length: usize) -> u16 {
    u16::try_from(length).unwrap_or(u16::MAX)
}

/// Returns whether a comparison is compiled with its jump targets swapped.
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

/// Compiles a comparison to a test, ignoring its negation; see [`is_negated`].
pub(crate) fn lower_comparison(comparison: &Comparison, literals: &mut Literals) -> Test {
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
            let is_prefix = *operator == TextOperator::StartsWith;
            let field = match fact {
                TextFact::Service => TextField::Service,
                TextFact::Path => TextField::Path,
                TextFact::Tenant => TextField::Tenant,
                TextFact::Model => TextField::Model,
                TextFact::Header(name) => {
                    return header_test(literals.add(name), literal, is_prefix)
                }
            };
            if is_prefix {
                Test::StartsWith(field, literal)
            } else {
                Test::Equal(field, literal)
            }
        }
    }
}

fn header_test(name: u16, literal: u16, is_prefix: bool) -> Test {
    if is_prefix {
        Test::HeaderStartsWith(name, literal)
    } else {
        Test::HeaderEqual(name, literal)
    }
}

/// Returns the inclusive range of the numbers that an operator accepts; 1 to 0 if it accepts none.
fn interval(operator: NumberOperator, value: u64) -> (u64, u64) {
    const EMPTY: (u64, u64) = (1, 0);
    match operator {
        NumberOperator::Less => value.checked_sub(1).map_or(EMPTY, |high| (0, high)),
        NumberOperator::LessOrEqual => (0, value),
        NumberOperator::Greater => value.checked_add(1).map_or(EMPTY, |low| (low, u64::MAX)),
        NumberOperator::GreaterOrEqual => (value, u64::MAX),
        NumberOperator::Equal | NumberOperator::NotEqual => (value, value),
    }
}

impl Test {
    /// Returns whether the test holds for a request.
    #[inline]
    pub(crate) fn evaluate(self, facts: &RequestFacts<'_>, literals: &Literals) -> bool {
        let header = |name| facts.headers.get(literals.get(name));
        match self {
            Test::Between(fact, low, high) => (low..=high).contains(&facts.number(fact)),
            Test::Equal(field, literal) => field.value_in(facts) == literals.get(literal),
            Test::StartsWith(field, literal) => {
                field.value_in(facts).starts_with(literals.get(literal))
            }
            Test::HeaderEqual(name, literal) => header(name).unwrap_or("") == literals.get(literal),
            Test::HeaderStartsWith(name, literal) => header(name)
                .unwrap_or("")
                .starts_with(literals.get(literal)),
            Test::HeaderPresent(name) => header(name).is_some(),
        }
    }
}
