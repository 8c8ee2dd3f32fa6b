//! The compiler: conditions become one table of tests with jumps.
//!
//! Classes are compiled from the last to the first, and each test after the tests that it may jump
//! to. Every jump therefore goes to a smaller index, so that evaluation ends after at most as many
//! tests as the program has comparisons.

use tansyhall_core::{ModelName, PoolName, TenantName, ZoneName};

use crate::ast::{
    BoundSubject, ClassAst, ClassSetting, Comparison, Condition, FallbackAst, Name, PolicyAst,
    PoolAst, PoolSetting, ShareAst, TenantAst, TenantLimit,
};
use crate::branch::{index_of, is_negated, test_of, Step, Target};
use crate::check::check;
use crate::class::{
    Bounded, ChangeBudget, Class, EngineBound, Fallback, PoolBounds, Route, Share, TenantLimits,
};
use crate::diagnostic::Diagnostic;
use crate::parser::parse;
use crate::program::{Origin, Program};
use crate::reference;

/// Parses, checks and compiles a program; reports the first fault.
pub fn compile(source: &str) -> Result<Program, Diagnostic> {
    compile_all(source).map_err(|mut faults| faults.swap_remove(0))
}

/// Parses, checks and compiles a program; reports at least one fault, and every broken rule of a
/// program that parses.
pub fn compile_all(source: &str) -> Result<Program, Vec<Diagnostic>> {
    let policy = parse(source).map_err(|fault| vec![fault])?;
    let faults = check(&policy);
    if faults.is_empty() {
        Ok(generate(&policy))
    } else {
        Err(faults)
    }
}

fn generate(policy: &PolicyAst) -> Program {
    let mut program = Program::default();
    for class in policy.classes.iter().rev() {
        let index = index_of(program.classes.len());
        program.classes.push(compile_class(class));
        let matched = Target::Class(index);
        program.entry = match &class.condition {
            None => matched,
            Some(condition) => {
                let otherwise = program.entry;
                compile_condition(&mut program, condition, index, matched, otherwise)
            }
        };
    }
    program.tenants = policy.tenants.iter().map(compile_tenant).collect();
    program.pools = policy.pools.iter().map(compile_pool).collect();
    program.references = reference::collect(policy);
    program
}

fn compile_condition(
    program: &mut Program,
    condition: &Condition,
    class: u16,
    holds: Target,
    fails: Target,
) -> Target {
    match condition {
        Condition::Test(comparison) => compile_test(program, comparison, class, holds, fails),
        Condition::Not(inner) => compile_condition(program, inner, class, fails, holds),
        Condition::And(left, right) => {
            let both = compile_condition(program, right, class, holds, fails);
            compile_condition(program, left, class, both, fails)
        }
        Condition::Or(left, right) => {
            let second = compile_condition(program, right, class, holds, fails);
            compile_condition(program, left, class, holds, second)
        }
    }
}

fn compile_test(
    program: &mut Program,
    comparison: &Comparison,
    class: u16,
    holds: Target,
    fails: Target,
) -> Target {
    let (holds, fails) = match is_negated(comparison) {
        true => (fails, holds),
        false => (holds, fails),
    };
    let index = index_of(program.steps.len());
    let test = test_of(comparison, &mut program.literals);
    program.steps.push(Step { test, holds, fails });
    program.origins.push(Origin {
        comparison: comparison.clone(),
        class,
    });
    Target::Step(index)
}

fn compile_class(ast: &ClassAst) -> Class {
    let mut class = Class::new(&ast.name.text);
    let mut route = Route::default();
    for setting in &ast.settings {
        match setting {
            ClassSetting::Deadline(deadline) => class.deadline = *deadline,
            ClassSetting::Priority(priority) => class.priority = *priority,
            ClassSetting::NotRepeatable => class.repeatable = false,
            ClassSetting::Prefer(zones) => route.prefer = zone_names(zones),
            ClassSetting::Fallback(fallback) => route.fallback = compile_fallback(fallback),
            ClassSetting::Versions(shares) => class.versions = compile_shares(shares),
            ClassSetting::Adapters(shares) => class.adapters = compile_shares(shares),
        }
    }
    class.route = route.into();
    class
}

fn zone_names(zones: &[Name]) -> Vec<ZoneName> {
    zones
        .iter()
        .map(|zone| ZoneName::new(zone.text.as_str()))
        .collect()
}

fn compile_fallback(fallback: &FallbackAst) -> Fallback {
    match fallback {
        FallbackAst::Any => Fallback::Any,
        FallbackAst::None => Fallback::None,
        FallbackAst::Zones(zones) => Fallback::Zones(zone_names(zones)),
    }
}

fn compile_shares(shares: &[ShareAst]) -> std::sync::Arc<[Share]> {
    let share = |share: &ShareAst| Share {
        name: share.name.text.as_str().into(),
        percent: share.percent,
    };
    shares.iter().map(share).collect()
}

fn compile_tenant(ast: &TenantAst) -> (TenantName, TenantLimits) {
    let mut limits = TenantLimits::default();
    for limit in &ast.limits {
        match limit {
            TenantLimit::RequestsPerSecond(number) => limits.requests_per_second = Some(*number),
            TenantLimit::TokensPerSecond(number) => limits.tokens_per_second = Some(*number),
            TenantLimit::Concurrent(number) => limits.concurrent = Some(*number),
        }
    }
    (TenantName::new(ast.name.text.as_str()), limits)
}

fn compile_pool(ast: &PoolAst) -> (PoolName, PoolBounds) {
    let mut bounds = PoolBounds::default();
    for setting in &ast.settings {
        match setting {
            PoolSetting::Least(subject, least) => bound_of(&mut bounds, subject).least = *least,
            PoolSetting::Most(subject, most) => bound_of(&mut bounds, subject).most = Some(*most),
            PoolSetting::Changes(changes, window) => {
                bounds.budget = Some(ChangeBudget {
                    changes: *changes,
                    window: *window,
                });
            }
            PoolSetting::ChangeWorth(percent) => bounds.change_worth_percent = Some(*percent),
        }
    }
    (PoolName::new(ast.name.text.as_str()), bounds)
}

fn bound_of<'a>(bounds: &'a mut PoolBounds, subject: &BoundSubject) -> &'a mut EngineBound {
    let subject = match subject {
        BoundSubject::Role(role) => Bounded::Role(*role),
        BoundSubject::Model(model) => Bounded::Model(ModelName::new(model.text.as_str())),
    };
    let known = bounds
        .engines
        .iter()
        .position(|bound| bound.subject == subject);
    let index = known.unwrap_or_else(|| {
        bounds.engines.push(EngineBound {
            subject,
            least: 0,
            most: None,
        });
        bounds.engines.len() - 1
    });
    &mut bounds.engines[index]
}
