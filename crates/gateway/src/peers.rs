//! Exchange of mirror updates between gateways. The subscribers of a relay poll it, and each request is
//! answered as soon as something has changed (long polling). A gateway that receives no updates from
//! the store or from a relay polls any gateway that it knows. An update is applied only if it is newer.

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{web, HttpResponse};
use awc::error::PayloadError;
use awc::http::header::HeaderMap;
use awc::{Client, ClientResponse};
use bytes::{Bytes, BytesMut};
use futures_util::future::{join, join_all};
use futures_util::{Stream, StreamExt};
use prost::Message;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::RngExt;
use serde::Deserialize;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{MirrorUpdate, Position, Touched};
use tokio::time::{sleep, timeout};

use crate::events::{Event, Priority};
use crate::mirror_refresh::refresh;
use crate::presence::Member;
use crate::state::{saturating_millis, Shared};
use crate::store_contact::{log_regained_contact, StoreAnswer, Testimony};
use crate::stream_versions;
use crate::update_cache::UpdateAnswer;
use crate::update_message::{ReceivedUpdate, UpdateHead, UpdateMessage};

/// Age of the mirror's information from which any gateway is polled.
const STALE_AFTER: Duration = Duration::from_millis(1_500);
/// The same for a gateway that follows the store itself. The store answers such a gateway within half a second, and gateways
/// of its zone know no more than it does until they ask the store themselves.
const OVERDUE_AFTER: Duration = Duration::from_millis(700);
/// Until this time after the start, the follower obtains the first snapshot, and no other gateway is asked for one.
const FIRST_SNAPSHOT_DEADLINE: Timestamp = Timestamp::from_millis(6_000);
/// One in this many requests goes to a gateway of any zone instead of the own zone.
const ANY_ZONE_RATIO: u32 = 4;
/// Number of gateways that are polled at the same time.
const CONCURRENT_POLLS: usize = 4;
/// Pause of a poller between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same after a poll of a gateway that had no recent information.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one request, not counting the time that the answering gateway waits for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Replaces [`CALL_TIMEOUT`] for a snapshot, which the answering gateway may have to deflate first: an
/// estimated 0.1 s of a whole core for 20,000 entries.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest pause between two chunks of an answer's body.
const BODY_CHUNK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time for the complete body of an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a request to any gateway, after which another one is asked. A gateway that has no items yet waits
/// for [`BODY_TIMEOUT`].
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a relay may wait for changes before it answers a request.
pub const MAX_RELAY_WAIT: Duration = Duration::from_millis(300);
/// Longest wait for changes that a request may ask for.
const MAX_CHANGES_WAIT: Duration = Duration::from_secs(2);
/// Longest update that is accepted.
const MAX_UPDATE_BYTES: usize = 16 << 20;
/// Header of an answer with the epoch of the sender's mirror. Older versions do not send it.
const EPOCH_HEADER: HeaderName = HeaderName::from_static("tansyhall-store-epoch");
/// Header of an answer whose changes span a gap. Older versions do not send it.
const GAP_HEADER: HeaderName = HeaderName::from_static("tansyhall-store-gap");
/// Header of an answer with the milliseconds of [`Testimony::available_for`]. Older versions do not send it.
const AVAILABLE_HEADER: HeaderName = HeaderName::from_static("tansyhall-store-available-ms");
/// Header of an answer with the milliseconds of [`Testimony::returned_before`], if the store has returned.
const RETURNED_HEADER: HeaderName = HeaderName::from_static("tansyhall-store-returned-ms");
/// Header of an answer with the milliseconds for which the sender waited for changes. Older versions do not send it.
const WAITED_HEADER: HeaderName = HeaderName::from_static("tansyhall-waited-ms");
/// Age that is reported for information from an earlier epoch.
const OBSOLETE_AGE: Duration = Duration::MAX;

/// A request for changes: the position of the requesting gateway's mirror, and how long to wait for changes.
#[derive(Debug, Deserialize)]
pub struct ChangesQuery {
    /// The revision after which changes are requested.
    after: u64,
    /// The epoch of that revision. Older versions do not send it; they are assumed to be in the epoch of this mirror.
    epoch: Option<u64>,
    /// How long to wait for changes, in milliseconds.
    wait_ms: u64,
    /// Identifies the request and is repeated in the answer. Older versions do not send it.
    #[serde(default)]
    number: u64,
    /// Whether the items of the answer may be deflated together, which older versions cannot read.
    #[serde(default)]
    deflated: bool,
}

impl ChangesQuery {
    /// Returns the position of the requesting gateway's mirror.
    fn position(&self, assumed_epoch: u64) -> Position {
        Position::new(self.epoch.unwrap_or(assumed_epoch), self.after)
    }
}

/// Answers a gateway's request for changes.
pub async fn serve_changes(
    query: web::Query<ChangesQuery>,
    shared: web::Data<Arc<Shared>>,
) -> HttpResponse {
    let received = shared.now();
    let wait = Duration::from_millis(query.wait_ms).min(MAX_CHANGES_WAIT);
    let mut position = shared.mirror_position.subscribe();
    let changed = position.wait_for(|position| *position > query.position(position.epoch));
    let _ = timeout(wait, changed).await;
    let (head, mut message) = update_for(&shared, &query, received);
    message.question = query.number;
    let mut answer = HttpResponse::Ok();
    answer.insert_header((EPOCH_HEADER, head.epoch));
    if let Some(testimony) = head.testimony {
        answer.insert_header((AVAILABLE_HEADER, saturating_millis(testimony.available_for)));
        if let Some(returned_before) = testimony.returned_before {
            answer.insert_header((RETURNED_HEADER, saturating_millis(returned_before)));
        }
    }
    if let Some(waited) = head.waited {
        answer.insert_header((WAITED_HEADER, saturating_millis(waited)));
    }
    if head.spans_gap {
        answer.insert_header((GAP_HEADER, "true"));
    }
    answer.body(message.encode_to_vec())
}

fn update_for(
    shared: &Shared,
    query: &ChangesQuery,
    received: Timestamp,
) -> (UpdateHead, UpdateMessage) {
    let now = shared.now();
    let age = shared.store_contact.age(now);
    let plain_message =
        |update| UpdateMessage::new(update, age, &mut shared.deflated_values.lock());
    let mut cache = shared.update_cache.lock();
    let mirror = shared.mirror.lock();
    let epoch = mirror.position().epoch;
    let after = query.position(epoch);
    let answer = match query.deflated {
        true => cache.update_after(&mirror, after),
        false => mirror
            .update_after(after)
            .map_or(UpdateAnswer::UpToDate, UpdateAnswer::Plain),
    };
    drop((cache, mirror));
    let spans_gap = answer.spans_gap();
    let message = match answer {
        UpdateAnswer::UpToDate => plain_message(None),
        UpdateAnswer::Plain(update) => plain_message(Some(update)),
        UpdateAnswer::Deflated(update) => UpdateMessage::deflated(update, age),
    };
    let head = UpdateHead {
        epoch,
        spans_gap,
        testimony: Some(shared.store_contact.testimony()),
        waited: Some(now.since(received)),
    };
    (head, message)
}

/// Creates a client for requests to gateways.
pub fn client() -> Client {
    Client::builder()
        .timeout(MAX_RELAY_WAIT + CALL_TIMEOUT)
        .finish()
}

/// Requests an update from a gateway, applies it, and returns the age of the gateway's information when it answered. An
/// update of an earlier epoch is obsolete and is not applied.
pub async fn pull_update(
    client: &mut Client,
    peer: SocketAddr,
    wait: Duration,
    shared: &Arc<Shared>,
) -> anyhow::Result<Duration> {
    let after = shared.mirror.lock().position();
    let requested = shared.now();
    let ReceivedUpdate {
        update,
        epoch,
        age,
        waited,
        testimony,
    } = fetch_update(client, peer, after, wait).await?;
    let now = shared.now();
    let answer = StoreAnswer {
        age,
        transit: now.since(requested).saturating_sub(waited.unwrap_or(wait)),
        epoch,
        heard_from: Some(peer),
        testimony,
    };
    let recorded = shared.store_contact.record_answer(now, answer);
    log_regained_contact(shared, recorded, answer.heard_from);
    if !recorded.is_current_epoch {
        return Ok(OBSOLETE_AGE);
    }
    if let Some(update) = update {
        let is_gapless = update.is_gapless();
        let touched = apply_update(shared, after, update);
        if touched.has_changes() {
            if !is_gapless {
                stream_versions::interrupt_watch(shared);
            }
            refresh(shared, &touched);
        }
    }
    Ok(age)
}

/// Applies an update to the mirror. An update that was requested for a position of an earlier epoch is dropped if the
/// mirror has moved to another epoch in the meantime.
fn apply_update(shared: &Shared, requested_after: Position, update: MirrorUpdate) -> Touched {
    let mut mirror = shared.mirror.lock();
    if mirror.position().epoch != requested_after.epoch && !requested_after.is_start() {
        return Touched::Nothing;
    }
    mirror.apply_update(update)
}

/// Requests from a gateway the update after a position. The answer must carry the number of this request:
/// the first answer on a reused connection may be a late answer to an earlier request, and its age would be
/// mistaken for the current one. After a failure, no connection of the client is used again or kept open: the rest of an
/// answer may still arrive on one of them, without end.
pub async fn fetch_update(
    client: &mut Client,
    peer: SocketAddr,
    after: Position,
    wait: Duration,
) -> anyhow::Result<ReceivedUpdate> {
    let result = try_fetch_update(client, peer, after, wait).await;
    if result.is_err() {
        *client = self::client();
    }
    result
}

async fn try_fetch_update(
    client: &Client,
    peer: SocketAddr,
    after: Position,
    wait: Duration,
) -> anyhow::Result<ReceivedUpdate> {
    let wait_ms = wait.as_millis();
    let number = rand::random::<NonZeroU64>().get();
    let Position { epoch, revision } = after;
    let url = format!(
        "http://{peer}/changes?after={revision}&epoch={epoch}&wait_ms={wait_ms}&number={number}&deflated=true"
    );
    let call = client
        .get(url)
        .timeout(head_timeout(after, wait))
        .send()
        .await;
    let response = call.map_err(|error| anyhow::anyhow!("{error}"))?;
    anyhow::ensure!(response.status() == 200, "status {}", response.status());
    let head = parse_head(response.headers(), after)?;
    let body = read_body(response.timeout(BODY_TIMEOUT)).await?;
    let message = UpdateMessage::decode(body)?;
    anyhow::ensure!(
        message.may_answer(number),
        "mismatched answer: it belongs to another request"
    );
    Ok(message.into_update(head)?)
}

/// Parses the headers of an answer. Older versions send no epoch. The epoch of the requesting gateway is assumed then,
/// which has not ended as far as that gateway knows.
fn parse_head(headers: &HeaderMap, requested_after: Position) -> anyhow::Result<UpdateHead> {
    let epoch = headers.get(EPOCH_HEADER).map(parse_number).transpose()?;
    let milliseconds = |name: HeaderName| headers.get(name).map(parse_number).transpose();
    let available_for = milliseconds(AVAILABLE_HEADER)?.map(Duration::from_millis);
    let returned_before = milliseconds(RETURNED_HEADER)?.map(Duration::from_millis);
    let waited = milliseconds(WAITED_HEADER)?.map(Duration::from_millis);
    Ok(UpdateHead {
        epoch: epoch.unwrap_or(requested_after.epoch),
        spans_gap: headers.contains_key(GAP_HEADER),
        testimony: available_for.map(|available_for| Testimony {
            available_for,
            returned_before,
        }),
        waited,
    })
}

fn parse_number(value: &HeaderValue) -> anyhow::Result<u64> {
    Ok(value.to_str()?.parse()?)
}

/// Returns the timeout for the head of an answer, for which the answering gateway may wait. A gateway that has no items yet
/// requests a snapshot, which the answering gateway may have to deflate first.
fn head_timeout(after: Position, wait: Duration) -> Duration {
    match after.is_start() {
        true => wait + SNAPSHOT_TIMEOUT,
        false => wait + CALL_TIMEOUT,
    }
}

/// Reads the body of an update as long as chunks keep arriving. The time that a snapshot takes depends on a link
/// that many gateways share.
async fn read_body<S>(mut response: ClientResponse<S>) -> anyhow::Result<Bytes>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = timeout(BODY_CHUNK_TIMEOUT, response.next()).await? {
        body.extend_from_slice(&chunk?);
        anyhow::ensure!(
            body.len() <= MAX_UPDATE_BYTES,
            "update exceeds the maximum length"
        );
    }
    Ok(body.freeze())
}

/// Polls other gateways while neither the store nor a relay sends updates. The store may ignore most gateways, and some may
/// not answer, so that several are polled independently of each other.
pub async fn poll_while_stale(shared: Arc<Shared>) {
    let pollers = (0..CONCURRENT_POLLS).map(|_| Poller::new(&shared).run());
    join(watch_reliance(&shared), join_all(pollers)).await;
}

/// Logs when this gateway begins and ceases to rely on other gateways.
async fn watch_reliance(shared: &Shared) {
    let mut relies_on_peers = false;
    loop {
        sleep(POLL_INTERVAL).await;
        let is_stale = shared.store_contact.age(shared.now()) > STALE_AFTER;
        if is_stale != relies_on_peers {
            relies_on_peers = is_stale;
            record_reliance(shared, relies_on_peers);
        }
    }
}

/// Polls one gateway after the other.
struct Poller {
    shared: Arc<Shared>,
    client: Client,
    /// The gateway that was polled last, if its information was recent. It is polled again.
    informed: Option<SocketAddr>,
}

impl Poller {
    fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            client: client(),
            informed: None,
        }
    }

    async fn run(mut self) {
        let mut interval = POLL_INTERVAL;
        loop {
            sleep(interval).await;
            interval = POLL_INTERVAL;
            if let Some(peer) = self.next_peer() {
                self.poll(peer).await;
                if self.informed.is_none() {
                    interval = RETRY_POLL_INTERVAL;
                }
            }
        }
    }

    /// Returns the gateway to poll now, or `None` if no poll is needed.
    fn next_peer(&mut self) -> Option<SocketAddr> {
        let shared = &self.shared;
        let now = shared.now();
        let age = shared.store_contact.age(now);
        let is_stale = age > STALE_AFTER;
        let is_overdue = age > OVERDUE_AFTER && shared.follows_store.load(Ordering::Relaxed);
        // Another gateway may know that the store was available, so that missing entries have not lapsed.
        let needs_testimony = !shared.lapsed_workers.lock().is_empty();
        let is_awaiting_first_snapshot =
            shared.mirror.lock().position().is_start() && now < FIRST_SNAPSHOT_DEADLINE;
        if !(is_stale || is_overdue || needs_testimony) || is_awaiting_first_snapshot {
            return None;
        }
        let elsewhere = || pick_from_other_zone(shared).filter(|_| is_overdue && !is_stale);
        let preferred = self.informed.take().or_else(elsewhere);
        preferred.or_else(|| pick(shared))
    }

    async fn poll(&mut self, peer: SocketAddr) {
        let limit = match self.shared.mirror.lock().position().is_start() {
            true => BODY_TIMEOUT,
            false => POLL_TIMEOUT,
        };
        let pull = pull_update(&mut self.client, peer, Duration::ZERO, &self.shared);
        match timeout(limit, pull).await {
            Ok(Ok(age)) => self.informed = Some(peer).filter(|_| age <= OVERDUE_AFTER),
            Ok(Err(error)) => log::debug!("no update from peer {peer}: {error:#}"),
            Err(_) => {
                log::debug!("no update from peer {peer} in time");
                self.client = client();
            }
        }
    }
}

fn record_reliance(shared: &Shared, relies_on_peers: bool) {
    let event = Event::Dependency {
        name: "peers",
        state: if relies_on_peers {
            "relied_on"
        } else {
            "not_needed"
        },
        reason: "",
    };
    shared.log.record(Priority::Important, &event);
}

/// Returns a random gateway of another zone.
fn pick_from_other_zone(shared: &Shared) -> Option<SocketAddr> {
    let zone = shared.zone();
    let fleet = shared.fleet.read().clone();
    let is_elsewhere = |member: &&Member| member.zone.as_ref() != Some(&zone);
    let elsewhere = fleet.recent_members().filter(is_elsewhere);
    elsewhere
        .map(|member| member.peer_address)
        .choose(&mut rand::rng())
}

/// Returns a random gateway, mostly of the own zone.
fn pick(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings.read().clone();
    let fleet = shared.fleet.read().clone();
    let is_other = |peer: &SocketAddr| *peer != settings.listen.peers;
    let is_in_zone = |member: &&Member| member.zone.as_ref() == Some(&settings.node.zone);
    let zone_peers = fleet
        .recent_members()
        .filter(is_in_zone)
        .map(|member| member.peer_address);
    let zone_peers: Vec<SocketAddr> = zone_peers.filter(is_other).collect();
    // Links between zones are slower and cost more, but one in a few requests uses them, because the whole zone may be
    // cut off.
    if !zone_peers.is_empty() && !rand::rng().random_ratio(1, ANY_ZONE_RATIO) {
        return zone_peers.choose(&mut rand::rng()).copied();
    }
    let mut peers: Vec<SocketAddr> = fleet
        .recent_members()
        .map(|member| member.peer_address)
        .collect();
    peers.extend(&settings.store.seeds);
    peers.retain(is_other);
    peers.choose(&mut rand::rng()).copied()
}
