//! Routing settings: which engines a node polls, and the costs that it assumes for them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a node learns the load of engines and predicts how long they take. The default costs are
/// those of the stand-in engine; measure them on the engines in use.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Maximum number of engines of each pool whose load a node polls and to which it sends
    /// requests.
    pub followed_engines: usize,
    /// Maximum number of engines whose load is stored, over all pools.
    pub max_tracked_engines: usize,
    /// Interval between reads of an engine's load report.
    #[serde(with = "humantime_serde")]
    pub load_poll_period: Duration,
    /// Maximum number of load reports read per second, over all engines. If the interval would
    /// require more, each engine's report is read less often.
    pub max_load_polls_per_second: u32,
    /// Interval between reads of an engine's cache events.
    #[serde(with = "humantime_serde")]
    pub cache_event_period: Duration,
    /// Maximum number of prompt blocks tracked in the prefix cache of each engine.
    pub max_cached_blocks: usize,
    /// Maximum number of request classes whose answer lengths are learned.
    pub max_learned_classes: usize,
    /// Upper bound on the answer tokens predicted for a class whose lengths are not learned yet.
    pub unlearned_output_tokens: u32,
    /// Number of nodes that send requests to the same engines, including this one.
    pub sharing_nodes: usize,
    /// Sequences assumed to fit in an engine's batch until its load report gives the real number.
    pub max_sequences: u32,
    /// Fixed cost of each iteration of an engine.
    #[serde(with = "humantime_serde")]
    pub iteration: Duration,
    /// Cost of prefilling one prompt token.
    #[serde(with = "humantime_serde")]
    pub prefill_token: Duration,
    /// Cost that each decoding sequence adds to an iteration.
    #[serde(with = "humantime_serde")]
    pub decode_sequence: Duration,
    /// Cost of transferring the KV cache of one token between engines.
    #[serde(with = "humantime_serde")]
    pub transfer_token: Duration,
    /// Prompt tokens prefilled in one iteration of a mixed engine.
    pub mixed_chunk_tokens: u32,
    /// Prompt tokens prefilled in one iteration of a prefill engine.
    pub prefill_chunk_tokens: u32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            followed_engines: 32,
            max_tracked_engines: 4_096,
            load_poll_period: Duration::from_millis(250),
            max_load_polls_per_second: 40,
            cache_event_period: Duration::from_secs(1),
            max_cached_blocks: 16_384,
            max_learned_classes: 1_024,
            unlearned_output_tokens: 256,
            sharing_nodes: 2,
            max_sequences: 64,
            iteration: Duration::from_millis(4),
            prefill_token: Duration::from_micros(40),
            decode_sequence: Duration::from_micros(200),
            transfer_token: Duration::from_micros(10),
            mixed_chunk_tokens: 512,
            prefill_chunk_tokens: 4_096,
        }
    }
}

impl RoutingSettings {
    /// Returns the key of the first setting that is zero although it must not be.
    pub fn first_zero_setting(&self) -> Option<&'static str> {
        let settings = [
            ("routing.followed_engines", self.followed_engines == 0),
            ("routing.max_tracked_engines", self.max_tracked_engines == 0),
            ("routing.load_poll_period", self.load_poll_period.is_zero()),
            (
                "routing.max_load_polls_per_second",
                self.max_load_polls_per_second == 0,
            ),
            ("routing.sharing_nodes", self.sharing_nodes == 0),
            ("routing.max_sequences", self.max_sequences == 0),
            ("routing.iteration", self.iteration.is_zero()),
            ("routing.mixed_chunk_tokens", self.mixed_chunk_tokens == 0),
            (
                "routing.prefill_chunk_tokens",
                self.prefill_chunk_tokens == 0,
            ),
        ];
        let zero = settings.iter().find(|(_, is_zero)| *is_zero);
        zero.map(|(key, _)| *key)
    }
}
