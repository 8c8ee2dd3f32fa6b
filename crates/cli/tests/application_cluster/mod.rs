//! Nodes, a platform and the workers of one application, as separate processes. The workers' records show how often a
//! request ran.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde_json::Value;
use tansyhall_node::at_most_once::ViewRecord;
use tansyhall_store::{EtcdStore, KeyValueStore};
use tansyhall_testing::{
    eventually, get_json, get_metric, run_tansyhall, start_standin, Fleet, Standin,
};

const VIEW_METRIC: &str = "tansyhall_journal_view";
const VIEWS_KEY: &str = "/tansyhall/journal/views";
/// Path of a request that the worker does not answer while the test runs.
pub const UNANSWERED_PATH: &str = "/stock/slip?delay_ms=600000";
/// Path of a request that the worker answers at once.
pub const IMMEDIATE_PATH: &str = "/stock/slip";
const STORE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// The answer that a caller received.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub verdict: String,
    pub request: String,
    pub body: Value,
}

impl CallerAnswer {
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.to_string().contains(text)
    }
}

/// Nodes and the workers of one application.
pub struct Cluster {
    pub fleet: Fleet,
    pub workers: Vec<Standin>,
}

impl Cluster {
    /// Starts nodes that share a view, and one worker.
    pub async fn start(size: usize) -> Self {
        Self::start_with(Fleet::start(size).await, 1).await
    }

    /// Starts workers for these nodes, and waits until every node has the configuration and a view.
    pub async fn start_with(fleet: Fleet, workers: usize) -> Self {
        let names = (0..workers).map(|index| format!("app-{index}"));
        let workers = names.map(|name| start_standin(&["app", "--name", &name]));
        let cluster = Self {
            fleet,
            workers: workers.collect(),
        };
        cluster.apply();
        for index in 0..cluster.size() {
            cluster.fleet.await_revision(index, 1).await;
            cluster.await_view_after(index, 0.0).await;
        }
        cluster
    }

    /// Returns the number of nodes.
    pub fn size(&self) -> usize {
        self.fleet.nodes.len()
    }

    pub fn apply(&self) {
        let workers = self.workers.iter().enumerate();
        let workers = workers.map(|(index, worker)| {
            let address = worker.address;
            format!("{{ name = 'app-{index}', address = '{address}' }}")
        });
        let workers = workers.collect::<Vec<_>>().join(", ");
        let text = format!(
            "[[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
             [[service]]\nname = 'stock'\nsite = 'valley'\nkind = 'application'\n\
             path_prefix = '/stock'\n\
             [[pool]]\nname = 'stock-kalimati'\nservice = 'stock'\nzone = 'kalimati'\n\
             backends = [{workers}]\n",
        );
        let directory = tempfile::tempdir().expect("a directory");
        let file = directory.path().join("resources.toml");
        std::fs::write(&file, text).expect("the resources are written");
        let file = file.to_str().expect("a UTF-8 path");
        let admin = self.fleet.admin_address(0).to_string();
        run_tansyhall(&["ctl", "--node", &admin, "apply", file]);
    }

    pub async fn view(&self, index: usize) -> Option<f64> {
        get_metric(self.fleet.admin_address(index), VIEW_METRIC).await
    }

    pub async fn await_view_after(&self, index: usize, view: f64) {
        eventually(
            &format!("node {index} uses a view after {view}"),
            || async { (self.view(index).await? > view).then_some(()) },
        )
        .await;
    }

    /// Returns the indices of the active view's members, and those of the other nodes.
    pub async fn members(&self) -> (Vec<usize>, Vec<usize>) {
        let store = EtcdStore::new(self.fleet.platform.address, STORE_TIMEOUT);
        let range = store.range(VIEWS_KEY).await.expect("the store answers");
        let record: ViewRecord =
            serde_json::from_slice(&range.entries[0].value).expect("a record of views");
        let view = record.active.expect("an active view");
        let names: BTreeSet<String> = view
            .members
            .iter()
            .map(|entry| entry.member.node.to_string())
            .collect();
        (0..self.size()).partition(|index| names.contains(&format!("node-{index}")))
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.nodes[index].callers
    }

    pub async fn send_with_key(&self, index: usize, key: &str, path: &'static str) -> CallerAnswer {
        send(self.callers(index), key.to_owned(), path).await
    }

    /// Returns the records of the requests that a worker received.
    pub async fn records_at(&self, worker: usize) -> Vec<Value> {
        let records = get_json(self.workers[worker].address, "/standin/records").await;
        let records = records.expect("the worker's records");
        records.as_array().cloned().unwrap_or_default()
    }

    /// Returns the number of requests that a worker received.
    pub async fn runs_at(&self, worker: usize) -> usize {
        self.records_at(worker).await.len()
    }

    /// Returns the number of requests that all workers received.
    pub async fn runs(&self) -> usize {
        let mut runs = 0;
        for worker in 0..self.workers.len() {
            runs += self.runs_at(worker).await;
        }
        runs
    }

    pub async fn await_runs(&self, count: usize) {
        eventually("the workers have received the requests", || async {
            (self.runs().await >= count).then_some(())
        })
        .await;
    }
}

/// Sends a request with an idempotency key to a node.
pub async fn send(node: SocketAddr, key: String, path: &'static str) -> CallerAnswer {
    receive_answer(post(node, path).insert_header(("idempotency-key", key))).await
}

/// Sends a request without an idempotency key to a node.
pub async fn send_without_key(node: SocketAddr, path: &'static str) -> CallerAnswer {
    receive_answer(post(node, path)).await
}

fn post(node: SocketAddr, path: &str) -> awc::ClientRequest {
    let client = awc::Client::builder().disable_timeout().finish();
    client.post(format!("http://{node}{path}"))
}

async fn receive_answer(request: awc::ClientRequest) -> CallerAnswer {
    let mut response = request.send_body("slip").await.expect("an answer");
    let header = |name: &str| {
        let value = response.headers().get(name);
        let value = value.and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    CallerAnswer {
        status: response.status().as_u16(),
        verdict: header("tansyhall-verdict"),
        request: header("tansyhall-request-id"),
        body: response.json().await.unwrap_or(Value::Null),
    }
}
