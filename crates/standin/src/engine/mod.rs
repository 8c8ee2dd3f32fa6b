//! Stand-in for a model engine: runs the engine model in real time behind the engine protocol. It
//! records every order and every request, so that a test can check what the engine received.

mod answer;
mod cache;
mod faults;
mod http;
mod kv;
mod load;
mod runner;
mod weights;

use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::dev::Server;
use actix_web::middleware::from_fn;
use actix_web::{web, App, HttpServer};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{EngineName, Incarnation, ModelName, Role};
use tansyhall_engine::protocol::{Order, OrderAction, OrderReply};
use tansyhall_engine_model::{Control, ControlTiming, CostModel};

pub use answer::{answer_text, answer_token};
use cache::Caches;
pub use faults::EngineFaults;
use load::LoadHistory;
use runner::Runner;
pub use weights::WeightsStore;

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The name of the engine.
    pub name: EngineName,
    /// The initial role.
    pub role: Role,
    /// The initial model.
    pub model: ModelName,
    /// Duration of a role change.
    pub role_change: Duration,
    /// Costs and capacities of the engine.
    pub costs: CostModel,
    /// Source and sizes of models and adapters.
    pub weights: Weights,
}

/// The store from which an engine fetches models and adapters, and their sizes.
#[derive(Debug, Clone)]
pub struct Weights {
    /// The weight store.
    pub store: Arc<WeightsStore>,
    /// Size of a model, in bytes.
    pub model_bytes: u64,
    /// Size of an adapter, in bytes.
    pub adapter_bytes: u64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            store: Arc::new(WeightsStore::new(1 << 30)),
            model_bytes: 2 << 30,
            adapter_bytes: 64 << 20,
        }
    }
}

/// An order that the engine received.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// Milliseconds since the engine's start.
    pub at_millis: u64,
    /// The order.
    pub order: Order,
    /// The answer of the engine.
    pub reply: OrderReply,
    /// Number of requests in progress when the order was received.
    pub requests: u32,
}

/// A request that the engine accepted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedRequest {
    /// Milliseconds since the engine's start.
    pub at_millis: u64,
    /// The request id.
    pub request_id: String,
    /// Hash of the model and prompt.
    pub prompt_hash: u64,
    /// Number of tokens that the caller already had.
    pub resume_after: u32,
}

/// Maximum number of records of each kind. When it is exceeded, the oldest half is removed.
const MAX_RECORDS: usize = 100_000;

/// All records of an engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Records {
    /// Orders, oldest first.
    pub orders: Vec<RecordedOrder>,
    /// Accepted requests, oldest first.
    pub requests: Vec<RecordedRequest>,
    /// Number of requests that were cancelled, or whose callers disconnected, before the last token.
    pub cancelled: u64,
}

impl Records {
    /// Returns the number of role changes that the engine accepted.
    pub fn role_changes(&self) -> u64 {
        let is_started = |record: &&RecordedOrder| {
            matches!(record.order.action, OrderAction::SetRole { .. })
                && record.reply == OrderReply::Accepted
        };
        self.orders.iter().filter(is_started).count() as u64
    }

    fn push_order(&mut self, order: RecordedOrder) {
        self.orders.push(order);
        trim(&mut self.orders);
    }

    fn push_request(&mut self, request: RecordedRequest) {
        self.requests.push(request);
        trim(&mut self.requests);
    }
}

fn trim<T>(records: &mut Vec<T>) {
    if records.len() > MAX_RECORDS {
        records.drain(..MAX_RECORDS / 2);
    }
}

/// State shared by the handlers of the stand-in.
pub struct Engine {
    clock: MonotonicClock,
    control: Mutex<Control>,
    records: Mutex<Records>,
    faults: Mutex<EngineFaults>,
    load: Mutex<LoadHistory>,
    accepted_prompt_tokens: AtomicU64,
    caches: Mutex<Caches>,
    weights: Weights,
    runner: Runner,
}

impl Engine {
    fn kv_capacity_tokens(&self) -> u64 {
        self.runner.with_batch(|batch| batch.kv_capacity())
    }
}

/// Returns an incarnation that is larger than those of earlier starts: the time in microseconds.
fn next_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(0))
}

/// Starts an engine on a listener.
pub fn serve(listener: TcpListener, options: EngineOptions) -> std::io::Result<Server> {
    let timing = ControlTiming {
        role_change: options.role_change,
        ..ControlTiming::default()
    };
    let control = Control::new(
        options.name,
        next_incarnation(),
        options.role,
        options.model,
        timing,
    );
    let clock = MonotonicClock::start();
    let engine = Arc::new(Engine {
        clock,
        control: Mutex::new(control),
        records: Mutex::new(Records::default()),
        faults: Mutex::new(EngineFaults::default()),
        load: Mutex::new(LoadHistory::default()),
        accepted_prompt_tokens: AtomicU64::new(0),
        caches: Mutex::new(Caches::new(options.costs.kv_capacity_tokens)),
        weights: options.weights,
        runner: Runner::new(options.costs),
    });
    let data = web::Data::from(Arc::clone(&engine));
    actix_rt::spawn(runner::run(data.clone()));
    actix_rt::spawn(http::sample_load(data));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&engine)))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .wrap(from_fn(faults::delay_while_frozen))
            .configure(http::routes)
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

const MAX_BODY_BYTES: usize = 64 << 20;
