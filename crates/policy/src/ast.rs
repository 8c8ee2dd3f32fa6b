//! The syntax tree of a policy program.

use std::ops::Range;
use std::time::Duration;

use tansyhall_core::Role;

/// A name with its position. Equality ignores the position.
#[derive(Debug, Clone, Eq)]
pub struct Name {
    /// The name's text.
    pub text: String,
    /// Byte range in the source.
    pub span: Range<usize>,
}

impl Name {
    /// Creates a name without a position.
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

/// A complete program.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PolicyAst {
    /// Classes in source order; the first one whose condition holds applies.
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
    /// The condition under which the class applies; a class without one always applies.
    pub condition: Option<Condition>,
    /// The settings of the class.
    pub settings: Vec<ClassSetting>,
}

/// A boolean expression over facts of a request.
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
    /// Compares a number with a constant.
    Number {
        /// The fact.
        fact: NumberFact,
        /// The comparison.
        operator: NumberOperator,
        /// The constant, in tokens or bytes.
        value: u64,
    },
    /// Compares a text with a constant; a fact that is absent from the request is an empty text.
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
    /// Maximum number of answer tokens that the caller requested.
    OutputTokens,
    /// Size of the request body in bytes.
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
    /// Maximum time from the request's arrival to the complete answer.
    Deadline(Duration),
    /// Priority in the queue.
    Priority(ClassPriority),
    /// The request must run at most once.
    NotRepeatable,
    /// Preferred zones in order of preference.
    Prefer(Vec<Name>),
    /// Zones to use when no preferred zone can serve the request.
    Fallback(FallbackAst),
    /// Model versions with their shares of the requests.
    Versions(Vec<ShareAst>),
    /// Adapters with their shares of the requests.
    Adapters(Vec<ShareAst>),
}

/// Where requests may be routed when no preferred zone can serve them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FallbackAst {
    /// To any zone.
    Any,
    /// To no other zone.
    None,
    /// To these zones, in this order.
    Zones(Vec<Name>),
}

/// A version or adapter with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareAst {
    /// The version or adapter.
    pub name: Name,
    /// Share of the requests in percent.
    pub percent: u8,
}

/// The priority that a class gives to its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassPriority {
    /// A person waits for the answer.
    Interactive,
    /// The default.
    Standard,
    /// Nobody waits for the answer.
    Batch,
}

impl ClassPriority {
    /// All priorities by their names in programs.
    pub const NAMES: [(&'static str, ClassPriority); 3] = [
        ("interactive", ClassPriority::Interactive),
        ("standard", ClassPriority::Standard),
        ("batch", ClassPriority::Batch),
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
    /// Maximum requests per second.
    RequestsPerSecond(u64),
    /// Maximum prompt and output tokens per second.
    TokensPerSecond(u64),
    /// Maximum number of concurrent requests.
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

/// The engines that a bound counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineSelectorAst {
    /// Engines with this role.
    Role(Role),
    /// Engines that load this model.
    Model(Name),
}

/// One bound of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolSetting {
    /// At least this many engines.
    Least(EngineSelectorAst, u64),
    /// At most this many engines.
    Most(EngineSelectorAst, u64),
    /// At most this many role and model changes in any window of this length.
    Changes(u64, Duration),
    /// Minimum gain in goodput, in percent, that justifies taking an engine out of service for a
    /// change.
    ChangeWorth(u8),
}
