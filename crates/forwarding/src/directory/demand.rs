//! What is asked of each service's engines, what is refused included: by the callers of this gateway
//! as rates that forget, by those of others as they report it.
//!
//! Reading is counted in seconds that an engine which only reads would be busy; that of short prompts, which
//! are mostly read where they are decoded, in seconds of an engine that decodes. Streams are counted in
//! seconds for which a stream of the same route usually holds its place: summed up over a second,
//! that is the number of places which streams will hold once those that came lately have filled them.

use std::collections::HashMap;

use tansyhall_core::{ServiceName, Timestamp};

use crate::load_exchange::{EngineDemand, GatewayKey, ServiceKey, STALE_AFTER};
use crate::rate::Rate;

/// Less is not reported, in engines and in places.
const MIN_REPORTED: f64 = 0.001;

/// What one prompt asks of engines, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AskedSeconds {
    /// Of an engine that only reads, for a long prompt.
    pub(super) reading: f64,
    /// Of an engine that decodes, for reading a short one.
    pub(super) reading_short: f64,
    /// Of a place for its stream.
    pub(super) place: f64,
}

impl AskedSeconds {
    /// The same in seconds of whole engines that hold so many streams.
    pub(super) fn of_engines(&self, slots: u32) -> f64 {
        self.reading + self.reading_short + self.place / f64::from(slots.max(1))
    }
}

/// What is asked of one service.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    reading: Rate,
    reading_short: Rate,
    places: Rate,
}

impl Asked {
    fn demand(&self, now: Timestamp, service: ServiceKey) -> EngineDemand {
        EngineDemand {
            service,
            prefill_engines: self.reading.per_second(now),
            decode_engines: self.reading_short.per_second(now),
            decode_slots: self.places.per_second(now),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    demand: EngineDemand,
    at: Timestamp,
}

/// What is asked of all services.
#[derive(Debug, Default)]
pub(super) struct Demands {
    own: HashMap<ServiceName, Asked>,
    others: HashMap<(GatewayKey, ServiceKey), Heard>,
}

impl Demands {
    /// A caller of this gateway asks for this.
    pub(super) fn record(&mut self, now: Timestamp, service: &ServiceName, asked: AskedSeconds) {
        let rates = self.own.entry(service.clone()).or_default();
        rates.reading.record(now, asked.reading);
        rates.reading_short.record(now, asked.reading_short);
        rates.places.record(now, asked.place);
    }

    /// What the callers of this gateway ask for.
    pub(super) fn own(&self, now: Timestamp) -> Vec<EngineDemand> {
        let own = self
            .own
            .iter()
            .map(|(service, asked)| asked.demand(now, ServiceKey::of(service)));
        let is_reported = |demand: &EngineDemand| {
            let most = demand
                .prefill_engines
                .max(demand.decode_engines)
                .max(demand.decode_slots);
            most >= MIN_REPORTED
        };
        own.filter(is_reported).collect()
    }

    /// Another gateway says what its callers ask for.
    pub(super) fn hear(&mut self, now: Timestamp, sender: GatewayKey, demand: EngineDemand) {
        let heard = Heard { demand, at: now };
        self.others.insert((sender, demand.service), heard);
    }

    /// Drops what was not repeated in time.
    pub(super) fn drop_stale(&mut self, now: Timestamp) {
        self.others
            .retain(|_, heard| now.since(heard.at) < STALE_AFTER);
    }

    /// What all callers together ask of a service.
    pub(super) fn all(&self, now: Timestamp, service: &ServiceName) -> EngineDemand {
        let key = ServiceKey::of(service);
        let own = self.own.get(service).copied().unwrap_or_default();
        let of_service = self.others.iter().filter(|((_, heard), _)| *heard == key);
        of_service.fold(own.demand(now, key), |sum, (_, heard)| EngineDemand {
            service: key,
            prefill_engines: sum.prefill_engines + heard.demand.prefill_engines,
            decode_engines: sum.decode_engines + heard.demand.decode_engines,
            decode_slots: sum.decode_slots + heard.demand.decode_slots,
        })
    }
}
