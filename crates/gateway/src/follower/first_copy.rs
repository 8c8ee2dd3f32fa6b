//! The first snapshot of the store, for a gateway that has just started.
//!
//! In a small fleet, each gateway reads the store itself, and at once if the store fits into one page. In a large
//! fleet, only the first relay of each zone reads it, and the other gateways get it from there. If 986 gateways that
//! were all lost restarted and each read 4 MB, they would fill the store's link of 1,000 Mbit/s for half a minute, with
//! 50 calls each. They therefore read only the list of gateways, 0.2 MB: even one page of the other keys for each
//! gateway would occupy that link for longer than a call may take.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::relay_plan::GATEWAYS_PER_RELAY;
use tansyhall_forwarding::{RelayCandidate, Upstream};
use tansyhall_store::StoreError;
use tokio::time::sleep;

use super::{
    candidate, read_all_pages, FirstPage, Follower, MIN_RETRY_PAUSE, START_ANNOUNCEMENT_TIME,
};
use crate::peers::{self, MAX_RELAY_WAIT};
use crate::presence::{self, Member};
use crate::store_call::with_timeout;

/// Time in which relays get the snapshot and send it to their subscribers: 4 MB in 52 pages, while all other gateways
/// read the list of gateways. Afterwards their successors read the store as well, one after another.
const RELAY_DISTRIBUTION_TIME: Duration = Duration::from_secs(3);

impl Follower {
    /// Obtains a snapshot, or pauses after a failure.
    pub(super) async fn obtain_first_copy(&mut self) {
        match self.first_copy().await {
            Ok(()) => {
                self.failures = 0;
                self.plan.record_store_answer();
            }
            Err(error) => self.handle_store_failure(&error).await,
        }
    }

    async fn first_copy(&mut self) -> Result<(), StoreError> {
        let mut listed = self.list_gateways().await?;
        if listed.len() <= GATEWAYS_PER_RELAY {
            let first_page = FirstPage::read(&self.shared, &*self.store).await?;
            if !first_page.page.has_more {
                return self.read_snapshot(Some(first_page)).await;
            }
        }
        if !self.is_announced(&listed) {
            if self.request_copy_from_relay(&listed).await {
                return Ok(());
            }
            // Gateways that start together announce themselves during this time. If this gateway was already
            // announced, so were the others, and no wait is needed.
            self.has_awaited_announcements = true;
            sleep(START_ANNOUNCEMENT_TIME).await;
            listed = self.list_gateways().await?;
        }
        if listed.len() > GATEWAYS_PER_RELAY {
            let began = self.shared.now();
            while !self.should_read_store(&listed, began) {
                if self.request_copy_from_relay(&listed).await {
                    return Ok(());
                }
            }
        }
        self.read_snapshot(None).await
    }

    fn is_announced(&self, listed: &[Member]) -> bool {
        let settings = self.shared.settings.read();
        listed
            .iter()
            .any(|member| member.name == settings.node.name)
    }

    /// Requests the snapshot from the relay of this gateway's zone. Returns whether this gateway has one now.
    async fn request_copy_from_relay(&mut self, listed: &[Member]) -> bool {
        let members = self.members_in_own_zone(listed);
        let candidates: Vec<RelayCandidate<'_>> = members.iter().map(candidate).collect();
        let now = self.shared.now();
        let upstream = self.plan.upstream(now, &candidates, Duration::ZERO);
        let relay = members
            .iter()
            .find(|member| upstream == Upstream::Relay(member.name.clone()));
        let Some(relay) = relay else {
            sleep(MIN_RETRY_PAUSE).await;
            return self.has_copy();
        };
        let result = peers::pull_update(
            &mut self.client,
            relay.peer_address,
            MAX_RELAY_WAIT,
            &self.shared,
        )
        .await;
        if let Err(error) = result {
            log::debug!(
                "request for the first copy to relay {} failed: {error:#}",
                relay.name
            );
            self.plan.record_relay_failure(now, &relay.name);
            sleep(MIN_RETRY_PAUSE).await;
        }
        if self.has_copy() {
            self.read_state.record_snapshot();
        }
        self.has_copy()
    }

    fn has_copy(&self) -> bool {
        !self.shared.mirror.lock().position().is_start()
    }

    fn members_in_own_zone(&self, listed: &[Member]) -> Vec<Member> {
        let zone = self.shared.zone();
        let is_in_own_zone = |member: &&Member| member.zone.as_ref() == Some(&zone);
        listed.iter().filter(is_in_own_zone).cloned().collect()
    }

    /// Returns whether this gateway reads the store itself: it is the first relay of its zone, or
    /// [`RELAY_DISTRIBUTION_TIME`] has passed and it is this gateway's turn among the successors of the relays.
    fn should_read_store(&mut self, listed: &[Member], began: Timestamp) -> bool {
        let members = self.members_in_own_zone(listed);
        let candidates: Vec<RelayCandidate<'_>> = members.iter().map(candidate).collect();
        let now = self.shared.now();
        let overdue = now.since(began).saturating_sub(RELAY_DISTRIBUTION_TIME);
        self.plan.upstream(now, &candidates, overdue) == Upstream::Store
    }

    /// Reads the gateways that the store lists, page by page. When 986 gateways start together, one page for
    /// each of them takes a calculated 0.3 s, but all pages would take longer than one call may take.
    async fn list_gateways(&self) -> Result<Vec<Member>, StoreError> {
        let mut listed = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.store.range_page(presence::PREFIX, after.as_deref());
            let page = with_timeout(page).await?;
            let entries = page.entries.iter();
            listed.extend(
                entries.filter_map(|entry| presence::decode_member(&entry.key, &entry.value)),
            );
            match page.entries.last() {
                Some(last) if page.has_more => after = Some(last.key.clone()),
                _ => return Ok(listed),
            }
        }
    }

    /// Reads a snapshot of the store. `first_page` is its first page if that has been read already.
    pub(super) async fn read_snapshot(
        &mut self,
        first_page: Option<FirstPage>,
    ) -> Result<(), StoreError> {
        let result = read_all_pages(&self.shared, &*self.store, first_page).await;
        self.record_epoch();
        result?;
        self.record_regained();
        self.read_state.record_snapshot();
        self.wait_for_announcements().await;
        Ok(())
    }
}
