//! Follows the store, itself or through the relay of its zone (see
//! [`tansyhall_forwarding::relay_plan`]): reads it once, then asks for changes, so that the calls of
//! a fleet grow with its zones and not with its gateways or with how often workers write.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use futures_util::StreamExt;
use tansyhall_admission::Backoff;
use tansyhall_forwarding::{
    Item, MirrorChange, Position, RelayCandidate, RelayPlan, Snapshot, StoreReadState, Upstream,
};
use tansyhall_store::{
    KeyValue, KeyValueStore, RangePage, Revision, StoreEpoch, StoreError, WatchEvent, WatchStream,
};
use tokio::time::sleep;

use crate::events::{Event, Weight};
use crate::mirror_refresh::refresh;
use crate::peers::{self, RELAY_WAIT};
use crate::presence::{self, Member};
use crate::state::Shared;
use crate::store_call::in_time;

mod first_copy;

/// Every key.
const EVERYTHING: &str = "";
/// Pause between two calls for changes.
const PACE: Duration = Duration::from_millis(100);
/// Pauses after failed calls; gateways that fail together do not come back together.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(120),
    max_delay: Duration::from_millis(300),
};
/// Time after the first read in which gateways that start together announce themselves. One that went on
/// at once would take itself for a relay, as it knows hardly any other, and ask the store each time that
/// one more is announced.
const START_SETTLING: Duration = Duration::from_millis(600);
/// How often a page after the first is asked for again.
const PAGE_ATTEMPTS: u32 = 40;
/// The shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(30);

/// Follows the store for ever.
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
        continuation: StoreReadState::default(),
        settled: false,
        store_lost: false,
        epoch: None,
        failures: 0,
    };
    loop {
        follower.ask().await;
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
    continuation: StoreReadState,
    /// Whether the gateways that started together with this one have had time to announce themselves.
    settled: bool,
    store_lost: bool,
    /// The latest epoch of the store that was logged.
    epoch: Option<StoreEpoch>,
    failures: u32,
}

impl Follower {
    /// Asks whom the plan names, once.
    async fn ask(&mut self) {
        if self.shared.mirror.lock().position().is_start() {
            return self.seek_first_copy().await;
        }
        let relays = self.zone_members();
        let candidates: Vec<RelayCandidate<'_>> = relays.iter().map(candidate).collect();
        let now = self.shared.now();
        let age = self.shared.store_contact.age(now);
        let upstream = self.plan.upstream(now, &candidates, age);
        self.record_upstream(&upstream);
        match upstream {
            Upstream::Store => self.ask_store().await,
            Upstream::Relay(name) => {
                let relay = relays.iter().find(|member| member.name == name);
                if let Some(address) = relay.map(|member| member.copy) {
                    self.ask_relay(&name, address).await;
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

    async fn ask_relay(&mut self, name: &str, address: SocketAddr) {
        self.watch = None;
        let position = || self.shared.mirror.lock().position();
        let before = position();
        let answered = peers::ask(&mut self.client, address, RELAY_WAIT, &self.shared).await;
        let now = self.shared.now();
        match answered {
            Ok(age) => {
                self.continuation.record_relay_answer(before, position());
                self.plan.record_relay_answer(now, name, age);
            }
            Err(error) => {
                log::debug!("relay {name}: {error:#}");
                self.plan.record_relay_failure(now, name);
            }
        }
    }

    async fn ask_store(&mut self) {
        match self.take_changes().await {
            Ok(()) => {
                self.failures = 0;
                self.plan.record_store_answer();
                sleep(PACE).await;
            }
            // It has answered: there is little to wait for.
            Err(StoreError::Restored) => {
                self.start_anew();
                sleep(MIN_PAUSE).await;
            }
            Err(error) => self.store_failed(&error).await,
        }
    }

    /// Reads everything next, as no watch leads on from what is known.
    fn start_anew(&mut self) {
        self.watch = None;
        self.continuation.record_store_failure();
    }

    async fn store_failed(&mut self, error: &StoreError) {
        self.start_anew();
        self.plan.record_store_failure(self.shared.now());
        self.record_lost(error);
        self.failures = self.failures.saturating_add(1);
        self.pause().await;
    }

    async fn pause(&self) {
        let pause = BACKOFF.delay(self.failures, rand::random());
        sleep(pause.max(MIN_PAUSE)).await;
    }

    /// Takes the next changes in, or everything if nothing is being watched. A gateway that has just
    /// been told everything by a relay goes on from there.
    async fn take_changes(&mut self) -> Result<(), StoreError> {
        let known = self.shared.mirror.lock().position();
        let mut watch = match self.watch.take() {
            Some(watch) => watch,
            None if self.goes_on_from(known) => self.watch_after(known.revision).await?,
            None => return self.read_whole(None).await,
        };
        let answered = in_time(async { watch.next().await.transpose() }).await;
        self.count_read(&answered);
        self.observe_epoch();
        let Some(events) = answered? else {
            return Err(StoreError::NotApplied("the watch ended".into()));
        };
        self.watch = Some(watch);
        self.reached(known.epoch);
        let changes = events.into_iter().map(|event| change(event, known.epoch));
        let changes: Vec<MirrorChange> = changes.collect();
        let position = changes.iter().map(MirrorChange::position).max();
        let mut mirror = self.shared.mirror.lock();
        let touched = mirror.apply(changes, position.unwrap_or_default());
        drop(mirror);
        if touched.has_changes() {
            refresh(&self.shared, &touched);
        }
        Ok(())
    }

    /// Whether a watch leads on from this position of the copy.
    fn goes_on_from(&self, known: Position) -> bool {
        let is_present = known.epoch == self.store.epoch().0;
        is_present && !known.is_start() && !self.continuation.needs_snapshot()
    }

    async fn settle(&mut self) {
        if !std::mem::replace(&mut self.settled, true) && self.shared.in_force().is_some() {
            sleep(START_SETTLING).await;
        }
    }

    async fn watch_after(&self, known: u64) -> Result<WatchStream, StoreError> {
        in_time(self.store.watch(EVERYTHING, Revision(known + 1))).await
    }

    fn count_read<T>(&self, answered: &Result<T, StoreError>) {
        let outcome = match answered {
            Ok(_) => "answered",
            Err(StoreError::Compacted | StoreError::Restored) => "history_gone",
            Err(_) => "failed",
        };
        let reads = &self.shared.metrics.store_reads;
        reads.with_label_values(&[outcome]).inc();
    }

    /// Tells the store's epoch, where answers have named another one than before.
    fn observe_epoch(&mut self) {
        let epoch = self.store.epoch();
        let before = self.epoch.replace(epoch);
        let gauge = i64::try_from(epoch.0).unwrap_or(i64::MAX);
        self.shared.metrics.store_epoch.set(gauge);
        if before != Some(epoch) {
            let event = Event::StoreEpoch {
                epoch: epoch.0,
                copy_revision: self.shared.mirror.lock().position().revision,
            };
            self.shared.log.record(Weight::Important, &event);
        }
    }

    fn reached(&mut self, epoch: u64) {
        let now = self.shared.now();
        self.shared.store_contact.mark(now, Duration::ZERO, epoch);
        if std::mem::take(&mut self.store_lost) {
            self.record_dependency("regained", "");
        }
    }

    fn record_lost(&mut self, error: &StoreError) {
        if matches!(error, StoreError::Compacted) {
            return;
        }
        if !std::mem::replace(&mut self.store_lost, true) {
            self.record_dependency("lost", &error.to_string());
        }
    }

    fn record_dependency(&self, state: &str, reason: &str) {
        let event = Event::Dependency {
            name: "store",
            state,
            reason,
        };
        self.shared.log.record(Weight::Important, &event);
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
        self.shared
            .metrics
            .follows_store
            .set(i64::from(relay.is_empty()));
        let event = Event::Upstream {
            relay,
            store_age_ms: self.shared.store_age_ms(),
        };
        self.shared.log.record(Weight::Important, &event);
    }
}

/// Reads everything page by page. A page that is refused is asked for again, so that many gateways
/// that start together get through a store that serves some of them at a time.
async fn read_all(
    shared: &Arc<Shared>,
    store: &dyn KeyValueStore,
    first: Option<RangePage>,
) -> Result<(), StoreError> {
    let mut page = match first {
        Some(page) => page,
        None => read_page(store, None).await?,
    };
    let (epoch, revision) = (page.epoch, page.revision.0);
    let mut entries = page.entries;
    while let (true, Some(last)) = (page.more, entries.last()) {
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
    let contact = &shared.store_contact;
    contact.mark(shared.now(), Duration::ZERO, epoch.0);
    observe_revision(shared, revision);
    let touched = shared.mirror.lock().replace(snapshot);
    if touched.has_changes() {
        refresh(shared, &touched);
    }
    Ok(())
}

/// Tells the revision of a store that was read whole, and that it is lower than the copy's.
fn observe_revision(shared: &Shared, store_revision: u64) {
    let gauge = i64::try_from(store_revision).unwrap_or(i64::MAX);
    shared.metrics.store_revision.set(gauge);
    let copy_revision = shared.mirror.lock().position().revision;
    if store_revision < copy_revision {
        let event = Event::StoreWentBack {
            store_revision,
            copy_revision,
        };
        shared.log.record(Weight::Important, &event);
    }
}

async fn read_page(
    store: &dyn KeyValueStore,
    after: Option<&str>,
) -> Result<RangePage, StoreError> {
    let mut failures = 0;
    loop {
        match in_time(store.range_page(EVERYTHING, after)).await {
            Err(StoreError::NotApplied(_)) if after.is_some() && failures < PAGE_ATTEMPTS => {
                failures += 1;
                sleep(BACKOFF.delay(failures, rand::random()).max(MIN_PAUSE)).await;
            }
            answered => return answered,
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
