//! Callers: each sends requests one after another, leaves early at times, reuses ids, and tries again.

mod client;
mod requests;

pub use requests::HOST;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::evidence::{Outcome, SentRequest};
use crate::worker::Notebook;
use client::Client;
use requests::CallerRequest;

/// The longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 30;
/// How many requests of a hundred are given up by their caller before the answer.
const LEAVING_OF_HUNDRED: u32 = 5;
/// How many of a hundred have the id of the one before, with another body.
const REUSING_OF_HUNDRED: u32 = 20;
/// How many of a hundred that may be tried again are.
const RETRYING_OF_HUNDRED: u32 = 60;
/// How many of a hundred go to the gateway that the one before went to.
const STAYING_OF_HUNDRED: u32 = 70;
/// The most tries of one request.
const MAX_TRIES: u32 = 3;
/// When a deadly request is sent for the first time, in milliseconds at the most.
const MAX_DEADLY_START_MS: u64 = 3_000;
/// Pause between two tries of a deadly request, in milliseconds.
const DEADLY_PAUSE_MS: std::ops::Range<u64> = 30..400;

/// What a caller needs.
pub struct CallerPlan {
    /// Its number.
    pub number: usize,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Where callers reach each gateway.
    pub gateways: Vec<SocketAddr>,
    /// Set when it sends nothing more.
    pub is_over: Rc<Cell<bool>>,
    /// Where it records what it sees.
    pub notebook: Notebook,
}

/// Sends requests until the time is over.
pub async fn call(plan: CallerPlan) {
    let mut caller = Caller::new(plan);
    while !caller.plan.is_over.get() {
        caller.next().await;
        let pause_ms = caller.random.random_range(0..MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Sends a request that ends workers, again and again at any gateway, until the time is over.
pub async fn repeat_deadly(plan: CallerPlan) {
    let mut caller = Caller::new(plan);
    let first_ms = caller.random.random_range(0..MAX_DEADLY_START_MS);
    sleep(Duration::from_millis(first_ms)).await;
    let (seed, number) = (caller.plan.seed, caller.plan.number);
    let name = format!("deadly-{seed:x}-{number}");
    let request = CallerRequest::draw_deadly(&name, &mut caller.random);
    while !caller.plan.is_over.get() {
        caller.sent += 1;
        let id = format!("{name}-{}", caller.sent);
        caller.send(&request.with_id(id)).await;
        let pause_ms = caller.random.random_range(DEADLY_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

struct Caller {
    plan: CallerPlan,
    random: ChaCha8Rng,
    client: Client,
    sent: u64,
    last_id: Option<String>,
    gateway: usize,
}

impl Caller {
    fn new(plan: CallerPlan) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            client: Client::new(plan.gateways.len()),
            sent: 0,
            last_id: None,
            gateway: 0,
            plan,
        }
    }

    /// Sends a new request, and tries again where that is allowed.
    async fn next(&mut self) {
        self.sent += 1;
        let fresh = format!("{:x}-{}-{}", self.plan.seed, self.plan.number, self.sent);
        let reuses = self.random.random_ratio(REUSING_OF_HUNDRED, 100);
        let id = match self.last_id.take() {
            Some(id) if reuses => id,
            _ => fresh.clone(),
        };
        let mut request = CallerRequest::draw(id, &fresh, &mut self.random);
        for _ in 0..MAX_TRIES {
            let outcome = self.send(&request).await;
            let again = self.random.random_ratio(RETRYING_OF_HUNDRED, 100);
            match request.after(&outcome).filter(|_| again) {
                Some(next) => request = next,
                None => break,
            }
        }
        self.last_id = Some(request.key.id);
    }

    async fn send(&mut self, request: &CallerRequest) -> Outcome {
        if !self.random.random_ratio(STAYING_OF_HUNDRED, 100) {
            self.gateway = self.random.random_range(0..self.plan.gateways.len());
        }
        let gateway = self.gateway;
        let leaves = self.random.random_ratio(LEAVING_OF_HUNDRED, 100);
        let patience = match leaves {
            true => Duration::from_millis(self.random.random_range(0..40)),
            false => request.patience + client::GRACE,
        };
        let notebook = self.plan.notebook.clone();
        let at_ms = notebook.now_ms();
        self.client.record_stray(
            gateway,
            |stray| notebook.record(|e| e.stray.push(stray)),
            at_ms,
        );
        let address = self.plan.gateways[gateway];
        let outcome = self.client.ask(gateway, address, request, patience).await;
        let sent = SentRequest {
            key: request.key.clone(),
            route: request.route,
            prompt: request.prompt_text(),
            after_event: request.after_event,
            gateway,
            at_ms,
            ended_ms: notebook.now_ms(),
            outcome: outcome.clone(),
        };
        notebook.record(|evidence| evidence.sent.push(sent));
        outcome
    }
}
