//! The syntax tree of a policy program.

use std::ops::Range;
use std::time::Duration;

use tansyhall_core::Role;

/// A name with its position; two names are equal if their text is.
#[derive(Debug, Clone, Eq)]
pub struct Name {
    /// The name.
    pub text: String,
    /// Byte range in the source.
    pub span: Range<usize>,
}

impl Name {
    /// A name without a position.
    pub fn new(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            span: 0..0,
        }
    }
}

impl PartialEq for Name {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

/// A whole program.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PolicyAst {
    /// Classes, in order; the first whose condition holds applies.
    pub classes: Vec<ClassAst>,
    /// Limits of tenants.
    pub tenants: Vec<TenantAst>,
    /// Bounds of pools.
    pub pools: Vec<PoolAst>,
}

/// One request class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassAst {
    /// The class's name.
    pub name: Name,
    /// When it applies; always, if absent.
    pub condition: Option<Condition>,
    /// What it sets.
    pub settings: Vec<ClassSetting>,
}

/// A boolean expression over request facts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// One comparison.
    Test(Comparison),
    /// The condition does not hold.
    Not(Box<Condition>),
    /// Both conditions hold.
    And(Box<Condition>, Box<Condition>),
    /// At least one condition holds.
    Or(Box<Condition>, Box<Condition>),
}

/// A comparison of one request fact with a constant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Comparison {
    /// A number against a constant.
    Number {
        /// The fact.
        fact: NumberFact,
        /// The comparison.
        operator: NumberOperator,
        /// The constant, in tokens or bytes.
        value: u64,
    },
    /// A text against a constant; a fact that the request lacks is an empty text.
    Text {
        /// The fact.
        fact: TextFact,
        /// The comparison.
        operator: TextOperator,
        /// The constant, with its position.
        value: Name,
    },
    /// The request has a header.
    HeaderPresent(String),
}

/// A fact that is a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NumberFact {
    /// Estimated tokens of the prompt.
    PromptTokens,
    /// Most tokens of the answer that the caller asked for.
    OutputTokens,
    /// Bytes of the request's body.
    BodySize,
}

/// A fact that is a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TextFact {
    /// The service's name.
    Service,
    /// The request's path.
    Path,
    /// The tenant's name.
    Tenant,
    /// The model's name.
    Model,
    /// A header's value, by the header's name in lower case.
    Header(String),
}

/// How numbers are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NumberOperator {
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `==`
    Equal,
    /// `!=`
    NotEqual,
}

/// How texts are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextOperator {
    /// `==`
    Equal,
    /// `!=`
    NotEqual,
    /// `starts-with`
    StartsWith,
}

/// One setting of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClassSetting {
    /// Time from arrival to the whole answer.
    Deadline(Duration),
    /// Queue order.
    Priority(PriorityName),
    /// The request runs at most once.
    NotRepeatable,
    /// Zones to use before others, the first one first.
    Prefer(Vec<Name>),
    /// Zones to use when no preferred one can serve.
    Fallback(FallbackAst),
    /// Model versions with their shares of the requests.
    Versions(Vec<ShareAst>),
    /// Adapters with their shares of the requests.
    Adapters(Vec<ShareAst>),
}

/// Where requests may go when no preferred zone can serve them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FallbackAst {
    /// Anywhere.
    Any,
    /// Nowhere.
    None,
    /// To these zones, in this order.
    Zones(Vec<Name>),
}

/// A version or adapter with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareAst {
    /// The version or adapter.
    pub name: Name,
    /// Percent of the requests.
    pub percent: u8,
}

/// A priority by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PriorityName {
    /// A person is waiting at a counter.
    Interactive,
    /// The default.
    Standard,
    /// Nobody waits.
    Batch,
}

impl PriorityName {
    /// Every priority by its name in programs.
    pub const NAMES: [(&'static str, PriorityName); 3] = [
        ("interactive", PriorityName::Interactive),
        ("standard", PriorityName::Standard),
        ("batch", PriorityName::Batch),
    ];
}

/// Limits of one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantAst {
    /// The tenant.
    pub name: Name,
    /// Its limits.
    pub limits: Vec<TenantLimit>,
}

/// One limit of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenantLimit {
    /// Requests in a second.
    RequestsPerSecond(u64),
    /// Prompt and output tokens in a second.
    TokensPerSecond(u64),
    /// Requests in progress at once.
    Concurrent(u64),
}

/// Bounds of one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolAst {
    /// The pool.
    pub name: Name,
    /// Its bounds.
    pub settings: Vec<PoolSetting>,
}

/// What a bound counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BoundSubject {
    /// Engines in a role.
    Role(Role),
    /// Engines that load a model.
    Model(Name),
}

/// One bound of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolSetting {
    /// At least this many engines.
    Least(BoundSubject, u64),
    /// At most this many engines.
    Most(BoundSubject, u64),
    /// At most so many role and model changes in any window of this length.
    Changes(u64, Duration),
    /// Least gain in goodput, in percent, for which an engine is taken out of service.
    ChangeWorth(u8),
}
