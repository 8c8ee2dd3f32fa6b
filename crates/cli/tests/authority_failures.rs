//! Authority under failure, by separate processes: a change of role is under way, held up by a
//! stream in progress, when its holder is killed or frozen, its engine crashes, or the store goes
//! away. The engines' own records tell what took effect.

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
const ONE_PREFILL: &str = "least = 1";
const NO_PREFILL: &str = "least = 0, most = 0";
const HELD: &str = "tansyhall_pools_held";
const LEASE_VALID: &str = "tansyhall_lease_valid";
const WITHHELD: &str = "tansyhall_orders_withheld_total";
/// Rounds without orders that show that the holder had the chance to send one.
const WITHHELD_ROUNDS: f64 = 3.0;
const ENGINE: [&str; 5] = ["engine", "--name", "engine-0", "--role-change-ms", "1500"];
/// Pairs of changes that a restored store has lost.
const CHANGES_LOST: usize = 15;
/// Long enough for a stream to outlast a lease.
const LONG_ANSWER_TOKENS: u32 = 3_000;

struct Cluster {
    nodes: Vec<NodeProcess>,
    directory: tempfile::TempDir,
    platform: Standin,
    engine: Standin,
}

impl Cluster {
    /// A platform, one engine and these nodes; the pool asks for no change yet, and is held.
    async fn start(names: &[&str]) -> Self {
        let mut cluster = Self {
            directory: tempfile::tempdir().expect("a directory"),
            platform: start_standin(&["platform"]),
            engine: start_standin(&ENGINE),
            nodes: Vec::new(),
        };
        for name in names {
            cluster.start_node(name);
        }
        cluster.apply(0, "least = 0");
        cluster.holder().await;
        cluster
    }

    fn start_node(&mut self, name: &str) {
        let settings = node_settings(name, "kalimati", self.platform.address);
        let started = start_node(self.directory.path(), name, &settings);
        self.nodes.push(started);
    }

    /// Sets the bounds on prefill engines, through a node.
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

    /// The index of the node that holds the pool.
    async fn holder(&self) -> usize {
        eventually("a node holds the pool", || async {
            for (index, node) in self.nodes.iter().enumerate() {
                if get_metric(node.admin, HELD).await == Some(1.0) {
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

    /// Waits until the engine has been drained, and returns the epoch of the order.
    async fn drained(&self) -> Epoch {
        eventually("the engine is drained", || async {
            let state = self.state().await?;
            (state["draining"] == true).then_some(())
        })
        .await;
        self.orders().await.last().map(epoch).expect("a drain")
    }

    async fn changed(&self) {
        self.plays("prefill").await;
    }

    async fn plays(&self, role: &str) {
        eventually("the engine plays its new role", || async {
            let state = self.state().await?;
            (state["role"] == role && state["draining"] == false).then_some(())
        })
        .await;
    }

    async fn set_faults(&self, switches: Value) {
        self.platform.set_faults(switches).await;
    }
}

fn epoch(order: &RecordedOrder) -> Epoch {
    Epoch::of(order.order.fence_token)
}

/// Begins a stream and waits for its first bytes; the task ends with the whole answer's words.
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
        .expect("not cut");
    actix_rt::spawn(async move {
        let mut text = String::from_utf8_lossy(&first).into_owned();
        while let Some(bytes) = response.next().await {
            text.push_str(&String::from_utf8_lossy(
                &bytes.expect("the stream is not cut"),
            ));
        }
        text
    })
}

fn assert_whole(answer: &str) {
    assert!(
        answer.contains("\"completed\""),
        "the answer's verdict is not completed"
    );
    assert!(answer.contains("[DONE]"), "the answer has no end");
}

/// Once an order of a later epoch took effect, none of an earlier one does; roles change only
/// while no request is in progress.
fn assert_orderly(orders: &[RecordedOrder]) {
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
            "a request was cut: {record:?}"
        );
    }
}

async fn next_epoch(cluster: &Cluster, before: Epoch, since: Instant, what: &str) {
    eventually("a later holder gives an order", || async {
        let orders = cluster.orders().await;
        orders
            .iter()
            .any(|order| epoch(order) > before)
            .then_some(())
    })
    .await;
    let millis = since.elapsed().as_millis();
    println!("takeover after {what}: {millis} ms to the next holder's order");
}

#[actix_rt::test]
async fn a_killed_holder_is_followed_by_another_that_completes_the_change() {
    let mut cluster = Cluster::start(&["node-0", "node-1"]).await;
    let holder = cluster.holder().await;
    let other = 1 - holder;
    let stream = begin_stream(cluster.nodes[other].callers, LONG_ANSWER_TOKENS).await;
    cluster.apply(other, ONE_PREFILL);
    let before = cluster.drained().await;
    drop(cluster.nodes.remove(holder));
    next_epoch(&cluster, before, Instant::now(), "a kill").await;
    assert_whole(&stream.await.expect("the stream's task ends"));
    cluster.changed().await;
    assert_orderly(&cluster.orders().await);
}

#[actix_rt::test]
async fn a_frozen_holder_that_wakes_changes_nothing() {
    let cluster = Cluster::start(&["node-0", "node-1"]).await;
    let holder = cluster.holder().await;
    let other = 1 - holder;
    let stream = begin_stream(cluster.nodes[other].callers, LONG_ANSWER_TOKENS).await;
    cluster.apply(other, ONE_PREFILL);
    let before = cluster.drained().await;
    cluster.nodes[holder].process.signal("STOP");
    next_epoch(&cluster, before, Instant::now(), "a freeze").await;
    assert_whole(&stream.await.expect("the stream's task ends"));
    cluster.changed().await;
    // The frozen holder still wants the prefill role, and has an order to send when it wakes.
    cluster.apply(other, NO_PREFILL);
    cluster.plays("mixed").await;
    cluster.nodes[holder].process.signal("CONT");
    eventually("the woken node knows that it holds nothing", || async {
        (get_metric(cluster.nodes[holder].admin, HELD).await? == 0.0).then_some(())
    })
    .await;
    assert_orderly(&cluster.orders().await);
    cluster.plays("mixed").await;
}

#[actix_rt::test]
async fn an_engine_that_crashes_halfway_is_changed_after_its_restart() {
    let mut cluster = Cluster::start(&["node-0"]).await;
    cluster.apply(0, ONE_PREFILL);
    eventually("the change has begun", || async {
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
        .expect("the engine has ended");
    cluster.engine = start_standin_at(&ENGINE, address);
    cluster.changed().await;
    let orders = cluster.orders().await;
    assert_orderly(&orders);
    let changes = |order: &&RecordedOrder| {
        let is_change = matches!(order.order.action, OrderAction::SetRole { .. });
        is_change && order.reply == OrderReply::Accepted
    };
    assert_eq!(orders.iter().filter(changes).count(), 1);
}

#[actix_rt::test]
async fn a_store_outage_in_the_middle_of_a_change_lets_no_stale_order_through() {
    let cluster = Cluster::start(&["node-0"]).await;
    let node = &cluster.nodes[0];
    let stream = begin_stream(node.callers, LONG_ANSWER_TOKENS).await;
    cluster.apply(0, ONE_PREFILL);
    cluster.drained().await;
    cluster.set_faults(json!({ "outage": true })).await;
    eventually("the lease is not valid", || async {
        (get_metric(node.admin, LEASE_VALID).await? == 0.0).then_some(())
    })
    .await;
    let before = cluster.orders().await.len();
    assert_whole(&stream.await.expect("the stream's task ends"));
    eventually("the engine is idle", || async {
        (cluster.state().await?["requests"] == 0).then_some(())
    })
    .await;
    let withheld = get_metric(node.admin, WITHHELD).await.expect("the metric");
    eventually("the holder had the chance to send an order", || async {
        let now = get_metric(node.admin, WITHHELD).await?;
        (now >= withheld + WITHHELD_ROUNDS).then_some(())
    })
    .await;
    assert_eq!(cluster.orders().await.len(), before);
    cluster.set_faults(json!({})).await;
    cluster.changed().await;
    assert_orderly(&cluster.orders().await);
}

#[actix_rt::test]
async fn a_claim_whose_answers_are_lost_is_read_back() {
    let mut cluster = Cluster::start(&["node-0"]).await;
    cluster.start_node("node-1");
    eventually("the second node has its lease", || async {
        (get_metric(cluster.nodes[1].admin, LEASE_VALID).await? == 1.0).then_some(())
    })
    .await;
    // The next write is the second node's claim, once the first one's lease has lapsed.
    cluster.set_faults(json!({ "lose_answers": 1 })).await;
    drop(cluster.nodes.remove(0));
    cluster.holder().await;
    let faults = get_json(cluster.platform.address, "/standin/faults").await;
    let left = faults.map(|faults| faults["switches"]["lose_answers"].clone());
    assert_eq!(left, Some(json!(0)), "the claim's answer was lost");
    cluster.apply(0, ONE_PREFILL);
    cluster.changed().await;
    assert_orderly(&cluster.orders().await);
}

#[actix_rt::test]
async fn a_planned_stop_releases_the_pool_at_once() {
    let cluster = Cluster::start(&["node-0", "node-1"]).await;
    let holder = cluster.holder().await;
    let other = 1 - holder;
    // The stream keeps the stopping node alive, and its lease would go on if it were not revoked.
    let stream = begin_stream(cluster.nodes[holder].callers, LONG_ANSWER_TOKENS).await;
    cluster.nodes[holder].process.signal("TERM");
    eventually("the other node holds the pool", || async {
        (get_metric(cluster.nodes[other].admin, HELD).await? == 1.0).then_some(())
    })
    .await;
    assert!(
        !stream.is_finished(),
        "the pool was free only once the node had ended"
    );
    assert_whole(&stream.await.expect("the stream's task ends"));
    cluster.apply(other, ONE_PREFILL);
    cluster.changed().await;
}

// Guards against engines that take orders of nobody, as the restored store gives out epochs that they have heard of.
#[actix_rt::test]
async fn engines_are_ordered_on_after_the_store_was_restored() {
    let mut cluster = Cluster::start(&["node-0"]).await;
    cluster.platform.command("backup").await;
    for _ in 0..CHANGES_LOST {
        cluster.apply(0, "least = 0, most = 1");
        cluster.apply(0, "least = 0");
    }
    drop(cluster.nodes.remove(0));
    cluster.start_node("node-1");
    cluster.holder().await;
    cluster.apply(0, ONE_PREFILL);
    cluster.changed().await;
    cluster.platform.command("restore").await;
    cluster.apply(0, NO_PREFILL);
    cluster.plays("mixed").await;
    assert_orderly(&cluster.orders().await);
}
