//! Compiled programs and their evaluation.

use std::collections::BTreeMap;
use std::sync::Arc;

use tansyhall_core::{PoolName, TenantName};

use crate::ast::Comparison;
use crate::branch::{is_negated, Branch, Literals, Target};
use crate::class::{Class, PoolBounds, TenantLimits, DEFAULT_CLASS};
use crate::facts::RequestFacts;
use crate::reference::Reference;

/// The comparison and class from which a branch was compiled, for explanations.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub(crate) comparison: Comparison,
    pub(crate) class: u16,
}

/// A compiled program.
#[derive(Debug, Clone)]
pub struct Program {
    pub(crate) branches: Vec<Branch>,
    /// The origin of each branch, in the order of `branches`.
    pub(crate) origins: Vec<Origin>,
    pub(crate) literals: Literals,
    /// All classes, the default class first.
    pub(crate) classes: Vec<Class>,
    pub(crate) entry: Target,
    pub(crate) tenants: BTreeMap<TenantName, TenantLimits>,
    pub(crate) pools: BTreeMap<PoolName, PoolBounds>,
    pub(crate) references: Vec<Reference>,
}

impl Default for Program {
    fn default() -> Self {
        Self {
            branches: Vec::new(),
            origins: Vec::new(),
            literals: Literals::default(),
            classes: vec![Class::new(DEFAULT_CLASS)],
            entry: Target::Class(0),
            tenants: BTreeMap::new(),
            pools: BTreeMap::new(),
            references: Vec::new(),
        }
    }
}

/// Upper bound on the cost of one evaluation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Number of classes, without the default class.
    pub classes: usize,
    /// Maximum number of comparisons for one request.
    pub comparisons: usize,
}

/// Why a request is in its class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The class.
    pub class: Class,
    /// The tests that were evaluated, in order.
    pub tests: Vec<EvaluatedTest>,
}

/// A test with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvaluatedTest {
    /// The class whose condition contains the test.
    pub class: Arc<str>,
    /// The test in the syntax of the policy language.
    pub test: String,
    /// Whether the test held.
    pub held: bool,
}

impl Program {
    /// Returns the class of a request. Does not allocate; its time is bounded by [`Program::cost`].
    pub fn classify(&self, facts: &RequestFacts<'_>) -> &Class {
        self.evaluate(facts, |_, _| ())
    }

    /// Returns the class of a request, with the tests that led to it.
    pub fn explain(&self, facts: &RequestFacts<'_>) -> Explanation {
        let mut tests = Vec::new();
        let class = self.evaluate(facts, |index, outcome| {
            let origin = &self.origins[usize::from(index)];
            tests.push(EvaluatedTest {
                class: Arc::clone(&self.classes[usize::from(origin.class)].name),
                test: origin.comparison.to_string(),
                held: outcome != is_negated(&origin.comparison),
            });
        });
        Explanation {
            class: class.clone(),
            tests,
        }
    }

    fn evaluate(&self, facts: &RequestFacts<'_>, mut observe: impl FnMut(u16, bool)) -> &Class {
        let mut target = self.entry;
        loop {
            let index = match target {
                Target::Class(index) => return &self.classes[usize::from(index)],
                Target::Branch(index) => index,
            };
            let branch = &self.branches[usize::from(index)];
            let outcome = branch.test.evaluate(facts, &self.literals);
            observe(index, outcome);
            target = if outcome {
                branch.if_true
            } else {
                branch.if_false
            };
        }
    }

    /// Returns the upper bound on the cost of one evaluation.
    pub fn cost(&self) -> Cost {
        Cost {
            classes: self.classes.len() - 1,
            comparisons: self.branches.len(),
        }
    }

    /// Returns the tenant limits that the program sets.
    pub fn tenants(&self) -> &BTreeMap<TenantName, TenantLimits> {
        &self.tenants
    }

    /// Returns the pool bounds that the program sets.
    pub fn pools(&self) -> &BTreeMap<PoolName, PoolBounds> {
        &self.pools
    }

    /// Returns the names that must exist in the configuration.
    pub fn references(&self) -> &[Reference] {
        &self.references
    }
}
