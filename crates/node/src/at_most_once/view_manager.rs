//! The actor that follows the views in the store, and at the node that follows the store for its
//! zone, replaces members that are gone. Every step can be repeated by any node.

use std::collections::HashMap;
use std::sync::Arc;

use actix::{Actor, AsyncContext, Context, WrapFuture};
use futures_util::future::join_all;
use tansyhall_journal::{ChangeStep, Member, Records, ViewChange, ViewNumber, QUORUM};
use tansyhall_proto::{JournalAnswer, JournalRequest};
use tansyhall_store::{EtcdStore, StoreError};

use super::members::{ask_member, choose, look_at, Presence};
use super::views::{PlacedMember, PlacedView, StoredViews, ViewRecord};
use crate::state::Node;

/// Looks in a row without an answer after which a member is replaced.
const SILENT_LOOKS: u32 = 3;

/// The actor.
pub struct JournalKeeper {
    node: Arc<Node>,
    store: EtcdStore,
}

impl JournalKeeper {
    /// A keeper for a node.
    pub fn new(node: Arc<Node>, store: EtcdStore) -> Self {
        Self { node, store }
    }
}

impl Actor for JournalKeeper {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let keeping = Keeping {
            node: Arc::clone(&self.node),
            store: self.store.clone(),
            silent: HashMap::new(),
        };
        context.spawn(keeping.keep().into_actor(self));
    }
}

struct Keeping {
    node: Arc<Node>,
    store: EtcdStore,
    /// Looks in a row at which a member did not answer.
    silent: HashMap<Member, u32>,
}

impl Keeping {
    async fn keep(mut self) {
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
        if let Some(lost) = self.lost_view(&stored.record) {
            return self.write_back(&stored, lost).await;
        }
        self.follow(&stored.record);
        if !self.node.peers.follows_store() || self.node.is_stopping() {
            return Ok(());
        }
        match (&stored.record.active, &stored.record.prepared) {
            (None, None) => self.begin(&stored).await,
            (None, Some(first)) => self.complete_first(&stored, first).await,
            (Some(active), None) => self.replace_lost(&stored, active).await,
            (Some(active), Some(next)) => self.change(&stored, active, next).await,
        }
    }

    fn follow(&self, record: &ViewRecord) {
        let Some(active) = &record.active else {
            return;
        };
        if !self.node.journal.use_view(active) {
            return;
        }
        let number = i64::try_from(active.number.0).unwrap_or(i64::MAX);
        self.node.metrics.journal.view.set(number);
        let names = active.members.iter().map(|it| it.member.node.as_str());
        let names = names.collect::<Vec<_>>().join(", ");
        log::info!("at-most-once records: view {number} of {names}");
    }

    /// The view in use here, if the store's is older: the store was restored from a copy that does not have it.
    fn lost_view(&self, record: &ViewRecord) -> Option<Arc<PlacedView>> {
        let stored = record.active.as_ref()?;
        self.node
            .journal
            .view()
            .filter(|held| held.number > stored.number)
    }

    /// Makes a view that a restored store has lost the active one again: its replicas hold what tries have recorded.
    async fn write_back(
        &self,
        stored: &StoredViews,
        lost: Arc<PlacedView>,
    ) -> Result<(), StoreError> {
        let record = ViewRecord {
            active: Some(PlacedView::clone(&lost)),
            prepared: None,
        };
        if stored.replace(&self.store, &record).await? {
            let number = lost.number.0;
            log::warn!(
                "at-most-once records: the store had lost view {number}; it is written back"
            );
        }
        Ok(())
    }

    /// Prepares the first view. Its number follows the store's revision, so that it is above that of any
    /// view whose record an operator has removed.
    async fn begin(&self, stored: &StoredViews) -> Result<(), StoreError> {
        let number = ViewNumber(stored.revision.0).next();
        self.prepare(stored, None, number, Vec::new()).await
    }

    /// Completes a first view, which has no records to take over. As long as it is not active,
    /// nobody has used it, and another may take its place.
    async fn complete_first(
        &mut self,
        stored: &StoredViews,
        first: &PlacedView,
    ) -> Result<(), StoreError> {
        let installs = first.members.iter().map(|member| {
            let request = JournalRequest::Install {
                view: first.view(),
                records: Records::default(),
            };
            ask_member(&self.node, member, request)
        });
        let answers = join_all(installs).await.into_iter();
        let votes = answers.filter(|it| matches!(it, Ok(JournalAnswer::Installed(true))));
        if votes.count() >= QUORUM {
            return self.activate(stored, first).await;
        }
        self.prepare(stored, None, first.number.next(), Vec::new())
            .await
    }

    /// Prepares the next view if a member is lost and two are left to take the records from.
    async fn replace_lost(
        &mut self,
        stored: &StoredViews,
        active: &PlacedView,
    ) -> Result<(), StoreError> {
        let present = self.present(active).await;
        let lost = active.members.len() - present.len();
        let gauge = &self.node.metrics.journal.members_lost;
        let before = gauge.get();
        gauge.set(i64::try_from(lost).unwrap_or(i64::MAX));
        if lost == 0 {
            return Ok(());
        }
        if present.len() < QUORUM {
            if before < gauge.get() {
                log::error!("at-most-once records: {lost} members of the view are lost");
            }
            return Ok(());
        }
        let number = active.number.next();
        self.prepare(stored, Some(active), number, present).await
    }

    async fn present(&mut self, view: &PlacedView) -> Vec<PlacedMember> {
        let node = Arc::clone(&self.node);
        let looks = view.members.iter().map(|placed| look_at(&node, placed));
        let looks = join_all(looks).await;
        let members = view.members.iter().zip(looks);
        let present = members.filter(|(placed, presence)| self.counts(&placed.member, *presence));
        let present: Vec<PlacedMember> = present.map(|(placed, _)| placed.clone()).collect();
        self.silent.retain(|member, _| view.view().has(member));
        present
    }

    /// Whether a member counts as present after a look at it.
    fn counts(&mut self, member: &Member, presence: Presence) -> bool {
        let silent = self.silent.entry(member.clone()).or_default();
        match presence {
            Presence::Present => *silent = 0,
            Presence::Gone => *silent = SILENT_LOOKS,
            Presence::Silent => *silent += 1,
        }
        *silent < SILENT_LOOKS
    }

    async fn prepare(
        &self,
        stored: &StoredViews,
        active: Option<&PlacedView>,
        number: ViewNumber,
        keep: Vec<PlacedMember>,
    ) -> Result<(), StoreError> {
        let Some(members) = choose(&self.node, keep).await else {
            return Ok(());
        };
        let held = self.node.journal.view().map(|view| view.number.next());
        let number = held.map_or(number, |least| number.max(least));
        let record = ViewRecord {
            active: active.cloned(),
            prepared: Some(PlacedView { number, members }),
        };
        stored.replace(&self.store, &record).await.map(|_| ())
    }

    /// Carries out a change of view as far as it goes; the next round begins again.
    async fn change(
        &mut self,
        stored: &StoredViews,
        active: &PlacedView,
        next: &PlacedView,
    ) -> Result<(), StoreError> {
        let mut change = ViewChange::new(active.view(), next.view());
        self.seal(&mut change, active).await;
        if let ChangeStep::Install(records) = change.step() {
            self.install(&mut change, next, records).await;
        }
        match change.step() {
            ChangeStep::Activate => self.activate(stored, next).await,
            ChangeStep::PrepareAnew => {
                let present = self.present(active).await;
                let number = next.number.next();
                self.prepare(stored, Some(active), number, present).await
            }
            ChangeStep::Seal | ChangeStep::Install(_) => Ok(()),
        }
    }

    async fn seal(&self, change: &mut ViewChange, active: &PlacedView) {
        let request = JournalRequest::Seal {
            active: change.active().number,
            next: change.next().number,
        };
        let seals = active
            .members
            .iter()
            .map(|member| ask_member(&self.node, member, request.clone()));
        let answers = join_all(seals).await;
        for (placed, answer) in active.members.iter().zip(answers) {
            if let Ok(JournalAnswer::Sealed(reply)) = answer {
                change.seal_reply(&placed.member, reply);
            }
        }
    }

    async fn install(&self, change: &mut ViewChange, next: &PlacedView, records: Records) {
        let installs = next.members.iter().map(|member| {
            let request = JournalRequest::Install {
                view: next.view(),
                records: records.clone(),
            };
            ask_member(&self.node, member, request)
        });
        let answers = join_all(installs).await;
        for (placed, answer) in next.members.iter().zip(answers) {
            match answer {
                Ok(JournalAnswer::Installed(true)) => change.installed(&placed.member),
                Ok(JournalAnswer::Installed(false)) => change.refused(),
                Ok(_) | Err(_) => {}
            }
        }
    }

    async fn activate(&self, stored: &StoredViews, view: &PlacedView) -> Result<(), StoreError> {
        let record = ViewRecord {
            active: Some(view.clone()),
            prepared: None,
        };
        if stored.replace(&self.store, &record).await? {
            self.node.metrics.journal.view_changes.inc();
            self.follow(&record);
        }
        Ok(())
    }
}
