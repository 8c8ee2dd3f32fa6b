//! Tenants: each key belongs to one tenant, and no key is printed.

use tansyhall_core::TenantName;
use tansyhall_forwarding::tenants::{validate, ApiKey, Tenant, TenantError, TenantTable};

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        rank: None,
    }
}

#[test]
fn a_key_identifies_its_tenant() {
    let table = TenantTable::new(&[tenant("a", &["k-1", "k-2"]), tenant("b", &["k-3"])]);
    let tenant_of = |key: &str| {
        let known = table.tenant_of(&ApiKey::new(key));
        known.map(|known| known.name.to_string())
    };
    assert_eq!(tenant_of("k-2"), Some("a".into()));
    assert_eq!(tenant_of("k-3"), Some("b".into()));
    for unknown in ["", "k", "k-1 ", "K-1", "k-4"] {
        assert_eq!(tenant_of(unknown), None, "{unknown:?}");
    }
}

#[test]
fn names_and_keys_must_be_unique() {
    assert_eq!(validate(&[tenant("a", &["k"]), tenant("b", &[])]), Ok(()));
    let duplicate = validate(&[tenant("a", &[]), tenant("a", &[])]);
    assert_eq!(duplicate, Err(TenantError::Duplicate(TenantName::new("a"))));
    let shared = validate(&[tenant("a", &["k"]), tenant("b", &["k"])]);
    let shared = shared.expect_err("a shared key");
    assert!(!shared.to_string().contains("\"k\""), "{shared}");
    assert!(matches!(shared, TenantError::SharedKey(..)));
}

#[test]
fn a_key_is_never_printed() {
    let printed = format!("{:?}", tenant("a", &["secret"]));
    assert!(!printed.contains("secret"), "{printed}");
}
