//! The number of connections that one gateway may have open to a worker, which accepts a limited number from all gateways
//! together and resets any beyond.
//!
//! Each gateway may use its part of them. Callers may concentrate on one gateway, whose part is then too small while the
//! other parts are unused. A gateway that knows what the others have in flight may use the rest, except a reserve for
//! connections that the others keep idle or are about to open, and does not use its part while others occupy it.

/// The part of a worker's connections that all gateways together may use. The rest is left for health checks and for
/// gateways that are not known yet.
const USABLE_PART: f64 = 0.8;
/// Lower bound of a gateway's limit for one worker.
const MIN_LIMIT: u32 = 4;
/// Connections that are left to the others for each request that they have in flight: one for the request, and one that
/// is idle or about to be opened.
const CONNECTIONS_PER_REQUEST_OF_OTHERS: u32 = 2;
/// The part of the usable connections that one gateway may use for requests that a scheduler places. Schedulers place no
/// more requests at a worker than it has use for, whichever gateway sends them.
const PLACED_PART: f64 = 0.5;

/// What is known about the other gateways' requests at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownRequests {
    /// Nothing.
    None,
    /// All gateways report their requests to each other, and have this many in flight.
    All(u32),
    /// A scheduler, which knows what all gateways have in flight, has placed the request.
    Placed,
}

/// Returns the number of connections that one of `gateways` gateways may have open to a worker that accepts
/// `worker_connections` connections.
pub fn connection_limit(worker_connections: u32, gateways: u64, others: KnownRequests) -> u32 {
    let usable = (f64::from(worker_connections) * USABLE_PART) as u32;
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX).max(1);
    let own_part = (usable / gateways).max(MIN_LIMIT);
    match others {
        KnownRequests::None => own_part,
        KnownRequests::All(in_flight) => {
            let reserved = in_flight.saturating_mul(CONNECTIONS_PER_REQUEST_OF_OTHERS);
            let unused = usable.saturating_sub(reserved.saturating_add(gateways - 1));
            let free = worker_connections.saturating_sub(gateways.saturating_add(in_flight));
            unused.max(own_part.min(free)).max(1)
        }
        KnownRequests::Placed => own_part.max((f64::from(usable) * PLACED_PART) as u32),
    }
}
