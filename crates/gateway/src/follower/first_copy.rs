//! The first copy of the store, for a gateway that has just started.
//!
//! A store that fits into one page is read at once. A larger one is read by the relays of each zone only, and handed
//! on by them: 986 gateways that each read 4 MB after the loss of all would fill the store's link of 1,000 Mbit/s for
//! half a minute, with 50 calls each.

use std::time::Duration;

use tansyhall_forwarding::relay_plan::GATEWAYS_PER_RELAY;
use tansyhall_forwarding::{RelayCandidate, Upstream};
use tansyhall_store::{RangePage, StoreError};
use tokio::time::sleep;

use super::{candidate, read_all, read_page, Follower, MIN_PAUSE, START_SETTLING};
use crate::peers::{self, RELAY_WAIT};
use crate::presence::{self, Member};
use crate::store_call::in_time;

/// Time after which the store is read whole although relays answer: they have got no copy either.
const PATIENCE: Duration = Duration::from_secs(5);

impl Follower {
    /// Comes by a copy, or fails and pauses.
    pub(super) async fn seek_first_copy(&mut self) {
        match self.first_copy().await {
            Ok(()) => {
                self.failures = 0;
                self.plan.store_answered();
            }
            Err(error) => self.store_failed(&error).await,
        }
    }

    async fn first_copy(&mut self) -> Result<(), StoreError> {
        let page = read_page(&*self.store, None).await?;
        if !page.more {
            return self.read_whole(Some(page)).await;
        }
        let mut listed = self.list_gateways().await?;
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
        if listed.len() > GATEWAYS_PER_RELAY && !self.is_relay(&listed) {
            let began = self.shared.now();
            while self.shared.now().since(began) < PATIENCE {
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
            self.plan.relay_failed(now, &relay.name);
            sleep(MIN_PAUSE).await;
        }
        if self.has_copy() {
            self.continuation.was_read_whole();
        }
        self.has_copy()
    }

    fn has_copy(&self) -> bool {
        self.shared.mirror.lock().revision() > 0
    }

    fn of_zone(&self, listed: &[Member]) -> Vec<Member> {
        let zone = self.shared.zone();
        let of_zone = |member: &&Member| member.zone.as_ref() == Some(&zone);
        listed.iter().filter(of_zone).cloned().collect()
    }

    fn is_relay(&mut self, listed: &[Member]) -> bool {
        let members = self.of_zone(listed);
        let candidates: Vec<RelayCandidate<'_>> = members.iter().map(candidate).collect();
        let now = self.shared.now();
        self.plan.upstream(now, &candidates, Duration::ZERO) == Upstream::Store
    }

    async fn list_gateways(&self) -> Result<Vec<Member>, StoreError> {
        let listed = in_time(self.store.range(presence::PREFIX)).await?;
        let entries = listed.entries.iter();
        let members = entries.filter_map(|entry| presence::member(&entry.key, &entry.value));
        Ok(members.collect())
    }

    /// Reads everything from the store, after the first page if that was read already.
    pub(super) async fn read_whole(&mut self, first: Option<RangePage>) -> Result<(), StoreError> {
        read_all(&self.shared, &*self.store, first).await?;
        self.reached();
        self.continuation.was_read_whole();
        self.settle().await;
        Ok(())
    }
}
