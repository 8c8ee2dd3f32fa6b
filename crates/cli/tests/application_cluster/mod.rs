//! Nodes, a platform and the workers of one application, as separate processes. The workers' own
//! records tell how often a request ran.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde_json::Value;
use tansyhall_node::at_most_once::ViewRecord;
use tansyhall_store::{EtcdStore, KeyValueStore};
use tansyhall_testing::{
    eventually, get_json, get_metric, run_tansyhall, start_standin, Fleet, Standin,
};

const VIEW: &str = "tansyhall_journal_view";
const VIEWS_KEY: &str = "/tansyhall/journal/views";
/// A worker's answer that does not come while the test runs.
pub const NEVER: &str = "/stock/slip?delay_ms=600000";
/// A request that the worker answers at once.
pub const AT_ONCE: &str = "/stock/slip";
const STORE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// What a caller was told.
#[derive(Debug)]
pub struct Told {
    pub status: u16,
    pub verdict: String,
    pub request: String,
    pub body: Value,
}

impl Told {
    pub fn says(&self, text: &str) -> bool {
        self.body.to_string().contains(text)
    }
}

/// Nodes and the workers of one application.
pub struct Cluster {
    pub fleet: Fleet,
    pub workers: Vec<Standin>,
}

impl Cluster {
    /// Nodes that share a view, and a worker.
    pub async fn start(size: usize) -> Self {
        Self::start_with(Fleet::start(size).await, 1).await
    }

    /// Workers for these nodes.
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

    /// How many nodes there are.
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
        get_metric(self.fleet.admin_address(index), VIEW).await
    }

    pub async fn await_view_after(&self, index: usize, view: f64) {
        eventually(
            &format!("node {index} uses a view after {view}"),
            || async { (self.view(index).await? > view).then_some(()) },
        )
        .await;
    }

    /// The indices of the present view's members, and of the other nodes.
    pub async fn members(&self) -> (Vec<usize>, Vec<usize>) {
        let store = EtcdStore::new(self.fleet.platform.address, STORE_TIMEOUT);
        let range = store.range(VIEWS_KEY).await.expect("the store answers");
        let record: ViewRecord =
            serde_json::from_slice(&range.entries[0].value).expect("a record of views");
        let view = record.active.expect("an active view");
        let names: BTreeSet<String> = view
            .members
            .iter()
            .map(|placed| placed.member.node.to_string())
            .collect();
        (0..self.size()).partition(|index| names.contains(&format!("node-{index}")))
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.nodes[index].callers
    }

    pub async fn print_slip(&self, index: usize, key: &str, path: &'static str) -> Told {
        send(self.callers(index), key.to_owned(), path).await
    }

    /// What a worker was asked.
    pub async fn records_at(&self, worker: usize) -> Vec<Value> {
        let records = get_json(self.workers[worker].address, "/standin/records").await;
        let records = records.expect("the worker's records");
        records.as_array().cloned().unwrap_or_default()
    }

    /// Times that a worker was asked.
    pub async fn runs_at(&self, worker: usize) -> usize {
        self.records_at(worker).await.len()
    }

    /// Times that the workers were asked.
    pub async fn runs(&self) -> usize {
        let mut runs = 0;
        for worker in 0..self.workers.len() {
            runs += self.runs_at(worker).await;
        }
        runs
    }

    pub async fn await_runs(&self, count: usize) {
        eventually("the worker has been asked", || async {
            (self.runs().await >= count).then_some(())
        })
        .await;
    }
}

/// Sends a request with an idempotency key to a node.
pub async fn send(node: SocketAddr, key: String, path: &'static str) -> Told {
    tell(post(node, path).insert_header(("idempotency-key", key))).await
}

/// Sends a request without an idempotency key to a node.
pub async fn send_without_key(node: SocketAddr, path: &'static str) -> Told {
    tell(post(node, path)).await
}

fn post(node: SocketAddr, path: &str) -> awc::ClientRequest {
    let client = awc::Client::builder().disable_timeout().finish();
    client.post(format!("http://{node}{path}"))
}

async fn tell(request: awc::ClientRequest) -> Told {
    let mut response = request.send_body("slip").await.expect("an answer");
    let header = |name: &str| {
        let value = response.headers().get(name);
        let value = value.and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Told {
        status: response.status().as_u16(),
        verdict: header("tansyhall-verdict"),
        request: header("tansyhall-request-id"),
        body: response.json().await.unwrap_or(Value::Null),
    }
}
