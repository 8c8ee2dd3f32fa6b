//! The compiler, and evaluation of compiled programs.

use std::sync::Arc;
use std::time::Duration;

use crate::ast::{ClassAst, Condition, PriorityName, Setting};
use crate::parser::{parse, Diagnostic};

/// Deadline of a class that sets none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Name of the class of requests that match no other.
pub const DEFAULT_CLASS: &str = "default";

/// What a program may ask about a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'a> {
    /// The request's path.
    pub path: &'a str,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
}

/// A request class with every setting resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: Arc<str>,
    /// Time from arrival to the whole answer.
    pub deadline: Duration,
    /// Queue order.
    pub priority: PriorityName,
    /// Whether the request may be attempted again after it may have run.
    pub repeatable: bool,
}

impl Class {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            deadline: DEFAULT_DEADLINE,
            priority: PriorityName::Standard,
            repeatable: true,
        }
    }
}

#[derive(Debug, Clone)]
struct Rule {
    condition: Option<Condition>,
    class: Class,
}

/// A compiled program.
#[derive(Debug, Clone)]
pub struct Program {
    rules: Vec<Rule>,
    fallback: Class,
}

impl Default for Program {
    fn default() -> Self {
        Self {
            rules: Vec::new(),
            fallback: Class::new(DEFAULT_CLASS),
        }
    }
}

/// Parses, checks and compiles a program.
pub fn compile(source: &str) -> Result<Program, Diagnostic> {
    let policy = parse(source)?;
    let rules = policy.classes.into_iter().map(compile_class).collect();
    Ok(Program {
        rules,
        ..Program::default()
    })
}

fn compile_class(ast: ClassAst) -> Rule {
    let mut class = Class::new(&ast.name);
    for setting in ast.settings {
        match setting {
            Setting::Deadline(deadline) => class.deadline = deadline,
            Setting::Priority(priority) => class.priority = priority,
            Setting::NotRepeatable => class.repeatable = false,
        }
    }
    Rule {
        condition: ast.condition,
        class,
    }
}

impl Program {
    /// The class of a request.
    pub fn classify(&self, facts: &RequestFacts<'_>) -> &Class {
        let applies = |rule: &&Rule| rule.condition.as_ref().is_none_or(|c| holds(c, facts));
        self.rules
            .iter()
            .find(applies)
            .map_or(&self.fallback, |rule| &rule.class)
    }
}

fn holds(condition: &Condition, facts: &RequestFacts<'_>) -> bool {
    match condition {
        Condition::PromptTokensAbove(tokens) => facts.prompt_tokens > *tokens,
        Condition::PromptTokensBelow(tokens) => facts.prompt_tokens < *tokens,
        Condition::PathIs(path) => facts.path == path,
    }
}
