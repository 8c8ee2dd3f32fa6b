//! Gateways tell each other what is new in the store. A relay's subscribers ask it again and again
//! and are answered when something has changed; a gateway that hears nothing new from either the
//! store or a relay asks any gateway it knows. Only newer knowledge is taken.

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{web, HttpResponse};
use awc::error::PayloadError;
use awc::http::header::HeaderMap;
use awc::{Client, ClientResponse};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use prost::Message;
use rand::seq::IndexedRandom;
use rand::RngExt;
use serde::Deserialize;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{MirrorUpdate, Position, Touched};
use tokio::time::{sleep, timeout};

use crate::events::{Event, Priority};
use crate::mirror_refresh::refresh;
use crate::presence::Member;
use crate::state::Shared;
use crate::update_cache::CopyAnswer;
use crate::update_message::{Received, UpdateHead, UpdateMessage};

/// Age of this gateway's knowledge at which any gateway is asked.
const STALE_AFTER: Duration = Duration::from_millis(1_500);
/// Time after the start in which the follower gets the first copy, so that nobody else is asked for one.
const FIRST_COPY: Timestamp = Timestamp::from_millis(6_000);
/// One of so many questions goes to any zone.
const OTHER_ZONES_RATIO: u32 = 4;
/// Pause between two questions.
const PACE: Duration = Duration::from_millis(250);
/// Time for one question beside its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time to deflate a whole copy, in the place of [`CALL_TIMEOUT`]: 20,000 entries take some 0.1 s of a whole core (worked out, not measured).
const WHOLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest pause within an answer's body,
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// and the longest time for all of it.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a relay may hold a question while nothing changes.
pub const RELAY_WAIT: Duration = Duration::from_millis(300);
/// The longest wait that is granted.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The longest update that is taken.
const MAX_UPDATE_BYTES: usize = 16 << 20;
/// Names the epoch of a copy in the answer that tells what is new in it; an older version does not tell it.
const EPOCH_HEADER: HeaderName = HeaderName::from_static("tansyhall-store-epoch");
/// Says in the answer that its changes lead over a gap; an older version does not tell it.
const SKIPS_HEADER: HeaderName = HeaderName::from_static("tansyhall-store-gap");
/// The age of knowledge of an epoch that is over.
const OBSOLETE: Duration = Duration::MAX;

/// What a gateway that asks has already, and how long it waits for something new.
#[derive(Debug, Deserialize)]
pub struct Question {
    after: u64,
    /// The epoch of that revision; an older version does not tell it, and is taken to be in the same epoch.
    epoch: Option<u64>,
    wait_ms: u64,
    /// Names the question; its answer repeats it. An older version does not tell it.
    #[serde(default)]
    number: u64,
    /// Whether items may be deflated together; an older version does not understand that.
    #[serde(default)]
    deflated: bool,
}

impl Question {
    /// Up to where the asking gateway knows the store.
    fn position(&self, assumed_epoch: u64) -> Position {
        Position::new(self.epoch.unwrap_or(assumed_epoch), self.after)
    }
}

/// Answers a gateway that asks what is new.
pub async fn hand_over(
    question: web::Query<Question>,
    shared: web::Data<Arc<Shared>>,
) -> HttpResponse {
    let wait = Duration::from_millis(question.wait_ms).min(MAX_WAIT);
    let mut position = shared.mirror_position.subscribe();
    let newer = position.wait_for(|position| *position > question.position(position.epoch));
    let _ = timeout(wait, newer).await;
    let (head, mut message) = update_for(&shared, &question);
    message.question = question.number;
    let mut answer = HttpResponse::Ok();
    answer.insert_header((EPOCH_HEADER, head.epoch));
    if head.skips {
        answer.insert_header((SKIPS_HEADER, "true"));
    }
    answer.body(message.encode_to_vec())
}

fn update_for(shared: &Shared, question: &Question) -> (UpdateHead, UpdateMessage) {
    let age = shared.store_contact.age(shared.now());
    let plain = |update| UpdateMessage::new(update, age, &mut shared.deflated_values.lock());
    let mut answers = shared.copy_answers.lock();
    let mirror = shared.mirror.lock();
    let epoch = mirror.position().epoch;
    let after = question.position(epoch);
    let answer = match question.deflated {
        true => answers.after(&mirror, after),
        false => mirror
            .update_after(after)
            .map_or(CopyAnswer::Nothing, CopyAnswer::Plain),
    };
    drop((answers, mirror));
    let skips = answer.skips();
    let message = match answer {
        CopyAnswer::Nothing => plain(None),
        CopyAnswer::Plain(update) => plain(Some(update)),
        CopyAnswer::Deflated(update) => UpdateMessage::deflated(update, age),
    };
    (UpdateHead { epoch, skips }, message)
}

/// A client for questions to gateways.
pub fn client() -> Client {
    Client::builder()
        .timeout(RELAY_WAIT + CALL_TIMEOUT)
        .finish()
}

/// Asks a gateway what is new, takes it in, and returns how old the gateway's knowledge is. What a gateway tells of an
/// epoch that is over is obsolete.
pub async fn ask(
    client: &mut Client,
    peer: SocketAddr,
    wait: Duration,
    shared: &Arc<Shared>,
) -> anyhow::Result<Duration> {
    let after = shared.mirror.lock().position();
    let Received { update, epoch, age } = fetch(client, peer, after, wait).await?;
    let is_present = shared.store_contact.mark(shared.now(), age, epoch);
    if !is_present {
        return Ok(OBSOLETE);
    }
    if let Some(update) = update {
        let touched = take_in(shared, after, update);
        if touched.has_changes() {
            refresh(shared, &touched);
        }
    }
    Ok(age)
}

/// Takes an update in. What leads on from an earlier epoch leads nowhere if the copy has left that epoch meanwhile.
fn take_in(shared: &Shared, asked_after: Position, update: MirrorUpdate) -> Touched {
    let mut mirror = shared.mirror.lock();
    if mirror.position().epoch != asked_after.epoch && !asked_after.is_start() {
        return Touched::Nothing;
    }
    mirror.apply_update(update)
}

/// Asks a gateway what is newer than a position. Its answer must name this very question: what comes
/// first on a kept connection may be a late answer to an earlier one, whose age would be believed. The
/// connections of a client that brought such an answer are not used again.
pub async fn fetch(
    client: &mut Client,
    peer: SocketAddr,
    after: Position,
    wait: Duration,
) -> anyhow::Result<Received> {
    let wait_ms = wait.as_millis();
    let number = rand::random::<NonZeroU64>().get();
    let Position { epoch, revision } = after;
    let url = format!(
        "http://{peer}/changes?after={revision}&epoch={epoch}&wait_ms={wait_ms}&number={number}&deflated=true"
    );
    let call = client.get(url).timeout(head_timeout(after)).send().await;
    let response = call.map_err(|error| anyhow::anyhow!("{error}"))?;
    anyhow::ensure!(response.status() == 200, "status {}", response.status());
    let head = head_of(response.headers(), after)?;
    let body = read_body(response.timeout(BODY_TIMEOUT)).await?;
    let message = UpdateMessage::decode(body)?;
    if !message.answers(number) {
        *client = self::client();
        anyhow::bail!("an answer to another question");
    }
    Ok(message.into_received(head)?)
}

/// What the head of an answer tells. An older version tells no epoch: it counts as that of the asking gateway, which
/// knows of none that is over.
fn head_of(headers: &HeaderMap, asked_after: Position) -> anyhow::Result<UpdateHead> {
    let epoch = headers.get(EPOCH_HEADER).map(epoch_of).transpose()?;
    Ok(UpdateHead {
        epoch: epoch.unwrap_or(asked_after.epoch),
        skips: headers.contains_key(SKIPS_HEADER),
    })
}

fn epoch_of(value: &HeaderValue) -> anyhow::Result<u64> {
    Ok(value.to_str()?.parse()?)
}

/// Time for the head of an answer. Whoever has nothing yet asks for the whole copy, which the other may have to
/// deflate first.
fn head_timeout(after: Position) -> Duration {
    match after.is_start() {
        true => RELAY_WAIT + WHOLE_TIMEOUT,
        false => RELAY_WAIT + CALL_TIMEOUT,
    }
}

/// Reads an update for as long as it keeps coming: how long a whole copy takes depends on a link that many
/// share.
async fn read_body<S>(mut response: ClientResponse<S>) -> anyhow::Result<Bytes>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = timeout(SILENCE_TIMEOUT, response.next()).await? {
        body.extend_from_slice(&chunk?);
        anyhow::ensure!(body.len() <= MAX_UPDATE_BYTES, "an update that is too long");
    }
    Ok(body.freeze())
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
        let follower_starts =
            shared.mirror.lock().position().is_start() && shared.now() < FIRST_COPY;
        if !stale || follower_starts {
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
    shared.log.record(Priority::Important, &event);
}

fn pick(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings.read().clone();
    let fleet = shared.fleet.read().clone();
    let is_other = |peer: &SocketAddr| *peer != settings.listen.peers;
    let of_zone = |member: &&Member| member.zone.as_ref() == Some(&settings.node.zone);
    let zone = fleet.members().filter(of_zone).map(|member| member.copy);
    let zone: Vec<SocketAddr> = zone.filter(is_other).collect();
    // Ways between zones are longer and dearer; one question in a few goes there, as the whole zone may be cut off.
    if !zone.is_empty() && !rand::rng().random_ratio(1, OTHER_ZONES_RATIO) {
        return zone.choose(&mut rand::rng()).copied();
    }
    let mut peers: Vec<SocketAddr> = fleet.members().map(|member| member.copy).collect();
    peers.extend(&settings.store.seeds);
    peers.retain(is_other);
    peers.choose(&mut rand::rng()).copied()
}
