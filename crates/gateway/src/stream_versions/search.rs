//! Finds out at which version a stream began, by questions to other gateways and to the store.

use std::collections::BTreeSet;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{AttemptKey, SoftwareVersion, Testimony, VersionEvidence};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

use super::lookup::RecordedVersions;
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
}

/// A question that waits for answers. Dropping it closes it.
struct OpenQuestion<'a> {
    exchange: &'a StreamVersionExchange,
    number: u64,
    answers: mpsc::UnboundedReceiver<(SocketAddr, Testimony)>,
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
    Asked(oneshot::Receiver<RecordedVersions>),
    /// It has answered, or is not asked; with the name of what it said.
    Over(&'static str),
}

impl StoreQuestion {
    /// Returns the question about a stream. Without an attempt, the store cannot be asked.
    fn new(attempt: Option<AttemptKey>) -> Self {
        match attempt {
            Some(_) => Self::NotAsked,
            None => Self::Over("unread"),
        }
    }

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
    async fn answer(&mut self) -> RecordedVersions {
        let Self::Asked(receiver) = self else {
            return pending().await;
        };
        let answer = receiver.await;
        *self = match &answer {
            Ok(versions) if versions.is_empty() => Self::Over("unknown"),
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
    FoundVersion {
        version: search.evidence.version().cloned(),
        ground: search.evidence.ground(),
        asked: search.asked.len(),
        answered: search.answered.len(),
        stored: search.store.name(),
        own_at_end: own_testimony(shared, service, attempt).name(),
        ..found
    }
}

/// The search for the version of one stream.
struct Search<'a> {
    shared: &'a Shared,
    attempt: Option<AttemptKey>,
    question: Datagram,
    open: OpenQuestion<'a>,
    asked: Vec<SocketAddr>,
    answered: BTreeSet<SocketAddr>,
    store: StoreQuestion,
    evidence: VersionEvidence,
    /// Number of gateways that have to agree on the only version, this one included, before the others have answered.
    /// `None` if this gateway does not know the only version itself.
    sufficient: Option<usize>,
    /// When the search ends at the latest.
    timeout: Duration,
}

impl<'a> Search<'a> {
    fn new(
        shared: &'a Shared,
        service: &ServiceName,
        attempt: Option<AttemptKey>,
        own: Testimony,
    ) -> Self {
        let open = OpenQuestion::new(&shared.stream_versions);
        let question = Datagram::version_question(VersionQuestionMessage {
            number: open.number,
            service: service.as_str().to_owned(),
            attempt: attempt.map(|attempt| attempt.0),
        });
        let key = attempt.unwrap_or(AttemptKey(open.number));
        let is_certain = matches!(own, Testimony::Only(_));
        let mut evidence = VersionEvidence::default();
        evidence.add(own);
        Self {
            shared,
            attempt,
            question,
            open,
            asked: asked_gateways(shared, key),
            answered: BTreeSet::new(),
            store: StoreQuestion::new(attempt),
            evidence,
            sufficient: is_certain.then_some(1 + SUFFICIENT_AGREEMENT),
            timeout: match watch(shared).is_current {
                true => SEARCH_TIMEOUT,
                false => ANSWER_TIMEOUT,
            },
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
            if elapsed >= STORE_DELAY || self.are_gateways_over(elapsed) {
                self.ask_store();
            }
            let steps = [STORE_DELAY, REPEAT_DELAY, ANSWER_TIMEOUT, self.timeout];
            let next_step = steps.into_iter().find(|step| *step > elapsed);
            tokio::select! {
                answer = self.open.answers.recv() => self.add_answer(answer),
                versions = self.store.answer() => self.add_recorded(versions),
                () = sleep_until(began + next_step.unwrap_or(self.timeout)) => {}
            }
        }
    }

    /// Returns whether the evidence decides, or whether nobody is left who could add to it.
    fn is_over(&self, elapsed: Duration) -> bool {
        let has_version = self.evidence.version().is_some();
        let has_agreement = self
            .sufficient
            .is_some_and(|count| self.evidence.only_count() >= count);
        if self.evidence.is_known() || has_agreement && has_version {
            return true;
        }
        let is_complete = self.are_gateways_over(elapsed) && (has_version || self.store.is_over());
        is_complete || elapsed >= self.timeout
    }

    /// Returns whether no further answers of gateways are awaited.
    fn are_gateways_over(&self, elapsed: Duration) -> bool {
        elapsed >= ANSWER_TIMEOUT || self.answered.len() == self.asked.len()
    }

    /// Asks the gateways that have not answered.
    fn ask_gateways(&self) {
        for address in &self.asked {
            if !self.answered.contains(address) {
                self.shared.datagrams.send(*address, &self.question);
            }
        }
    }

    fn ask_store(&mut self) {
        if let (StoreQuestion::NotAsked, Some(attempt)) = (&self.store, self.attempt) {
            let lookups = &self.shared.stream_versions.lookups;
            self.store = StoreQuestion::Asked(lookups.request(attempt));
        }
    }

    fn add_answer(&mut self, answer: Option<(SocketAddr, Testimony)>) {
        if let Some((sender, testimony)) = answer {
            if self.answered.insert(sender) {
                self.evidence.add(testimony);
            }
        }
    }

    fn add_recorded(&mut self, versions: RecordedVersions) {
        for version in versions {
            self.evidence.add(Testimony::Known(version));
        }
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

/// Answers a question of another gateway.
pub fn receive_question(shared: &Shared, sender: SocketAddr, question: &VersionQuestionMessage) {
    let service = ServiceName::new(question.service.as_str());
    let attempt = question.attempt.map(AttemptKey);
    let testimony = own_testimony(shared, &service, attempt);
    let answer = VersionAnswerMessage::new(question.number, &testimony);
    let datagram = Datagram::version_answer(answer);
    shared.datagrams.send(sender, &datagram);
}

/// Passes an answer to the request that waits for it.
pub fn receive_answer(shared: &Shared, sender: SocketAddr, answer: &VersionAnswerMessage) {
    let questions = shared.stream_versions.questions.lock();
    if let Some(question) = questions.get(&answer.number) {
        let _ = question.send((sender, answer.testimony()));
    }
}
