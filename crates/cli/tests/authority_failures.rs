//! Failures of the authority over a pool, with separate processes. A change of role is delayed by a stream in progress;
//! meanwhile the holder of the pool is killed or frozen, the engine crashes, or the store becomes unreachable. The
//! engines' records show which orders took effect.

use std::net::SocketAddr;
use std::time::Instant;

use futures_util::StreamExt;
use serde_json::{json, Value};
use tansyhall_authority::Epoch;
use tansyhall_engine::protocol::{FenceToken, OrderAction, OrderReply};
use tansyhall_standin::engine::{RecordedOrder, Records};
use tansyhall_testing::{
    eventually, get_json, get_metric, node_settings, run_tansyhall, start_node, start_standin,
    start_standin_at, NodeProcess, Standin,
};

const POOL: &str = "assistant-kalimati";
const ONE_PREFILL_BOUNDS: &str = "least = 1";
const NO_PREFILL_BOUNDS: &str = "least = 0, most = 0";
const POOLS_HELD_METRIC: &str = "tansyhall_pools_held";
const LEASE_VALID_METRIC: &str = "tansyhall_lease_valid";
const ORDERS_WITHHELD_METRIC: &str = "tansyhall_orders_withheld_total";
/// Number of rounds of withheld orders after which the holder has certainly had the chance to send one.
const WITHHELD_ROUNDS: f64 = 3.0;
const ENGINE_ARGUMENTS: [&str; 5] = ["engine", "--name", "engine-0", "--role-change-ms", "1500"];
/// Number of pairs of changes that the restore of the store loses.
const LOST_CHANGE_PAIRS: usize = 15;
/// Long enough that a stream lasts longer than a lease.
const LONG_ANSWER_TOKENS: u32 = 3_000;

struct Cluster {
    nodes: Vec<NodeProcess>,
    directory: tempfile::TempDir,
    platform: Standin,
    engine: Standin,
}

impl Cluster {
    /// Starts a platform, one engine and these nodes, and waits until a node holds the pool, which requires no change yet.
    async fn start(names: &[&str]) -> Self {
        let mut cluster = Self {
            directory: tempfile::tempdir().expect("a directory"),
            platform: start_standin(&["platform"]),
            engine: start_standin(&ENGINE_ARGUMENTS),
            nodes: Vec::new(),
        };
        for name in names {
            cluster.start_node(name);
        }
        cluster.apply(0, "least = 0");
        cluster.await_holder().await;
        cluster
    }

    fn start_node(&mut self, name: &str) {
        let settings = node_settings(name, "kalimati", self.platform.address);
        let started = start_node(self.directory.path(), name, &settings);
        self.nodes.push(started);
    }

    /// Sets the bounds on the number of prefill engines through a node.
    fn apply(&self, node: usize, bounds: &str) {
        let text = format!(
            "[[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
             [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
             [[pool]]\nname = '{POOL}'\nservice = 'assistant'\nzone = 'kalimati'\n\
             model = 'base'\n\
             backends = [{{ name = 'engine-0', address = '{}' }}]\n\
             roles = [{{ role = 'prefill', {bounds} }}]\n",
            self.engine.address
        );
        let file = self.directory.path().join("resources.toml");
        std::fs::write(&file, text).expect("the resources are written");
        let file = file.to_str().expect("a UTF-8 path");
        let admin = self.nodes[node].admin.to_string();
        run_tansyhall(&["ctl", "--node", &admin, "apply", file]);
    }

    /// Waits until a node holds the pool, and returns its index.
    async fn await_holder(&self) -> usize {
        eventually("a node holds the pool", || async {
            for (index, node) in self.nodes.iter().enumerate() {
                if get_metric(node.admin, POOLS_HELD_METRIC).await == Some(1.0) {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    async fn orders(&self) -> Vec<RecordedOrder> {
        let records = get_json(self.engine.address, "/standin/records").await;
        let records = serde_json::from_value::<Records>(records.expect("the records"));
        records.expect("the records parse").orders
    }

    async fn state(&self) -> Option<Value> {
        get_json(self.engine.address, "/control/state").await
    }

    /// Waits until the engine is draining, and returns the epoch of the order.
    async fn await_drain(&self) -> Epoch {
        eventually("the engine is draining", || async {
            let state = self.state().await?;
            (state["draining"] == true).then_some(())
        })
        .await;
        self.orders()
            .await
            .last()
            .map(epoch)
            .expect("a drain order")
    }

    async fn await_prefill_role(&self) {
        self.await_role("prefill").await;
    }

    async fn await_role(&self, role: &str) {
        eventually(
            "the engine has its new role and accepts requests",
            || async {
                let state = self.state().await?;
                (state["role"] == role && state["draining"] == false).then_some(())
            },
        )
        .await;
    }

    async fn set_faults(&self, switches: Value) {
        self.platform.set_faults(switches).await;
    }
}

fn epoch(order: &RecordedOrder) -> Epoch {
    Epoch::of(order.order.fence_token)
}

/// Begins a stream and waits for its first bytes. The task returns the complete text of the answer.
async fn begin_stream(node: SocketAddr, max_tokens: u32) -> actix_rt::task::JoinHandle<String> {
    let body = json!({
        "model": "base", "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "which families receive rice" }],
    });
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client.post(format!("http://{node}/v1/chat/completions"));
    let mut response = request.send_json(&body).await.expect("an answer");
    assert_eq!(response.status(), 200);
    let first = response
        .next()
        .await
        .expect("a first chunk")
        .expect("the stream is not truncated");
    actix_rt::spawn(async move {
        let mut text = String::from_utf8_lossy(&first).into_owned();
        while let Some(bytes) = response.next().await {
            text.push_str(&String::from_utf8_lossy(
                &bytes.expect("the stream is not truncated"),
            ));
        }
        text
    })
}

fn assert_complete(answer: &str) {
    assert!(
        answer.contains("\"completed\""),
        "the answer's verdict is not completed"
    );
    assert!(answer.contains("[DONE]"), "the answer has no end marker");
}

/// Asserts that no order of an earlier epoch takes effect after one of a later epoch, and that roles change only while no
/// request is in progress.
fn assert_orders_in_sequence(orders: &[RecordedOrder]) {
    let mut highest = FenceToken::default();
    for record in orders {
        if record.reply != OrderReply::Accepted {
            continue;
        }
        let token = record.order.fence_token;
        assert!(token >= highest, "a stale order took effect: {record:?}");
        highest = token;
        let changes_role = matches!(record.order.action, OrderAction::SetRole { .. });
        assert!(
            !changes_role || record.requests == 0,
            "a role changed while requests were in progress: {record:?}"
        );
    }
}

async fn await_order_of_later_epoch(
    cluster: &Cluster,
    before: Epoch,
    since: Instant,
    failure: &str,
) {
    eventually("a later holder sends an order", || async {
        let orders = cluster.orders().await;
        orders
            .iter()
            .any(|order| epoch(order) > before)
            .then_some(())
    })
    .await;
    let millis = since.elapsed().as_millis();
    println!("takeover after {failure}: {millis} ms to the next holder's order");
}

#[actix_rt::test]
async fn another_node_completes_the_change_of_a_killed_holder() {
    let mut cluster = Cluster::start(&["node-0", "node-1"]).await;
    let holder = cluster.await_holder().await;
    let other = 1 - holder;
    let stream = begin_stream(cluster.nodes[other].callers, LONG_ANSWER_TOKENS).await;
    cluster.apply(other, ONE_PREFILL_BOUNDS);
    let before = cluster.await_drain().await;
    drop(cluster.nodes.remove(holder));
    await_order_of_later_epoch(&cluster, before, Instant::now(), "a kill").await;
    assert_complete(&stream.await.expect("the stream's task ends"));
    cluster.await_prefill_role().await;
    assert_orders_in_sequence(&cluster.orders().await);
}

#[actix_rt::test]
async fn a_frozen_holder_changes_nothing_after_it_resumes() {
    let cluster = Cluster::start(&["node-0", "node-1"]).await;
    let holder = cluster.await_holder().await;
    let other = 1 - holder;
    let stream = begin_stream(cluster.nodes[other].callers, LONG_ANSWER_TOKENS).await;
    cluster.apply(other, ONE_PREFILL_BOUNDS);
    let before = cluster.await_drain().await;
    cluster.nodes[holder].process.signal("STOP");
    await_order_of_later_epoch(&cluster, before, Instant::now(), "a freeze").await;
    assert_complete(&stream.await.expect("the stream's task ends"));
    cluster.await_prefill_role().await;
    // The frozen holder still requires the prefill role, and has an order to send when it resumes.
    cluster.apply(other, NO_PREFILL_BOUNDS);
    cluster.await_role("mixed").await;
    cluster.nodes[holder].process.signal("CONT");
    eventually("the resumed node knows that it holds no pool", || async {
        (get_metric(cluster.nodes[holder].admin, POOLS_HELD_METRIC).await? == 0.0).then_some(())
    })
    .await;
    assert_orders_in_sequence(&cluster.orders().await);
    cluster.await_role("mixed").await;
}

#[actix_rt::test]
async fn an_engine_that_crashes_during_a_change_is_changed_after_its_restart() {
    let mut cluster = Cluster::start(&["node-0"]).await;
    cluster.apply(0, ONE_PREFILL_BOUNDS);
    eventually("the engine executes an order", || async {
        let state = cluster.state().await?;
        state["active_order"].is_string().then_some(())
    })
    .await;
    let address = cluster.engine.address;
    cluster
        .engine
        .process
        .child
        .kill()
        .expect("the engine is killed");
    cluster
        .engine
        .process
        .child
        .wait()
        .expect("the engine process has ended");
    cluster.engine = start_standin_at(&ENGINE_ARGUMENTS, address);
    cluster.await_prefill_role().await;
    let orders = cluster.orders().await;
    assert_orders_in_sequence(&orders);
    let changes = |order: &&RecordedOrder| {
        let is_change = matches!(order.order.action, OrderAction::SetRole { .. });
        is_change && order.reply == OrderReply::Accepted
    };
    assert_eq!(orders.iter().filter(changes).count(), 1);
}

#[actix_rt::test]
async fn no_stale_order_is_sent_when_the_store_fails_during_a_change() {
    let cluster = Cluster::start(&["node-0"]).await;
    let node = &cluster.nodes[0];
    let stream = begin_stream(node.callers, LONG_ANSWER_TOKENS).await;
    cluster.apply(0, ONE_PREFILL_BOUNDS);
    cluster.await_drain().await;
    cluster.set_faults(json!({ "outage": true })).await;
    eventually("the lease is not valid", || async {
        (get_metric(node.admin, LEASE_VALID_METRIC).await? == 0.0).then_some(())
    })
    .await;
    let before = cluster.orders().await.len();
    assert_complete(&stream.await.expect("the stream's task ends"));
    eventually("the engine is idle", || async {
        (cluster.state().await?["requests"] == 0).then_some(())
    })
    .await;
    let withheld = get_metric(node.admin, ORDERS_WITHHELD_METRIC)
        .await
        .expect("the metric");
    eventually("the holder had the chance to send an order", || async {
        let now = get_metric(node.admin, ORDERS_WITHHELD_METRIC).await?;
        (now >= withheld + WITHHELD_ROUNDS).then_some(())
    })
    .await;
    assert_eq!(cluster.orders().await.len(), before);
    cluster.set_faults(json!({})).await;
    cluster.await_prefill_role().await;
    assert_orders_in_sequence(&cluster.orders().await);
}

#[actix_rt::test]
async fn a_claim_whose_answer_is_lost_is_read_back_from_the_store() {
    let mut cluster = Cluster::start(&["node-0"]).await;
    cluster.start_node("node-1");
    eventually("the second node has its lease", || async {
        (get_metric(cluster.nodes[1].admin, LEASE_VALID_METRIC).await? == 1.0).then_some(())
    })
    .await;
    // The next write is the second node's claim, after the lease of the first has expired.
    cluster.set_faults(json!({ "lose_answers": 1 })).await;
    drop(cluster.nodes.remove(0));
    cluster.await_holder().await;
    let faults = get_json(cluster.platform.address, "/standin/faults").await;
    let left = faults.map(|faults| faults["switches"]["lose_answers"].clone());
    assert_eq!(left, Some(json!(0)), "the answer to the claim was not lost");
    cluster.apply(0, ONE_PREFILL_BOUNDS);
    cluster.await_prefill_role().await;
    assert_orders_in_sequence(&cluster.orders().await);
}

#[actix_rt::test]
async fn a_planned_stop_releases_the_pool_at_once() {
    let cluster = Cluster::start(&["node-0", "node-1"]).await;
    let holder = cluster.await_holder().await;
    let other = 1 - holder;
    // The stream keeps the stopping node running, which would keep its lease alive if the lease were not revoked.
    let stream = begin_stream(cluster.nodes[holder].callers, LONG_ANSWER_TOKENS).await;
    cluster.nodes[holder].process.signal("TERM");
    eventually("the other node holds the pool", || async {
        (get_metric(cluster.nodes[other].admin, POOLS_HELD_METRIC).await? == 1.0).then_some(())
    })
    .await;
    assert!(
        !stream.is_finished(),
        "the pool was released only when the node had ended"
    );
    assert_complete(&stream.await.expect("the stream's task ends"));
    cluster.apply(other, ONE_PREFILL_BOUNDS);
    cluster.await_prefill_role().await;
}

// Guards against engines that reject every order after a restore, because the restored store assigns epochs that the
// engines have already seen.
#[actix_rt::test]
async fn engines_accept_orders_after_the_store_was_restored() {
    let mut cluster = Cluster::start(&["node-0"]).await;
    cluster.platform.command("backup").await;
    for _ in 0..LOST_CHANGE_PAIRS {
        cluster.apply(0, "least = 0, most = 1");
        cluster.apply(0, "least = 0");
    }
    drop(cluster.nodes.remove(0));
    cluster.start_node("node-1");
    cluster.await_holder().await;
    cluster.apply(0, ONE_PREFILL_BOUNDS);
    cluster.await_prefill_role().await;
    cluster.platform.command("restore").await;
    cluster.apply(0, NO_PREFILL_BOUNDS);
    cluster.await_role("mixed").await;
    assert_orders_in_sequence(&cluster.orders().await);
}
