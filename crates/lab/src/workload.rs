//! Workload files: request classes, phases that change the mix of the classes, and the fleet that
//! serves the requests. `docs/workloads.md` documents every key.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tansyhall_core::Timestamp;

/// A workload file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The workload's name.
    pub name: String,
    /// Engines in the pool.
    pub engines: usize,
    /// Nodes that route to the pool.
    pub nodes: usize,
    /// How long an engine is unavailable during a role change.
    #[serde(with = "humantime_serde", default = "default_role_change")]
    pub role_change: Duration,
    /// Request classes by name.
    pub class: BTreeMap<String, ClassSpec>,
    /// Phases in order of time, each with its own mix of classes.
    pub phase: Vec<PhaseSpec>,
}

fn default_role_change() -> Duration {
    Duration::from_secs(4)
}

/// A request class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Mean number of prompt tokens.
    pub prompt_tokens: f64,
    /// Mean number of answer tokens.
    pub output_tokens: f64,
    /// Sigma of the log-normal distributions of prompt and answer tokens.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// Time from arrival by which the complete answer is due.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Queue priority within an engine; lower values run first.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

fn default_spread() -> f64 {
    0.3
}

fn default_priority() -> u8 {
    1
}

/// A period of time with a constant mix of classes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhaseSpec {
    /// How long the phase lasts.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Requests per second of each class.
    pub rate: BTreeMap<String, f64>,
    /// Factor by which the rates are multiplied during the first tenth of each `burst_every`.
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// Time between the starts of bursts.
    #[serde(with = "humantime_serde", default = "default_burst_every")]
    pub burst_every: Duration,
}

fn default_burst() -> f64 {
    1.0
}

fn default_burst_every() -> Duration {
    Duration::from_secs(10)
}

/// One request of a trace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TraceRequest {
    /// When the request arrives.
    pub arrival: Timestamp,
    /// Index of the class, in order of the class names.
    pub class: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens of the answer; only the clairvoyant strategy may use it.
    pub output_tokens: u32,
    /// When the complete answer is due.
    pub deadline: Timestamp,
    /// Queue priority within an engine; lower values run first.
    pub priority: u8,
}

impl Workload {
    /// Parses and checks a workload file.
    pub fn parse(text: &str) -> Result<Self> {
        let workload: Self = toml::from_str(text).context("cannot parse the workload file")?;
        if workload.engines == 0 || workload.nodes == 0 {
            bail!("engines and nodes must be 1 or more");
        }
        for (index, phase) in workload.phase.iter().enumerate() {
            for (class, rate) in &phase.rate {
                if !workload.class.contains_key(class) {
                    bail!("phase {index}: class {class} is not defined");
                }
                if !(*rate >= 0.0 && rate.is_finite()) {
                    bail!("phase {index}: the rate of {class} must be finite and 0 or more");
                }
            }
        }
        Ok(workload)
    }

    /// Returns the total duration of all phases.
    pub fn duration(&self) -> Duration {
        self.phase.iter().map(|phase| phase.duration).sum()
    }

    /// Generates the requests for a seed, in order of arrival.
    pub fn trace(&self, seed: u64) -> Vec<TraceRequest> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut trace = Vec::new();
        let mut start = Duration::ZERO;
        for phase in &self.phase {
            for (index, (name, class)) in self.class.iter().enumerate() {
                let rate = phase.rate.get(name).copied().unwrap_or(0.0);
                let arrivals = draw_phase_arrivals(phase, rate, &mut random);
                for offset in arrivals {
                    trace.push(draw_request(index, class, start + offset, &mut random));
                }
            }
            start += phase.duration;
        }
        trace.sort_by_key(|request| request.arrival);
        trace
    }
}

/// Draws Poisson arrivals by thinning: candidates are drawn at the peak rate, and each is
/// kept with the probability of the current rate over the peak rate.
fn draw_phase_arrivals(phase: &PhaseSpec, rate: f64, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut arrivals = Vec::new();
    let peak_rate = rate * phase.burst.max(1.0);
    if peak_rate <= 0.0 {
        return arrivals;
    }
    let mut offset = 0.0;
    loop {
        offset += -(1.0 - random.random::<f64>()).ln() / peak_rate;
        if offset >= phase.duration.as_secs_f64() {
            return arrivals;
        }
        let burst_offset = offset % phase.burst_every.as_secs_f64();
        let is_burst = burst_offset < phase.burst_every.as_secs_f64() / 10.0;
        let current_rate = if is_burst { rate * phase.burst } else { rate };
        if random.random::<f64>() * peak_rate < current_rate {
            arrivals.push(Duration::from_secs_f64(offset));
        }
    }
}

fn draw_request(
    class_index: usize,
    class: &ClassSpec,
    arrival: Duration,
    random: &mut ChaCha8Rng,
) -> TraceRequest {
    let arrival = Timestamp::default() + arrival;
    TraceRequest {
        arrival,
        class: class_index,
        prompt_tokens: draw_log_normal(class.prompt_tokens, class.spread, random),
        output_tokens: draw_log_normal(class.output_tokens, class.spread, random),
        deadline: arrival + class.deadline,
        priority: class.priority,
    }
}

/// Draws from a log-normal distribution with the given mean; returns at least 1.
fn draw_log_normal(mean: f64, sigma: f64, random: &mut ChaCha8Rng) -> u32 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    let value = mean * (sigma * normal - sigma * sigma / 2.0).exp();
    value.round().clamp(1.0, 1e6) as u32
}
