//! Rules beyond the grammar: names are unique, every class is reachable, and values are in
//! range.

use std::collections::HashSet;
use std::mem::{discriminant, Discriminant};
use std::time::Duration;

use tansyhall_core::id::check_name;

use crate::ast::{
    ClassAst, ClassSetting, EngineSelectorAst, FallbackAst, Name, PolicyAst, PoolAst, PoolSetting,
    ShareAst, TenantAst, TenantLimit,
};
use crate::diagnostic::Diagnostic;

/// Maximum deadline of a class.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60 * 60);
/// Minimum and maximum window of a change budget.
pub const CHANGE_WINDOW: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(24 * 60 * 60));
/// Required sum of the shares in one list, in percent.
const TOTAL_PERCENT: u32 = 100;

/// Returns a diagnostic for each rule violation: duplicate names first, then an unreachable class,
/// then the settings of classes, tenants and pools in the order of the program.
pub fn check(policy: &PolicyAst) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_unique(
        "class",
        policy.classes.iter().map(|class| &class.name),
        &mut diagnostics,
    );
    check_unique(
        "tenant",
        policy.tenants.iter().map(|tenant| &tenant.name),
        &mut diagnostics,
    );
    check_unique(
        "pool",
        policy.pools.iter().map(|pool| &pool.name),
        &mut diagnostics,
    );
    check_reachability(policy, &mut diagnostics);
    policy
        .classes
        .iter()
        .for_each(|class| check_class(class, &mut diagnostics));
    policy
        .tenants
        .iter()
        .for_each(|tenant| check_tenant(tenant, &mut diagnostics));
    policy
        .pools
        .iter()
        .for_each(|pool| check_pool(pool, &mut diagnostics));
    diagnostics
}

fn report(diagnostics: &mut Vec<Diagnostic>, at: &Name, message: String, expected: &str) {
    diagnostics.push(Diagnostic::new(at.span.clone(), message, expected));
}

fn check_unique<'a>(
    what: &str,
    names: impl Iterator<Item = &'a Name>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name.text.as_str()) {
            let message = format!("{what} '{}' stands twice", name.text);
            report(diagnostics, name, message, "each name once");
        }
    }
}

fn check_unique_settings<T>(at: &Name, settings: &[T], diagnostics: &mut Vec<Diagnostic>) {
    let kinds: HashSet<Discriminant<T>> = settings.iter().map(discriminant).collect();
    if kinds.len() < settings.len() {
        let message = format!("'{}' has a setting twice", at.text);
        report(diagnostics, at, message, "each setting once");
    }
}

fn check_reachability(policy: &PolicyAst, diagnostics: &mut Vec<Diagnostic>) {
    let catch_all = policy
        .classes
        .iter()
        .position(|class| class.condition.is_none());
    let Some(index) = catch_all else { return };
    if let Some(unreachable) = policy.classes.get(index + 1) {
        let message = format!(
            "class '{}' is never reached: class '{}' takes every request",
            unreachable.name.text, policy.classes[index].name.text
        );
        report(
            diagnostics,
            &unreachable.name,
            message,
            "the class without 'when' last",
        );
    }
}

fn check_class(class: &ClassAst, diagnostics: &mut Vec<Diagnostic>) {
    if let Err(error) = check_name(&class.name.text) {
        report(
            diagnostics,
            &class.name,
            error.to_string(),
            "a class name such as counter",
        );
    }
    check_unique_settings(&class.name, &class.settings, diagnostics);
    for setting in &class.settings {
        match setting {
            ClassSetting::Deadline(deadline) => {
                if deadline.is_zero() || *deadline > MAX_DEADLINE {
                    let message = format!("the deadline {deadline:?} is out of bounds");
                    report(diagnostics, &class.name, message, "1ms to 60m");
                }
            }
            ClassSetting::Prefer(zones) | ClassSetting::Fallback(FallbackAst::Zones(zones)) => {
                check_unique("zone", zones.iter(), diagnostics);
            }
            ClassSetting::Versions(shares) => check_shares("version", shares, diagnostics),
            ClassSetting::Adapters(shares) => check_shares("adapter", shares, diagnostics),
            ClassSetting::Priority(_)
            | ClassSetting::NotRepeatable
            | ClassSetting::Fallback(FallbackAst::Any | FallbackAst::None) => {}
        }
    }
    check_fallback_zones(class, diagnostics);
}

fn check_fallback_zones(class: &ClassAst, diagnostics: &mut Vec<Diagnostic>) {
    let preferred = class.settings.iter().find_map(|setting| match setting {
        ClassSetting::Prefer(zones) => Some(zones),
        _ => None,
    });
    let fallback = class.settings.iter().find_map(|setting| match setting {
        ClassSetting::Fallback(FallbackAst::Zones(zones)) => Some(zones),
        _ => None,
    });
    let (Some(preferred), Some(fallback)) = (preferred, fallback) else {
        return;
    };
    for zone in fallback.iter().filter(|zone| preferred.contains(zone)) {
        let message = format!("zone '{}' is preferred already", zone.text);
        report(diagnostics, zone, message, "another zone");
    }
}

fn check_shares(what: &str, shares: &[ShareAst], diagnostics: &mut Vec<Diagnostic>) {
    check_unique(what, shares.iter().map(|share| &share.name), diagnostics);
    let sum: u32 = shares.iter().map(|share| u32::from(share.percent)).sum();
    if let (true, Some(first)) = (sum != TOTAL_PERCENT, shares.first()) {
        let message = format!("the shares of the {what}s add up to {sum}%");
        report(
            diagnostics,
            &first.name,
            message,
            "shares that add up to 100%",
        );
    }
}

fn check_tenant(tenant: &TenantAst, diagnostics: &mut Vec<Diagnostic>) {
    check_unique_settings(&tenant.name, &tenant.limits, diagnostics);
    for limit in &tenant.limits {
        let (TenantLimit::RequestsPerSecond(number)
        | TenantLimit::TokensPerSecond(number)
        | TenantLimit::Concurrent(number)) = limit;
        if *number == 0 {
            let message = format!("tenant '{}' has a limit of zero", tenant.name.text);
            report(diagnostics, &tenant.name, message, "1 or more");
        }
    }
}

fn check_pool(pool: &PoolAst, diagnostics: &mut Vec<Diagnostic>) {
    let mut unrepeatable = Vec::new();
    for setting in &pool.settings {
        match setting {
            PoolSetting::Least(selector, least) => {
                check_least_bound(pool, selector, *least, diagnostics)
            }
            PoolSetting::Most(..) => {}
            PoolSetting::Changes(_, window) => {
                unrepeatable.push(setting);
                if !(CHANGE_WINDOW.0..=CHANGE_WINDOW.1).contains(window) {
                    let message = format!("the window {window:?} is out of bounds");
                    report(diagnostics, &pool.name, message, "1s to 1440m");
                }
            }
            PoolSetting::ChangeWorth(_) => unrepeatable.push(setting),
        }
    }
    let kinds: HashSet<_> = unrepeatable
        .iter()
        .map(|setting| discriminant(*setting))
        .collect();
    if kinds.len() < unrepeatable.len() {
        let message = format!("'{}' has a setting twice", pool.name.text);
        report(diagnostics, &pool.name, message, "each setting once");
    }
}

fn check_least_bound(
    pool: &PoolAst,
    selector: &EngineSelectorAst,
    least: u64,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let is_same = |other: &&EngineSelectorAst| *other == selector;
    let least_selectors = pool.settings.iter().filter_map(|setting| match setting {
        PoolSetting::Least(selector, _) => Some(selector),
        _ => None,
    });
    if least_selectors.filter(is_same).count() > 1 {
        let message = format!("pool '{}' bounds one subject twice", pool.name.text);
        report(diagnostics, &pool.name, message, "each bound once");
    }
    for setting in &pool.settings {
        match setting {
            PoolSetting::Most(other, most) if other == selector && *most < least => {
                let message = format!(
                    "pool '{}': most {most} is below least {least}",
                    pool.name.text
                );
                report(diagnostics, &pool.name, message, "most at or above least");
            }
            _ => {}
        }
    }
}
