//! Tenants and API keys: which callers are served, and what workers receive about them.

use tansyhall_platform_standin::{Behaviour, TenantPlan};

use crate::support::{send_request, send_with_key, Site, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };

fn depot(keys: &[&'static str]) -> TenantPlan {
    TenantPlan {
        name: "depot",
        keys: keys.to_vec(),
    }
}

#[actix_rt::test]
async fn a_caller_with_a_known_key_is_served_and_no_worker_receives_the_key() {
    let site = Site::start(&[("app", None, ECHO)], 1).await;
    site.configure_tenants(&[depot(&["k-1"])]).await;
    let gateway = &site.gateways[0];
    assert_eq!(send_with_key(gateway, "r-1", "k-1").await.status, 200);
    let runs = site.workers[0].worker.runs();
    assert_eq!(runs[0].tenant.as_deref(), Some("depot"));
    assert_eq!(runs[0].key, None);
    assert_eq!(send_with_key(gateway, "r-2", "k-2").await.status, 401);
    assert_eq!(
        send_request(gateway, "r-3", REPEATABLE, b"x").await.status,
        401
    );
    assert_eq!(site.workers[0].worker.runs().len(), 1);
}

#[actix_rt::test]
async fn a_removed_key_is_refused_and_a_new_key_is_accepted() {
    let mut site = Site::start(&[("app", None, ECHO)], 2).await;
    site.configure_tenants(&[depot(&["k-1"])]).await;
    site.configure_tenants(&[depot(&["k-2"])]).await;
    for gateway in &site.gateways {
        assert_eq!(send_with_key(gateway, "old", "k-1").await.status, 401);
        assert_eq!(send_with_key(gateway, "new", "k-2").await.status, 200);
    }
    let lines = site.gateways.remove(0).stop_and_read();
    assert!(lines.iter().any(|line| line["reason"] == "unknown_key"));
    let text = serde_json::to_string(&lines).expect("text");
    assert!(!text.contains("k-1") && !text.contains("k-2"), "{text}");
}
