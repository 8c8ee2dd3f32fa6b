//! Compiled programs and their evaluation.

use std::collections::BTreeMap;
use std::sync::Arc;

use tansyhall_core::{PoolName, TenantName};

use crate::ast::Comparison;
use crate::branch::{is_negated, Literals, Step, Target};
use crate::class::{Class, PoolBounds, TenantLimits, DEFAULT_CLASS};
use crate::facts::RequestFacts;
use crate::reference::Reference;

/// Where a test stands in the program, for explanations.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub(crate) comparison: Comparison,
    pub(crate) class: u16,
}

/// A compiled program.
#[derive(Debug, Clone)]
pub struct Program {
    pub(crate) steps: Vec<Step>,
    /// One for each step.
    pub(crate) origins: Vec<Origin>,
    pub(crate) literals: Literals,
    /// The default class first.
    pub(crate) classes: Vec<Class>,
    pub(crate) entry: Target,
    pub(crate) tenants: BTreeMap<TenantName, TenantLimits>,
    pub(crate) pools: BTreeMap<PoolName, PoolBounds>,
    pub(crate) references: Vec<Reference>,
}

impl Default for Program {
    fn default() -> Self {
        Self {
            steps: Vec::new(),
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

/// The most that one evaluation can cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Classes, without the default one.
    pub classes: usize,
    /// Most comparisons for one request.
    pub comparisons: usize,
}

/// Why a request is in its class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The class.
    pub class: Class,
    /// The tests made, in order.
    pub tests: Vec<EvaluatedTest>,
}

/// One test with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvaluatedTest {
    /// The class whose condition holds the test.
    pub class: Arc<str>,
    /// The test as in the program.
    pub test: String,
    /// Whether it held.
    pub held: bool,
}

impl Program {
    /// The class of a request. Does not allocate; the time is bounded by [`Program::cost`].
    pub fn classify(&self, facts: &RequestFacts<'_>) -> &Class {
        self.evaluate(facts, |_, _| ())
    }

    /// The class of a request, with the tests that led to it.
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
                Target::Step(index) => index,
            };
            let step = &self.steps[usize::from(index)];
            let outcome = step.test.holds(facts, &self.literals);
            observe(index, outcome);
            target = if outcome { step.holds } else { step.fails };
        }
    }

    /// The most that one evaluation can cost.
    pub fn cost(&self) -> Cost {
        Cost {
            classes: self.classes.len() - 1,
            comparisons: self.steps.len(),
        }
    }

    /// Limits of tenants that the program sets.
    pub fn tenants(&self) -> &BTreeMap<TenantName, TenantLimits> {
        &self.tenants
    }

    /// Bounds of pools that the program sets.
    pub fn pools(&self) -> &BTreeMap<PoolName, PoolBounds> {
        &self.pools
    }

    /// Names that must exist in the configuration.
    pub fn references(&self) -> &[Reference] {
        &self.references
    }
}
