//! Workloads whose phases vary the mix of long prompts and long outputs.

use std::time::Duration;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct RequestShape {
    /// The name of the kind.
    pub name: &'static str,
    /// Number of words in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Time after sending by which the answer must be complete.
    pub deadline: Duration,
}

/// A part of a workload with one mix of requests.
#[derive(Debug, Clone)]
pub struct Phase {
    /// The fraction of the duration of the workload.
    pub duration_fraction: f64,
    /// Requests per second of each shape.
    pub rates: Vec<(RequestShape, f64)>,
}

/// A workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// The phases, in order.
    pub phases: Vec<Phase>,
    /// The duration of the workload.
    pub duration: Duration,
    /// Random seed of the arrivals.
    pub seed: u64,
}

/// Returns the shape of requests with a long prompt and a short answer.
fn review_shape() -> RequestShape {
    RequestShape {
        name: "review",
        prompt_tokens: 1_500,
        output_tokens: 12,
        deadline: Duration::from_secs(4),
    }
}

/// Returns the shape of requests with a short prompt and a longer answer.
fn counter_shape() -> RequestShape {
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
    /// Returns the built-in workload with this name, or `None` if there is none.
    pub fn named(name: &str, duration: Duration, seed: u64) -> Option<Self> {
        let phases = match name {
            "mix-shift" => vec![
                Phase {
                    duration_fraction: 0.3,
                    rates: vec![(review_shape(), 4.0), (counter_shape(), 4.0)],
                },
                Phase {
                    duration_fraction: 0.4,
                    rates: vec![(review_shape(), 1.0), (counter_shape(), 16.0)],
                },
                Phase {
                    duration_fraction: 0.3,
                    rates: vec![(review_shape(), 8.0), (counter_shape(), 2.0)],
                },
            ],
            // Shifts the mix like `mix-shift`, at many times its request rate.
            "mix-surge" => vec![
                Phase {
                    duration_fraction: 0.3,
                    rates: vec![(review_shape(), 25.0), (counter_shape(), 60.0)],
                },
                Phase {
                    duration_fraction: 0.4,
                    rates: vec![(review_shape(), 5.0), (counter_shape(), 150.0)],
                },
                Phase {
                    duration_fraction: 0.3,
                    rates: vec![(review_shape(), 45.0), (counter_shape(), 20.0)],
                },
            ],
            "steady" => {
                vec![Phase {
                    duration_fraction: 1.0,
                    rates: vec![(review_shape(), 2.0), (counter_shape(), 8.0)],
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
