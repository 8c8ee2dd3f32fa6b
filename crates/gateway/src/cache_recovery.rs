//! Recovery of the engines' cache contents after a gateway's start. A running gateway knows what the
//! caches contain from the prompts that were sent to the engines; a gateway that starts queries other
//! gateways. If none of them has recovered the cache contents, for example after the loss of all
//! gateways, the engines are queried for lists of their contents. Each engine is queried by the scheduler
//! that ranks first for the engine's id in rendezvous hashing, which reports the list to the others.
//!
//! Only gateways that place requests, or are next in line to do so, need the cache contents; the other
//! gateways send placement requests to them.
//!
//! A gateway that has been serving for a moment knows a few cached prompts. This does not count as
//! recovered.

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

/// Pause between two checks for workers and gateways.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which a gateway that finds no other gateway proceeds alone.
const MAX_DISCOVERY_CHECKS: u32 = 8;
const MAX_QUERIED_GATEWAYS: usize = 5;
/// Timeout of one query to a gateway.
const GATEWAY_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of one query for the list of an engine.
const ENGINE_LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which the lists that other gateways have queried are reported to this one.
const PEER_LISTS_WINDOW: Duration = Duration::from_secs(2);
/// Longest answer that is accepted from a gateway or an engine.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The cache contents known to a gateway, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct CachesMessage {
    /// Prompt parts and the workers whose caches hold them.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<PartMessage>,
    /// Whether the sender has recovered the cache contents from before its start.
    #[prost(bool, tag = "2")]
    pub recovered: bool,
}

impl CachesMessage {
    /// Returns whether the receiver need not query engines. What the sender has learned only from its own requests
    /// since its start is not sufficient.
    pub fn is_sufficient(&self) -> bool {
        self.recovered
    }
}

/// Answers a gateway's query for the known cache contents.
pub async fn serve_caches(shared: web::Data<Arc<Shared>>) -> HttpResponse {
    let parts = shared.directory.lock().known_parts();
    let message = CachesMessage {
        parts: parts.iter().map(encode_part).collect(),
        recovered: shared.caches_recovered.load(Ordering::Relaxed),
    };
    HttpResponse::Ok().body(message.encode_to_vec())
}

/// Recovers the cache contents once.
pub async fn run(shared: Arc<Shared>) {
    wait_for_fleet(&shared).await;
    while !shared.receives_load_reports() {
        sleep(CHECK_INTERVAL).await;
    }
    if !query_gateways(&shared).await {
        query_own_engines(&shared).await;
        sleep(PEER_LISTS_WINDOW).await;
    }
    shared.caches_recovered.store(true, Ordering::Relaxed);
    shared.metrics.caches_recovered.set(1);
}

/// Queries some gateways. Returns whether a gateway that has recovered the cache contents has answered.
async fn query_gateways(shared: &Shared) -> bool {
    let client = Client::builder().timeout(GATEWAY_QUERY_TIMEOUT).finish();
    let mut gateways = other_gateways(shared);
    gateways.shuffle(&mut rand::rng());
    for gateway in gateways.into_iter().take(MAX_QUERIED_GATEWAYS) {
        let Some(caches) = query_gateway(&client, gateway).await else {
            continue;
        };
        let is_sufficient = caches.is_sufficient();
        let parts: Vec<PartRead> = caches.parts.into_iter().map(decode_part).collect();
        let now = shared.now();
        shared.directory.lock().learn_parts(now, &parts);
        if is_sufficient {
            return true;
        }
    }
    false
}

async fn query_own_engines(shared: &Shared) {
    for worker in own_engines(shared) {
        let parts = query_engine(shared, &worker).await.unwrap_or_default();
        let now = shared.now();
        shared
            .directory
            .lock()
            .record_listed_parts(now, &worker.id, &parts);
    }
}

async fn wait_for_fleet(shared: &Shared) {
    let mut checks = 0;
    while !shared.can_serve()
        || (checks < MAX_DISCOVERY_CHECKS && other_gateways(shared).is_empty())
    {
        sleep(CHECK_INTERVAL).await;
        checks += 1;
    }
}

/// Returns the other gateways that need the cache contents.
fn other_gateways(shared: &Shared) -> Vec<SocketAddr> {
    let settings = shared.settings.read().clone();
    let fleet = shared.fleet.read().clone();
    let receives_reports =
        |member: &&Member| !settings.decisions.schedulers || fleet.plan.is_listener(&member.name);
    let others = fleet
        .members()
        .filter(receives_reports)
        .map(|member| member.peer_address);
    others
        .filter(|address| *address != settings.listen.peers)
        .collect()
}

/// Returns the engines that this gateway has to query: those for which it ranks first among the schedulers.
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

async fn query_gateway(client: &Client, gateway: SocketAddr) -> Option<CachesMessage> {
    let call = client.get(format!("http://{gateway}/caches"));
    let response = call.send().await.ok()?;
    // The client's timeout does not cover the body.
    let mut response = response.timeout(GATEWAY_QUERY_TIMEOUT);
    let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
    CachesMessage::decode(body).ok()
}

async fn query_engine(
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
    let body = timeout(ENGINE_LIST_TIMEOUT, answered)
        .await
        .ok()
        .flatten()?;
    shared.protocol.decode_cache_list(&body).ok()
}
