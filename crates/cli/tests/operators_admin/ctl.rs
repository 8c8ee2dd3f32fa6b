//! `tansyhall ctl`, used by two operators through one node each.

use std::process::Output;

use crate::support::{Call, Fleet};
use awc::http::StatusCode;
use serde_json::Value;
use tansyhall_testing::eventually;

const FILE: &str = "
[[site]]
name = 'valley'
region = 'valley'
zones = ['kalimati']
[[service]]
name = 'assistant'
site = 'valley'
kind = 'language-model'
policy = 'assistant'
";
const POLICY: &str = "class review when prompt_tokens > 500 { deadline 20s; priority batch; }
class counter { deadline 2s; priority interactive; }";

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn code(output: &Output) -> Option<i32> {
    eprintln!("{}", String::from_utf8_lossy(&output.stderr));
    output.status.code()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Starts a fleet and applies the file and the policy.
fn start_applied_fleet() -> (Fleet, String, String) {
    let fleet = Fleet::start();
    let file = fleet.file("resources.toml", FILE);
    let policy = fleet.file("assistant.policy", POLICY);
    let output = fleet.ctl(0, &["apply", &file, &policy]);
    assert_eq!(code(&output), Some(0));
    assert!(
        text(&output).contains("accepted at revision"),
        "{}",
        text(&output)
    );
    (fleet, file, policy)
}

#[actix_rt::test]
async fn apply_and_diff_show_what_changes() {
    let (fleet, file, policy) = start_applied_fleet();
    let same = json(&fleet.ctl(1, &["--json", "diff", &file, &policy]));
    let effects: Vec<_> = same["resources"]
        .as_array()
        .expect("resources")
        .iter()
        .collect();
    assert!(
        effects.iter().all(|diff| diff["effect"] == "unchanged"),
        "{same}"
    );
    fleet.file(
        "resources.toml",
        &FILE.replace("'kalimati'", "'kalimati', 'thimi'"),
    );
    let output = fleet.ctl(1, &["diff", &file]);
    let shown = text(&output);
    assert!(shown.contains("kalimati -> kalimati, thimi"), "{shown}");
    let dry = fleet.ctl(1, &["apply", &file, "--dry-run"]);
    assert!(text(&dry).contains("nothing was changed"), "{}", text(&dry));
    let changed = json(&fleet.ctl(1, &["--json", "apply", &file]));
    assert_eq!(changed["changed"], 1);
    let again = json(&fleet.ctl(0, &["--json", "apply", &file]));
    assert_eq!(
        again["changed"], 0,
        "applying a file again must change nothing"
    );
}

#[actix_rt::test]
async fn the_second_operator_gets_a_conflict_instead_of_overwriting() {
    let (fleet, _, policy) = start_applied_fleet();
    let seen = json(&fleet.ctl(0, &["--json", "diff", &policy]))["revision"].to_string();
    let first = fleet.file("assistant.policy", &POLICY.replace("2s", "3s"));
    let output = fleet.ctl(0, &["apply", &first, "--revision", &seen]);
    assert_eq!(code(&output), Some(0));
    let second = fleet.file("assistant.policy", &POLICY.replace("2s", "4s"));
    let output = fleet.ctl(1, &["apply", &second, "--revision", &seen]);
    assert_eq!(code(&output), Some(3));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        errors.contains("deadline 3s"),
        "the present policy must be shown: {errors}"
    );
    let present = Call::get(fleet.admin(1), "/admin/v1/policy/assistant")
        .send()
        .await;
    assert!(present.body["source"].to_string().contains("deadline 3s"));
}

#[actix_rt::test]
async fn delete_is_refused_while_another_resource_refers_to_it() {
    let (fleet, ..) = start_applied_fleet();
    let output = fleet.ctl(0, &["delete", "policy", "assistant"]);
    assert_eq!(code(&output), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("service/assistant"));
    assert_eq!(
        code(&fleet.ctl(0, &["delete", "service", "assistant"])),
        Some(0)
    );
    assert_eq!(
        code(&fleet.ctl(1, &["delete", "policy", "assistant"])),
        Some(0)
    );
    let gone = Call::get(fleet.admin(0), "/admin/v1/policy/assistant")
        .send()
        .await;
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    assert_eq!(
        code(&fleet.ctl(0, &["get", "policy", "assistant"])),
        Some(1)
    );
}

#[actix_rt::test]
async fn explain_says_which_class_and_why() {
    let (fleet, ..) = start_applied_fleet();
    eventually("the policy is in force", || async {
        let status = Call::get(fleet.admin(0), "/admin/v1/status").send().await;
        (status.body["configuration_revision"].as_u64()? > 0).then_some(())
    })
    .await;
    let request = fleet.file(
        "request.toml",
        "service = 'assistant'\nprompt_tokens = 900\n",
    );
    let output = fleet.ctl(0, &["policy", "explain", "--request", &request]);
    let shown = text(&output);
    assert!(
        shown.contains("class review of policy assistant"),
        "{shown}"
    );
    assert!(shown.contains("prompt_tokens > 500 tokens"), "{shown}");
    let request = fleet.file(
        "request.json",
        "{\"service\":\"assistant\",\"prompt_tokens\":1}",
    );
    let answer = json(&fleet.ctl(0, &["--json", "policy", "explain", "--request", &request]));
    assert_eq!(answer["class"], "counter");
    assert_eq!(answer["deadline_millis"], 2_000);
    assert_eq!(answer["tests"][0]["held"], false);
    let request = fleet.file("request.toml", "servce = 'assistant'\n");
    let refused = fleet.ctl(0, &["policy", "explain", "--request", &request]);
    assert_eq!(code(&refused), Some(2));
}

#[actix_rt::test]
async fn status_audit_and_lists_are_tables_for_people() {
    let (fleet, ..) = start_applied_fleet();
    let audit = text(&fleet.ctl(1, &["audit"]));
    assert!(
        audit.contains("test") && audit.contains("policy/assistant"),
        "{audit}"
    );
    let status = text(&fleet.ctl(1, &["status"]));
    assert!(status.contains("node node-1 in zone kalimati"), "{status}");
    let services = text(&fleet.ctl(1, &["get", "service"]));
    assert!(services.contains("path_prefix"), "{services}");
    assert_eq!(code(&fleet.ctl(1, &["plan"])), Some(0));
}

#[test]
fn wrong_usage_exits_2_and_help_names_the_exit_codes() {
    let run = |arguments: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_tansyhall"))
            .arg("ctl")
            .args(arguments)
            .env_remove("TANSYHALL_NODE")
            .env_remove("TANSYHALL_TOKEN")
            .output()
            .expect("tansyhall runs")
    };
    assert!(text(&run(&["--help"])).contains("EXIT CODES"));
    for arguments in [
        &["status"][..],
        &["--node", "127.0.0.1:1", "status"],
        &["--node", "127.0.0.1:1", "--token", "t", "rule"],
        &["--node", "127.0.0.1:1", "--token", "t", "status", "now"],
        &["--node", "127.0.0.1:1", "--token", "t", "apply"],
        &[
            "--node",
            "127.0.0.1:1",
            "--token",
            "t",
            "apply",
            "no-such.toml",
        ],
    ] {
        assert_eq!(code(&run(arguments)), Some(2), "{arguments:?}");
    }
    let away = run(&["--node", "127.0.0.1:1", "--token", "t", "status"]);
    assert_eq!(code(&away), Some(1));
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("p.policy");
    std::fs::write(&path, "class   a{deadline 60s;}").expect("the file is written");
    let path = path.to_str().expect("a UTF-8 path");
    let formatted = run(&["policy", "format", path]);
    assert_eq!(text(&formatted), "class a {\n    deadline 1m;\n}\n");
}
