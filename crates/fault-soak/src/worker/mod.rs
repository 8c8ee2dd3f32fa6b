//! Workers of the fault soak. They implement the platform's published protocol and inject faults on demand.

mod answers;
mod connection;
mod reply;
mod state;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use tansyhall_platform_standin::Store;
use tansyhall_testing::{free_peer_address, Partitions};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::faults::FaultMix;
use crate::link::Link;
use state::WorkerState;

pub use state::Recorder;

/// Number of the next incarnation. It distinguishes all incarnations of workers in one process.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

/// The fixed properties of a worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerPlan {
    /// The service that the worker belongs to.
    pub service: &'static str,
    /// The zone that the worker runs in.
    pub zone: &'static str,
    /// The stage of an engine; `None` for other workers.
    pub stage: Option<&'static str>,
    /// The version of the worker's software.
    pub version: &'static str,
}

/// How long the entry of a crashed worker stays in the store. A crashed worker does not remove its entry, so the
/// entry stays until it expires.
const ENTRY_TTL: Duration = Duration::from_millis(900);
/// How long a crashed worker stays down, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 1_000..2_500;

/// A worker behind a link. Dropping it stops accepting connections.
#[derive(Debug)]
pub struct Worker {
    /// The link in front of the worker.
    pub link: Rc<Link>,
    /// The fixed properties of the worker.
    pub plan: WorkerPlan,
    incarnation: Rc<RefCell<Arc<WorkerState>>>,
    is_leaving: Rc<Cell<bool>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Worker {
    /// Starts a worker and announces it as ready. `partitions` says which gateways are partitioned from it.
    pub async fn start(
        store: &Store,
        recorder: &Recorder,
        plan: WorkerPlan,
        partitions: &Partitions,
        seed: u64,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Link::open_at(free_peer_address(), listener.local_addr()?, partitions)?;
        let link = Rc::new(link);
        let state = WorkerState::new(
            next_id(),
            link.listen_address,
            plan,
            store.clone(),
            recorder.clone(),
            seed,
        );
        state.announce_state("ready");
        let incarnation = Rc::new(RefCell::new(Arc::new(state)));
        let is_leaving = Rc::new(Cell::new(false));
        let task = IncarnationLoop {
            link: Rc::clone(&link),
            incarnation: Rc::clone(&incarnation),
            is_leaving: Rc::clone(&is_leaving),
        };
        Ok(Self {
            link,
            plan,
            incarnation,
            is_leaving,
            task: actix_rt::spawn(task.run(listener)),
        })
    }

    /// Sets the faults that the worker injects.
    pub fn set_mix(&self, mix: FaultMix) {
        self.incarnation.borrow().set_mix(mix);
    }

    /// Returns the id of the current incarnation.
    pub fn id(&self) -> String {
        self.incarnation.borrow().id.clone()
    }

    /// Announces in all further answers that the worker is leaving. Does not change its entry in the store.
    pub fn advertise_leaving(&self) {
        self.incarnation.borrow().advertise_leaving();
    }

    /// Refuses all further requests and asks for this back-off, or with `None` accepts requests again.
    pub fn set_backoff(&self, backoff_ms: Option<u64>) {
        self.incarnation.borrow().set_backoff(backoff_ms);
    }

    /// Sets or clears the rate limit that further answers carry, in thousandths of a request per second.
    pub fn set_rate_limit(&self, millirequests: Option<u64>) {
        self.incarnation.borrow().set_rate_limit(millirequests);
    }

    /// Makes the current incarnation send nothing for this time, and go on afterwards.
    pub async fn fall_silent(&self, duration: Duration) {
        let state = Arc::clone(&self.incarnation.borrow());
        state.fall_silent(duration).await;
    }

    /// Announces in the store that the worker is draining before it leaves.
    pub fn drain(&self) {
        self.is_leaving.set(true);
        self.incarnation.borrow().announce_state("draining");
    }

    /// Writes the current entry to the store again.
    pub fn rewrite_entry(&self) {
        self.incarnation.borrow().write_entry();
    }

    /// Removes the entry from the store.
    pub fn remove_entry(&self) {
        self.incarnation.borrow().remove_entry();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.incarnation.borrow().record_broken_answer(None);
        self.task.abort();
    }
}

fn next_id() -> String {
    let number = INCARNATIONS.fetch_add(1, Ordering::Relaxed);
    format!("i-{number:08x}")
}

/// Runs the incarnations of a worker one after another.
struct IncarnationLoop {
    link: Rc<Link>,
    incarnation: Rc<RefCell<Arc<WorkerState>>>,
    is_leaving: Rc<Cell<bool>>,
}

impl IncarnationLoop {
    async fn run(self, mut listener: TcpListener) {
        loop {
            let state = Arc::clone(&self.incarnation.borrow());
            let accepting = AbortOnDrop(actix_rt::spawn(accept_connections(
                listener,
                Arc::clone(&state),
            )));
            state.wait_until_crashed().await;
            self.link.close();
            drop(accepting);
            let downtime_ms = state.draw(|random| random.random_range(DOWNTIME_MS));
            sleep(ENTRY_TTL).await;
            let was_listed = state.is_listed();
            state.remove_entry();
            sleep(Duration::from_millis(downtime_ms).saturating_sub(ENTRY_TTL)).await;
            if self.is_leaving.get() || !was_listed {
                return;
            }
            let Ok(next_listener) = TcpListener::bind("127.0.0.1:0").await else {
                return;
            };
            listener = next_listener;
            if self.start_next_incarnation(&state, &listener).is_err() {
                return;
            }
        }
    }

    fn start_next_incarnation(
        &self,
        previous: &WorkerState,
        listener: &TcpListener,
    ) -> std::io::Result<()> {
        self.link.set_target(listener.local_addr()?);
        let seed = previous.draw(|random| random.random());
        let next = Arc::new(previous.next_incarnation(next_id(), seed));
        *self.incarnation.borrow_mut() = Arc::clone(&next);
        self.link.reopen();
        next.announce_state("ready");
        Ok(())
    }
}

struct AbortOnDrop(actix_rt::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<WorkerState>) {
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(connection::serve(stream, Arc::clone(&state)));
    }
}

/// Returns the store entry of a worker.
fn worker_entry(
    plan: &WorkerPlan,
    address: SocketAddr,
    state: &str,
    stage: Option<&str>,
) -> serde_json::Value {
    let mut entry = json!({
        "service": plan.service,
        "address": address.to_string(),
        "zone": plan.zone,
        "version": plan.version,
        "slots": 8,
        "state": state,
        "cold_left_ms": 0,
        "seq": 1,
    });
    if let Some(stage) = stage {
        entry["stage"] = json!(stage);
    }
    entry
}
