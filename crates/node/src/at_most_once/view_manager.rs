//! Actor that adopts the views in the store. On the node that follows the store for its zone, it
//! also replaces lost members. Every step can be repeated by any node.

use std::collections::HashMap;
use std::sync::Arc;

use actix::{Actor, AsyncContext, Context, WrapFuture};
use futures_util::future::join_all;
use tansyhall_journal::{ChangeStep, Member, Records, ViewChange, ViewNumber, QUORUM};
use tansyhall_proto::{JournalAnswer, JournalRequest};
use tansyhall_store::{EtcdStore, StoreError};

use super::members::{call_member, choose, probe_member, Presence};
use super::views::{MemberWithAddress, StoredViews, ViewRecord, ViewWithAddresses};
use crate::state::Node;

/// Number of consecutive unanswered probes after which a member is replaced.
const MAX_MISSED_PROBES: u32 = 3;

/// Adopts the stored view and replaces lost members.
pub struct JournalViewManager {
    node: Arc<Node>,
    store: EtcdStore,
}

impl JournalViewManager {
    /// Returns the view manager of a node.
    pub fn new(node: Arc<Node>, store: EtcdStore) -> Self {
        Self { node, store }
    }
}

impl Actor for JournalViewManager {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let task = ViewManagerTask {
            node: Arc::clone(&self.node),
            store: self.store.clone(),
            missed_probes: HashMap::new(),
        };
        context.spawn(task.run().into_actor(self));
    }
}

struct ViewManagerTask {
    node: Arc<Node>,
    store: EtcdStore,
    /// Number of consecutive unanswered probes of each member.
    missed_probes: HashMap<Member, u32>,
}

impl ViewManagerTask {
    async fn run(mut self) {
        loop {
            if self.round().await.is_err() {
                self.node.metrics.platform_errors.inc();
            }
            let records = self.node.journal.sweep(self.node.clock.now());
            let records = i64::try_from(records).unwrap_or(i64::MAX);
            self.node.metrics.journal.records.set(records);
            actix_rt::time::sleep(self.node.settings.journal.view_period).await;
        }
    }

    async fn round(&mut self) -> Result<(), StoreError> {
        let stored = StoredViews::read(&self.store).await?;
        if let Some(lost) = self.view_lost_by_store(&stored.record) {
            return self.restore_view(&stored, lost).await;
        }
        self.apply_view(&stored.record);
        if !self.node.peers.follows_store() || self.node.is_stopping() {
            return Ok(());
        }
        match (&stored.record.active, &stored.record.prepared) {
            (None, None) => self.prepare_first(&stored).await,
            (None, Some(first)) => self.complete_first(&stored, first).await,
            (Some(active), None) => self.replace_lost_members(&stored, active).await,
            (Some(active), Some(next)) => self.carry_out_change(&stored, active, next).await,
        }
    }

    fn apply_view(&self, record: &ViewRecord) {
        let Some(active) = &record.active else {
            return;
        };
        if !self.node.journal.adopt_view(active) {
            return;
        }
        let number = i64::try_from(active.number.0).unwrap_or(i64::MAX);
        self.node.metrics.journal.view.set(number);
        let names = active
            .members
            .iter()
            .map(|entry| entry.member.node.as_str());
        let names = names.collect::<Vec<_>>().join(", ");
        log::info!("at-most-once records: using view {number} with members {names}");
    }

    /// Returns the view in use at this node if the one in the store is older: the store was then
    /// restored from a copy that does not contain the newer view.
    fn view_lost_by_store(&self, record: &ViewRecord) -> Option<Arc<ViewWithAddresses>> {
        let stored = record.active.as_ref()?;
        self.node
            .journal
            .view()
            .filter(|current| current.number > stored.number)
    }

    /// Writes a view that a restored store has lost back as the active one: its replicas hold the
    /// recorded attempts.
    async fn restore_view(
        &self,
        stored: &StoredViews,
        lost: Arc<ViewWithAddresses>,
    ) -> Result<(), StoreError> {
        let record = ViewRecord {
            active: Some(ViewWithAddresses::clone(&lost)),
            prepared: None,
        };
        if stored.replace(&self.store, &record).await? {
            let number = lost.number.0;
            log::warn!("at-most-once records: the store had lost view {number}; wrote it back");
        }
        Ok(())
    }

    /// Prepares the first view. Its number is derived from the store's revision, so that it is
    /// above that of any view whose record an operator has removed.
    async fn prepare_first(&self, stored: &StoredViews) -> Result<(), StoreError> {
        let number = ViewNumber(stored.revision.0).next();
        self.prepare(stored, None, number, Vec::new()).await
    }

    /// Completes a first view, which has no records to take over. While it is not active, nobody
    /// has used it, and another view may replace it.
    async fn complete_first(
        &mut self,
        stored: &StoredViews,
        first: &ViewWithAddresses,
    ) -> Result<(), StoreError> {
        let installs = first.members.iter().map(|member| {
            let request = JournalRequest::Install {
                view: first.view(),
                records: Records::default(),
            };
            call_member(&self.node, member, request)
        });
        let answers = join_all(installs).await.into_iter();
        let installed =
            answers.filter(|answer| matches!(answer, Ok(JournalAnswer::Installed(true))));
        if installed.count() >= QUORUM {
            return self.activate(stored, first).await;
        }
        self.prepare(stored, None, first.number.next(), Vec::new())
            .await
    }

    /// Prepares the next view if a member is lost and two are left to copy the records from.
    async fn replace_lost_members(
        &mut self,
        stored: &StoredViews,
        active: &ViewWithAddresses,
    ) -> Result<(), StoreError> {
        let present = self.present_members(active).await;
        let lost = active.members.len() - present.len();
        let gauge = &self.node.metrics.journal.members_lost;
        let before = gauge.get();
        gauge.set(i64::try_from(lost).unwrap_or(i64::MAX));
        if lost == 0 {
            return Ok(());
        }
        if present.len() < QUORUM {
            if before < gauge.get() {
                log::error!("at-most-once records: {lost} members of the view are lost, no quorum");
            }
            return Ok(());
        }
        let number = active.number.next();
        self.prepare(stored, Some(active), number, present).await
    }

    async fn present_members(&mut self, view: &ViewWithAddresses) -> Vec<MemberWithAddress> {
        let node = Arc::clone(&self.node);
        let probes = view
            .members
            .iter()
            .map(|member| probe_member(&node, member));
        let probes = join_all(probes).await;
        let members = view.members.iter().zip(probes);
        let present =
            members.filter(|(member, presence)| self.record_probe(&member.member, *presence));
        let present: Vec<MemberWithAddress> = present.map(|(member, _)| member.clone()).collect();
        self.missed_probes
            .retain(|member, _| view.view().has(member));
        present
    }

    /// Records the result of a probe and returns whether the member counts as present.
    fn record_probe(&mut self, member: &Member, presence: Presence) -> bool {
        let missed_probes = self.missed_probes.entry(member.clone()).or_default();
        match presence {
            Presence::Present => *missed_probes = 0,
            Presence::Gone => *missed_probes = MAX_MISSED_PROBES,
            Presence::Unresponsive => *missed_probes += 1,
        }
        *missed_probes < MAX_MISSED_PROBES
    }

    async fn prepare(
        &self,
        stored: &StoredViews,
        active: Option<&ViewWithAddresses>,
        number: ViewNumber,
        keep: Vec<MemberWithAddress>,
    ) -> Result<(), StoreError> {
        let Some(members) = choose(&self.node, keep).await else {
            return Ok(());
        };
        let current = self.node.journal.view().map(|view| view.number.next());
        let number = current.map_or(number, |minimum| number.max(minimum));
        let record = ViewRecord {
            active: active.cloned(),
            prepared: Some(ViewWithAddresses { number, members }),
        };
        stored.replace(&self.store, &record).await.map(|_| ())
    }

    /// Carries out a change of view as far as possible. The next round starts it again.
    async fn carry_out_change(
        &mut self,
        stored: &StoredViews,
        active: &ViewWithAddresses,
        next: &ViewWithAddresses,
    ) -> Result<(), StoreError> {
        let mut change = ViewChange::new(active.view(), next.view());
        self.seal(&mut change, active).await;
        if let ChangeStep::Install(records) = change.step() {
            self.install(&mut change, next, records).await;
        }
        match change.step() {
            ChangeStep::Activate => self.activate(stored, next).await,
            ChangeStep::PrepareNewView => {
                let present = self.present_members(active).await;
                let number = next.number.next();
                self.prepare(stored, Some(active), number, present).await
            }
            ChangeStep::Seal | ChangeStep::Install(_) => Ok(()),
        }
    }

    async fn seal(&self, change: &mut ViewChange, active: &ViewWithAddresses) {
        let request = JournalRequest::Seal {
            active: change.active().number,
            next: change.next().number,
        };
        let seals = active
            .members
            .iter()
            .map(|member| call_member(&self.node, member, request.clone()));
        let answers = join_all(seals).await;
        for (member, answer) in active.members.iter().zip(answers) {
            if let Ok(JournalAnswer::Sealed(reply)) = answer {
                change.handle_seal_reply(&member.member, reply);
            }
        }
    }

    async fn install(&self, change: &mut ViewChange, next: &ViewWithAddresses, records: Records) {
        let installs = next.members.iter().map(|member| {
            let request = JournalRequest::Install {
                view: next.view(),
                records: records.clone(),
            };
            call_member(&self.node, member, request)
        });
        let answers = join_all(installs).await;
        for (member, answer) in next.members.iter().zip(answers) {
            match answer {
                Ok(JournalAnswer::Installed(true)) => change.handle_installed(&member.member),
                Ok(JournalAnswer::Installed(false)) => change.handle_refusal(),
                Ok(_) | Err(_) => {}
            }
        }
    }

    async fn activate(
        &self,
        stored: &StoredViews,
        view: &ViewWithAddresses,
    ) -> Result<(), StoreError> {
        let record = ViewRecord {
            active: Some(view.clone()),
            prepared: None,
        };
        if stored.replace(&self.store, &record).await? {
            self.node.metrics.journal.view_changes.inc();
            self.apply_view(&record);
        }
        Ok(())
    }
}
