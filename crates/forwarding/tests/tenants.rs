//! Tenants: each key has one holder, and no key is shown.

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
fn a_key_has_the_tenant_that_holds_it() {
    let table = TenantTable::new(&[tenant("a", &["k-1", "k-2"]), tenant("b", &["k-3"])]);
    let holder = |key: &str| {
        let known = table.holder(&ApiKey::new(key));
        known.map(|known| known.name.to_string())
    };
    assert_eq!(holder("k-2"), Some("a".into()));
    assert_eq!(holder("k-3"), Some("b".into()));
    for unknown in ["", "k", "k-1 ", "K-1", "k-4"] {
        assert_eq!(holder(unknown), None, "{unknown:?}");
    }
}

#[test]
fn names_and_keys_belong_to_one_tenant() {
    assert_eq!(validate(&[tenant("a", &["k"]), tenant("b", &[])]), Ok(()));
    let twice = validate(&[tenant("a", &[]), tenant("a", &[])]);
    assert_eq!(twice, Err(TenantError::Duplicate(TenantName::new("a"))));
    let shared = validate(&[tenant("a", &["k"]), tenant("b", &["k"])]);
    let shared = shared.expect_err("a shared key");
    assert!(!shared.to_string().contains("\"k\""), "{shared}");
    assert!(matches!(shared, TenantError::SharedKey(..)));
}

#[test]
fn a_key_is_never_shown() {
    let shown = format!("{:?}", tenant("a", &["secret"]));
    assert!(!shown.contains("secret"), "{shown}");
}
