//! Finds out at which version a stream began, by questions to other gateways and to the store.

use std::collections::BTreeSet;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{AttemptKey, SoftwareVersion, StreamRecord, Testimony, VersionEvidence};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

use super::lookup::StoredStream;
use super::message::{VersionAnswerMessage, VersionQuestionMessage};
use super::telling::ranked_without_recorders;
use super::{own_name, watch, StreamVersionExchange};
use crate::datagrams::Datagram;
use crate::state::Shared;

/// Number of gateways in the ranking of the attempt that are asked in a large fleet, with and without the recorders.
/// Gateways of earlier versions tell the first two.
const ASKED_GATEWAYS: usize = 2;
/// Number of recorders that are asked in a large fleet.
const ASKED_RECORDERS: usize = 2;
/// Number of gateways besides this one that have to agree on the only version before the others have answered.
const SUFFICIENT_AGREEMENT: usize = 2;
/// Time after which the store is asked as well, if no gateway knows the stream so far.
const STORE_DELAY: Duration = Duration::from_millis(50);
/// Time after which other gateways are asked to read the store, if it has not answered this one.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(200);
/// Time after which the gateways that have not answered are asked again: a datagram may have been lost.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Maximum time to wait for the answers of gateways.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time to wait for the answer of the store, from the beginning of the search. A store that has been silent lately
/// is not waited for.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(600);

/// What was found out about the version at which a stream began.
#[derive(Debug, Default)]
pub struct FoundVersion {
    /// The version, or `None` if nobody can say.
    pub version: Option<SoftwareVersion>,
    /// The name of the kind of testimony that it follows from; empty if nobody can say.
    pub ground: &'static str,
    /// The name of what this gateway could say itself when the search began.
    pub own: &'static str,
    /// The name of what it could say when the search ended.
    pub own_at_end: &'static str,
    /// Age in milliseconds of the store's last answer when the search began.
    pub store_age_ms: u64,
    /// Revision of the mirror when the search began.
    pub mirror_revision: u64,
    /// Number of other gateways that were asked.
    pub asked: usize,
    /// Number of other gateways that have answered.
    pub answered: usize,
    /// The name of what the store said.
    pub stored: &'static str,
    /// Who has read the store since the search began, so that one version alone may be concluded: `store` (this gateway),
    /// `gateway` (another one), or empty.
    pub confirmed_by: &'static str,
}

/// A question that waits for answers. Dropping it closes it.
struct OpenQuestion<'a> {
    exchange: &'a StreamVersionExchange,
    number: u64,
    answers: mpsc::UnboundedReceiver<VersionAnswer>,
}

/// What another gateway answers.
#[derive(Debug)]
pub struct VersionAnswer {
    sender: SocketAddr,
    testimony: Testimony,
    /// Whether the gateway has read the store since it was asked.
    is_confirmed: bool,
}

impl<'a> OpenQuestion<'a> {
    fn new(exchange: &'a StreamVersionExchange) -> Self {
        let number = exchange.next_question.fetch_add(1, Ordering::Relaxed);
        let (sender, answers) = mpsc::unbounded_channel();
        exchange.questions.lock().insert(number, sender);
        Self {
            exchange,
            number,
            answers,
        }
    }
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.exchange.questions.lock().remove(&self.number);
    }
}

/// The state of a question to the store.
enum StoreQuestion {
    /// It has not been asked yet.
    NotAsked,
    /// It has been asked and may answer.
    Asked(oneshot::Receiver<StoredStream>),
    /// It has answered, or is not asked; with the name of what it said.
    Over(&'static str),
}

impl StoreQuestion {
    fn is_over(&self) -> bool {
        matches!(self, Self::Over(_))
    }

    /// Returns the name of what the store has said.
    fn name(&self) -> &'static str {
        match self {
            Self::NotAsked => "unread",
            Self::Asked(_) => "silent",
            Self::Over(name) => name,
        }
    }

    /// Waits for the answer, forever if there will be none.
    async fn answer(&mut self) -> StoredStream {
        let Self::Asked(receiver) = self else {
            return pending().await;
        };
        let answer = receiver.await;
        *self = match &answer {
            Ok(stored) if stored.versions.is_empty() => Self::Over("unknown"),
            Ok(_) => Self::Over("known"),
            Err(_) => Self::Over("failed"),
        };
        answer.unwrap_or_default()
    }
}

/// Finds out at which version a stream of this service began. `attempt` is the attempt that brought its first event, if
/// the caller names it.
pub async fn find(
    shared: &Shared,
    service: &ServiceName,
    attempt: Option<AttemptKey>,
) -> FoundVersion {
    let own = own_testimony(shared, service, attempt);
    let found = FoundVersion {
        own: own.name(),
        own_at_end: own.name(),
        store_age_ms: shared.store_age_ms(),
        mirror_revision: shared.mirror.lock().position().revision,
        stored: "unread",
        ..FoundVersion::default()
    };
    if let Testimony::Known(version) = own {
        return FoundVersion {
            version: Some(version),
            ground: "known",
            ..found
        };
    }
    let mut search = Search::new(shared, service, attempt, own);
    search.run().await;
    let own_at_end = search.add_own_testimony();
    FoundVersion {
        version: search.evidence.version().cloned(),
        ground: search.evidence.ground(),
        asked: search.asked.len(),
        answered: search.answered.len(),
        stored: search.store.name(),
        confirmed_by: search.confirmed_by,
        own_at_end,
        ..found
    }
}

/// The search for the version of one stream.
struct Search<'a> {
    shared: &'a Shared,
    service: &'a ServiceName,
    attempt: Option<AttemptKey>,
    question: VersionQuestionMessage,
    open: OpenQuestion<'a>,
    asked: Vec<SocketAddr>,
    answered: BTreeSet<SocketAddr>,
    /// The gateways that are asked to read the store and have not answered.
    asked_to_confirm: BTreeSet<SocketAddr>,
    has_asked_to_confirm: bool,
    store: StoreQuestion,
    evidence: VersionEvidence,
    confirmed_by: &'static str,
    /// Number of gateways that have to agree on the only version, this one included, before the others have answered.
    /// `None` if this gateway does not know the only version itself.
    sufficient: Option<usize>,
    /// Whether the store has answered lately. It is waited for then.
    is_store_present: bool,
}

impl<'a> Search<'a> {
    fn new(
        shared: &'a Shared,
        service: &'a ServiceName,
        attempt: Option<AttemptKey>,
        own: Testimony,
    ) -> Self {
        let open = OpenQuestion::new(&shared.stream_versions);
        let question = VersionQuestionMessage {
            number: open.number,
            service: service.as_str().to_owned(),
            attempt: attempt.map(|attempt| attempt.0),
            confirms: false,
        };
        let key = attempt.unwrap_or(AttemptKey(open.number));
        let is_certain = matches!(own, Testimony::Only(_));
        Self {
            shared,
            service,
            attempt,
            question,
            open,
            asked: asked_gateways(shared, key),
            answered: BTreeSet::new(),
            asked_to_confirm: BTreeSet::new(),
            has_asked_to_confirm: false,
            store: StoreQuestion::NotAsked,
            evidence: VersionEvidence::default(),
            confirmed_by: "",
            sufficient: is_certain.then_some(1 + SUFFICIENT_AGREEMENT),
            is_store_present: watch(shared).is_current,
        }
    }

    /// Collects evidence until it decides, or until nobody is left who could add to it.
    async fn run(&mut self) {
        let began = Instant::now();
        let mut has_repeated = false;
        self.ask_gateways();
        while !self.is_over(began.elapsed()) {
            let elapsed = began.elapsed();
            if elapsed >= REPEAT_DELAY && !has_repeated {
                has_repeated = true;
                self.ask_gateways();
            }
            // A gateway that knows the only version itself needs the store in any case.
            let is_store_due = self.sufficient.is_some() || elapsed >= STORE_DELAY;
            if is_store_due || self.are_gateways_over(elapsed) {
                self.ask_store();
            }
            if elapsed >= CONFIRMATION_DELAY || self.store.is_over() {
                self.ask_to_confirm();
            }
            let steps = [
                STORE_DELAY,
                REPEAT_DELAY,
                CONFIRMATION_DELAY,
                ANSWER_TIMEOUT,
            ];
            let next_step = steps.into_iter().find(|step| *step > elapsed);
            tokio::select! {
                answer = self.open.answers.recv() => self.add_answer(answer),
                stored = self.store.answer() => self.add_stored(stored),
                () = sleep_until(began + next_step.unwrap_or(SEARCH_TIMEOUT)) => {}
            }
        }
    }

    /// Returns whether the evidence decides, or whether nobody is left who could add to it.
    fn is_over(&self, elapsed: Duration) -> bool {
        if self.evidence.is_known() || elapsed >= SEARCH_TIMEOUT {
            return true;
        }
        let has_version = self.evidence.version().is_some();
        let only_count = self.evidence.only_count();
        if has_version && self.sufficient.is_some_and(|count| only_count >= count) {
            return true;
        }
        let is_store_over =
            self.store.is_over() || !self.is_store_present && elapsed >= ANSWER_TIMEOUT;
        let is_confirmation_over = !self.awaits_confirmation(elapsed);
        self.are_gateways_over(elapsed) && (has_version || is_store_over && is_confirmation_over)
    }

    /// Returns whether another gateway may still confirm that one version alone has served.
    fn awaits_confirmation(&self, elapsed: Duration) -> bool {
        let is_asked = !self.asked_to_confirm.is_empty() || elapsed < CONFIRMATION_DELAY;
        is_asked && self.evidence.lacks_confirmation()
    }

    /// Returns whether no further answers of gateways are awaited.
    fn are_gateways_over(&self, elapsed: Duration) -> bool {
        elapsed >= ANSWER_TIMEOUT || self.answered.len() == self.asked.len()
    }

    /// Asks the gateways that have not answered.
    fn ask_gateways(&self) {
        let question = Datagram::version_question(self.question.clone());
        for address in &self.asked {
            if !self.answered.contains(address) {
                self.shared.datagrams.send(*address, &question);
            }
        }
    }

    fn ask_store(&mut self) {
        if matches!(self.store, StoreQuestion::NotAsked) {
            let lookups = &self.shared.stream_versions.lookups;
            self.store = StoreQuestion::Asked(lookups.request(self.attempt));
        }
    }

    /// Asks the gateways that have answered to read the store, if this one has not been able to. It may answer few of them.
    fn ask_to_confirm(&mut self) {
        if self.has_asked_to_confirm || !self.evidence.lacks_confirmation() {
            return;
        }
        self.has_asked_to_confirm = true;
        let question = Datagram::version_question(VersionQuestionMessage {
            confirms: true,
            ..self.question.clone()
        });
        self.asked_to_confirm.clone_from(&self.answered);
        for address in &self.asked_to_confirm {
            self.shared.datagrams.send(*address, &question);
        }
    }

    fn add_answer(&mut self, answer: Option<VersionAnswer>) {
        let Some(answer) = answer else { return };
        let is_first = self.answered.insert(answer.sender);
        if answer.is_confirmed && self.asked_to_confirm.remove(&answer.sender) {
            self.add_confirmed(answer.testimony);
        } else if is_first {
            self.evidence.add(answer.testimony);
        }
    }

    /// Adds what a gateway says that has read the store since the search began.
    fn add_confirmed(&mut self, testimony: Testimony) {
        if let Testimony::Only(version) = &testimony {
            self.confirmed_by = "gateway";
            self.evidence.confirm([version.clone()]);
            self.evidence.confirm(self.served());
        }
        self.evidence.add(testimony);
    }

    fn add_stored(&mut self, stored: StoredStream) {
        for version in stored.versions {
            self.evidence.add(Testimony::Known(version));
        }
        if !stored.is_mirror_current {
            return;
        }
        // Without a watch of its own, this gateway may have missed a version that has come and left.
        if self.add_own_testimony() == "only" {
            self.confirmed_by = "store";
            self.evidence.confirm(self.served());
        }
    }

    /// Returns the versions that have served as far as this gateway knows now.
    fn served(&self) -> BTreeSet<SoftwareVersion> {
        let versions = self.shared.stream_versions.versions.lock();
        versions.served(self.shared.now(), self.service)
    }

    /// Adds what this gateway can say now, also from what it has learned since the search began. Returns its name.
    fn add_own_testimony(&mut self) -> &'static str {
        let own = own_testimony(self.shared, self.service, self.attempt);
        let name = own.name();
        self.evidence.add(own);
        name
    }
}

/// Returns the addresses of the other gateways that may know a stream.
fn asked_gateways(shared: &Shared, attempt: AttemptKey) -> Vec<SocketAddr> {
    let own = own_name(shared);
    let fleet = shared.fleet.read().clone();
    let recorders = &fleet.recorders;
    let others = fleet.names().filter(|name| *name != own);
    let asked: BTreeSet<&str> = match recorders.tells_all() {
        true => others.collect(),
        false => {
            let ranked = rendezvous_rank(&attempt.0.to_le_bytes(), others);
            let told = ranked_without_recorders(&fleet, &own, attempt);
            let recorders =
                (0..ASKED_RECORDERS).filter_map(|skipped| recorders.recorder(attempt, skipped));
            let recorders = recorders.filter(|name| *name != own);
            let ranked = ranked.into_iter().take(ASKED_GATEWAYS);
            let told = told.into_iter().take(ASKED_GATEWAYS);
            ranked.chain(told).chain(recorders).collect()
        }
    };
    asked
        .into_iter()
        .filter_map(|name| fleet.load_address(name))
        .collect()
}

fn own_testimony(shared: &Shared, service: &ServiceName, attempt: Option<AttemptKey>) -> Testimony {
    let now = shared.now();
    let watch = watch(shared);
    let mut versions = shared.stream_versions.versions.lock();
    versions.testimony(now, (service, attempt), watch)
}

/// Answers a question of another gateway, after a read of the store if it asks for that.
pub fn receive_question(
    shared: &Arc<Shared>,
    sender: SocketAddr,
    question: &VersionQuestionMessage,
) {
    match question.confirms {
        true => {
            let confirmation = confirm(Arc::clone(shared), sender, question.clone());
            actix_rt::spawn(confirmation);
        }
        false => send_answer(shared, sender, question, false),
    }
}

/// Answers a question as soon as this gateway has read the store; not at all if it cannot.
async fn confirm(shared: Arc<Shared>, sender: SocketAddr, question: VersionQuestionMessage) {
    let attempt = question.attempt.map(AttemptKey);
    let stored = shared.stream_versions.lookups.request(attempt);
    let Ok(Ok(stored)) = timeout(SEARCH_TIMEOUT, stored).await else {
        return;
    };
    // A stream that is recorded at several versions is not known at any of them.
    if stored.versions.len() > 1 {
        return;
    }
    if let (Some(attempt), Some(version)) = (attempt, stored.versions.first().cloned()) {
        let now = shared.now();
        let mut versions = shared.stream_versions.versions.lock();
        versions.record(now, StreamRecord { attempt, version });
    }
    if stored.is_mirror_current {
        send_answer(&shared, sender, &question, true);
    }
}

fn send_answer(
    shared: &Shared,
    receiver: SocketAddr,
    question: &VersionQuestionMessage,
    is_confirmed: bool,
) {
    let service = ServiceName::new(question.service.as_str());
    let attempt = question.attempt.map(AttemptKey);
    let testimony = own_testimony(shared, &service, attempt);
    let answer = VersionAnswerMessage::new(question.number, &testimony, is_confirmed);
    let datagram = Datagram::version_answer(answer);
    shared.datagrams.send(receiver, &datagram);
}

/// Passes an answer to the request that waits for it.
pub fn receive_answer(shared: &Shared, sender: SocketAddr, answer: &VersionAnswerMessage) {
    let questions = shared.stream_versions.questions.lock();
    if let Some(question) = questions.get(&answer.number) {
        let _ = question.send(VersionAnswer {
            sender,
            testimony: answer.testimony(),
            is_confirmed: answer.confirmed,
        });
    }
}
