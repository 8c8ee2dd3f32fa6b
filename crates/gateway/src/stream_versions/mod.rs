//! Finds out at which software version a stream began that a caller takes up, and makes known at which version streams
//! begin here: [`telling`] informs other gateways at once, [`recorder`] writes to the store for all gateways, and
//! [`search`] asks other gateways and, through [`lookup`], the store. A gateway that has not watched for long learns from
//! others which versions have served before ([`history`]), and the store names them for all ([`served`]). [`tansyhall_forwarding::stream_versions`] decides
//! what must be told and what follows from answers, and [`tansyhall_forwarding::stream_recorders`] who is told.

mod history;
pub mod lookup;
pub mod message;
mod recorder;
mod search;
mod served;
mod telling;

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    AttemptKey, SoftwareVersion, StreamHandover, StreamRecord, StreamRecords, StreamVersions, Watch,
};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::state::Shared;
use history::OpenHistoryQuestion;
use lookup::Lookups;
use search::VersionAnswer;

pub use history::{receive_history_answer, receive_history_question};
pub use lookup::read_records;
pub use recorder::write_records;
pub use search::{find, receive_answer, receive_question, FoundVersion};
pub use served::{read_served_versions, write_served_versions, SERVED_PREFIX};
pub use telling::{receive_recorded_streams, receive_streams};

/// Prefix of the keys under which recorders write the versions of streams. Copies of the store exclude them, because only
/// gateways that look for a stream read them.
pub const RECORDS_PREFIX: &str = "tansyhall/streams/";
/// Maximum age of the store's last answer with which a gateway knows all workers. A relay's answers are up to 1.5 s apart.
const MAX_STORE_AGE: Duration = Duration::from_secs(3);
/// Interval of checks whether other gateways must be told of streams.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of checks between two reviews of the workers that serve.
const CHECKS_PER_REVIEW: u32 = 10;

/// The versions of streams, and what is under way to make them known and to find them.
#[derive(Debug)]
pub struct StreamVersionExchange {
    /// What this gateway knows itself.
    pub versions: Mutex<StreamVersions>,
    /// The streams that this gateway has to write to the store.
    records: Mutex<StreamRecords>,
    /// The streams that other gateways have to write for this one.
    handover: Mutex<StreamHandover>,
    /// The streams that requests look for in the store.
    lookups: Lookups,
    /// The question which versions have served before this gateway began to watch.
    history_question: Mutex<Option<OpenHistoryQuestion>>,
    questions: Mutex<HashMap<u64, mpsc::UnboundedSender<VersionAnswer>>>,
    next_question: AtomicU64,
}

impl Default for StreamVersionExchange {
    /// Creates an exchange without streams. The first number is random, so that no answer to an earlier incarnation of this
    /// gateway is taken for an answer to this one.
    fn default() -> Self {
        Self {
            versions: Mutex::default(),
            records: Mutex::default(),
            handover: Mutex::default(),
            lookups: Lookups::default(),
            history_question: Mutex::default(),
            questions: Mutex::default(),
            next_question: AtomicU64::new(rand::random()),
        }
    }
}

/// Records that a stream begins here at this version, and makes it known if this gateway cannot testify that no other
/// version serves.
pub fn record_beginning(
    shared: &Shared,
    service: &ServiceName,
    attempt: AttemptKey,
    version: &SoftwareVersion,
) {
    let now = shared.now();
    let watch = watch(shared);
    let mut versions = shared.stream_versions.versions.lock();
    let must_tell = versions.begin(now, (service, attempt), version, watch);
    drop(versions);
    if must_tell {
        let version = version.clone();
        telling::tell(shared, &[StreamRecord { attempt, version }]);
    }
}

/// Watches the versions that serve, and makes streams known as soon as this gateway can no longer testify for them; runs
/// forever.
pub async fn maintain(shared: Arc<Shared>) {
    loop {
        review_workers(&shared);
        for _ in 0..CHECKS_PER_REVIEW {
            sleep(CHECK_INTERVAL).await;
            check_watch(&shared);
        }
    }
}

fn check_watch(shared: &Shared) {
    let now = shared.now();
    let watch = watch(shared);
    let mut versions = shared.stream_versions.versions.lock();
    if !watch.is_current {
        versions.interrupt_watch(now);
    }
    let is_complete = versions.is_watch_complete(now, watch);
    let untold = versions.take_untold(now, watch);
    drop(versions);
    let metric = &shared.metrics.version_watch_complete;
    metric.set(i64::from(is_complete));
    history::ask_others(shared, watch, is_complete);
    telling::tell(shared, &untold);
    telling::hand_over_overdue(shared, watch.record_retention);
}

/// Records that the mirror has skipped changes: a version may have come and left in between. Answers to a question from
/// before that would join watches that do not overlap.
pub fn interrupt_watch(shared: &Shared) {
    let now = shared.now();
    *shared.stream_versions.history_question.lock() = None;
    let mut versions = shared.stream_versions.versions.lock();
    versions.interrupt_watch(now);
}

/// Records the versions of all announced workers.
fn review_workers(shared: &Shared) {
    let now = shared.now();
    let directory = shared.directory.lock();
    let mut versions = shared.stream_versions.versions.lock();
    for worker in directory.announced_workers() {
        versions.observe(now, &worker.service, &worker.version);
    }
}

fn watch(shared: &Shared) -> Watch {
    let in_force = shared.in_force();
    let timeout = in_force.map(|in_force| in_force.stream_timeout);
    let age = shared.store_contact.age(shared.now());
    Watch::new(timeout.unwrap_or(Duration::MAX), age <= MAX_STORE_AGE)
}

fn own_name(shared: &Shared) -> String {
    shared.settings.read().node.name.clone()
}
