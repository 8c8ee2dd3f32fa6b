//! A gateway reports the usage of a window. Then the store comes back from a copy that is some seconds old, without the
//! decision on what was reported, and all processes are killed. The next holder reports the window once more.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use review_standins::client::{send, Attempt};
use review_standins::fleet::{Bounds, Duties, Fleet};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case, BROKEN, COULD_NOT_RUN, HELD};
use serde_json::json;
use tansyhall_platform_standin::{
    Backup, Behaviour, Operations, Store, StoreFault, UsageCall, Worker, WorkerPlan,
};
use tokio::time::{sleep, timeout};

const ZONES: [&str; 4] = ["kalimati", "balkhu", "thimi", "chobhar"];
const SERVICE: &str = "bhandar-app";
const HOST: &str = "site.example";
/// Length of a usage window, and the time after its end within which its report is due.
const WINDOW_MS: u64 = 5_000;
const LATE_S: u64 = 10;
/// The tenants and their keys.
const TENANTS: [(&str, &str); 2] = [("north-depot", "key-1"), ("south-depot", "key-2")];
/// Pause between two requests to one gateway.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// How long the store is away in the drill.
const AWAY: Duration = Duration::from_millis(200);
/// How long killed processes are down.
const DOWN: Duration = Duration::from_millis(1_000);
/// How old the copy is when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(4_000);
/// Time between two copies of the store.
const COPY_PAUSE: Duration = Duration::from_millis(250);

#[actix_rt::main]
async fn main() {
    exit(run_case(run()).await);
}

async fn run() -> Result<i32, String> {
    let record = Record::create().map_err(|error| error.to_string())?;
    let store = Store::default();
    configure(&store);
    let mut workers = Vec::new();
    for zone in &ZONES[..3] {
        let plan = WorkerPlan {
            incarnation: None,
            service: SERVICE,
            zone,
            version: "1",
            stage: None,
            spot: false,
            duplicates_answers: false,
        };
        let worker = Worker::start(&store, plan, Behaviour::Serve { events: 0 });
        workers.push(worker.map_err(|error| error.to_string())?);
    }
    let operations = Operations::start().map_err(|error| error.to_string())?;
    let bounds = Bounds {
        grace_s: 8,
        lease_ms: 3_000,
        drain_ms: 3_000,
        retry_extra: 166,
        duties: Some(Duties {
            address: operations.address,
            report_window_s: WINDOW_MS / 1_000,
            usage_late_s: LATE_S,
        }),
    };
    let mut fleet = Fleet::start(&record, &store, &ZONES, bounds)?;
    fleet.wait_until_ready(Duration::from_secs(15)).await?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..ZONES.len())
        .map(|gateway| {
            let front = fleet.gateways[gateway].front;
            actix_rt::spawn(send_requests(
                record.clone(),
                front,
                gateway,
                Arc::clone(&is_over),
            ))
        })
        .collect();
    let outcome = disrupt(&record, &store, &operations, &mut fleet, &workers).await;
    if outcome.is_ok() {
        // Until the report of every window before is due.
        sleep(Duration::from_secs(LATE_S + 1)).await;
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    drop(fleet);
    outcome?;
    let calls = operations.usage_calls();
    for worker in &workers {
        record.line(format!(
            "worker {} ran {} requests",
            worker.id,
            worker.runs().len()
        ));
    }
    Ok(judge(&record, &calls))
}

/// Lets the holder report a window, and lets the store and all gateways forget that.
async fn disrupt(
    record: &Record,
    store: &Store,
    operations: &Operations,
    fleet: &mut Fleet,
    workers: &[Worker],
) -> Result<(), String> {
    let first = wait_for("a first report", Duration::from_secs(25), || {
        operations
            .usage_calls()
            .into_iter()
            .find(|call| !call.counts.is_empty())
    })
    .await?;
    record.say(format!("{} reports usage", first.holder));
    if !has_trouble() {
        sleep(Duration::from_secs(15)).await;
        return Ok(());
    }
    // The store is copied all the time; the drill takes a copy of `COPY_AGE` ago.
    let window = first.window + 2;
    let mut copies: VecDeque<(Backup, Duration)> = VecDeque::new();
    let report = wait_for("the report of the window", Duration::from_secs(20), || {
        if copies
            .back()
            .is_none_or(|(_, at)| record.now() - *at >= COPY_PAUSE)
        {
            copies.push_back((store.back_up(), record.now()));
        }
        while copies
            .get(1)
            .is_some_and(|(_, at)| record.now() - *at >= COPY_AGE)
        {
            copies.pop_front();
        }
        operations
            .usage_calls()
            .into_iter()
            .find(|call| call.window == window)
    })
    .await?;
    let (copy, copied_at) = copies.pop_front().ok_or("no copy of the store")?;
    for gateway in &fleet.gateways {
        gateway.store.set_fault(StoreFault::Refuse);
    }
    for index in 0..fleet.gateways.len() {
        fleet.signal(index, "KILL");
    }
    record.say(format!(
        "{} has reported window {window}: {:?}",
        report.holder, report.counts
    ));
    record.say("drill: the store is away; all processes are killed");
    sleep(AWAY).await;
    let age = record.now() - copied_at;
    store.restore(&copy);
    configure(store);
    workers
        .iter()
        .for_each(|worker| worker.write_entry("ready"));
    for gateway in &fleet.gateways {
        gateway.store.set_fault(StoreFault::None);
    }
    record.say(format!(
        "the store is back from a copy {:.1} s old",
        age.as_secs_f64()
    ));
    sleep(DOWN - AWAY).await;
    for index in 0..fleet.gateways.len() {
        fleet.start_process(index)?;
    }
    Ok(())
}

async fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> Option<T>,
) -> Result<T, String> {
    let step = Duration::from_millis(5);
    for _ in 0..limit.as_millis() / step.as_millis() {
        if let Some(found) = check() {
            return Ok(found);
        }
        sleep(step).await;
    }
    Err(format!("waited in vain for {what}"))
}

/// Two reports of one window with different counts, both accepted, break the rule.
fn judge(record: &Record, calls: &[UsageCall]) -> i32 {
    let mut windows: BTreeMap<u64, BTreeSet<&BTreeMap<String, u64>>> = BTreeMap::new();
    for call in calls {
        record.line(format!(
            "accepted: usage of window {} from {} with fence {}: {:?}",
            call.window, call.holder, call.fence, call.counts
        ));
        windows.entry(call.window).or_default().insert(&call.counts);
    }
    let twice: Vec<_> = windows
        .iter()
        .filter(|(_, counts)| counts.len() > 1)
        .collect();
    for (window, counts) in &twice {
        record.say(format!(
            "window {window} is reported with different counts: {counts:?}"
        ));
    }
    record.say(format!(
        "{} windows reported, {} of them with different counts",
        windows.len(),
        twice.len()
    ));
    match (windows.is_empty(), twice.is_empty()) {
        (true, _) => COULD_NOT_RUN,
        (false, true) => HELD,
        (false, false) => BROKEN,
    }
}

/// Clients of one gateway, which send one request after the other.
async fn send_requests(
    record: Record,
    front: std::net::SocketAddr,
    gateway: usize,
    is_over: Arc<AtomicBool>,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let (tenant, key) = TENANTS[number % TENANTS.len()];
        let id = format!("r-{gateway}-{number}");
        let attempt = Attempt {
            method: "GET",
            path: "/manifest/1".into(),
            host: HOST.into(),
            headers: vec![
                ("X-Request-Id", id.clone()),
                ("Api-Key", key.to_owned()),
                ("X-Deadline-Ms", "1500".to_owned()),
            ],
            body: Vec::new(),
        };
        let answered = timeout(Duration::from_secs(3), send(front, &attempt)).await;
        let outcome = match answered {
            Ok(Ok(answer)) => answer.head.status.to_string(),
            _ => "no answer".to_owned(),
        };
        record.line(format!("{id} of {tenant} at gateway {gateway}: {outcome}"));
        sleep(REQUEST_PAUSE).await;
    }
}

fn configure(store: &Store) {
    let tenants: Vec<_> = TENANTS
        .iter()
        .map(|(name, key)| json!({ "name": name, "api_keys": [key] }))
        .collect();
    let document = json!({
        "version": 5,
        "routes": [{
            "name": "load-manifest", "host": HOST, "path_prefix": "/manifest/", "kind": "idempotent",
            "timeout_ms": 1_500, "target_latency_ms": 300, "priority": 2, "service": SERVICE, "max_attempts": 2,
        }],
        "services": [{ "name": SERVICE, "health_path": "/healthz", "max_conns": 440 }],
        "tenants": tenants,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    });
    store.put("op/config", &document);
}
