//! A tenant's rate limit in a node process, verified against the engine's records.

use std::net::SocketAddr;
use std::time::Instant;

use serde_json::json;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin,
};

/// Number of requests per second that the tenant may send.
const MAX_REQUESTS_PER_SECOND: u64 = 5;
/// Number of requests sent, far more than the limit allows.
const REQUESTS: usize = 100;

fn resources(engine: SocketAddr) -> String {
    format!(
        "[[tenant]]\nname = 'cooperative'\nowner = 'depot'\n\
         limits = {{ requests_per_second = {MAX_REQUESTS_PER_SECOND} }}\n\
         [[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         tenant = 'cooperative'\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = 'base'\nbackends = [{{ name = 'engine-0', address = '{engine}' }}]\n"
    )
}

#[actix_rt::test]
async fn engines_run_no_more_requests_than_the_tenants_limit_allows() {
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
    let started = Instant::now();
    let mut completed = 0;
    for _ in 0..REQUESTS {
        let answer = client.post(&url).send_json(&body).await;
        let status = answer.expect("an answer").status();
        assert!(status == 200 || status == 429, "{status}");
        completed += usize::from(status == 200);
    }
    let allowed = MAX_REQUESTS_PER_SECOND * (started.elapsed().as_secs() + 2);
    let records = get_json(engine.address, "/standin/records").await;
    let records = records.expect("the records");
    let run_requests = records["requests"].as_array().map_or(0, Vec::len);
    assert_eq!(
        run_requests, completed,
        "the engine must run exactly the requests that were not refused"
    );
    assert!(
        (1..=allowed).contains(&(run_requests as u64)),
        "the engine ran {run_requests} requests; the limit allows {allowed}"
    );
}
