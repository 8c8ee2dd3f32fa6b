//! Sends the requests of a workload and checks the answers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tansyhall_engine::protocol::COMPLETIONS_PATH;
use tansyhall_engine::sse::SseDecoder;
use tansyhall_standin::engine::answer_text;

use crate::summary::Summary;
use crate::workload::{Phase, RequestShape, Workload};

/// Header with the time in milliseconds within which the answer must be complete.
const DEADLINE_HEADER: &str = "tansyhall-deadline-ms";
/// Timeout for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Upper bound of recorded latencies, in milliseconds. Longer ones are recorded as this.
const MAX_RECORDED_MS: u64 = 120_000;

struct Totals {
    summary: Summary,
    first_token: Histogram<u64>,
    complete_answer: Histogram<u64>,
}

/// Sends the requests of a workload to the nodes in turn and returns the results. Calls `progress` with the
/// counts so far about once a second.
pub async fn run_workload(
    workload: &Workload,
    nodes: &[SocketAddr],
    model: &str,
    mut progress: impl FnMut(&Summary),
) -> Summary {
    let times = || Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("the bounds are valid");
    let totals = Rc::new(RefCell::new(Totals {
        summary: Summary::default(),
        first_token: times(),
        complete_answer: times(),
    }));
    let started = Instant::now();
    let mut reported = Duration::ZERO;
    let mut tasks = Vec::new();
    for (sequence, (due, shape)) in arrivals(workload).into_iter().enumerate() {
        actix_rt::time::sleep(due.saturating_sub(started.elapsed())).await;
        if started.elapsed() >= reported + Duration::from_secs(1) {
            reported = started.elapsed();
            progress(&totals.borrow().summary);
        }
        let node = nodes[sequence % nodes.len()];
        let prompt = prompt_text(sequence, shape.prompt_tokens);
        totals.borrow_mut().summary.requests += 1;
        let totals = Rc::clone(&totals);
        let model = model.to_owned();
        tasks.push(actix_rt::spawn(async move {
            let outcome = send_request(node, &model, &prompt, &shape).await;
            record(&mut totals.borrow_mut(), &shape, &outcome);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let totals = totals.borrow();
    let mut summary = totals.summary.clone();
    summary.p50_first_token_ms = totals.first_token.value_at_quantile(0.50);
    summary.p95_first_token_ms = totals.first_token.value_at_quantile(0.95);
    summary.p50_whole_ms = totals.complete_answer.value_at_quantile(0.50);
    summary.p95_whole_ms = totals.complete_answer.value_at_quantile(0.95);
    summary
}

/// Returns the Poisson arrivals of all phases in order of time, each with the shape of its request.
pub fn arrivals(workload: &Workload) -> Vec<(Duration, RequestShape)> {
    let mut random = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut arrivals = Vec::new();
    let mut phase_start = Duration::ZERO;
    for phase in &workload.phases {
        let length = workload.duration.mul_f64(phase.duration_fraction);
        phase_arrivals(phase, phase_start, length, &mut random, &mut arrivals);
        phase_start += length;
    }
    arrivals.sort_by_key(|(due, _)| *due);
    arrivals
}

fn phase_arrivals(
    phase: &Phase,
    start: Duration,
    length: Duration,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<(Duration, RequestShape)>,
) {
    for (shape, rate) in &phase.rates {
        let mut offset = 0.0;
        loop {
            let uniform: f64 = random.random();
            offset += -(1.0 - uniform).ln() / rate;
            if offset >= length.as_secs_f64() {
                break;
            }
            arrivals.push((start + Duration::from_secs_f64(offset), shape.clone()));
        }
    }
}

fn prompt_text(sequence: usize, tokens: u32) -> String {
    let words: Vec<String> = (0..tokens)
        .map(|word| format!("w{sequence}.{word}"))
        .collect();
    words.join(" ")
}

#[derive(Debug, Default)]
struct Outcome {
    text: String,
    expected: String,
    verdict: Option<String>,
    first_token: Option<Duration>,
    duration: Duration,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<EventChoice>,
    #[serde(default)]
    tansyhall_verdict: Option<String>,
    #[serde(default)]
    error: Option<EventError>,
}

#[derive(Deserialize)]
struct EventChoice {
    text: String,
}

#[derive(Deserialize)]
struct EventError {
    verdict: String,
}

async fn send_request(
    node: SocketAddr,
    model: &str,
    prompt: &str,
    shape: &RequestShape,
) -> Outcome {
    let mut outcome = Outcome {
        expected: answer_text(model, prompt, shape.output_tokens),
        ..Outcome::default()
    };
    let started = Instant::now();
    let client = awc::Client::builder().disable_timeout().finish();
    let body = serde_json::json!({
        "model": model, "prompt": prompt, "max_tokens": shape.output_tokens, "stream": true,
    });
    let url = format!("http://{node}{COMPLETIONS_PATH}");
    let sent = client
        .post(url)
        .insert_header((DEADLINE_HEADER, shape.deadline.as_millis().to_string()))
        .timeout(ANSWER_TIMEOUT)
        .send_json(&body)
        .await;
    let Ok(mut response) = sent else {
        return outcome;
    };
    if !response.status().is_success() {
        let event = response.json::<Event>().await.ok();
        outcome.verdict = event
            .and_then(|event| event.error)
            .map(|error| error.verdict);
        return outcome;
    }
    let mut decoder = SseDecoder::default();
    while let Some(Ok(bytes)) = response.next().await {
        let Ok(events) = decoder.push(&bytes) else {
            break;
        };
        for event in events
            .iter()
            .filter_map(|data| serde_json::from_str::<Event>(data).ok())
        {
            outcome.first_token.get_or_insert_with(|| started.elapsed());
            apply_event(&mut outcome, event);
        }
    }
    outcome.duration = started.elapsed();
    outcome
}

fn apply_event(outcome: &mut Outcome, event: Event) {
    for choice in &event.choices {
        outcome.text.push_str(&choice.text);
    }
    let verdict = event
        .tansyhall_verdict
        .or(event.error.map(|error| error.verdict));
    if verdict.is_some() {
        outcome.verdict = verdict;
    }
}

fn record(totals: &mut Totals, shape: &RequestShape, outcome: &Outcome) {
    let summary = &mut totals.summary;
    if !outcome.expected.starts_with(&outcome.text) {
        summary.wrong_answers += 1;
        return;
    }
    match outcome.verdict.as_deref() {
        Some("completed") if outcome.text == outcome.expected => summary.completed += 1,
        Some("completed") => {
            summary.cut_short += 1;
            return;
        }
        Some("not-run") => {
            summary.not_run += 1;
            return;
        }
        Some(_) => {
            summary.may_have_run += 1;
            return;
        }
        None if outcome.text.is_empty() => {
            summary.may_have_run += 1;
            return;
        }
        None => {
            summary.cut_short += 1;
            return;
        }
    }
    if outcome.duration <= shape.deadline {
        summary.in_deadline += 1;
    }
    if let Some(first_token) = outcome.first_token {
        totals
            .first_token
            .saturating_record(clamped_millis(first_token));
    }
    totals
        .complete_answer
        .saturating_record(clamped_millis(outcome.duration));
}

fn clamped_millis(duration: Duration) -> u64 {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(MAX_RECORDED_MS);
    millis.max(1)
}
