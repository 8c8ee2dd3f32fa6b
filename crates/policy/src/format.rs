//! The formatter: writes each syntax tree as its one canonical text.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::ast::{
    ClassAst, ClassPriority, ClassSetting, Comparison, Condition, EngineSelectorAst, FallbackAst,
    Name, NumberFact, NumberOperator, PolicyAst, PoolAst, PoolSetting, ShareAst, TenantAst,
    TenantLimit, TextFact, TextOperator,
};
use crate::diagnostic::Diagnostic;
use crate::lexer::is_word;
use crate::parser::parse;

const MILLIS_PER_SECOND: u128 = 1_000;
const MILLIS_PER_MINUTE: u128 = 60 * MILLIS_PER_SECOND;

/// Returns the canonical text of a program. Comments are not preserved.
pub fn format(source: &str) -> Result<String, Diagnostic> {
    parse(source).map(|policy| policy.to_string())
}

impl Display for PolicyAst {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.classes
            .iter()
            .try_for_each(|class| write!(f, "{class}"))?;
        self.tenants
            .iter()
            .try_for_each(|tenant| write!(f, "{tenant}"))?;
        self.pools.iter().try_for_each(|pool| write!(f, "{pool}"))
    }
}

fn write_block<T: Display>(f: &mut Formatter<'_>, settings: &[T]) -> fmt::Result {
    writeln!(f, " {{")?;
    settings
        .iter()
        .try_for_each(|setting| writeln!(f, "    {setting};"))?;
    writeln!(f, "}}")
}

fn write_list<T: Display>(f: &mut Formatter<'_>, items: &[T]) -> fmt::Result {
    for (index, item) in items.iter().enumerate() {
        let separator = if index == 0 { "" } else { ", " };
        write!(f, "{separator}{item}")?;
    }
    Ok(())
}

impl Display for Name {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if is_word(&self.text) {
            f.write_str(&self.text)
        } else {
            write!(f, "\"{}\"", self.text)
        }
    }
}

impl Display for ClassAst {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "class {}", self.name)?;
        if let Some(condition) = &self.condition {
            write!(f, " when {condition}")?;
        }
        write_block(f, &self.settings)
    }
}

impl Condition {
    /// Operator precedence: `or` 0, `and` 1, everything else 2.
    const fn precedence(&self) -> u8 {
        match self {
            Condition::Or(..) => 0,
            Condition::And(..) => 1,
            Condition::Not(_) | Condition::Test(_) => 2,
        }
    }

    fn write_operand(&self, f: &mut Formatter<'_>, min_precedence: u8) -> fmt::Result {
        if self.precedence() < min_precedence {
            write!(f, "({self})")
        } else {
            write!(f, "{self}")
        }
    }
}

impl Display for Condition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Condition::Test(comparison) => write!(f, "{comparison}"),
            Condition::Not(inner) => {
                f.write_str("not ")?;
                inner.write_operand(f, 2)
            }
            Condition::And(left, right) => {
                left.write_operand(f, 1)?;
                f.write_str(" and ")?;
                right.write_operand(f, 2)
            }
            Condition::Or(left, right) => {
                left.write_operand(f, 0)?;
                f.write_str(" or ")?;
                right.write_operand(f, 1)
            }
        }
    }
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Comparison::Number {
                fact,
                operator,
                value,
            } => write!(f, "{fact} {operator} {}", QuantityLiteral(*fact, *value)),
            Comparison::Text {
                fact,
                operator,
                value,
            } => write!(f, "{fact} {operator} \"{}\"", value.text),
            Comparison::HeaderPresent(name) => write!(f, "header \"{name}\" present"),
        }
    }
}

struct QuantityLiteral(NumberFact, u64);

impl Display for QuantityLiteral {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        const SIZE_UNITS: [(u64, &str); 2] = [(1_000_000, "MB"), (1_000, "KB")];
        let Self(fact, value) = self;
        if *fact != NumberFact::BodySize {
            return write!(f, "{value} tokens");
        }
        for (size, unit) in SIZE_UNITS {
            if *value > 0 && value % size == 0 {
                return write!(f, "{} {unit}", value / size);
            }
        }
        write!(f, "{value} B")
    }
}

impl Display for NumberFact {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NumberFact::PromptTokens => "prompt_tokens",
            NumberFact::OutputTokens => "output_tokens",
            NumberFact::BodySize => "body_size",
        })
    }
}

impl Display for TextFact {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            TextFact::Service => f.write_str("service"),
            TextFact::Path => f.write_str("path"),
            TextFact::Tenant => f.write_str("tenant"),
            TextFact::Model => f.write_str("model"),
            TextFact::Header(name) => write!(f, "header \"{name}\""),
        }
    }
}

impl Display for NumberOperator {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NumberOperator::Less => "<",
            NumberOperator::LessOrEqual => "<=",
            NumberOperator::Greater => ">",
            NumberOperator::GreaterOrEqual => ">=",
            NumberOperator::Equal => "==",
            NumberOperator::NotEqual => "!=",
        })
    }
}

impl Display for TextOperator {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TextOperator::Equal => "==",
            TextOperator::NotEqual => "!=",
            TextOperator::StartsWith => "starts-with",
        })
    }
}

impl Display for ClassSetting {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ClassSetting::Deadline(deadline) => {
                write!(f, "deadline {}", DurationLiteral(*deadline))
            }
            ClassSetting::Priority(priority) => write!(f, "priority {}", priority.name()),
            ClassSetting::NotRepeatable => f.write_str("not-repeatable"),
            ClassSetting::Prefer(zones) => {
                f.write_str("prefer zone ")?;
                write_list(f, zones)
            }
            ClassSetting::Fallback(FallbackAst::Any) => f.write_str("fallback any"),
            ClassSetting::Fallback(FallbackAst::None) => f.write_str("fallback none"),
            ClassSetting::Fallback(FallbackAst::Zones(zones)) => {
                f.write_str("fallback zone ")?;
                write_list(f, zones)
            }
            ClassSetting::Versions(shares) => {
                f.write_str("versions ")?;
                write_list(f, shares)
            }
            ClassSetting::Adapters(shares) => {
                f.write_str("adapters ")?;
                write_list(f, shares)
            }
        }
    }
}

impl ClassPriority {
    /// Returns the priority's name in programs.
    pub const fn name(self) -> &'static str {
        match self {
            ClassPriority::Interactive => "interactive",
            ClassPriority::Standard => "standard",
            ClassPriority::Batch => "batch",
        }
    }
}

struct DurationLiteral(Duration);

impl Display for DurationLiteral {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        if millis > 0 && millis % MILLIS_PER_MINUTE == 0 {
            write!(f, "{}m", millis / MILLIS_PER_MINUTE)
        } else if millis % MILLIS_PER_SECOND == 0 {
            write!(f, "{}s", millis / MILLIS_PER_SECOND)
        } else {
            write!(f, "{millis}ms")
        }
    }
}

impl Display for ShareAst {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}%", self.name, self.percent)
    }
}

impl Display for TenantAst {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "tenant {}", self.name)?;
        write_block(f, &self.limits)
    }
}

impl Display for TenantLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            TenantLimit::RequestsPerSecond(number) => write!(f, "limit {number} requests per s"),
            TenantLimit::TokensPerSecond(number) => write!(f, "limit {number} tokens per s"),
            TenantLimit::Concurrent(number) => write!(f, "limit {number} concurrent"),
        }
    }
}

impl Display for PoolAst {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "pool {}", self.name)?;
        write_block(f, &self.settings)
    }
}

impl Display for EngineSelectorAst {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            EngineSelectorAst::Role(role) => f.write_str(role.name()),
            EngineSelectorAst::Model(model) => write!(f, "model {model}"),
        }
    }
}

impl Display for PoolSetting {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            PoolSetting::Least(selector, number) => write!(f, "least {selector} {number}"),
            PoolSetting::Most(selector, number) => write!(f, "most {selector} {number}"),
            PoolSetting::Changes(changes, window) => {
                write!(f, "changes {changes} per {}", DurationLiteral(*window))
            }
            PoolSetting::ChangeWorth(percent) => write!(f, "change-worth {percent}%"),
        }
    }
}
