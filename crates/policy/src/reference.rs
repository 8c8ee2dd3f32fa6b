//! References from a program to resources by name; the configuration resolves them.

use std::fmt;
use std::ops::Range;

use crate::ast::{
    ClassAst, ClassSetting, Comparison, Condition, EngineSelectorAst, FallbackAst, Name, PolicyAst,
    PoolSetting, TextFact, TextOperator,
};

/// The kind of object that a name refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReferenceKind {
    /// A service.
    Service,
    /// A zone of a site.
    Zone,
    /// A tenant.
    Tenant,
    /// A pool.
    Pool,
    /// A model that some pool loads.
    Model,
    /// A model version that some pool offers.
    Version,
    /// An adapter that some pool offers.
    Adapter,
}

impl fmt::Display for ReferenceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReferenceKind::Service => "service",
            ReferenceKind::Zone => "zone",
            ReferenceKind::Tenant => "tenant",
            ReferenceKind::Pool => "pool",
            ReferenceKind::Model => "model",
            ReferenceKind::Version => "version",
            ReferenceKind::Adapter => "adapter",
        })
    }
}

/// A name that must exist when the program takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reference {
    /// The kind of object that the name refers to.
    pub kind: ReferenceKind,
    /// The name.
    pub name: String,
    /// Byte range in the source.
    pub span: Range<usize>,
}

/// Returns all references of a program: those of classes first, then of tenants, then of pools.
pub(crate) fn collect(policy: &PolicyAst) -> Vec<Reference> {
    let mut references = Vec::new();
    for class in &policy.classes {
        collect_class(class, &mut references);
    }
    for tenant in &policy.tenants {
        add_reference(&mut references, ReferenceKind::Tenant, &tenant.name);
    }
    for pool in &policy.pools {
        add_reference(&mut references, ReferenceKind::Pool, &pool.name);
        for setting in &pool.settings {
            if let PoolSetting::Least(EngineSelectorAst::Model(model), _)
            | PoolSetting::Most(EngineSelectorAst::Model(model), _) = setting
            {
                add_reference(&mut references, ReferenceKind::Model, model);
            }
        }
    }
    references
}

fn add_reference(references: &mut Vec<Reference>, kind: ReferenceKind, name: &Name) {
    references.push(Reference {
        kind,
        name: name.text.clone(),
        span: name.span.clone(),
    });
}

fn collect_class(class: &ClassAst, references: &mut Vec<Reference>) {
    if let Some(condition) = &class.condition {
        collect_condition(condition, references);
    }
    for setting in &class.settings {
        let (kind, names): (_, Vec<&Name>) = match setting {
            ClassSetting::Prefer(zones) | ClassSetting::Fallback(FallbackAst::Zones(zones)) => {
                (ReferenceKind::Zone, zones.iter().collect())
            }
            ClassSetting::Versions(shares) => {
                let names = shares.iter().map(|share| &share.name);
                (ReferenceKind::Version, names.collect())
            }
            ClassSetting::Adapters(shares) => {
                let names = shares.iter().map(|share| &share.name);
                (ReferenceKind::Adapter, names.collect())
            }
            _ => continue,
        };
        names
            .into_iter()
            .for_each(|name| add_reference(references, kind, name));
    }
}

fn collect_condition(condition: &Condition, references: &mut Vec<Reference>) {
    match condition {
        Condition::Not(inner) => collect_condition(inner, references),
        Condition::And(left, right) | Condition::Or(left, right) => {
            collect_condition(left, references);
            collect_condition(right, references);
        }
        Condition::Test(Comparison::Text {
            fact,
            operator: TextOperator::Equal | TextOperator::NotEqual,
            value,
        }) if !value.text.is_empty() => {
            let kind = match fact {
                TextFact::Service => ReferenceKind::Service,
                TextFact::Tenant => ReferenceKind::Tenant,
                TextFact::Model => ReferenceKind::Model,
                TextFact::Path | TextFact::Header(_) => return,
            };
            add_reference(references, kind, value);
        }
        Condition::Test(_) => {}
    }
}
