//! Keeps this gateway's mirror of the store up to date, by calls to the store or to a relay of its zone (see
//! [`tansyhall_forwarding::relay_plan`]). It reads a snapshot once and then requests changes, so the
//! number of calls from a fleet grows with its zones and not with its gateways or with the writes of workers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use futures_util::StreamExt;
use tansyhall_admission::Backoff;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{
    Item, MirrorChange, Position, RelayCandidate, RelayPlan, Snapshot, StoreReadState, Upstream,
};
use tansyhall_store::{
    KeyValue, KeyValueStore, RangePage, Revision, StoreEpoch, StoreError, WatchEvent, WatchStream,
};
use tokio::time::sleep;

use crate::events::{Event, Priority};
use crate::mirror_refresh::refresh;
use crate::peers::{self, MAX_RELAY_WAIT};
use crate::presence::{self, Member};
use crate::state::Shared;
use crate::store_call::{with_timeout, MAX_STORE_WAIT};
use crate::store_contact::{log_regained_contact, StoreAnswer};
use crate::stream_versions;

mod first_copy;

/// Prefix of all keys.
const ALL_KEYS: &str = "";
/// Pause between two requests for changes to the store.
const CHANGE_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Pauses after failed calls. They are random, so that gateways whose calls fail at the same time do not all retry at
/// the same time.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(120),
    max_delay: Duration::from_millis(300),
};
/// Time after the first read in which gateways that start together announce themselves. A gateway that continued at
/// once would know hardly any other gateway, so it would consider itself a relay, and would call the store each time
/// another gateway is announced.
const START_ANNOUNCEMENT_TIME: Duration = Duration::from_millis(600);
/// Maximum number of retries for a page after the first one.
const MAX_PAGE_RETRIES: u32 = 40;
/// Minimum pause after a failed call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Keeps the mirror of the store up to date; runs forever.
pub async fn follow(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let plan = {
        let settings = shared.settings.read();
        let own = presence::own_member(&settings);
        RelayPlan::new(candidate(&own), &settings.node.zone)
    };
    let mut follower = Follower {
        shared,
        store,
        client: peers::client(),
        plan,
        watch: None,
        upstream: Upstream::Unavailable,
        read_state: StoreReadState::default(),
        has_awaited_announcements: false,
        is_store_lost: false,
        logged_epoch: None,
        failures: 0,
    };
    loop {
        follower.request_changes().await;
    }
}

fn candidate(member: &Member) -> RelayCandidate<'_> {
    RelayCandidate {
        name: &member.name,
        capacity: member.capacity,
    }
}

struct Follower {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    client: Client,
    plan: RelayPlan,
    watch: Option<WatchStream>,
    upstream: Upstream,
    read_state: StoreReadState,
    /// Whether the gateways that started together with this one have had time to announce themselves.
    has_awaited_announcements: bool,
    is_store_lost: bool,
    /// The latest epoch of the store that the event log contains.
    logged_epoch: Option<StoreEpoch>,
    failures: u32,
}

impl Follower {
    /// Requests changes once, from the upstream that the plan selects.
    async fn request_changes(&mut self) {
        if self.shared.mirror.lock().position().is_start() {
            return self.obtain_first_copy().await;
        }
        let relays = self.zone_members();
        let candidates: Vec<RelayCandidate<'_>> = relays.iter().map(candidate).collect();
        let now = self.shared.now();
        let age = self.shared.store_contact.age(now);
        let upstream = self.plan.upstream(now, &candidates, age);
        self.record_upstream(&upstream);
        match upstream {
            Upstream::Store => self.request_from_store().await,
            Upstream::Relay(name) => {
                let relay = relays.iter().find(|member| member.name == name);
                if let Some(address) = relay.map(|member| member.peer_address) {
                    self.request_from_relay(&name, address).await;
                }
            }
            Upstream::Unavailable => self.pause().await,
        }
    }

    fn zone_members(&self) -> Vec<Member> {
        let zone = self.shared.zone();
        let fleet = self.shared.fleet.read().clone();
        let members = fleet.members();
        members
            .filter(|member| member.zone.as_ref() == Some(&zone))
            .cloned()
            .collect()
    }

    async fn request_from_relay(&mut self, name: &str, address: SocketAddr) {
        self.watch = None;
        let position = || self.shared.mirror.lock().position();
        let before = position();
        let result =
            peers::pull_update(&mut self.client, address, MAX_RELAY_WAIT, &self.shared).await;
        let now = self.shared.now();
        match result {
            Ok(age) => {
                self.read_state.record_relay_answer(before, position());
                self.plan.record_relay_answer(now, name, age);
            }
            Err(error) => {
                log::debug!("request for changes to relay {name} failed: {error:#}");
                self.plan.record_relay_failure(now, name);
            }
        }
    }

    async fn request_from_store(&mut self) {
        let shared = Arc::clone(&self.shared);
        shared.store_contact.begin_call(shared.now());
        match self.apply_changes().await {
            Ok(()) => {
                self.failures = 0;
                self.plan.record_store_answer();
                sleep(CHANGE_REQUEST_INTERVAL).await;
            }
            // The store has answered, so a short pause is enough.
            Err(StoreError::Restored) => {
                self.shared.store_contact.end_call(true);
                self.require_snapshot();
                sleep(MIN_RETRY_PAUSE).await;
            }
            Err(error) => self.handle_store_failure(&error).await,
        }
    }

    /// Makes the next call read a snapshot, because no watch can continue from this gateway's mirror.
    fn require_snapshot(&mut self) {
        self.watch = None;
        self.read_state.record_history_lost();
    }

    async fn handle_store_failure(&mut self, error: &StoreError) {
        let now = self.shared.now();
        let contact = &self.shared.store_contact;
        let is_answered = matches!(error, StoreError::Compacted);
        contact.end_call(is_answered);
        match is_answered {
            true => self.require_snapshot(),
            false => {
                self.watch = None;
                self.read_state.record_store_failure(contact.age(now));
            }
        }
        self.plan.record_store_failure(now);
        self.record_store_lost(error);
        self.failures = self.failures.saturating_add(1);
        self.pause().await;
    }

    async fn pause(&self) {
        let pause = BACKOFF.delay(self.failures, rand::random());
        sleep(pause.max(MIN_RETRY_PAUSE)).await;
    }

    /// Applies the next changes of the store. Without a watch, starts one at the position of the mirror if that is
    /// possible, for instance after a relay has sent newer changes or a snapshot, and reads a snapshot otherwise.
    async fn apply_changes(&mut self) -> Result<(), StoreError> {
        let known = self.shared.mirror.lock().position();
        let mut watch = match self.watch.take() {
            Some(watch) => watch,
            None if self.can_watch_from(known) => self.watch_after(known.revision).await?,
            None => return self.read_snapshot(None).await,
        };
        let requested = self.shared.now();
        let result = with_timeout(async { watch.next().await.transpose() }).await;
        self.count_read(&result);
        self.record_epoch();
        let Some(events) = result? else {
            return Err(StoreError::NotApplied("the store ended the watch".into()));
        };
        self.watch = Some(watch);
        let now = self.shared.now();
        let transit = now.since(requested).saturating_sub(MAX_STORE_WAIT);
        let answer = StoreAnswer::direct(Duration::ZERO, transit, known.epoch);
        record_store_answer(&self.shared, now, answer);
        self.record_regained();
        apply_events(&self.shared, events, known.epoch);
        Ok(())
    }

    /// Returns whether a watch can continue from this position of the mirror.
    fn can_watch_from(&self, known: Position) -> bool {
        let is_present = known.epoch == self.store.epoch().0;
        is_present && !known.is_start() && !self.read_state.needs_snapshot()
    }

    async fn wait_for_announcements(&mut self) {
        if !std::mem::replace(&mut self.has_awaited_announcements, true)
            && self.shared.in_force().is_some()
        {
            sleep(START_ANNOUNCEMENT_TIME).await;
        }
    }

    async fn watch_after(&self, known: u64) -> Result<WatchStream, StoreError> {
        with_timeout(self.store.watch(ALL_KEYS, Revision(known + 1))).await
    }

    fn count_read<T>(&self, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(StoreError::Compacted | StoreError::Restored) => "history_gone",
            Err(_) => "failed",
        };
        let reads = &self.shared.metrics.store_reads;
        reads.with_label_values(&[outcome]).inc();
    }

    /// Updates the metric for the store's epoch, and logs the epoch if it differs from the last one logged.
    fn record_epoch(&mut self) {
        let epoch = self.store.epoch();
        let previous = self.logged_epoch.replace(epoch);
        let gauge = i64::try_from(epoch.0).unwrap_or(i64::MAX);
        self.shared.metrics.store_epoch.set(gauge);
        if previous != Some(epoch) {
            let event = Event::StoreEpoch {
                epoch: epoch.0,
                copy_revision: self.shared.mirror.lock().position().revision,
            };
            self.shared.log.record(Priority::Important, &event);
        }
    }

    fn record_regained(&mut self) {
        if std::mem::take(&mut self.is_store_lost) {
            self.record_dependency("regained", "");
        }
    }

    fn record_store_lost(&mut self, error: &StoreError) {
        if matches!(error, StoreError::Compacted) {
            return;
        }
        if !std::mem::replace(&mut self.is_store_lost, true) {
            self.record_dependency("lost", &error.to_string());
        }
    }

    fn record_dependency(&self, state: &str, reason: &str) {
        let event = Event::Dependency {
            name: "store",
            state,
            reason,
        };
        self.shared.log.record(Priority::Important, &event);
    }

    fn record_upstream(&mut self, upstream: &Upstream) {
        if *upstream == Upstream::Unavailable || *upstream == self.upstream {
            return;
        }
        self.upstream = upstream.clone();
        let relay = match upstream {
            Upstream::Relay(name) => name.as_str(),
            Upstream::Store | Upstream::Unavailable => "",
        };
        let follows_store = relay.is_empty();
        let shared = &self.shared;
        shared.follows_store.store(follows_store, Ordering::Relaxed);
        let gauge = &shared.metrics.follows_store;
        gauge.set(i64::from(follows_store));
        let event = Event::Upstream {
            relay,
            store_age_ms: self.shared.store_age_ms(),
        };
        self.shared.log.record(Priority::Important, &event);
    }
}

/// Applies the events of a watch to the mirror.
fn apply_events(shared: &Arc<Shared>, events: Vec<WatchEvent>, epoch: u64) {
    let changes = events.into_iter().map(|event| change(event, epoch));
    let changes: Vec<MirrorChange> = changes.collect();
    let position = changes.iter().map(MirrorChange::position).max();
    let mut mirror = shared.mirror.lock();
    let touched = mirror.apply(changes, position.unwrap_or_default());
    drop(mirror);
    if touched.has_changes() {
        refresh(shared, &touched);
    }
}

/// Brings the mirror up to a position of the store, with a watch of its own if it is behind. Returns whether it has reached
/// the position.
///
/// All changes of the mirror are applied and refreshed by tasks of one thread without a pause in between. If the position is
/// reached, the state that is derived from the mirror is up to date as well.
pub async fn catch_up(shared: &Arc<Shared>, store: &dyn KeyValueStore, target: Position) -> bool {
    let known = shared.mirror.lock().position();
    if known >= target {
        return true;
    }
    // A watch belongs to the latest epoch, in which revisions after the mirror's may have been assigned again.
    let is_latest_epoch = known.epoch == target.epoch && known.epoch == store.epoch().0;
    if known.is_start() || !is_latest_epoch {
        return false;
    }
    let position = || shared.mirror.lock().position();
    let applied = with_timeout(async {
        let mut watch = store.watch(ALL_KEYS, Revision(known.revision + 1)).await?;
        while position() < target {
            match watch.next().await.transpose()? {
                Some(events) if !events.is_empty() => apply_events(shared, events, known.epoch),
                _ => break,
            }
        }
        Ok(())
    });
    if let Err(error) = applied.await {
        log::debug!("the mirror was not brought up to date: {error}");
    }
    position() >= target
}

/// Records an answer that the store gave this gateway itself.
fn record_store_answer(shared: &Shared, now: Timestamp, answer: StoreAnswer) {
    shared.store_contact.end_call(true);
    let recorded = shared.store_contact.record_answer(now, answer);
    log_regained_contact(shared, recorded, None);
}

/// The first page of a snapshot of the store. What changes while the other pages are read need not be in the snapshot.
struct FirstPage {
    page: RangePage,
    /// The longest time for which it may have been on its way.
    transit: Duration,
    read_at: Timestamp,
}

impl FirstPage {
    async fn read(shared: &Shared, store: &dyn KeyValueStore) -> Result<Self, StoreError> {
        let requested = shared.now();
        let page = read_page(store, None).await?;
        let read_at = shared.now();
        Ok(Self {
            page,
            transit: read_at.since(requested),
            read_at,
        })
    }
}

/// Reads a snapshot of the store page by page, and replaces the contents of the mirror with it. A refused page is
/// requested again, so that many gateways that start together all succeed with a store that serves only some of them
/// at a time.
async fn read_all_pages(
    shared: &Arc<Shared>,
    store: &dyn KeyValueStore,
    first_page: Option<FirstPage>,
) -> Result<(), StoreError> {
    let first_page = match first_page {
        Some(first_page) => first_page,
        None => FirstPage::read(shared, store).await?,
    };
    let FirstPage {
        mut page,
        transit,
        read_at,
    } = first_page;
    let (epoch, revision) = (page.epoch, page.revision.0);
    let mut entries = page.entries;
    while let (true, Some(last)) = (page.has_more, entries.last()) {
        let after = last.key.clone();
        page = read_page(store, Some(&after)).await?;
        if page.epoch != epoch {
            return Err(StoreError::Restored);
        }
        entries.append(&mut page.entries);
    }
    let items = entries.into_iter().map(|entry| item(entry, epoch.0));
    let snapshot = Snapshot {
        items: items.collect(),
        position: Position::new(epoch.0, revision),
    };
    let now = shared.now();
    let answer = StoreAnswer::direct(now.since(read_at), transit, epoch.0);
    record_store_answer(shared, now, answer);
    record_store_revision(shared, revision);
    let touched = shared.mirror.lock().replace(snapshot);
    if touched.has_changes() {
        stream_versions::interrupt_watch(shared);
        refresh(shared, &touched);
    }
    Ok(())
}

/// Updates the metric for the store's revision after a snapshot was read, and logs an event if that revision is lower
/// than the mirror's.
fn record_store_revision(shared: &Shared, store_revision: u64) {
    let gauge = i64::try_from(store_revision).unwrap_or(i64::MAX);
    shared.metrics.store_revision.set(gauge);
    let copy_revision = shared.mirror.lock().position().revision;
    if store_revision < copy_revision {
        let event = Event::StoreWentBack {
            store_revision,
            copy_revision,
        };
        shared.log.record(Priority::Important, &event);
    }
}

async fn read_page(
    store: &dyn KeyValueStore,
    after: Option<&str>,
) -> Result<RangePage, StoreError> {
    let mut failures = 0;
    loop {
        match with_timeout(store.range_page(ALL_KEYS, after)).await {
            Err(StoreError::NotApplied(_)) if after.is_some() && failures < MAX_PAGE_RETRIES => {
                failures += 1;
                sleep(BACKOFF.delay(failures, rand::random()).max(MIN_RETRY_PAUSE)).await;
            }
            result => return result,
        }
    }
}

fn item(entry: KeyValue, epoch: u64) -> Item {
    Item {
        key: entry.key,
        value: entry.value,
        written: Position::new(epoch, entry.modified.0),
        created: entry.created.0,
    }
}

fn change(event: WatchEvent, epoch: u64) -> MirrorChange {
    match event {
        WatchEvent::Put(entry) => MirrorChange::Written(item(entry, epoch)),
        WatchEvent::Delete { key, revision } => MirrorChange::Removed {
            key,
            at: Position::new(epoch, revision.0),
        },
    }
}
