//! What engines' caches hold is known from what was sent there. A gateway that starts asks others for
//! what they know. If none of them has recovered its knowledge, as after the loss of all gateways,
//! engines are asked for lists: each by the scheduler that the hash of its identity ranks first, which
//! tells the others.
//!
//! Only gateways that place requests, or are the next to do so, need to know; the others ask them.
//!
//! A gateway that has served for a moment knows a little; that is not taken for recovered knowledge.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{web, HttpResponse};
use awc::Client;
use prost::Message;
use rand::seq::SliceRandom;
use tansyhall_core::hash::rendezvous_rank;
use tansyhall_forwarding::{PartRead, Worker};
use tokio::time::{sleep, timeout};

use crate::load_messages::{decode_part, encode_part, PartMessage};
use crate::presence::Member;
use crate::state::Shared;
use crate::worker_request::{RequestKind, WorkerRequest};

/// Pause between two looks for workers and gateways.
const PACE: Duration = Duration::from_millis(100);
/// Looks before a gateway that sees no other goes on alone.
const PATIENCE: u32 = 8;
/// Gateways that are asked.
const ASKED_GATEWAYS: usize = 5;
/// Time for one question to a gateway.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the list of an engine.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which the lists that other gateways ask for have arrived.
const OTHERS_LISTS: Duration = Duration::from_secs(2);
/// The longest answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// What a gateway knows of caches, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct CachesMessage {
    /// Parts and where they lie.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<PartMessage>,
    /// Whether the sender has recovered what caches held before its start.
    #[prost(bool, tag = "2")]
    pub recovered: bool,
}

impl CachesMessage {
    /// Whether a gateway that gets this need not ask engines. What the sender has learnt from its
    /// own requests since its start does not suffice.
    pub fn suffices(&self) -> bool {
        self.recovered
    }
}

/// Answers a gateway that asks what caches hold.
pub async fn hand_over(shared: web::Data<Arc<Shared>>) -> HttpResponse {
    let parts = shared.directory.lock().known_parts();
    let message = CachesMessage {
        parts: parts.iter().map(encode_part).collect(),
        recovered: shared.caches_recovered.load(Ordering::Relaxed),
    };
    HttpResponse::Ok().body(message.encode_to_vec())
}

/// Learns what caches hold, once.
pub async fn run(shared: Arc<Shared>) {
    wait_for_the_fleet(&shared).await;
    while !shared.hears_reports() {
        sleep(PACE).await;
    }
    if !learn_from_gateways(&shared).await {
        list_own_engines(&shared).await;
        sleep(OTHERS_LISTS).await;
    }
    shared.caches_recovered.store(true, Ordering::Relaxed);
    shared.metrics.caches_recovered.set(1);
}

/// Asks some gateways; returns whether one that has recovered its knowledge has answered.
async fn learn_from_gateways(shared: &Shared) -> bool {
    let client = Client::builder().timeout(QUESTION_TIMEOUT).finish();
    let mut gateways = other_gateways(shared);
    gateways.shuffle(&mut rand::rng());
    for gateway in gateways.into_iter().take(ASKED_GATEWAYS) {
        let Some(caches) = ask_gateway(&client, gateway).await else {
            continue;
        };
        let suffices = caches.suffices();
        let parts: Vec<PartRead> = caches.parts.into_iter().map(decode_part).collect();
        let now = shared.now();
        shared.directory.lock().learn_parts(now, &parts);
        if suffices {
            return true;
        }
    }
    false
}

async fn list_own_engines(shared: &Shared) {
    for worker in own_engines(shared) {
        let parts = list_engine(shared, &worker).await.unwrap_or_default();
        let now = shared.now();
        shared
            .directory
            .lock()
            .record_listed_parts(now, &worker.id, &parts);
    }
}

async fn wait_for_the_fleet(shared: &Shared) {
    let mut looks = 0;
    while !shared.can_serve() || (looks < PATIENCE && other_gateways(shared).is_empty()) {
        sleep(PACE).await;
        looks += 1;
    }
}

/// The other gateways that need to know what caches hold.
fn other_gateways(shared: &Shared) -> Vec<SocketAddr> {
    let settings = shared.settings.read().clone();
    let fleet = shared.fleet.read().clone();
    let hears =
        |member: &&Member| !settings.decisions.schedulers || fleet.plan.is_listener(&member.name);
    let others = fleet.members().filter(hears).map(|member| member.copy);
    others
        .filter(|address| *address != settings.listen.peers)
        .collect()
}

fn own_engines(shared: &Shared) -> Vec<Worker> {
    let own = shared.settings.read().node.name.clone();
    let fleet = shared.fleet.read().clone();
    let mut names: Vec<&str> = fleet
        .members()
        .map(|member| member.name.as_str())
        .filter(|name| fleet.plan.is_scheduler(name))
        .collect();
    if !names.contains(&own.as_str()) {
        names.push(&own);
    }
    let engines = shared.directory.lock().engine_loads();
    let is_own = |worker: &Worker| {
        let ranked = rendezvous_rank(worker.id.as_str().as_bytes(), names.iter());
        ranked.first().is_some_and(|name| **name == own.as_str())
    };
    let engines = engines.into_iter().map(|engine| engine.worker);
    engines.filter(is_own).collect()
}

async fn ask_gateway(client: &Client, gateway: SocketAddr) -> Option<CachesMessage> {
    let call = client.get(format!("http://{gateway}/caches"));
    let mut response = call.send().await.ok()?;
    let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
    CachesMessage::decode(body).ok()
}

async fn list_engine(
    shared: &Shared,
    worker: &Worker,
) -> Option<Vec<tansyhall_forwarding::PromptPart>> {
    let call = shared.protocol.cache_list_call();
    let request = WorkerRequest::from_call(RequestKind::ListCache, call);
    let destination = shared.destination(worker);
    let answered = async {
        let sent = shared.connections.send(&destination, &request).await;
        let mut answer = sent.ok().filter(|answer| answer.status == 200)?;
        answer.body.read_whole(MAX_ANSWER_BYTES).await
    };
    let body = timeout(LIST_TIMEOUT, answered).await.ok().flatten()?;
    shared.protocol.cache_list(&body).ok()
}
