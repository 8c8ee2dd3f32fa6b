//! Dispatch of completions to engines: what the node knows about the engines that it follows, and
//! how the routing decisions use it.

mod in_flight;
mod lengths;
pub mod load_poller;
mod trackers;
pub mod transfer;

use tansyhall_config::RoutingSettings;
use tansyhall_core::{Duration, EngineName};
use tansyhall_routing::{followed_engines, ServiceRates};

pub use in_flight::InFlight;
pub use lengths::{OutputLengths, RequestClass};
pub use load_poller::LoadPoller;
pub use trackers::EngineTrackers;

use crate::state::Node;

/// State of the dispatch, shared by all threads.
pub struct DispatchState {
    /// Trackers of the engines' load and caches.
    pub trackers: EngineTrackers,
    /// Expected lengths of answers, by class.
    pub lengths: OutputLengths,
    /// Time costs of the engines' iterations.
    pub rates: ServiceRates,
}

impl DispatchState {
    /// Returns a state in which nothing is known yet.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            trackers: EngineTrackers::new(settings),
            lengths: OutputLengths::new(settings),
            rates: service_rates(settings),
        }
    }
}

fn service_rates(settings: &RoutingSettings) -> ServiceRates {
    ServiceRates {
        iteration: settings.iteration.as_secs_f64(),
        prefill_token: settings.prefill_token.as_secs_f64(),
        decode_sequence: settings.decode_sequence.as_secs_f64(),
        mixed_chunk: f64::from(settings.mixed_chunk_tokens),
        prefill_chunk: f64::from(settings.prefill_chunk_tokens),
        transfer_token: settings.transfer_token.as_secs_f64(),
    }
}

/// Returns the names of the engines of a pool that this node follows.
pub fn followed_engine_names<'a>(
    node: &Node,
    engines: impl IntoIterator<Item = &'a EngineName>,
) -> Vec<&'a EngineName> {
    let limit = node.settings.routing.followed_engines;
    followed_engines(&node.settings.name, engines, limit)
}

/// Returns the time between polls of one engine's load report if `engines` engines are followed.
pub fn poll_period(settings: &RoutingSettings, engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let spread = Duration::from_secs(1) * engines / settings.max_load_polls_per_second;
    settings.load_poll_period.max(spread)
}
