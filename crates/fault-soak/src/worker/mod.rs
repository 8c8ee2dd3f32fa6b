//! Workers of the soak: they speak the platform's published protocol, and misbehave on demand.

mod answers;
mod connection;
mod reply;
mod state;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use serde_json::json;
use tansyhall_platform_standin::Store;
use tokio::net::TcpListener;

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

/// A worker behind a link. It takes no connections after this is dropped.
#[derive(Debug)]
pub struct Worker {
    /// Its link.
    pub link: Link,
    /// What it is.
    pub plan: WorkerPlan,
    state: Arc<WorkerState>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Worker {
    /// Starts a worker and announces it as ready.
    pub async fn start(
        store: &Store,
        notebook: &Notebook,
        plan: WorkerPlan,
        seed: u64,
    ) -> std::io::Result<Self> {
        let number = INCARNATIONS.fetch_add(1, Ordering::Relaxed);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Link::open(listener.local_addr()?).await?;
        let state = WorkerState::new(
            format!("i-{number:08x}"),
            link.entrance,
            plan,
            store.clone(),
            notebook.clone(),
            seed,
        );
        let state = Arc::new(state);
        let task = actix_rt::spawn(accept(listener, Arc::clone(&state)));
        state.announce("ready");
        Ok(Self {
            link,
            plan,
            state,
            task,
        })
    }

    /// Changes what goes wrong.
    pub fn set_mix(&self, mix: Mix) {
        self.state.set_mix(mix);
    }

    /// Says that it is about to leave.
    pub fn drain(&self) {
        self.state.announce("draining");
    }

    /// Takes its entry out of the store.
    pub fn withdraw(&self) {
        self.state.withdraw();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
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
