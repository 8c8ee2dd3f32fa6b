//! Callers. Each sends requests one after another, abandons some before the answer, reuses ids and retries.

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
use crate::worker::Recorder;
use client::Client;
use requests::CallerRequest;

/// Maximum pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 30;
/// Percentage of requests that the caller abandons, usually before the answer.
const ABANDONED_PERCENT: u32 = 5;
/// Percentage of requests that reuse the id of the previous request, with another body.
const REUSED_ID_PERCENT: u32 = 20;
/// Percentage of allowed retries that the caller makes.
const RETRIED_PERCENT: u32 = 60;
/// Percentage of requests that go to the gateway of the previous request.
const SAME_GATEWAY_PERCENT: u32 = 70;
/// Maximum number of tries of one request.
const MAX_TRIES: u32 = 3;
/// Maximum delay before a request that crashes workers is sent for the first time, in milliseconds.
const MAX_CRASHING_REQUEST_DELAY_MS: u64 = 3_000;
/// Pause between two tries of a request that crashes workers, in milliseconds.
const CRASHING_REQUEST_PAUSE_MS: std::ops::Range<u64> = 30..400;

/// The configuration of a caller.
pub struct CallerPlan {
    /// The number of the caller.
    pub number: usize,
    /// Seed of the random number generator of the caller.
    pub seed: u64,
    /// The address of each gateway for callers.
    pub gateways: Vec<SocketAddr>,
    /// Set when the caller must stop sending requests.
    pub is_over: Rc<Cell<bool>>,
    /// Records the requests and their outcomes.
    pub recorder: Recorder,
}

/// Sends requests until `is_over` is set.
pub async fn run_caller(plan: CallerPlan) {
    let mut caller = Caller::new(plan);
    while !caller.plan.is_over.get() {
        caller.send_next().await;
        let pause_ms = caller.random.random_range(0..MAX_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Sends a request that crashes workers repeatedly, through random gateways, until `is_over` is set.
pub async fn send_crashing_request(plan: CallerPlan) {
    let mut caller = Caller::new(plan);
    let delay_ms = caller.random.random_range(0..MAX_CRASHING_REQUEST_DELAY_MS);
    sleep(Duration::from_millis(delay_ms)).await;
    let (seed, number) = (caller.plan.seed, caller.plan.number);
    let name = format!("deadly-{seed:x}-{number}");
    let request = CallerRequest::draw_crashing(&name, &mut caller.random);
    while !caller.plan.is_over.get() {
        caller.sent += 1;
        let id = format!("{name}-{}", caller.sent);
        caller.send(&request.with_id(id), caller.sent == 1).await;
        let pause_ms = caller.random.random_range(CRASHING_REQUEST_PAUSE_MS);
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

    /// Sends a new request, and retries it where its route allows that.
    async fn send_next(&mut self) {
        self.sent += 1;
        let unique_name = format!("{:x}-{}-{}", self.plan.seed, self.plan.number, self.sent);
        let reuses = self.random.random_ratio(REUSED_ID_PERCENT, 100);
        let id = match self.last_id.take() {
            Some(id) if reuses => id,
            _ => unique_name.clone(),
        };
        let mut request = CallerRequest::draw(id, &unique_name, &mut self.random);
        for number in 0..MAX_TRIES {
            let outcome = self.send(&request, number == 0).await;
            let retries = self.random.random_ratio(RETRIED_PERCENT, 100);
            match request.next_try(&outcome).filter(|_| retries) {
                Some(next) => request = next,
                None => break,
            }
        }
        self.last_id = Some(request.key.id);
    }

    async fn send(&mut self, request: &CallerRequest, is_first_try: bool) -> Outcome {
        if !self.random.random_ratio(SAME_GATEWAY_PERCENT, 100) {
            self.gateway = self.random.random_range(0..self.plan.gateways.len());
        }
        let gateway = self.gateway;
        let abandons = self.random.random_ratio(ABANDONED_PERCENT, 100);
        let answer_timeout = match abandons {
            true => Duration::from_millis(self.random.random_range(0..40)),
            false => request.timeout + client::DEADLINE_GRACE,
        };
        let recorder = self.plan.recorder.clone();
        let at_ms = recorder.now_ms();
        self.client.record_stray(
            gateway,
            |stray| recorder.record(|e| e.stray.push(stray)),
            at_ms,
        );
        let address = self.plan.gateways[gateway];
        let outcome = self
            .client
            .send_request(gateway, address, request, answer_timeout)
            .await;
        let sent = SentRequest {
            key: request.key.clone(),
            route: request.route,
            prompt: request.prompt_text(),
            after_event: request.after_event,
            gateway,
            at_ms,
            is_first_try,
            patience_ms: answer_timeout.min(request.timeout).as_millis() as u64,
            ended_ms: recorder.now_ms(),
            outcome: outcome.clone(),
        };
        recorder.record(|evidence| evidence.sent.push(sent));
        outcome
    }
}
