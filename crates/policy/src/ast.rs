//! The syntax tree of a policy program.

use std::time::Duration;

/// A whole program.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PolicyAst {
    /// Classes, in order; the first whose condition holds applies.
    pub classes: Vec<ClassAst>,
}

/// One request class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassAst {
    /// The class's name.
    pub name: String,
    /// When it applies; always, if absent.
    pub condition: Option<Condition>,
    /// What it sets.
    pub settings: Vec<Setting>,
}

/// A comparison of one request fact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The prompt has more tokens than this.
    PromptTokensAbove(u64),
    /// The prompt has fewer tokens than this.
    PromptTokensBelow(u64),
    /// The request's path equals this.
    PathIs(String),
}

/// One setting of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setting {
    /// Time from arrival to the whole answer.
    Deadline(Duration),
    /// Queue order.
    Priority(PriorityName),
    /// The request runs at most once.
    NotRepeatable,
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
