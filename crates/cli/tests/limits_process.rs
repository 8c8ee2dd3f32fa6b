//! A tenant's limit at a node process, judged by the records of the engines.

use std::net::SocketAddr;
use std::time::Instant;

use serde_json::json;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin,
};

/// Requests a second that the tenant may send.
const LIMIT: u64 = 5;
/// Requests sent, far above what the limit allows.
const REQUESTS: usize = 100;

fn resources(engine: SocketAddr) -> String {
    format!(
        "[[tenant]]\nname = 'cooperative'\nowner = 'depot'\n\
         limits = {{ requests_per_second = {LIMIT} }}\n\
         [[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         tenant = 'cooperative'\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = 'base'\nbackends = [{{ name = 'engine-0', address = '{engine}' }}]\n"
    )
}

#[actix_rt::test]
async fn engines_run_no_more_requests_than_the_tenant_may_send() {
    let directory = tempfile::tempdir().expect("a directory");
    let platform = start_standin(&["platform"]);
    let engine = start_standin(&["engine", "--name", "engine-0"]);
    let settings = node_settings("node-0", "kalimati", platform.address);
    let node = start_node(directory.path(), "node-0", &settings);
    let file = directory.path().join("resources.toml");
    std::fs::write(&file, resources(engine.address)).expect("the resources are written");
    let file = file.to_str().expect("a UTF-8 path");
    run_tansyhall(&["ctl", "--node", &node.admin.to_string(), "apply", file]);
    eventually("the configuration is in force", || async {
        let status = get_json(node.admin, "/admin/v1/status").await?;
        (status["configuration_revision"].as_u64()? > 0).then_some(())
    })
    .await;

    let client = awc::Client::builder().disable_timeout().finish();
    let url = format!("http://{}/v1/completions", node.callers);
    let body = json!({ "model": "base", "prompt": "rice", "max_tokens": 1 });
    let began = Instant::now();
    let mut completed = 0;
    for _ in 0..REQUESTS {
        let answer = client.post(&url).send_json(&body).await;
        let status = answer.expect("an answer").status();
        assert!(status == 200 || status == 429, "{status}");
        completed += usize::from(status == 200);
    }
    let allowed = LIMIT * (began.elapsed().as_secs() + 2);
    let records = get_json(engine.address, "/standin/records").await;
    let records = records.expect("the records");
    let ran = records["requests"].as_array().map_or(0, Vec::len);
    assert_eq!(ran, completed, "what was refused was not run");
    assert!((1..=allowed).contains(&(ran as u64)), "{ran} of {allowed}");
}
