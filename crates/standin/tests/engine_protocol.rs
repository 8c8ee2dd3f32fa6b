//! Tests of the engine stand-in: delayed load reports, cache events with gaps, KV cache export and import,
//! crashes halfway through an order, and the weight store.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::{json, Value};
use tansyhall_core::{ModelName, RequestId, Role};
use tansyhall_engine::protocol::{
    CacheEventKind, EngineRequest, FenceToken, KvExport, KvImport, Order, OrderAction, OrderReply,
    Priority, Prompt,
};
use tansyhall_engine::{EngineClient, EngineError, EngineStream};
use tansyhall_engine_model::CostModel;
use tansyhall_standin::engine::{self, EngineOptions, Weights, WeightsStore};
use tansyhall_testing::eventually;

/// Number of words in a prompt, which fill four blocks of the prefix cache.
const PROMPT_TOKENS: usize = 64;

fn start_engine(costs: CostModel) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let options = EngineOptions {
        name: "engine-0".into(),
        role: Role::Mixed,
        model: ModelName::from("base"),
        role_change: Duration::from_millis(100),
        costs,
        weights: Weights::default(),
    };
    actix_rt::spawn(engine::serve(listener, options).expect("an engine"));
    address
}

fn client() -> EngineClient {
    EngineClient::new(Duration::from_secs(5))
}

async fn set_faults(engine: SocketAddr, faults: Value) {
    let url = format!("http://{engine}/standin/faults");
    let response = awc::Client::default().post(url).send_json(&faults).await;
    assert_eq!(response.expect("an answer").status(), 204);
}

fn request(id: u128, word: &str, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        request_id: RequestId(id).to_string(),
        model: ModelName::from("base"),
        adapter: None,
        prompt: Prompt::Text {
            prompt: vec![word; PROMPT_TOKENS].join(" "),
        },
        max_tokens,
        stream: true,
        priority: Priority::Standard,
        resume_after: 0,
    }
}

/// Runs a request up to its first token. Returns the stream and the number of cached tokens.
async fn first_token(engine: SocketAddr, request: &EngineRequest) -> (EngineStream, u32) {
    let stream = client().complete(engine, request).await;
    let mut stream = stream.expect("the engine accepts");
    let chunk = stream
        .next()
        .await
        .expect("a chunk")
        .expect("not the end of the stream");
    (
        stream,
        chunk
            .cached_tokens
            .expect("the first chunk has cached_tokens"),
    )
}

async fn order(engine: SocketAddr, id: &str, action: OrderAction) -> OrderReply {
    let state = client().state(engine).await.expect("a state");
    let order = Order {
        order_id: id.to_owned(),
        fence_token: FenceToken(1),
        incarnation: state.incarnation,
        action,
    };
    client().order(engine, &order).await.expect("a reply")
}

#[actix_rt::test]
async fn delayed_load_reports_contain_their_age() {
    let engine = start_engine(CostModel::default());
    // The lag exceeds the uptime of the engine, so it reports its oldest sample, from before any work.
    set_faults(engine, json!({ "load_lag_ms": 600_000 })).await;
    eventually("a load report", || async {
        let report = client().load(engine).await.ok()?;
        (report.kv_capacity_tokens > 0).then_some(())
    })
    .await;
    let (_stream, _) = first_token(engine, &request(1, "rice", 50_000)).await;
    eventually("the report is old", || async {
        let report = client().load(engine).await.ok()?;
        assert_eq!(report.running, 0, "the report is from before the request");
        (report.age_ms > 0).then_some(())
    })
    .await;
    set_faults(engine, json!({})).await;
    eventually("a fresh report shows the request", || async {
        let report = client().load(engine).await.ok()?;
        (report.running == 1).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn cached_prefixes_are_published_as_events_in_sequence() {
    let engine = start_engine(CostModel::default());
    let (_first, cached) = first_token(engine, &request(1, "rice", 2)).await;
    assert_eq!(cached, 0);
    let (_second, cached) = first_token(engine, &request(2, "rice", 2)).await;
    assert_eq!(cached, PROMPT_TOKENS as u32);
    let events = client().cache_events(engine, 0).await.expect("events");
    let sequences: Vec<u64> = events.events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [1, 2, 3, 4]);
    let later = client().cache_events(engine, 3).await.expect("events");
    assert_eq!(later.events, events.events[3..]);

    set_faults(engine, json!({ "lose_one_cache_event_in": 2 })).await;
    let (_third, _) = first_token(engine, &request(3, "lentils", 2)).await;
    let events = client().cache_events(engine, 4).await.expect("events");
    let sequences: Vec<u64> = events.events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [5, 7], "lost events leave gaps");

    set_faults(engine, json!({ "cache_event_lag_ms": 600_000 })).await;
    let late = client().cache_events(engine, 0).await.expect("events");
    assert_eq!(late.events, [], "delayed events are not published yet");
}

#[actix_rt::test]
async fn a_full_cache_publishes_its_evictions() {
    let costs = CostModel {
        kv_capacity_tokens: PROMPT_TOKENS as u64 + 16,
        ..CostModel::default()
    };
    let engine = start_engine(costs);
    for (id, word) in [(1, "rice"), (2, "lentils")] {
        let (mut stream, _) = first_token(engine, &request(id, word, 2)).await;
        while stream.next().await.expect("a chunk").is_some() {}
    }
    let events = client().cache_events(engine, 0).await.expect("events");
    let evicted = |event: &&_| {
        matches!(
            event,
            tansyhall_engine::protocol::CacheEvent {
                kind: CacheEventKind::Evicted,
                ..
            }
        )
    };
    assert_eq!(events.events.iter().filter(evicted).count(), 3);
}

#[actix_rt::test]
async fn an_engine_imports_the_kv_cache_of_another_engine() {
    let engines = [
        start_engine(CostModel::default()),
        start_engine(CostModel::default()),
    ];
    let (_stream, _) = first_token(engines[0], &request(1, "rice", 2)).await;
    let export = KvExport {
        request_id: RequestId(1).to_string(),
    };
    let handle = client().export_kv(engines[0], &export).await;
    let handle = handle.expect("a handle");
    assert_eq!(handle.tokens, PROMPT_TOKENS as u32);
    let import = KvImport {
        source: engines[0],
        handle,
    };
    let imported = client().import_kv(engines[1], &import).await;
    assert_eq!(imported.expect("an import").tokens, PROMPT_TOKENS as u32);
    let (_stream, cached) = first_token(engines[1], &request(2, "rice", 2)).await;
    assert_eq!(cached, PROMPT_TOKENS as u32);

    let unknown = KvExport {
        request_id: RequestId(9).to_string(),
    };
    let refused = client().export_kv(engines[0], &unknown).await;
    assert!(
        matches!(refused, Err(EngineError::Refused(_))),
        "{refused:?}"
    );
    let mut stale = import.clone();
    stale.handle.incarnation.0 += 1;
    let refused = client().import_kv(engines[1], &stale).await;
    assert!(
        matches!(refused, Err(EngineError::Refused(_))),
        "{refused:?}"
    );
}

#[actix_rt::test]
async fn a_crash_halfway_through_an_order_shows_as_a_new_incarnation() {
    let engine = start_engine(CostModel::default());
    let before = client().state(engine).await.expect("a state");
    set_faults(engine, json!({ "crash_halfway": true })).await;
    let change = OrderAction::SetRole { role: Role::Decode };
    assert_eq!(
        order(engine, "a", change.clone()).await,
        OrderReply::Accepted
    );
    let after = eventually("the engine has restarted", || async {
        let state = client().state(engine).await.ok()?;
        (state.incarnation > before.incarnation).then_some(state)
    })
    .await;
    assert_eq!(after.role, Role::Mixed, "the role change was lost");
    assert_eq!((after.active_order, after.last_order), (None, None));
    let stale = Order {
        order_id: "b".to_owned(),
        fence_token: FenceToken(1),
        incarnation: before.incarnation,
        action: change.clone(),
    };
    let reply = client().order(engine, &stale).await.expect("a reply");
    assert!(matches!(reply, OrderReply::WrongIncarnation { .. }));
    assert_eq!(order(engine, "c", change).await, OrderReply::Accepted);
    eventually("the second change is carried out", || async {
        let state = client().state(engine).await.ok()?;
        (state.role == Role::Decode).then_some(())
    })
    .await;
}

#[test]
fn weight_fetches_share_the_bandwidth_of_the_store() {
    let store = WeightsStore::new(1_000);
    let first = store.fetch(1_000_000);
    let second = store.fetch(1_000_000);
    assert!(first <= Duration::from_secs(1_000));
    assert!(second > first, "the second waits for the first");
    assert!(second <= Duration::from_secs(2_000));
}
