//! Workers that restart under their names, and entries in the store that no worker has written.
//!
//! The failure: one request crashed two workers, which restarted under their names, 20 times in 30 tries, and they served
//! nothing else. With eight workers that had another name after each restart it was barred after four crashes. The cause:
//! gateways identified an incarnation by the worker's name, so three crashes of one worker counted as one. Also, an entry
//! with an unknown state or service counted as a leaving worker, and gateways connected to its address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::crashing_requests::{
    assert_no_longer_sent, send_crashing_request, total_crashes, CRASHES_TO_BAR, SILENT_CRASH,
    UPDATE_TIME_LIMIT,
};
use crate::support::{send_request, Site, AT_MOST_ONCE, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const GATEWAYS: usize = 3;
/// Time within which gateways have applied what is written to the store.
const STORE_UPDATE_WAIT: Duration = Duration::from_secs(2);
/// Maximum number of tries of the crashing request until enough workers have crashed.
const TRIES: usize = 30;
/// Pause between two tries, in which a worker may restart.
const TRY_PAUSE: Duration = Duration::from_millis(300);
/// Requests while the store contains invalid entries.
const REQUESTS: usize = 20;

#[actix_rt::test]
async fn a_request_that_repeatedly_crashes_a_worker_of_the_same_name_is_no_longer_sent() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], GATEWAYS).await;
    let workers = site
        .add_named_crashing_workers(&["steady-1", "steady-2"], ("app", None, ECHO), SILENT_CRASH)
        .await;
    site.wait_until_gateways_know_each_other().await;
    for path in [REPEATABLE, AT_MOST_ONCE] {
        let send = |index: usize| send_crashing_request(&site.gateways[index], path);
        let before = total_crashes(&workers);
        for number in 0..TRIES {
            if total_crashes(&workers) - before >= CRASHES_TO_BAR {
                break;
            }
            send(number % GATEWAYS).await;
            sleep(TRY_PAUSE).await;
        }
        assert!(
            total_crashes(&workers) - before >= CRASHES_TO_BAR,
            "too few crashes"
        );
        sleep(UPDATE_TIME_LIMIT).await;
        assert_no_longer_sent(&site, &workers, send).await;
    }
}

/// Listens at an address that only invalid entries contain, and counts connections.
async fn count_connections() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    actix_rt::spawn(async move {
        while listener.accept().await.is_ok() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    (address, connections)
}

/// Returns entries that differ from a worker's entry by a missing field, a wrong type or an invalid value.
fn invalid_entries(address: SocketAddr) -> Vec<Value> {
    let entry = json!({
        "service": "app", "address": address.to_string(), "zone": "z-1", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    let mut entries = vec![json!({}), json!([]), json!(null), json!(7), json!("ready")];
    for field in [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_left_ms",
        "seq",
    ] {
        let mut incomplete = entry.clone();
        incomplete.as_object_mut().expect("an object").remove(field);
        entries.push(incomplete);
        let mut wrongly_typed = entry.clone();
        wrongly_typed[field] = json!({"is": "something else"});
        entries.push(wrongly_typed);
    }
    for (field, value) in [
        ("state", json!("resting")),
        ("service", json!("nobody")),
        ("slots", json!(-8)),
        ("slots", json!(1e18)),
        ("slots", json!(0)),
        ("cold_left_ms", json!(-1)),
        ("seq", json!(-1)),
    ] {
        let mut invalid = entry.clone();
        invalid[field] = value;
        entries.push(invalid);
    }
    let mut engine = entry.clone();
    engine["service"] = json!("nobody");
    engine["stage"] = json!("prefill");
    entries.push(engine);
    entries
}

#[actix_rt::test]
async fn invalid_entries_are_ignored_and_valid_entries_stay_in_use() {
    let services = [("llm", Some("decode"), ECHO), ("app", None, ECHO)];
    let site = Site::start(&services, GATEWAYS).await;
    let (address, connections) = count_connections().await;
    for (number, entry) in invalid_entries(address).iter().enumerate() {
        site.store.put(&format!("servers/strange-{number}"), entry);
    }
    site.store
        .put_bytes("servers/strange-bytes", vec![0xff, 0xfe, 0x00]);
    sleep(STORE_UPDATE_WAIT).await;
    for number in 0..REQUESTS {
        let gateway = &site.gateways[number % GATEWAYS];
        let answer = send_request(gateway, &format!("r-{number}"), REPEATABLE, b"").await;
        assert_eq!(answer.status, 200);
    }
    for index in 0..GATEWAYS {
        site.wait_for_ready_workers(index, services.len() as f64)
            .await;
    }
    assert_eq!(
        connections.load(Ordering::Relaxed),
        0,
        "a gateway connected to an address that no worker has"
    );
}
