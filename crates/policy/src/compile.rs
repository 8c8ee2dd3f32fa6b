//! The compiler: translates all conditions to one table of branches.
//!
//! Classes are compiled from the last to the first, and each branch after the branches that it may
//! jump to. Every jump therefore goes to a smaller index, so that evaluation ends after at most as
//! many tests as the program has comparisons.

use tansyhall_core::{ModelName, PoolName, TenantName, ZoneName};

use crate::ast::{
    ClassAst, ClassSetting, Comparison, Condition, EngineSelectorAst, FallbackAst, Name, PolicyAst,
    PoolAst, PoolSetting, ShareAst, TenantAst, TenantLimit,
};
use crate::branch::{is_negated, lower_comparison, table_index, Branch, Target};
use crate::check::check;
use crate::class::{
    ChangeBudget, Class, EngineBound, EngineSelector, Fallback, PoolBounds, Route, Share,
    TenantLimits,
};
use crate::diagnostic::Diagnostic;
use crate::parser::parse;
use crate::program::{Origin, Program};
use crate::reference;

/// Parses, checks and compiles a program; returns the first error.
pub fn compile(source: &str) -> Result<Program, Diagnostic> {
    compile_all(source).map_err(|mut diagnostics| diagnostics.swap_remove(0))
}

/// Parses, checks and compiles a program. A program that does not parse has one error; for a
/// program that parses, all rule violations are returned.
pub fn compile_all(source: &str) -> Result<Program, Vec<Diagnostic>> {
    let policy = parse(source).map_err(|diagnostic| vec![diagnostic])?;
    let diagnostics = check(&policy);
    if diagnostics.is_empty() {
        Ok(generate(&policy))
    } else {
        Err(diagnostics)
    }
}

fn generate(policy: &PolicyAst) -> Program {
    let mut program = Program::default();
    for class in policy.classes.iter().rev() {
        let index = table_index(program.classes.len());
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
    if_true: Target,
    if_false: Target,
) -> Target {
    match condition {
        Condition::Test(comparison) => {
            compile_comparison(program, comparison, class, if_true, if_false)
        }
        Condition::Not(inner) => compile_condition(program, inner, class, if_false, if_true),
        Condition::And(left, right) => {
            let right_target = compile_condition(program, right, class, if_true, if_false);
            compile_condition(program, left, class, right_target, if_false)
        }
        Condition::Or(left, right) => {
            let right_target = compile_condition(program, right, class, if_true, if_false);
            compile_condition(program, left, class, if_true, right_target)
        }
    }
}

fn compile_comparison(
    program: &mut Program,
    comparison: &Comparison,
    class: u16,
    if_true: Target,
    if_false: Target,
) -> Target {
    let (if_true, if_false) = match is_negated(comparison) {
        true => (if_false, if_true),
        false => (if_true, if_false),
    };
    let index = table_index(program.branches.len());
    let test = lower_comparison(comparison, &mut program.literals);
    program.branches.push(Branch {
        test,
        if_true,
        if_false,
    });
    program.origins.push(Origin {
        comparison: comparison.clone(),
        class,
    });
    Target::Branch(index)
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
            PoolSetting::Least(selector, least) => bound_mut(&mut bounds, selector).least = *least,
            PoolSetting::Most(selector, most) => {
                bound_mut(&mut bounds, selector).most = Some(*most)
            }
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

fn bound_mut<'a>(bounds: &'a mut PoolBounds, selector: &EngineSelectorAst) -> &'a mut EngineBound {
    let selector = match selector {
        EngineSelectorAst::Role(role) => EngineSelector::Role(*role),
        EngineSelectorAst::Model(model) => {
            EngineSelector::Model(ModelName::new(model.text.as_str()))
        }
    };
    let existing = bounds
        .engines
        .iter()
        .position(|bound| bound.selector == selector);
    let index = existing.unwrap_or_else(|| {
        bounds.engines.push(EngineBound {
            selector,
            least: 0,
            most: None,
        });
        bounds.engines.len() - 1
    });
    &mut bounds.engines[index]
}
