//! Rules beyond the grammar: no name twice, every class within reach, values within bounds.

use std::collections::HashSet;
use std::mem::{discriminant, Discriminant};
use std::time::Duration;

use tansyhall_core::id::check_name;

use crate::ast::{
    BoundSubject, ClassAst, ClassSetting, FallbackAst, Name, PolicyAst, PoolAst, PoolSetting,
    ShareAst, TenantAst, TenantLimit,
};
use crate::diagnostic::Diagnostic;

/// Longest deadline of a class.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60 * 60);
/// Shortest and longest window of a change budget.
pub const CHANGE_WINDOW: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(24 * 60 * 60));
/// Sum of the shares of one list, in percent.
const WHOLE: u32 = 100;

/// Every broken rule, in the order of the program.
pub fn check(policy: &PolicyAst) -> Vec<Diagnostic> {
    let mut faults = Vec::new();
    unique(
        "class",
        policy.classes.iter().map(|class| &class.name),
        &mut faults,
    );
    unique(
        "tenant",
        policy.tenants.iter().map(|tenant| &tenant.name),
        &mut faults,
    );
    unique(
        "pool",
        policy.pools.iter().map(|pool| &pool.name),
        &mut faults,
    );
    check_reach(policy, &mut faults);
    policy
        .classes
        .iter()
        .for_each(|class| check_class(class, &mut faults));
    policy
        .tenants
        .iter()
        .for_each(|tenant| check_tenant(tenant, &mut faults));
    policy
        .pools
        .iter()
        .for_each(|pool| check_pool(pool, &mut faults));
    faults
}

fn fault(faults: &mut Vec<Diagnostic>, at: &Name, message: String, expected: &str) {
    faults.push(Diagnostic::new(at.span.clone(), message, expected));
}

fn unique<'a>(what: &str, names: impl Iterator<Item = &'a Name>, faults: &mut Vec<Diagnostic>) {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name.text.as_str()) {
            let message = format!("{what} '{}' stands twice", name.text);
            fault(faults, name, message, "each name once");
        }
    }
}

fn unique_settings<T>(at: &Name, settings: &[T], faults: &mut Vec<Diagnostic>) {
    let kinds: HashSet<Discriminant<T>> = settings.iter().map(discriminant).collect();
    if kinds.len() < settings.len() {
        let message = format!("'{}' has a setting twice", at.text);
        fault(faults, at, message, "each setting once");
    }
}

fn check_reach(policy: &PolicyAst, faults: &mut Vec<Diagnostic>) {
    let catch_all = policy
        .classes
        .iter()
        .position(|class| class.condition.is_none());
    let Some(index) = catch_all else { return };
    if let Some(unreached) = policy.classes.get(index + 1) {
        let message = format!(
            "class '{}' is never reached: class '{}' takes every request",
            unreached.name.text, policy.classes[index].name.text
        );
        fault(
            faults,
            &unreached.name,
            message,
            "the class without 'when' last",
        );
    }
}

fn check_class(class: &ClassAst, faults: &mut Vec<Diagnostic>) {
    if let Err(error) = check_name(&class.name.text) {
        fault(
            faults,
            &class.name,
            error.to_string(),
            "a class name such as counter",
        );
    }
    unique_settings(&class.name, &class.settings, faults);
    for setting in &class.settings {
        match setting {
            ClassSetting::Deadline(deadline) => {
                if deadline.is_zero() || *deadline > MAX_DEADLINE {
                    let message = format!("the deadline {deadline:?} is out of bounds");
                    fault(faults, &class.name, message, "1ms to 60m");
                }
            }
            ClassSetting::Prefer(zones) | ClassSetting::Fallback(FallbackAst::Zones(zones)) => {
                unique("zone", zones.iter(), faults);
            }
            ClassSetting::Versions(shares) => check_shares("version", shares, faults),
            ClassSetting::Adapters(shares) => check_shares("adapter", shares, faults),
            ClassSetting::Priority(_)
            | ClassSetting::NotRepeatable
            | ClassSetting::Fallback(FallbackAst::Any | FallbackAst::None) => {}
        }
    }
    check_zones_apart(class, faults);
}

fn check_zones_apart(class: &ClassAst, faults: &mut Vec<Diagnostic>) {
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
        fault(faults, zone, message, "another zone");
    }
}

fn check_shares(what: &str, shares: &[ShareAst], faults: &mut Vec<Diagnostic>) {
    unique(what, shares.iter().map(|share| &share.name), faults);
    let sum: u32 = shares.iter().map(|share| u32::from(share.percent)).sum();
    if let (true, Some(first)) = (sum != WHOLE, shares.first()) {
        let message = format!("the shares of the {what}s add up to {sum}%");
        fault(faults, &first.name, message, "shares that add up to 100%");
    }
}

fn check_tenant(tenant: &TenantAst, faults: &mut Vec<Diagnostic>) {
    unique_settings(&tenant.name, &tenant.limits, faults);
    for limit in &tenant.limits {
        let (TenantLimit::RequestsPerSecond(number)
        | TenantLimit::TokensPerSecond(number)
        | TenantLimit::Concurrent(number)) = limit;
        if *number == 0 {
            let message = format!("tenant '{}' has a limit of zero", tenant.name.text);
            fault(faults, &tenant.name, message, "1 or more");
        }
    }
}

fn check_pool(pool: &PoolAst, faults: &mut Vec<Diagnostic>) {
    let mut single = Vec::new();
    for setting in &pool.settings {
        match setting {
            PoolSetting::Least(subject, least) => check_order(pool, subject, *least, faults),
            PoolSetting::Most(..) => {}
            PoolSetting::Changes(_, window) => {
                single.push(setting);
                if !(CHANGE_WINDOW.0..=CHANGE_WINDOW.1).contains(window) {
                    let message = format!("the window {window:?} is out of bounds");
                    fault(faults, &pool.name, message, "1s to 1440m");
                }
            }
            PoolSetting::ChangeWorth(_) => single.push(setting),
        }
    }
    let kinds: HashSet<_> = single
        .iter()
        .map(|setting| discriminant(*setting))
        .collect();
    if kinds.len() < single.len() {
        let message = format!("'{}' has a setting twice", pool.name.text);
        fault(faults, &pool.name, message, "each setting once");
    }
}

fn check_order(pool: &PoolAst, subject: &BoundSubject, least: u64, faults: &mut Vec<Diagnostic>) {
    let same = |other: &&BoundSubject| *other == subject;
    let leasts = pool.settings.iter().filter_map(|setting| match setting {
        PoolSetting::Least(subject, _) => Some(subject),
        _ => None,
    });
    if leasts.filter(same).count() > 1 {
        let message = format!("pool '{}' bounds one subject twice", pool.name.text);
        fault(faults, &pool.name, message, "each bound once");
    }
    for setting in &pool.settings {
        match setting {
            PoolSetting::Most(other, most) if other == subject && *most < least => {
                let message = format!(
                    "pool '{}': most {most} is below least {least}",
                    pool.name.text
                );
                fault(faults, &pool.name, message, "most at or above least");
            }
            _ => {}
        }
    }
}
