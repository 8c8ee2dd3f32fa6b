//! Workload files: classes of requests, phases that shift the mix between them, and the fleet that
//! serves them. `docs/workloads.md` documents every key.

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
    /// Nodes that route to it.
    pub nodes: usize,
    /// How long an engine is away for a change of role.
    #[serde(with = "humantime_serde", default = "default_role_change")]
    pub role_change: Duration,
    /// Kinds of request.
    pub class: BTreeMap<String, ClassSpec>,
    /// Stretches of time, each with its own mix.
    pub phase: Vec<PhaseSpec>,
}

fn default_role_change() -> Duration {
    Duration::from_secs(4)
}

/// One kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Mean tokens of the prompt.
    pub prompt_tokens: f64,
    /// Mean tokens of the answer.
    pub output_tokens: f64,
    /// Spread of both, as the sigma of a log-normal distribution.
    #[serde(default = "default_spread")]
    pub spread: f64,
    /// When the whole answer is due.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Queue order within an engine; lower runs first.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

fn default_spread() -> f64 {
    0.3
}

fn default_priority() -> u8 {
    1
}

/// A stretch of time with one mix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhaseSpec {
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Requests a second of each class.
    pub rate: BTreeMap<String, f64>,
    /// Every `burst_every`, the rates are multiplied by `burst` for a tenth of that time.
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// Time between bursts.
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
    /// When it arrives.
    pub arrival: Timestamp,
    /// Index of its class, in order of the classes' names.
    pub class: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens its answer will have; nobody but the clairvoyant knows.
    pub output_tokens: u32,
    /// When the whole answer is due.
    pub deadline: Timestamp,
    /// Queue order within an engine.
    pub priority: u8,
}

impl Workload {
    /// Parses and checks a workload file.
    pub fn parse(text: &str) -> Result<Self> {
        let workload: Self = toml::from_str(text).context("the workload does not parse")?;
        if workload.engines == 0 || workload.nodes == 0 {
            bail!("engines and nodes must be 1 or more");
        }
        for (index, phase) in workload.phase.iter().enumerate() {
            for (class, rate) in &phase.rate {
                if !workload.class.contains_key(class) {
                    bail!("phase {index}: no class is named {class}");
                }
                if !(*rate >= 0.0 && rate.is_finite()) {
                    bail!("phase {index}: the rate of {class} must be 0 or more");
                }
            }
        }
        Ok(workload)
    }

    /// How long the workload lasts.
    pub fn duration(&self) -> Duration {
        self.phase.iter().map(|phase| phase.duration).sum()
    }

    /// The requests of one seed, in order of arrival.
    pub fn trace(&self, seed: u64) -> Vec<TraceRequest> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut trace = Vec::new();
        let mut start = Duration::ZERO;
        for phase in &self.phase {
            for (index, (name, class)) in self.class.iter().enumerate() {
                let rate = phase.rate.get(name).copied().unwrap_or(0.0);
                let arrivals = phase_arrivals(phase, rate, &mut random);
                for offset in arrivals {
                    trace.push(request(index, class, start + offset, &mut random));
                }
            }
            start += phase.duration;
        }
        trace.sort_by_key(|request| request.arrival);
        trace
    }
}

/// Poisson arrivals by thinning: drawn at the burst rate, kept with the rate of their moment.
fn phase_arrivals(phase: &PhaseSpec, rate: f64, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut arrivals = Vec::new();
    let peak = rate * phase.burst.max(1.0);
    if peak <= 0.0 {
        return arrivals;
    }
    let mut offset = 0.0;
    loop {
        offset += -(1.0 - random.random::<f64>()).ln() / peak;
        if offset >= phase.duration.as_secs_f64() {
            return arrivals;
        }
        let position = offset % phase.burst_every.as_secs_f64();
        let bursting = position < phase.burst_every.as_secs_f64() / 10.0;
        let present = if bursting { rate * phase.burst } else { rate };
        if random.random::<f64>() * peak < present {
            arrivals.push(Duration::from_secs_f64(offset));
        }
    }
}

fn request(
    class_index: usize,
    class: &ClassSpec,
    arrival: Duration,
    random: &mut ChaCha8Rng,
) -> TraceRequest {
    let arrival = Timestamp::default() + arrival;
    TraceRequest {
        arrival,
        class: class_index,
        prompt_tokens: log_normal(class.prompt_tokens, class.spread, random),
        output_tokens: log_normal(class.output_tokens, class.spread, random),
        deadline: arrival + class.deadline,
        priority: class.priority,
    }
}

/// A log-normal draw with the given mean, at least one.
fn log_normal(mean: f64, sigma: f64, random: &mut ChaCha8Rng) -> u32 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    let value = mean * (sigma * normal - sigma * sigma / 2.0).exp();
    value.round().clamp(1.0, 1e6) as u32
}
