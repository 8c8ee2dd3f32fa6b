//! The first copy of the store, for a gateway that has just started.
//!
//! A few gateways read the store themselves, at once if it fits into one page. Of many only the first relay of each
//! zone does, and the others hand it on: 986 gateways that each read 4 MB after the loss of all would fill the store's
//! link of 1,000 Mbit/s for half a minute, with 50 calls each. They read the list of gateways only, 0.2 MB: even one
//! page of the rest would keep that link busy for longer than a call may take.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::relay_plan::GATEWAYS_PER_RELAY;
use tansyhall_forwarding::{RelayCandidate, Upstream};
use tansyhall_store::{RangePage, StoreError};
use tokio::time::sleep;

use super::{candidate, read_all, read_page, Follower, MIN_PAUSE, START_SETTLING};
use crate::peers::{self, RELAY_WAIT};
use crate::presence::{self, Member};
use crate::store_call::in_time;

/// Time that relays have to get the copy and to hand it on: 4 MB in 52 pages, while all others read the list of
/// gateways. After that their successors read the store as well, one after the other.
const RELAYS_TIME: Duration = Duration::from_secs(3);

impl Follower {
    /// Comes by a copy, or fails and pauses.
    pub(super) async fn seek_first_copy(&mut self) {
        match self.first_copy().await {
            Ok(()) => {
                self.failures = 0;
                self.plan.record_store_answer();
            }
            Err(error) => self.store_failed(&error).await,
        }
    }

    async fn first_copy(&mut self) -> Result<(), StoreError> {
        let mut listed = self.list_gateways().await?;
        if listed.len() <= GATEWAYS_PER_RELAY {
            let page = read_page(&*self.store, None).await?;
            if !page.more {
                return self.read_whole(Some(page)).await;
            }
        }
        if !self.is_announced(&listed) {
            if self.relay_tells(&listed).await {
                return Ok(());
            }
            // Those that start together announce themselves meanwhile. Where this gateway was announced
            // before, so were the others.
            self.settled = true;
            sleep(START_SETTLING).await;
            listed = self.list_gateways().await?;
        }
        if listed.len() > GATEWAYS_PER_RELAY {
            let began = self.shared.now();
            while !self.asks_store(&listed, began) {
                if self.relay_tells(&listed).await {
                    return Ok(());
                }
            }
        }
        self.read_whole(None).await
    }

    fn is_announced(&self, listed: &[Member]) -> bool {
        let settings = self.shared.settings.read();
        listed.iter().any(|one| one.name == settings.node.name)
    }

    /// Asks the relay of this gateway's zone for its copy; returns whether there is one now.
    async fn relay_tells(&mut self, listed: &[Member]) -> bool {
        let members = self.of_zone(listed);
        let candidates: Vec<RelayCandidate<'_>> = members.iter().map(candidate).collect();
        let now = self.shared.now();
        let upstream = self.plan.upstream(now, &candidates, Duration::ZERO);
        let relay = members
            .iter()
            .find(|member| upstream == Upstream::Relay(member.name.clone()));
        let Some(relay) = relay else {
            sleep(MIN_PAUSE).await;
            return self.has_copy();
        };
        let asked = peers::ask(&mut self.client, relay.copy, RELAY_WAIT, &self.shared).await;
        if let Err(error) = asked {
            log::debug!("relay {}: {error:#}", relay.name);
            self.plan.record_relay_failure(now, &relay.name);
            sleep(MIN_PAUSE).await;
        }
        if self.has_copy() {
            self.continuation.record_snapshot();
        }
        self.has_copy()
    }

    fn has_copy(&self) -> bool {
        !self.shared.mirror.lock().position().is_start()
    }

    fn of_zone(&self, listed: &[Member]) -> Vec<Member> {
        let zone = self.shared.zone();
        let of_zone = |member: &&Member| member.zone.as_ref() == Some(&zone);
        listed.iter().filter(of_zone).cloned().collect()
    }

    /// Whether this gateway reads the store itself: it is the first relay of its zone, or the relays have had time and
    /// its rank among their successors is due.
    fn asks_store(&mut self, listed: &[Member], began: Timestamp) -> bool {
        let members = self.of_zone(listed);
        let candidates: Vec<RelayCandidate<'_>> = members.iter().map(candidate).collect();
        let now = self.shared.now();
        let overdue = now.since(began).saturating_sub(RELAYS_TIME);
        self.plan.upstream(now, &candidates, overdue) == Upstream::Store
    }

    /// The gateways that the store lists, page by page: of 986 that start together each gets a page in 0.3 s (worked out, not measured), and all
    /// of them in more than one call may take.
    async fn list_gateways(&self) -> Result<Vec<Member>, StoreError> {
        let mut listed = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.store.range_page(presence::PREFIX, after.as_deref());
            let page = in_time(page).await?;
            let entries = page.entries.iter();
            listed.extend(entries.filter_map(|entry| presence::member(&entry.key, &entry.value)));
            match page.entries.last() {
                Some(last) if page.more => after = Some(last.key.clone()),
                _ => return Ok(listed),
            }
        }
    }

    /// Reads everything from the store, after the first page if that was read already.
    pub(super) async fn read_whole(&mut self, first: Option<RangePage>) -> Result<(), StoreError> {
        let read = read_all(&self.shared, &*self.store, first).await;
        self.observe_epoch();
        read?;
        let epoch = self.shared.mirror.lock().position().epoch;
        self.reached(epoch);
        self.continuation.record_snapshot();
        self.settle().await;
        Ok(())
    }
}
