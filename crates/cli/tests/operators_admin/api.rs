//! The administration API: preconditions, deletion, dry runs, filters, accounts, bad input.

use crate::support::{policy, Call, Fleet, MAX_ADMIN_BODY_BYTES, NOTARIES_TOKEN, VIEWER_TOKEN};
use awc::http::{header, Method, StatusCode};
use serde_json::{json, Value};
use tansyhall_testing::eventually;

const RESOURCES: &str = "
[[tenant]]
name = 'notaries'
owner = 'desk'
[[policy]]
name = 'shared'
source = 'class c { deadline 1s; }'
[[policy]]
name = 'signing'
source = 'class c when prompt_tokens > 9 { deadline 2s; }'
tenant = 'notaries'
[[site]]
name = 'registry'
region = 'r'
zones = ['kalimati', 'balkhu']
[[service]]
name = 'dossier'
site = 'registry'
kind = 'language-model'
policy = 'signing'
tenant = 'notaries'
[[service]]
name = 'maps'
site = 'registry'
kind = 'application'
path_prefix = '/map'
[[pool]]
name = 'maps-balkhu'
service = 'maps'
zone = 'balkhu'
backends = []
";

async fn start_configured_fleet() -> Fleet {
    let fleet = Fleet::start();
    let call = Call {
        body: RESOURCES.into(),
        ..Call::new(fleet.admin(0), Method::POST, "/admin/v1/apply")
    };
    let applied = call.send().await;
    assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
    let revision = applied.body["revision"].as_u64().expect("a revision");
    eventually("the configuration is in force", || async {
        let status = Call::get(fleet.admin(0), "/admin/v1/status").send().await;
        (status.body["configuration_revision"].as_u64()? >= revision).then_some(())
    })
    .await;
    fleet
}

fn names(answer: &Value) -> Vec<&str> {
    let items = answer["items"].as_array().expect("items");
    items
        .iter()
        .filter_map(|item| item["name"].as_str())
        .collect()
}

#[actix_rt::test]
async fn changes_need_the_entity_tag_of_what_they_change() {
    let fleet = start_configured_fleet().await;
    let path = "/admin/v1/policy/shared";
    let put = || Call::put(fleet.admin(0), path, &policy("shared", 3));
    let bare = put().send().await;
    assert_eq!(bare.status, StatusCode::PRECONDITION_REQUIRED, "{bare:?}");
    let tag = bare.tag.expect("the present tag");
    let create = Call {
        condition: Some((header::IF_NONE_MATCH, "*")),
        ..put()
    };
    assert_eq!(create.send().await.status, StatusCode::PRECONDITION_FAILED);
    let garbage = put().if_match("yesterday").send().await;
    assert_eq!(garbage.status, StatusCode::BAD_REQUEST);
    let stale = put().if_match("\"0\"").send().await;
    assert_eq!(stale.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(stale.body["present"]["name"], "shared");
    let dry = Call {
        path: "/admin/v1/policy/shared?dry-run",
        ..put().if_match(&tag)
    };
    let dry = dry.send().await;
    assert_eq!(dry.body["effects"][0]["effect"], "replace", "{dry:?}");
    let changed = put().if_match(&tag).send().await;
    assert_eq!(
        changed.status,
        StatusCode::OK,
        "the dry run must have changed nothing: {changed:?}"
    );
    let delete = || Call::new(fleet.admin(0), Method::DELETE, path);
    assert_eq!(
        delete().send().await.status,
        StatusCode::PRECONDITION_REQUIRED
    );
    assert_eq!(
        delete().if_match(&tag).send().await.status,
        StatusCode::PRECONDITION_FAILED
    );
    let tag = changed.tag.expect("a tag");
    assert_eq!(delete().if_match(&tag).send().await.status, StatusCode::OK);
    assert_eq!(delete().send().await.status, StatusCode::NOT_FOUND);
}

#[actix_rt::test]
async fn a_resource_in_use_is_not_deleted() {
    let fleet = start_configured_fleet().await;
    let path = "/admin/v1/site/registry";
    let tag = Call::get(fleet.admin(0), path)
        .send()
        .await
        .tag
        .expect("a tag");
    let delete = Call::new(fleet.admin(0), Method::DELETE, path).if_match(&tag);
    let refused = delete.send().await;
    assert_eq!(refused.status, StatusCode::CONFLICT, "{refused:?}");
    let referrers = refused.body["error"]["referrers"]
        .as_array()
        .expect("referrers");
    let names: Vec<_> = referrers.iter().map(|key| key["name"].as_str()).collect();
    assert_eq!(names, [Some("dossier"), Some("maps"), Some("maps-balkhu")]);
}

#[actix_rt::test]
async fn a_file_is_applied_at_an_expected_revision_or_not_at_all() {
    let fleet = start_configured_fleet().await;
    let apply = |path| Call {
        body: RESOURCES.replace("deadline 1s", "deadline 9s").into(),
        ..Call::new(fleet.admin(1), Method::POST, path)
    };
    let stale = apply("/admin/v1/apply?expected-revision=0").send().await;
    assert_eq!(stale.status, StatusCode::PRECONDITION_FAILED, "{stale:?}");
    let configuration = Call::get(fleet.admin(1), "/admin/v1/configuration")
        .send()
        .await;
    let revision = configuration.body["revision"].as_u64().expect("a revision");
    let path = format!("/admin/v1/apply?expected-revision={revision}");
    let applied = apply(&path).send().await;
    assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
    assert_eq!(
        applied.body["changed"], 1,
        "resources that exist already must be left unchanged"
    );
}

#[actix_rt::test]
async fn lists_are_filtered() {
    let fleet = start_configured_fleet().await;
    for (path, expected) in [
        ("/admin/v1/service", vec!["dossier", "maps"]),
        ("/admin/v1/service?prefix=ma", vec!["maps"]),
        ("/admin/v1/service?tenant=notaries", vec!["dossier"]),
        (
            "/admin/v1/pool?zone=balkhu&service=maps",
            vec!["maps-balkhu"],
        ),
        ("/admin/v1/pool?zone=kalimati", vec![]),
    ] {
        let answer = Call::get(fleet.admin(0), path).send().await;
        assert_eq!(answer.status, StatusCode::OK, "{path}");
        assert_eq!(names(&answer.body), expected, "{path}");
    }
    let unknown = Call::get(fleet.admin(0), "/admin/v1/pool?colour=red")
        .send()
        .await;
    assert_eq!(unknown.status, StatusCode::BAD_REQUEST);
}

#[actix_rt::test]
async fn accounts_do_what_their_role_and_tenant_allow() {
    let fleet = start_configured_fleet().await;
    let admin = fleet.admin(0);
    for token in [None, Some("guessed"), Some("")] {
        let answer = Call::get(admin, "/admin/v1/status")
            .with_token(token)
            .send()
            .await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    }
    let put = |path, body: &Value, token| Call::put(admin, path, body).with_token(Some(token));
    let viewed = Call::get(admin, "/admin/v1/policy")
        .with_token(Some(VIEWER_TOKEN))
        .send()
        .await;
    assert_eq!(names(&viewed.body), ["shared", "signing"]);
    let refused = put("/admin/v1/policy/new", &policy("new", 1), VIEWER_TOKEN)
        .send()
        .await;
    assert_eq!(refused.status, StatusCode::FORBIDDEN);
    let apply = Call {
        body: RESOURCES.into(),
        ..Call::new(admin, Method::POST, "/admin/v1/apply").with_token(Some(VIEWER_TOKEN))
    };
    assert_eq!(apply.send().await.status, StatusCode::FORBIDDEN);

    let own = Call::get(admin, "/admin/v1/policy")
        .with_token(Some(NOTARIES_TOKEN))
        .send()
        .await;
    assert_eq!(names(&own.body), ["signing"]);
    let hidden = Call::get(admin, "/admin/v1/policy/shared").with_token(Some(NOTARIES_TOKEN));
    assert_eq!(hidden.send().await.status, StatusCode::NOT_FOUND);
    let whole = Call::get(admin, "/admin/v1/configuration").with_token(Some(NOTARIES_TOKEN));
    let whole = whole.send().await.body;
    assert_eq!(whole["items"].as_array().map(Vec::len), Some(3), "{whole}");

    let source = "class c { deadline 4s; }";
    let mine = json!({ "name": "mine", "source": source, "tenant": "notaries" });
    let created = put("/admin/v1/policy/mine", &mine, NOTARIES_TOKEN)
        .send()
        .await;
    assert_eq!(created.status, StatusCode::OK, "{created:?}");
    let foreign = [
        ("/admin/v1/policy/shared", policy("shared", 9)),
        ("/admin/v1/policy/fleetwide", policy("fleetwide", 9)),
        (
            "/admin/v1/tenant/notaries",
            json!({ "name": "notaries", "owner": "me" }),
        ),
        (
            "/admin/v1/policy/limits",
            json!({ "name": "limits", "tenant": "notaries",
                "source": "tenant notaries { limit 999 concurrent; }" }),
        ),
        (
            "/admin/v1/policy/bounds",
            json!({ "name": "bounds", "tenant": "notaries",
                "source": "pool maps-balkhu { changes 9 per 1s; }" }),
        ),
    ];
    for (path, body) in foreign {
        let refused = put(path, &body, NOTARIES_TOKEN).send().await;
        assert_eq!(refused.status, StatusCode::FORBIDDEN, "{path}: {refused:?}");
        assert!(
            refused.body["present"].is_null(),
            "{path}: resources of others must not be shown"
        );
    }
    let audit = Call::get(admin, "/admin/v1/audit")
        .with_token(Some(NOTARIES_TOKEN))
        .send()
        .await;
    let entries = audit.body["entries"].as_array().expect("entries");
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0]["account"], "notary");
    assert_eq!(entries[0]["resources"], json!(["policy/mine"]));
}

#[actix_rt::test]
async fn bad_input_has_a_clear_answer_and_changes_nothing() {
    let fleet = start_configured_fleet().await;
    let admin = fleet.admin(0);
    let before = Call::get(admin, "/admin/v1/configuration")
        .send()
        .await
        .body;
    let send = |method: Method, path: &'static str, body: Vec<u8>| {
        Call {
            body,
            ..Call::new(admin, method, path)
        }
        .send()
    };
    let oversize = vec![b'x'; MAX_ADMIN_BODY_BYTES + 1];
    let apply = "/admin/v1/apply";
    let path = "/admin/v1/policy/p";
    for (method, path, body, expected) in [
        (Method::PUT, path, b"{".to_vec(), StatusCode::BAD_REQUEST),
        (
            Method::PUT,
            path,
            b"\xff\xfe".to_vec(),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::PUT,
            path,
            br#"{"name":"p","sauce":""}"#.to_vec(),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::PUT,
            path,
            br#"{"name":"q","source":""}"#.to_vec(),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::PUT,
            path,
            br#"{"name":"p","source":"klass"}"#.to_vec(),
            StatusCode::UNPROCESSABLE_ENTITY,
        ),
        (
            Method::PUT,
            path,
            oversize.clone(),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
        (
            Method::PUT,
            "/admin/v1/planet/p",
            b"{}".to_vec(),
            StatusCode::NOT_FOUND,
        ),
        (
            Method::POST,
            apply,
            b"[[pool]".to_vec(),
            StatusCode::BAD_REQUEST,
        ),
        (Method::POST, apply, oversize, StatusCode::PAYLOAD_TOO_LARGE),
        (
            Method::POST,
            "/admin/v1/apply?force",
            Vec::new(),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::POST,
            "/admin/v1/explain",
            b"[]".to_vec(),
            StatusCode::BAD_REQUEST,
        ),
    ] {
        let shown = format!("{method} {path}");
        let answer = send(method, path, body).await;
        assert_eq!(answer.status, expected, "{shown}: {answer:?}");
    }
    let misspelt = RESOURCES.replace("zone =", "zoen =").into_bytes();
    let answer = send(Method::POST, apply, misspelt).await;
    let message = answer.body["error"]["message"].as_str().expect("a message");
    assert!(
        message.contains("body:30:1") && message.contains("did you mean 'zone'?"),
        "{message}"
    );
    let dangling = RESOURCES
        .replace("zone = 'balkhu'", "zone = 'balku'")
        .into_bytes();
    let answer = send(Method::POST, apply, dangling).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    let problem = &answer.body["error"]["problems"][0];
    assert_eq!(problem["field"], "zone");
    assert_eq!(problem["hint"], "did you mean 'balkhu'?");
    let after = Call::get(admin, "/admin/v1/configuration")
        .send()
        .await
        .body;
    assert_eq!(before, after);
}

#[actix_rt::test]
async fn status_audit_metrics_and_the_openapi_document_are_served() {
    let fleet = start_configured_fleet().await;
    let admin = fleet.admin(0);
    let status = Call::get(admin, "/admin/v1/status").send().await.body;
    assert_eq!(status["pools"][0]["pool"], "maps-balkhu");
    assert_eq!(status["pools"][0]["settled"], true);
    let members = status["members"].as_array().expect("members");
    assert_eq!(members.len(), 1, "{status}");
    assert_eq!(members[0]["name"], status["node"]);
    assert_eq!(members[0]["state"], "alive");
    eventually("the age of the configuration is known", || async {
        let status = Call::get(admin, "/admin/v1/status").send().await.body;
        status["configuration_seen_millis_ago"].as_u64()
    })
    .await;
    let audit = Call::get(admin, "/admin/v1/audit").send().await.body;
    assert_eq!(audit["entries"][0]["account"], "test");
    assert!(audit["entries"][0]["at_unix_millis"].as_u64() > Some(0));
    let mut metrics = awc::Client::default()
        .get(format!("http://{admin}/metrics"))
        .send()
        .await
        .expect("metrics");
    let metrics = metrics.body().await.expect("metrics");
    let metrics = String::from_utf8_lossy(&metrics);
    let accepted = "tansyhall_configuration_changes_total{outcome=\"accepted\"} 1";
    assert!(metrics.contains(accepted), "{metrics}");
    let document = Call::get(admin, "/admin/v1/openapi.json")
        .with_token(None)
        .send()
        .await
        .body;
    let put = &document["paths"]["/admin/v1/{kind}/{name}"]["put"];
    assert!(put["responses"]["428"].is_object(), "{document}");
    assert!(
        document["components"]["schemas"]["Pool"].is_object(),
        "{document}"
    );
    assert!(document["components"]["securitySchemes"]["bearer"].is_object());
}
