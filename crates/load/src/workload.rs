//! Workloads: phases that shift the mix of long prompts and long outputs.

use std::time::Duration;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct RequestShape {
    /// The kind's name.
    pub name: &'static str,
    /// Words in the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// When the whole answer is due.
    pub deadline: Duration,
}

/// A stretch of time with one mix.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Its part of the workload's duration.
    pub part: f64,
    /// Requests a second of each shape.
    pub rates: Vec<(RequestShape, f64)>,
}

/// A whole workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Its phases, in order.
    pub phases: Vec<Phase>,
    /// How long it lasts.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// A long prompt with a short answer.
fn review() -> RequestShape {
    RequestShape {
        name: "review",
        prompt_tokens: 1_500,
        output_tokens: 12,
        deadline: Duration::from_secs(4),
    }
}

/// A short prompt with an answer of some length.
fn counter() -> RequestShape {
    RequestShape {
        name: "counter",
        prompt_tokens: 20,
        output_tokens: 60,
        deadline: Duration::from_secs(3),
    }
}

/// Names of the built-in workloads.
pub const NAMES: [&str; 3] = ["mix-shift", "mix-surge", "steady"];

impl Workload {
    /// A built-in workload by name.
    pub fn named(name: &str, duration: Duration, seed: u64) -> Option<Self> {
        let phases = match name {
            "mix-shift" => vec![
                Phase {
                    part: 0.3,
                    rates: vec![(review(), 4.0), (counter(), 4.0)],
                },
                Phase {
                    part: 0.4,
                    rates: vec![(review(), 1.0), (counter(), 16.0)],
                },
                Phase {
                    part: 0.3,
                    rates: vec![(review(), 8.0), (counter(), 2.0)],
                },
            ],
            // The same shifts with many times the requests.
            "mix-surge" => vec![
                Phase {
                    part: 0.3,
                    rates: vec![(review(), 25.0), (counter(), 60.0)],
                },
                Phase {
                    part: 0.4,
                    rates: vec![(review(), 5.0), (counter(), 150.0)],
                },
                Phase {
                    part: 0.3,
                    rates: vec![(review(), 45.0), (counter(), 20.0)],
                },
            ],
            "steady" => {
                vec![Phase {
                    part: 1.0,
                    rates: vec![(review(), 2.0), (counter(), 8.0)],
                }]
            }
            _ => return None,
        };
        Some(Self {
            phases,
            duration,
            seed,
        })
    }
}
