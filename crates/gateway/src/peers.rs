//! Gateways tell each other what is new in the store. A relay's subscribers ask it again and again
//! and are answered when something has changed; a gateway that hears nothing new from either the
//! store or a relay asks any gateway it knows. Only newer knowledge is taken.

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{web, HttpResponse};
use awc::Client;
use prost::Message;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use crate::copy_message::{Received, UpdateMessage};
use crate::events::{Event, Weight};
use crate::presence;
use crate::state::Shared;
use crate::store_copy::refresh;

/// Age of this gateway's knowledge at which any gateway is asked.
const STALE_AFTER: Duration = Duration::from_millis(1_500);
/// Pause between two questions.
const PACE: Duration = Duration::from_millis(250);
/// Time for one question beside its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a relay may hold a question while nothing changes.
pub const RELAY_WAIT: Duration = Duration::from_millis(300);
/// The longest wait that is granted.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The longest update that is taken.
const MAX_UPDATE_BYTES: usize = 16 << 20;

/// What a gateway that asks has already, and how long it waits for something new.
#[derive(Debug, Deserialize)]
pub struct Question {
    after: u64,
    wait_ms: u64,
    /// Names the question; its answer repeats it. An older version does not tell it.
    #[serde(default)]
    number: u64,
}

/// Answers a gateway that asks what is new.
pub async fn hand_over(
    question: web::Query<Question>,
    shared: web::Data<Arc<Shared>>,
) -> HttpResponse {
    let wait = Duration::from_millis(question.wait_ms).min(MAX_WAIT);
    let mut revision = shared.mirror_revision.subscribe();
    let newer = revision.wait_for(|revision| *revision > question.after);
    let _ = timeout(wait, newer).await;
    let update = shared.mirror.lock().update_after(question.after);
    let age = shared.store_contact.age(shared.now());
    let mut message = UpdateMessage::new(update, age, &mut shared.deflated_values.lock());
    message.question = question.number;
    HttpResponse::Ok().body(message.encode_to_vec())
}

/// A client for questions to gateways.
pub fn client() -> Client {
    Client::builder()
        .timeout(RELAY_WAIT + CALL_TIMEOUT)
        .finish()
}

/// Asks a gateway what is new, takes it in, and returns how old the gateway's knowledge is.
pub async fn ask(
    client: &mut Client,
    peer: SocketAddr,
    wait: Duration,
    shared: &Arc<Shared>,
) -> anyhow::Result<Duration> {
    let after = shared.mirror.lock().revision();
    let Received { update, age } = fetch(client, peer, after, wait).await?;
    shared.store_contact.mark(shared.now(), age);
    if let Some(update) = update {
        let touched = shared.mirror.lock().take_in(update);
        if touched.is_any() {
            refresh(shared, &touched);
        }
    }
    Ok(age)
}

/// Asks a gateway what is newer than a revision. Its answer must name this very question: what comes
/// first on a kept connection may be a late answer to an earlier one, whose age would be believed. The
/// connections of a client that brought such an answer are not used again.
pub async fn fetch(
    client: &mut Client,
    peer: SocketAddr,
    after: u64,
    wait: Duration,
) -> anyhow::Result<Received> {
    let wait_ms = wait.as_millis();
    let number = rand::random::<NonZeroU64>().get();
    let url = format!("http://{peer}/changes?after={after}&wait_ms={wait_ms}&number={number}");
    let call = client.get(url).send().await;
    let mut response = call.map_err(|error| anyhow::anyhow!("{error}"))?;
    anyhow::ensure!(response.status() == 200, "status {}", response.status());
    let body = response.body().limit(MAX_UPDATE_BYTES).await?;
    let message = UpdateMessage::decode(body)?;
    if !message.answers(number) {
        *client = self::client();
        anyhow::bail!("an answer to another question");
    }
    Ok(message.into_received()?)
}

/// Asks any gateway while neither the store nor a relay tells anything.
pub async fn follow(shared: Arc<Shared>) {
    let mut client = client();
    let mut relying = false;
    loop {
        sleep(PACE).await;
        let stale = shared.store_contact.age(shared.now()) > STALE_AFTER;
        if stale != relying {
            relying = stale;
            record(&shared, relying);
        }
        if !stale {
            continue;
        }
        let Some(peer) = pick(&shared) else { continue };
        if let Err(error) = ask(&mut client, peer, Duration::ZERO, &shared).await {
            log::debug!("peer {peer}: {error:#}");
        }
    }
}

fn record(shared: &Shared, relying: bool) {
    let event = Event::Dependency {
        name: "peers",
        state: if relying { "relied_on" } else { "not_needed" },
        reason: "",
    };
    shared.log.record(Weight::Important, &event);
}

fn pick(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings.read().clone();
    let members = presence::members(&shared.mirror.lock());
    let mut peers: Vec<SocketAddr> = members.into_iter().map(|member| member.copy).collect();
    peers.extend(&settings.store.seeds);
    peers.retain(|peer| *peer != settings.listen.peers);
    peers.choose(&mut rand::rng()).copied()
}
