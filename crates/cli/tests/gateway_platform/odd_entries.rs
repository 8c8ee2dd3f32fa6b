//! Odd entries of other writers in the store.

use serde_json::{json, Value};
use tansyhall_platform_standin::{Behaviour, CONFIGURATION_KEY, WORKER_ENTRY_PREFIX};
use tansyhall_testing::eventually;

use crate::support::{send_request, Site, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// Depth at which a recursive decoder would exceed its stack.
const DEPTH: usize = 10_000;
/// Length of a long value.
const LONG_BYTES: usize = 1 << 16;
/// Longest line of the log. A line must not contain a whole value.
const MAX_LINE_BYTES: usize = 2_000;
/// Keys that gateways read one by one.
const KEYS: [&str; 5] = [
    CONFIGURATION_KEY,
    "tansyhall/authority/first",
    "tansyhall/roles",
    "tansyhall/usage/closed",
    "tansyhall/workers",
];
/// Prefixes of the keys that gateways list.
const PREFIXES: [&str; 8] = [
    WORKER_ENTRY_PREFIX,
    "tansyhall/barred-parts/",
    "tansyhall/barred/",
    "tansyhall/gateways/",
    "tansyhall/streams/",
    "tansyhall/usage/reports/",
    "tansyhall/usage/rows/",
    "tansyhall/versions/",
];

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Returns values that nothing can be read from: no JSON or too much of it, impossible numbers and addresses, and broken
/// messages.
fn odd_values() -> Vec<Vec<u8>> {
    let texts = [
        "",
        "{}",
        "1e400",
        "-1",
        "18446744073709551616",
        r#""\ud800""#,
        "0.0.0.0:65536 0.0.0.0:-1 kalimati 1e400",
        "0.0.0.0:0 255.255.255.255:0 kalimati NaN",
    ];
    let long = format!("\"{}\"", "x".repeat(LONG_BYTES));
    let texts = texts
        .map(String::from)
        .into_iter()
        .chain([nested(DEPTH), long]);
    let messages = [
        vec![0xff; 20],
        vec![0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f],
        vec![0x0b; DEPTH],
    ];
    texts.map(String::into_bytes).chain(messages).collect()
}

/// Returns entries of workers that are valid but for one field.
fn odd_workers(valid: &Value) -> Vec<Vec<u8>> {
    let nested = nested(DEPTH);
    let fields = [
        ("address", r#""127.0.0.1:65536""#),
        ("address", r#""127.0.0.1:-1""#),
        ("slots", "0"),
        ("slots", "1e400"),
        ("slots", "4294967296"),
        ("seq", "18446744073709551616"),
        ("cold_left_ms", "1e400"),
        ("cold_left_ms", "-1"),
        ("state", &nested),
    ];
    let entry = |(field, odd): (&str, &str)| {
        let mut entry = valid.clone();
        entry[field] = json!("@");
        entry.to_string().replace("\"@\"", odd).into_bytes()
    };
    fields.map(entry).into()
}

async fn check(site: &Site) {
    site.wait_until_in_force(site.configure_next()).await;
    for (index, gateway) in site.gateways.iter().enumerate() {
        site.wait_for_announced_workers(index, site.workers.len() as f64)
            .await;
        let id = format!("{index}-{}", site.store.keys("").len());
        assert_eq!(
            send_request(gateway, &id, REPEATABLE, b"x").await.status,
            200
        );
    }
}

/// Guards against gateways that end, or stop following the store, because another writer left an entry that cannot be
/// read; and against log lines as long as such an entry.
#[actix_rt::test]
async fn odd_entries_stop_no_gateway_and_hide_no_other_entry() {
    let mut site = Site::start(&[("app", None, ECHO), ("llm", Some("decode"), ECHO)], 2).await;
    let worker_key = format!("{WORKER_ENTRY_PREFIX}{}", site.workers[0].worker.id);
    let (entry, _) = site.store.get(&worker_key).expect("the worker's entry");
    let valid = serde_json::from_slice(&entry).expect("JSON");
    for (number, value) in odd_workers(&valid).into_iter().enumerate() {
        let key = format!("{WORKER_ENTRY_PREFIX}odd & {number}");
        site.store.put_bytes(&key, value);
    }
    for (number, value) in odd_values().into_iter().enumerate() {
        for prefix in PREFIXES {
            site.store
                .put_bytes(&format!("{prefix}{number}"), value.clone());
        }
        for key in KEYS {
            site.store.put_bytes(key, value.clone());
        }
        check(&site).await;
    }
    site.add_gateway();
    let started = site.gateways.last().expect("a gateway");
    eventually("the gateway is ready", || async {
        started.is_ready().await.then_some(())
    })
    .await;
    check(&site).await;
    for gateway in site.gateways.drain(..) {
        let lines = gateway.stop_and_read();
        let longest = lines.iter().map(|line| line.to_string().len()).max();
        assert!(longest < Some(MAX_LINE_BYTES), "{longest:?}");
    }
}
