//! A gateway holds the authority over the engines and is frozen. Another one takes over and orders engines. Then the
//! store comes back from a copy that is some seconds old, in which the first one is still the holder, and that one wakes.

use std::collections::BTreeMap;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use bytes::Bytes;
use review_standins::fleet::{Bounds, Fleet, StoreCall};
use review_standins::record::Record;
use review_standins::{has_trouble, run_case, BROKEN, COULD_NOT_RUN, HELD};
use serde_json::{json, Value};
use tansyhall_platform_standin::{Store, StoreFault};
use tokio::time::sleep;

const ZONES: [&str; 3] = ["tt-hall-a", "tt-hall-b", "ba-hall"];
const ENGINES: usize = 12;
const SERVICE: &str = "lm-desk";
/// Bounds of the site.
const BOUNDS: Bounds = Bounds {
    grace_s: 8,
    lease_ms: 3_000,
    drain_ms: 2_000,
    retry_extra: 56,
    duties: None,
};
const CONTACT: Duration = Duration::from_millis(3_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long an order that gets no answer waits until it is carried out.
const LATE_ORDER: Duration = Duration::from_secs(12);
/// One engine in so many answers its orders; those of the others get no answer.
const ANSWERING: usize = 3;
/// Time from the freeze until the store is copied. The lease of the frozen gateway then still lasts for a second or more.
const COPY_DELAY: Duration = Duration::from_millis(1_000);
/// How long the store is away in the drill.
const AWAY: Duration = Duration::from_millis(1_000);
/// Time after the store's return at which the killed processes start again.
const RESTART: Duration = Duration::from_millis(1_000);
/// How long the fleet is watched after the drill.
const AFTERMATH: Duration = Duration::from_secs(11);

/// An order as it arrived at an engine.
#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    engine: usize,
    holder: String,
    fence: u64,
}

struct Engine {
    number: usize,
    id: String,
    is_silent: bool,
    stage: Mutex<String>,
    taken: Mutex<u64>,
}

struct World {
    record: Record,
    arrivals: Mutex<Vec<Arrival>>,
}

type EngineData = web::Data<(Arc<Engine>, Arc<World>)>;

async fn serve(request: HttpRequest, body: Bytes, data: EngineData) -> HttpResponse {
    let (engine, world) = &**data;
    let header = |name: &str| {
        request
            .headers()
            .get(name)?
            .to_str()
            .ok()
            .map(str::to_owned)
    };
    if header("X-Target-Instance").is_some_and(|target| target != engine.id) {
        return HttpResponse::MisdirectedRequest().finish();
    }
    match (request.method().as_str(), request.path()) {
        ("GET", "/report") => HttpResponse::Ok().json(json!({
            "stage": *engine.stage.lock().expect("a lock"),
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "busy": false,
            "seq": *engine.taken.lock().expect("a lock"),
            "queued": 0, "running": 0, "kv_used": 0, "kv_total": 305_000, "kv_handles": 0,
        })),
        ("GET", "/kv-list") => {
            HttpResponse::Ok().json(json!({ "epoch": 1, "next_token": 0, "held": [] }))
        }
        ("POST", "/order") => order(engine, world, &body).await,
        _ => HttpResponse::NotFound().finish(),
    }
}

async fn order(engine: &Arc<Engine>, world: &Arc<World>, body: &[u8]) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let holder = order["holder"].as_str().unwrap_or_default().to_owned();
    let fence = order["fence"].as_u64().unwrap_or_default();
    let count = order["expected_count"].as_u64();
    let stage = order["stage"].as_str().unwrap_or_default().to_owned();
    world.record.say(format!(
        "engine {} gets an order: stage {stage}, holder {holder}, fence {fence}, expected_count {count:?}",
        engine.id
    ));
    world.arrivals.lock().expect("a lock").push(Arrival {
        at: Instant::now(),
        engine: engine.number,
        holder,
        fence,
    });
    if engine.is_silent {
        let (engine, world) = (Arc::clone(engine), Arc::clone(world));
        actix_rt::spawn(async move {
            sleep(LATE_ORDER).await;
            let is_taken = carry_out(&engine, count, &stage);
            world
                .record
                .line(format!("engine {} late order taken: {is_taken}", engine.id));
        });
        sleep(Duration::from_secs(600)).await;
        return HttpResponse::InternalServerError().finish();
    }
    match carry_out(engine, count, &stage) {
        true => HttpResponse::Accepted().finish(),
        false => HttpResponse::Conflict().finish(),
    }
}

/// Carries an order out if no other one was taken since it was given. Fences aren't checked here.
fn carry_out(engine: &Engine, count: Option<u64>, stage: &str) -> bool {
    let mut taken = engine.taken.lock().expect("a lock");
    let is_current = count.is_none_or(|count| count == *taken);
    if is_current {
        *taken += 1;
        *engine.stage.lock().expect("a lock") = stage.to_owned();
    }
    is_current
}

fn start_engine(number: usize, world: &Arc<World>) -> std::io::Result<(Arc<Engine>, String)> {
    let engine = Arc::new(Engine {
        number,
        id: format!("i-{number:08x}"),
        is_silent: has_trouble() && number % ANSWERING != 0,
        stage: Mutex::new("decode".into()),
        taken: Mutex::new(0),
    });
    let data: EngineData = web::Data::new((Arc::clone(&engine), Arc::clone(world)));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::to(serve))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))?;
    let address = server.addrs()[0].to_string();
    actix_rt::spawn(server.run());
    Ok((engine, address))
}

fn write_entry(store: &Store, engine: &Engine, address: &str, beat: u64) {
    let entry = json!({
        "service": SERVICE, "address": address, "zone": ZONES[engine.number % ZONES.len()],
        "version": "1", "slots": 48, "state": "ready", "cold_left_ms": 0, "seq": beat,
        "stage": *engine.stage.lock().expect("a lock"),
        "models": [{ "name": "m", "version": 1, "adapters": [] }],
    });
    store.put(&format!("servers/{}", engine.id), &entry);
}

fn configure(store: &Store) {
    let document = json!({
        "version": 5,
        "routes": [{
            "name": "traveller-reply", "host": "site.example", "path_prefix": "/reply/",
            "kind": "streaming", "timeout_ms": 15_000, "target_latency_ms": 250,
            "target_gap_ms": 150, "priority": 1, "service": SERVICE, "max_attempts": 1,
        }],
        "services": [{
            "name": SERVICE, "health_path": "/healthz", "max_conns": 300,
            "engine": { "slots": 48, "kv_tokens": 305_000, "kv_bytes": 131_072.0, "link_mbps": 8_800_000.0 },
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    });
    store.put("op/config", &document);
}

/// Waits until a gateway has written to the store under a condition which engines it wants to change, and returns its
/// name: it is the one that "last wrote to the store under a condition".
async fn wait_for_leader(store: &Store) -> Option<String> {
    for _ in 0..6_000 {
        if store.get("tansyhall/roles").is_some() {
            let (claim, _) = store.get("tansyhall/authority/roles")?;
            let claim = String::from_utf8(claim).ok()?;
            return claim.split(' ').nth(1).map(str::to_owned);
        }
        sleep(Duration::from_millis(5)).await;
    }
    None
}

#[actix_rt::main]
async fn main() {
    exit(run_case(run()).await);
}

async fn run() -> Result<i32, String> {
    let record = Record::create().map_err(|error| error.to_string())?;
    let world = Arc::new(World {
        record: record.clone(),
        arrivals: Mutex::default(),
    });
    let store = Store::default();
    configure(&store);
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let started = start_engine(number, &world).map_err(|error| error.to_string());
        engines.push(started?);
    }
    let write_all = {
        let (store, engines) = (store.clone(), engines.clone());
        move |beat| {
            engines
                .iter()
                .for_each(|(engine, address)| write_entry(&store, engine, address, beat))
        }
    };
    write_all(0);
    let is_away = Arc::new(Mutex::new(false));
    let heartbeat = (write_all.clone(), Arc::clone(&is_away));
    actix_rt::spawn(async move {
        for beat in 1.. {
            sleep(HEARTBEAT).await;
            if !*heartbeat.1.lock().expect("a lock") {
                (heartbeat.0)(beat);
            }
        }
    });
    let mut fleet = Fleet::start(&record, &store, &ZONES, BOUNDS)?;
    fleet.wait_until_ready(Duration::from_secs(15)).await?;
    let leader = wait_for_leader(&store)
        .await
        .and_then(|name| fleet.index_of(&name));
    let first = leader.ok_or("no gateway has taken the authority")?;
    record.say(format!(
        "{} leads: it has written to the store under a condition",
        fleet.gateways[first].name
    ));
    let mut restore = None;
    let calm_again = match has_trouble() {
        false => {
            sleep(Duration::from_secs(12)).await;
            Instant::now()
        }
        true => {
            fleet.signal(first, "STOP");
            record.say(format!("{} is frozen", fleet.gateways[first].name));
            sleep(COPY_DELAY).await;
            let copy = store.back_up();
            let copied_at = record.now();
            let copied = Instant::now();
            let lease = lease_of_claim(&store).ok_or("the copy has no claim")?;
            record.say("the store is copied");
            let name = fleet.gateways[first].name.clone();
            let mut tries = 0;
            while !world
                .arrivals
                .lock()
                .expect("a lock")
                .iter()
                .any(|order| order.holder != name)
            {
                sleep(Duration::from_millis(20)).await;
                tries += 1;
                if tries > 1_000 {
                    return Err("no other gateway has given orders".into());
                }
            }
            sleep(Duration::from_millis(300)).await;
            record.say("drill: the store is away; the processes of all other machines are killed");
            let others: Vec<usize> = (0..fleet.gateways.len())
                .filter(|index| *index != first)
                .collect();
            for other in &others {
                fleet.signal(*other, "KILL");
            }
            *is_away.lock().expect("a lock") = true;
            for gateway in &fleet.gateways {
                gateway.store.set_fault(StoreFault::Refuse);
            }
            sleep(AWAY).await;
            let age = record.now() - copied_at;
            store.restore(&copy);
            configure(&store);
            *is_away.lock().expect("a lock") = false;
            write_all(1_000_000);
            for gateway in &fleet.gateways {
                gateway.store.set_fault(StoreFault::None);
            }
            fleet.signal(first, "CONT");
            record.say(format!(
                "the store is back from a copy {:.1} s old, and {name} wakes",
                age.as_secs_f64()
            ));
            restore = Some(Restore {
                lease,
                copied,
                returned: Instant::now(),
            });
            sleep(RESTART).await;
            for other in others {
                fleet.start_process(other)?;
            }
            Instant::now()
        }
    };
    sleep(AFTERMATH).await;
    if let Some(restore) = &restore {
        check_lease(
            &record,
            restore,
            &fleet.store_calls[first].lock().expect("a lock"),
        )?;
    }
    drop(fleet);
    let arrivals = world.arrivals.lock().expect("a lock").clone();
    Ok(judge(&record, &arrivals, calm_again))
}

/// What the restore of the store did with the lease of the gateway that was frozen.
struct Restore {
    lease: String,
    copied: Instant,
    returned: Instant,
}

/// Returns the lease of the claim in the store.
fn lease_of_claim(store: &Store) -> Option<String> {
    let (claim, _) = store.get("tansyhall/authority/roles")?;
    String::from_utf8(claim)
        .ok()?
        .split(' ')
        .next()
        .map(str::to_owned)
}

/// The store gives the leases in a copy their whole time again. The case counts only if the gateway renewed its lease
/// within the time that was left of it in the copy.
fn check_lease(record: &Record, restore: &Restore, calls: &[StoreCall]) -> Result<(), String> {
    let renewal = format!("POST /kv-keep/{} ", restore.lease);
    let times = |head: &str| -> Vec<Instant> {
        let matching = calls.iter().filter(|(_, line)| line.starts_with(head));
        matching.map(|(at, _)| *at).collect()
    };
    // The last lease that was granted to the gateway before the copy is that of its claim.
    let mut begun = times("POST /kv-lease ");
    begun.extend(times(&renewal));
    let before = begun.iter().filter(|at| **at < restore.copied).max();
    let after = times(&renewal)
        .into_iter()
        .find(|at| *at > restore.returned);
    let (Some(before), Some(after)) = (before, after) else {
        return Err("the lease was not renewed".into());
    };
    let left = Duration::from_millis(BOUNDS.lease_ms).saturating_sub(restore.copied - *before);
    let taken = after - restore.returned;
    record.say(format!(
        "the lease had {left:.1?} left in the copy, and was renewed {taken:.1?} after the return of the store"
    ));
    match taken < left {
        true => Ok(()),
        false => Err("the lease was renewed too late".into()),
    }
}

/// An order with a lower fence than one that another machine gave to the same engine before breaks the rule. Only orders
/// are counted that arrive when all machines are in touch and the store is stable.
fn judge(record: &Record, arrivals: &[Arrival], calm_again: Instant) -> i32 {
    let mut highest: BTreeMap<usize, &Arrival> = BTreeMap::new();
    let (mut all, mut counted) = (0, 0);
    for order in arrivals {
        let before = highest.get(&order.engine).copied();
        if let Some(before) =
            before.filter(|before| before.fence > order.fence && before.holder != order.holder)
        {
            all += 1;
            let is_counted = order.at > calm_again + CONTACT;
            counted += usize::from(is_counted);
            record.say(format!(
                "engine i-{:08x}: fence {} of {} after fence {} of {}{}",
                order.engine,
                order.fence,
                order.holder,
                before.fence,
                before.holder,
                if is_counted { ", all in touch" } else { "" },
            ));
        }
        if before.is_none_or(|before| before.fence <= order.fence) {
            highest.insert(order.engine, order);
        }
    }
    record.say(format!(
        "{} orders; {all} with a lower fence after a higher one, {counted} of them counted",
        arrivals.len()
    ));
    if arrivals.is_empty() {
        return COULD_NOT_RUN;
    }
    match counted {
        0 => HELD,
        _ => BROKEN,
    }
}
