//! Many gateways are killed at the same moment while workers of two software versions serve. Clients take their streams
//! up at the gateway that is left.

use std::collections::BTreeMap;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins::client::{send, Answer, Attempt, Part};
use review_standins::fleet::{Bounds, Fleet};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case, BROKEN, COULD_NOT_RUN, HELD};
use serde_json::json;
use tansyhall_platform_standin::{Behaviour, Store, Worker, WorkerPlan};
use tokio::time::{sleep, timeout};

/// The machines of the site.
const ZONES: [&str; 7] = [
    "kalimati", "kalimati", "balkhu", "balkhu", "thimi", "thimi", "chobhar",
];
const BOUNDS: Bounds = Bounds {
    grace_s: 8,
    lease_ms: 3_000,
    drain_ms: 2_000,
    retry_extra: 54,
    duties: None,
};
const SERVICE: &str = "sahayak-llm";
const HOST: &str = "site.example";
const PATH: &str = "/stock/1";
/// The time that a client gives a stream, which is also the route's time-out.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Workers of each software version.
const WORKERS_PER_VERSION: usize = 3;
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Events of a stream, and the pause before each.
const EVENTS: u32 = 16;
const PAUSE_MS: u64 = 140;
/// Streams that each gateway has begun when the others are killed.
const STREAMS_PER_GATEWAY: usize = 20;
/// Time from the first stream until the kill.
const KILL_AFTER: Duration = Duration::from_millis(800);
/// How long the killed processes are down.
const DOWN: Duration = Duration::from_millis(2_000);
/// Streams that clients begin at the gateway that is left.
const NEW_STREAMS: usize = 20;
/// Time without disturbance after which a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Attempts that a client makes to take a stream up, those that meet no process not counted.
const TAKE_UPS: usize = 3;

/// What became of the streams.
#[derive(Default)]
struct Tally {
    broken_off: usize,
    taken_up: usize,
    went_on: usize,
    mixed: usize,
    new: usize,
    new_begun: usize,
}

struct World {
    record: Record,
    tally: Mutex<Tally>,
    fronts: Vec<std::net::SocketAddr>,
    /// The beginning of all ids of this run. It decides by chance which gateways are told of which stream.
    run: String,
    /// The gateway that is not killed.
    survivor: usize,
    /// The software version of each worker, by its seal.
    versions: BTreeMap<String, &'static str>,
    /// Set when the clients of TROUBLE=0 break their connections themselves.
    breaks: AtomicBool,
}

#[actix_rt::main]
async fn main() {
    exit(run_case(run()).await);
}

async fn run() -> Result<i32, String> {
    let record = Record::create().map_err(|error| error.to_string())?;
    let store = Store::default();
    configure(&store);
    let mut workers = Vec::new();
    for (number, version) in VERSIONS
        .iter()
        .cycle()
        .take(2 * WORKERS_PER_VERSION)
        .enumerate()
    {
        let plan = WorkerPlan {
            incarnation: None,
            service: SERVICE,
            zone: ZONES[2 * (number % 3)],
            version,
            stage: None,
            spot: false,
            duplicates_answers: false,
        };
        let behaviour = Behaviour::Paced {
            events: EVENTS,
            pause_ms: PAUSE_MS,
        };
        let worker = Worker::start(&store, plan, behaviour).map_err(|error| error.to_string())?;
        record.line(format!(
            "worker {} of version {version} serves at {}",
            worker.id, worker.address
        ));
        workers.push((worker, *version));
    }
    let mut fleet = Fleet::start(&record, &store, &ZONES, BOUNDS)?;
    fleet.wait_until_ready(Duration::from_secs(15)).await?;
    // All machines must be in touch, and must know each other.
    sleep(CONTACT + Duration::from_secs(1)).await;
    let world = Arc::new(World {
        record: record.clone(),
        tally: Mutex::default(),
        versions: workers
            .iter()
            .map(|(worker, version)| (format!("seal-of-{}", worker.id), *version))
            .collect(),
        fronts: fleet.gateways.iter().map(|gateway| gateway.front).collect(),
        run: format!("{:x}", run_number()),
        survivor: 0,
        breaks: AtomicBool::new(false),
    });
    let mut clients = Vec::new();
    for gateway in 0..ZONES.len() {
        for number in 0..STREAMS_PER_GATEWAY {
            clients.push(actix_rt::spawn(stream(Arc::clone(&world), gateway, number)));
            sleep(Duration::from_millis(2)).await;
        }
    }
    sleep(KILL_AFTER).await;
    if has_trouble() {
        for index in (0..ZONES.len()).filter(|index| *index != world.survivor) {
            fleet.signal(index, "KILL");
        }
        record.say(format!(
            "{} of {} gateways are killed",
            ZONES.len() - 1,
            ZONES.len()
        ));
    } else {
        world.breaks.store(true, Ordering::Relaxed);
        record.say("no gateway is killed; the clients break their connections");
    }
    let killed_at = Instant::now();
    for number in 0..NEW_STREAMS {
        clients.push(actix_rt::spawn(new_stream(Arc::clone(&world), number)));
        sleep(Duration::from_millis(40)).await;
    }
    sleep(DOWN.saturating_sub(killed_at.elapsed())).await;
    for index in (0..ZONES.len()).filter(|index| has_trouble() && *index != world.survivor) {
        fleet.start_process(index)?;
    }
    for client in clients {
        let _ = client.await;
    }
    drop(fleet);
    for (worker, version) in &workers {
        for run in worker.runs() {
            record.line(format!(
                "worker {} ({version}) ran {} after event {:?}",
                worker.id, run.request_id, run.last_event
            ));
        }
    }
    let tally = world.tally.lock().map_err(|_| "a lock is poisoned")?;
    Ok(judge(&record, &tally))
}

/// Of 12 or more streams that clients take up again at machines in touch, while two workers of their version serve, the
/// share that goes on must not be under half of the share of new streams that begin.
fn judge(record: &Record, tally: &Tally) -> i32 {
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let went_on = share(tally.went_on, tally.taken_up);
    let begun = share(tally.new_begun, tally.new);
    record.say(format!(
        "{} streams broken off; {} taken up at a gateway in touch, {} went on ({went_on:.2}); {} of {} new streams began \
         there ({begun:.2}); {} streams with events of two versions",
        tally.broken_off, tally.taken_up, tally.went_on, tally.new_begun, tally.new, tally.mixed,
    ));
    match (tally.taken_up, went_on < 0.5 * begun) {
        (0..=11, _) => COULD_NOT_RUN,
        (_, true) => BROKEN,
        (_, false) => HELD,
    }
}

/// Returns another number in each run.
fn run_number() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_nanos()
}

fn configure(store: &Store) {
    let document = json!({
        "version": 5,
        "routes": [{
            "name": "stock-query", "host": HOST, "path_prefix": "/stock/", "kind": "streaming",
            "timeout_ms": DEADLINE.as_millis() as u64, "target_latency_ms": 250, "target_gap_ms": 150, "priority": 0,
            "service": SERVICE, "max_attempts": 2, "resumable": true,
        }],
        "services": [{ "name": SERVICE, "health_path": "/healthz", "max_conns": 300 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    });
    store.put("op/config", &document);
}

fn attempt(id: &str, left: Duration, resumed: Option<(&str, u32)>) -> Attempt {
    let mut headers = vec![
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", left.as_millis().to_string()),
    ];
    if let Some((first, last)) = resumed {
        headers.push(("Resumes", first.to_owned()));
        headers.push(("Last-Event-Id", last.to_string()));
    }
    Attempt {
        method: "POST",
        path: PATH.into(),
        host: HOST.into(),
        headers,
        body: b"{}".to_vec(),
    }
}

/// How the reading of a stream ended.
#[derive(Debug, PartialEq)]
enum Ended {
    Complete,
    Broken,
}

/// Reads events until the stream ends, and returns the number of the last whole one.
async fn read_events(
    answer: &mut Answer,
    mut last: u32,
    breaks: Option<&AtomicBool>,
) -> (u32, Ended) {
    let mut text = Vec::new();
    loop {
        if breaks.is_some_and(|breaks| breaks.load(Ordering::Relaxed)) {
            return (last, Ended::Broken);
        }
        match timeout(Duration::from_millis(20), answer.next()).await {
            Err(_) => continue,
            Ok(Part::Bytes(bytes)) => text.extend(bytes),
            Ok(Part::End) => return (last, Ended::Complete),
            Ok(Part::Broken) => return (last, Ended::Broken),
        }
        let whole = String::from_utf8_lossy(&text).into_owned();
        if let Some(end) = whole.rfind("\n\n") {
            let ids = whole[..end]
                .lines()
                .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
            last = ids.max().unwrap_or(last);
            text = whole.as_bytes()[end + 2..].to_vec();
        }
    }
}

fn seal(answer: &Answer) -> String {
    answer
        .head
        .get("X-Response-Seal")
        .unwrap_or_default()
        .to_owned()
}

/// A client that reads a stream, and takes it up if it breaks off.
async fn stream(world: Arc<World>, gateway: usize, number: usize) {
    let first = format!("{}-first-{gateway}-{number}", world.run);
    let began = Instant::now();
    world
        .record
        .line(format!("client sends {first} to gateway {gateway}"));
    let Ok(mut answer) = send(world.fronts[gateway], &attempt(&first, DEADLINE, None)).await else {
        return world.record.line(format!("{first}: no answer"));
    };
    let first_seal = seal(&answer);
    world.record.line(format!(
        "{first}: status {} from {first_seal}",
        answer.head.status
    ));
    let (last, ended) = read_events(&mut answer, 0, Some(&world.breaks)).await;
    drop(answer);
    world
        .record
        .line(format!("{first}: {ended:?} after event {last}"));
    if ended == Ended::Complete || last == 0 {
        return;
    }
    world.tally.lock().expect("a lock").broken_off += 1;
    // The platform leads the client to another machine. Those that are killed refuse the connection, which counts
    // nowhere, so the client is led to the one that is left at once.
    let next = if has_trouble() {
        world.survivor
    } else {
        (gateway + 1) % ZONES.len()
    };
    let (mut counted, mut went_on, mut mixed) = (false, false, false);
    for number in 0..TAKE_UPS {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left.is_zero() {
            break;
        }
        let id = format!("again-{first}-{number}");
        world.record.line(format!(
            "client sends {id} to gateway {next}, Resumes {first}, Last-Event-Id {last}"
        ));
        let Ok(mut answer) = send(
            world.fronts[next],
            &attempt(&id, left, Some((&first, last))),
        )
        .await
        else {
            world.record.line(format!("{id}: no answer"));
            continue;
        };
        counted = true;
        let status = answer.head.status;
        let pause = answer
            .head
            .get("Retry-After")
            .and_then(|text| text.parse::<f64>().ok());
        world.record.line(format!(
            "{id}: status {status}, Retry-After {pause:?}, {}",
            seal(&answer)
        ));
        if status == 200 {
            let (reached, ended) = read_events(&mut answer, last, None).await;
            world
                .record
                .line(format!("{id}: {ended:?} after event {reached}"));
            went_on = reached > last;
            mixed =
                went_on && world.versions.get(&first_seal) != world.versions.get(&seal(&answer));
            break;
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        let pause = Duration::from_secs_f64(pause.unwrap_or(0.1)).min(left / 3);
        sleep(pause).await;
    }
    let mut tally = world.tally.lock().expect("a lock");
    tally.taken_up += usize::from(counted);
    tally.went_on += usize::from(went_on);
    tally.mixed += usize::from(mixed);
}

/// A client that begins a stream at the gateway that is left.
async fn new_stream(world: Arc<World>, number: usize) {
    let id = format!("{}-new-{number}", world.run);
    world
        .record
        .line(format!("client sends {id} to gateway {}", world.survivor));
    let sent = send(world.fronts[world.survivor], &attempt(&id, DEADLINE, None)).await;
    let mut has_begun = false;
    if let Ok(mut answer) = sent {
        let (last, ended) = read_events(&mut answer, 0, None).await;
        has_begun = answer.head.status == 200 && last > 0;
        world.record.line(format!(
            "{id}: status {}, {ended:?} after event {last}",
            answer.head.status
        ));
    }
    let mut tally = world.tally.lock().expect("a lock");
    tally.new += 1;
    tally.new_begun += usize::from(has_begun);
}
