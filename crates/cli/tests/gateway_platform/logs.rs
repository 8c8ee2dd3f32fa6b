//! The log of a gateway: one line for each decision, and no contents of callers' requests.

use serde_json::Value;
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;

use crate::support::{send_request, Site, AT_MOST_ONCE, NON_RESUMABLE, REPEATABLE, RESUMABLE};

const SECRET: &[u8] = b"the body of a ledger";

/// Returns whether a line has these fields with these values.
fn has_line(lines: &[Value], fields: &[(&str, &str)]) -> bool {
    let matches = |line: &Value| fields.iter().all(|(name, value)| line[*name] == **value);
    lines.iter().any(matches)
}

#[actix_rt::test]
async fn each_decision_is_logged_and_no_line_contains_a_body() {
    let mut site = Site::start(&[("app", None, Behaviour::Serve { events: 0 })], 1).await;
    let worker = site.workers[0].worker.clone();
    let gateway = &site.gateways[0];
    send_request(gateway, "delivered", REPEATABLE, SECRET).await;
    send_request(gateway, "no-route", "/nowhere/", SECRET).await;
    send_request(gateway, "too-long", AT_MOST_ONCE, &[b'x'; 100_000]).await;
    for (id, path, behaviour) in [
        ("lost", AT_MOST_ONCE, Behaviour::MismatchedId),
        (
            "broken",
            NON_RESUMABLE,
            Behaviour::AbortAnswer { events: 1 },
        ),
        ("failed", AT_MOST_ONCE, Behaviour::Fail),
        ("refused", AT_MOST_ONCE, Behaviour::NotRun),
    ] {
        worker.set_behaviour(behaviour);
        send_request(gateway, id, path, SECRET).await;
    }
    std::fs::write(&gateway.settings, "not = 'settings'").expect("the file is written");
    gateway.process.signal("HUP");
    worker.write_entry("draining");
    site.wait_for_ready_workers(0, 0.0).await;
    send_request(gateway, "nobody", REPEATABLE, SECRET).await;
    eventually("it holds the authority over roles", || async {
        let holds = gateway.metric("gateway_holds_authority").await?;
        (holds == 1.0).then_some(())
    })
    .await;
    let lines = site.gateways.remove(0).stop_and_read();
    for expected in [
        &[("event", "started"), ("zone", "kalimati")][..],
        &[("event", "configuration_applied")],
        &[("event", "workers_changed")],
        &[("event", "authority"), ("state", "acquired")],
        &[("event", "reloaded")],
        &[("event", "stopping")],
        &[("event", "stopped")],
        &[
            ("event", "refused"),
            ("request", "no-route"),
            ("reason", "no_route"),
        ],
        &[
            ("event", "refused"),
            ("request", "too-long"),
            ("reason", "body_too_long"),
        ],
        &[
            ("event", "send"),
            ("request", "delivered"),
            ("outcome", "answered"),
        ],
        &[
            ("event", "request"),
            ("request", "delivered"),
            ("outcome", "delivered"),
        ],
        &[
            ("event", "send"),
            ("request", "lost"),
            ("outcome", "failed"),
        ],
        &[
            ("event", "request"),
            ("request", "lost"),
            ("outcome", "lost"),
        ],
        &[
            ("event", "request"),
            ("request", "broken"),
            ("outcome", "broken"),
        ],
        &[
            ("event", "request"),
            ("request", "failed"),
            ("outcome", "worker_error"),
        ],
        &[
            ("event", "send"),
            ("request", "refused"),
            ("outcome", "refused"),
        ],
        &[
            ("event", "request"),
            ("request", "refused"),
            ("outcome", "refused"),
        ],
        &[
            ("event", "request"),
            ("request", "nobody"),
            ("cause", "no_worker"),
        ],
    ] {
        assert!(
            has_line(&lines, expected),
            "no line with {expected:?} in {lines:#?}"
        );
    }
    let secret = String::from_utf8_lossy(SECRET).into_owned();
    assert!(lines.iter().all(|line| !line.to_string().contains(&secret)));
}

/// Guards against pauses of streams that are not measured, and against waits for the first event that count as pauses.
#[actix_rt::test]
async fn the_longest_pause_of_a_stream_is_logged_and_counted() {
    const PAUSE_MS: u64 = 120;
    let paced = |events| Behaviour::Paced {
        events,
        pause_ms: PAUSE_MS,
    };
    let mut site = Site::start(&[("app", None, paced(3))], 1).await;
    let worker = site.workers[0].worker.clone();
    let gateway = &site.gateways[0];
    send_request(gateway, "paced", NON_RESUMABLE, b"x").await;
    send_request(gateway, "paced-resumable", RESUMABLE, b"x").await;
    worker.set_behaviour(paced(1));
    send_request(gateway, "single", NON_RESUMABLE, b"x").await;
    let counted = gateway
        .metric("gateway_stream_pause_seconds_count{service=\"app\"}")
        .await;
    assert_eq!(counted, Some(2.0));
    let lines = site.gateways.remove(0).stop_and_read();
    for event in ["send", "request"] {
        let pause_ms = |request: &str| {
            let mut of_request = lines
                .iter()
                .filter(|line| line["event"] == event && line["request"] == request);
            let line = of_request.next().expect("a line of the request");
            line["pause_ms"].as_u64().expect("a number of milliseconds")
        };
        // The timers of the gateway and the worker may differ by a few milliseconds.
        assert!(pause_ms("paced") >= PAUSE_MS - 20);
        assert!(pause_ms("paced-resumable") >= PAUSE_MS - 20);
        assert_eq!(pause_ms("single"), 0);
    }
}
