//! How much reading is asked of each service, what is refused included: by the callers of this
//! gateway as a rate that forgets, by those of others as they report it.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};

use crate::load_exchange::{GatewayKey, ReadingDemand, ServiceKey, STALE_AFTER};

/// Time in which what was asked for counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Less is not reported, in engines.
const MIN_REPORTED: f64 = 0.001;

/// Seconds of reading asked for in a second, decaying.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at: Timestamp,
}

impl Rate {
    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, now: Timestamp, seconds: f64) {
        self.sum = self.decayed(now) + seconds;
        self.at = now;
    }

    /// A constant rate adds up to itself times the mean age at which it is forgotten.
    fn a_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    engines: f64,
    at: Timestamp,
}

/// What is asked of all services.
#[derive(Debug, Default)]
pub(super) struct Demands {
    own: HashMap<ServiceName, Rate>,
    others: HashMap<(GatewayKey, ServiceKey), Heard>,
}

impl Demands {
    /// A caller of this gateway asks for so many seconds of an engine's reading.
    pub(super) fn record(&mut self, now: Timestamp, service: &ServiceName, seconds: f64) {
        let rate = self.own.entry(service.clone()).or_default();
        rate.record(now, seconds);
    }

    /// What the callers of this gateway ask for.
    pub(super) fn own(&self, now: Timestamp) -> Vec<ReadingDemand> {
        let own = self.own.iter().map(|(service, rate)| ReadingDemand {
            service: ServiceKey::of(service),
            engines: rate.a_second(now),
        });
        own.filter(|demand| demand.engines >= MIN_REPORTED)
            .collect()
    }

    /// Another gateway says what its callers ask for.
    pub(super) fn hear(&mut self, now: Timestamp, sender: GatewayKey, demand: ReadingDemand) {
        let heard = Heard {
            engines: demand.engines,
            at: now,
        };
        self.others.insert((sender, demand.service), heard);
    }

    /// Drops what was not repeated in time.
    pub(super) fn drop_stale(&mut self, now: Timestamp) {
        self.others
            .retain(|_, heard| now.since(heard.at) < STALE_AFTER);
    }

    /// Engines that all callers together would keep busy with reading.
    pub(super) fn engines(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let key = ServiceKey::of(service);
        let own = self.own.get(service).map_or(0.0, |rate| rate.a_second(now));
        let of_service = self.others.iter().filter(|((_, heard), _)| *heard == key);
        own + of_service.map(|(_, heard)| heard.engines).sum::<f64>()
    }
}
