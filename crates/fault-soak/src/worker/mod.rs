//! Workers of the soak: they speak the platform's published protocol, and misbehave on demand.

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
use tansyhall_testing::free_peer_address;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::faults::Mix;
use crate::link::Link;
use state::WorkerState;

pub use state::Notebook;

/// Distinguishes workers of one process.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

/// What a worker is.
#[derive(Debug, Clone, Copy)]
pub struct WorkerPlan {
    /// Its service.
    pub service: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// The stage of an engine.
    pub stage: Option<&'static str>,
}

/// How long a worker that has ended stays in the store: it says nothing, so that its entry runs out.
const ENTRY_LINGERS: Duration = Duration::from_millis(900);
/// How long it is gone at the least and at the most, in milliseconds.
const GONE_MS: std::ops::Range<u64> = 1_000..2_500;

/// A worker behind a link. It takes no connections after this is dropped.
#[derive(Debug)]
pub struct Worker {
    /// Its link.
    pub link: Rc<Link>,
    /// What it is.
    pub plan: WorkerPlan,
    incarnation: Rc<RefCell<Arc<WorkerState>>>,
    is_leaving: Rc<Cell<bool>>,
    life: actix_rt::task::JoinHandle<()>,
}

impl Worker {
    /// Starts a worker and announces it as ready.
    pub async fn start(
        store: &Store,
        notebook: &Notebook,
        plan: WorkerPlan,
        seed: u64,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Link::open_at(free_peer_address(), listener.local_addr()?)?;
        let link = Rc::new(link);
        let state = WorkerState::new(
            next_id(),
            link.entrance,
            plan,
            store.clone(),
            notebook.clone(),
            seed,
        );
        state.announce("ready");
        let incarnation = Rc::new(RefCell::new(Arc::new(state)));
        let is_leaving = Rc::new(Cell::new(false));
        let life = Life {
            link: Rc::clone(&link),
            incarnation: Rc::clone(&incarnation),
            is_leaving: Rc::clone(&is_leaving),
        };
        Ok(Self {
            link,
            plan,
            incarnation,
            is_leaving,
            life: actix_rt::spawn(life.run(listener)),
        })
    }

    /// Changes what goes wrong.
    pub fn set_mix(&self, mix: Mix) {
        self.incarnation.borrow().set_mix(mix);
    }

    /// The name of its present incarnation.
    pub fn id(&self) -> String {
        self.incarnation.borrow().id.clone()
    }

    /// Says in its answers that it is about to leave; the store does not know yet.
    pub fn say_leaving(&self) {
        self.incarnation.borrow().say_leaving();
    }

    /// Turns everything away from now on and asks for so much rest, or takes requests again.
    pub fn set_rest(&self, rest_ms: Option<u64>) {
        self.incarnation.borrow().set_rest(rest_ms);
    }

    /// Names this rate limit in its answers from now on, in thousandths of a request a second, or none any more.
    pub fn name_limit(&self, millirequests: Option<u64>) {
        self.incarnation.borrow().name_limit(millirequests);
    }

    /// Says that it is about to leave.
    pub fn drain(&self) {
        self.is_leaving.set(true);
        self.incarnation.borrow().announce("draining");
    }

    /// Writes its entry again, as it stands.
    pub fn write_again(&self) {
        self.incarnation.borrow().write_entry();
    }

    /// Takes its entry out of the store.
    pub fn withdraw(&self) {
        self.incarnation.borrow().withdraw();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.life.abort();
    }
}

fn next_id() -> String {
    let number = INCARNATIONS.fetch_add(1, Ordering::Relaxed);
    format!("i-{number:08x}")
}

/// A worker's incarnations, one after another.
struct Life {
    link: Rc<Link>,
    incarnation: Rc<RefCell<Arc<WorkerState>>>,
    is_leaving: Rc<Cell<bool>>,
}

impl Life {
    async fn run(self, mut listener: TcpListener) {
        loop {
            let state = Arc::clone(&self.incarnation.borrow());
            let accepting = AbortOnDrop(actix_rt::spawn(accept(listener, Arc::clone(&state))));
            state.until_ended().await;
            self.link.close();
            drop(accepting);
            let gone_ms = state.draw(|random| random.random_range(GONE_MS));
            sleep(ENTRY_LINGERS).await;
            let was_listed = state.is_listed();
            state.withdraw();
            sleep(Duration::from_millis(gone_ms).saturating_sub(ENTRY_LINGERS)).await;
            if self.is_leaving.get() || !was_listed {
                return;
            }
            let Ok(next) = TcpListener::bind("127.0.0.1:0").await else {
                return;
            };
            listener = next;
            if self.come_back(&state, &listener).is_err() {
                return;
            }
        }
    }

    fn come_back(&self, last: &WorkerState, listener: &TcpListener) -> std::io::Result<()> {
        self.link.lead_to(listener.local_addr()?);
        let seed = last.draw(|random| random.random());
        let next = Arc::new(last.successor(next_id(), seed));
        *self.incarnation.borrow_mut() = Arc::clone(&next);
        self.link.open_again();
        next.announce("ready");
        Ok(())
    }
}

struct AbortOnDrop(actix_rt::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<WorkerState>) {
    while let Ok((stream, _)) = listener.accept().await {
        actix_rt::spawn(connection::serve(stream, Arc::clone(&state)));
    }
}

/// A worker's entry in the store.
fn entry(
    plan: &WorkerPlan,
    address: SocketAddr,
    state: &str,
    stage: Option<&str>,
) -> serde_json::Value {
    let mut entry = json!({
        "service": plan.service,
        "address": address.to_string(),
        "zone": plan.zone,
        "version": "v1",
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
