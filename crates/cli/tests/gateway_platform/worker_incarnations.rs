//! Workers that start again under their names, and entries in the store that no worker has written.
//!
//! Seen: two workers that came back under their names were ended by one request 20 times in 30 tries, and
//! served nothing beside it; with eight that had another name each time it was barred after four. Cause: a
//! worker's name stood for its life, so that three ends of one worker counted as one. An entry that named an
//! unknown state or service counted as a worker that is leaving, and its address was called.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::crashing_requests::{ask_deadly, ends, is_sent_no_more, CONTACT, ENOUGH_ENDS, SILENT};
use crate::support::{ask, Site, AT_MOST_ONCE, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const GATEWAYS: usize = 3;
/// Time in which gateways have taken in what is written to the store.
const SETTLED: Duration = Duration::from_secs(2);
/// Tries of the deadly request until workers have ended often enough, and the pause between two, in which a worker may
/// be back.
const TRIES: usize = 30;
const PAUSE: Duration = Duration::from_millis(300);
/// Requests beside the entries of others.
const REQUESTS: usize = 20;

#[actix_rt::test]
async fn a_request_that_ends_a_worker_again_and_again_under_its_name_is_sent_no_more() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], GATEWAYS).await;
    let workers = site
        .add_reborn_workers(&["steady-1", "steady-2"], ("app", None, ECHO), SILENT)
        .await;
    site.until_gateways_know_each_other().await;
    for path in [REPEATABLE, AT_MOST_ONCE] {
        let ask = |index: usize| ask_deadly(&site.gateways[index], path);
        let before = ends(&workers);
        for number in 0..TRIES {
            if ends(&workers) - before >= ENOUGH_ENDS {
                break;
            }
            ask(number % GATEWAYS).await;
            sleep(PAUSE).await;
        }
        assert!(ends(&workers) - before >= ENOUGH_ENDS, "too few ends");
        sleep(CONTACT).await;
        is_sent_no_more(&site, &workers, ask).await;
    }
}

/// Listens at an address that only strange entries name, and counts who calls.
async fn listen() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    actix_rt::spawn(async move {
        while listener.accept().await.is_ok() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    (address, calls)
}

fn strange_entries(address: SocketAddr) -> Vec<Value> {
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
        let mut lacking = entry.clone();
        lacking.as_object_mut().expect("an object").remove(field);
        entries.push(lacking);
        let mut other_type = entry.clone();
        other_type[field] = json!({"is": "something else"});
        entries.push(other_type);
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
        let mut strange = entry.clone();
        strange[field] = value;
        entries.push(strange);
    }
    let mut engine = entry.clone();
    engine["service"] = json!("nobody");
    engine["stage"] = json!("prefill");
    entries.push(engine);
    entries
}

#[actix_rt::test]
async fn entries_of_other_writers_name_no_worker_and_the_others_hold() {
    let services = [("llm", Some("decode"), ECHO), ("app", None, ECHO)];
    let site = Site::start(&services, GATEWAYS).await;
    let (address, calls) = listen().await;
    for (number, entry) in strange_entries(address).iter().enumerate() {
        site.store.put(&format!("servers/strange-{number}"), entry);
    }
    site.store
        .put_bytes("servers/strange-bytes", vec![0xff, 0xfe, 0x00]);
    sleep(SETTLED).await;
    for number in 0..REQUESTS {
        let gateway = &site.gateways[number % GATEWAYS];
        let answer = ask(gateway, &format!("r-{number}"), REPEATABLE, b"").await;
        assert_eq!(answer.status, 200);
    }
    for index in 0..GATEWAYS {
        site.until_ready_workers(index, services.len() as f64).await;
    }
    assert_eq!(
        calls.load(Ordering::Relaxed),
        0,
        "an address that no worker has was called"
    );
}
