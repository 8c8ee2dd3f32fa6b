//! The demand for each service's engines, including refused requests: that of this gateway's
//! callers as decaying rates, that of other gateways' callers as they report it.
//!
//! Reading prompts is counted in seconds of a busy prefill engine; short prompts, which are mostly
//! read by the engine that decodes them, in seconds of a decode engine. Streams are counted in
//! seconds for which a stream of the same route usually holds its slot: summed up over a second,
//! that is the number of slots that streams will hold once the most recent streams occupy theirs.

use std::collections::HashMap;

use tansyhall_core::{ServiceName, Timestamp};

use crate::load_exchange::{EngineDemand, GatewayKey, ServiceKey, STALE_AFTER};
use crate::rate::Rate;
use crate::urgency::UrgencyGroup;

/// Lower demand is not reported, in engines and in slots.
const MIN_REPORTED_DEMAND: f64 = 0.001;

/// Engine time that one prompt requires, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequiredSeconds {
    /// Of a prefill engine, for a long prompt.
    pub(super) prefill: f64,
    /// Of a decode engine, for reading a short prompt.
    pub(super) short_prefill: f64,
    /// Of a slot, for the prompt's stream.
    pub(super) slot: f64,
}

impl RequiredSeconds {
    /// Returns the total in seconds of complete engines with this many slots.
    pub(super) fn whole_engine_seconds(&self, slots: u32) -> f64 {
        self.prefill + self.short_prefill + self.slot / f64::from(slots.max(1))
    }
}

/// The demand for one service.
#[derive(Debug, Clone, Copy, Default)]
struct DemandRates {
    prefill: Rate,
    short_prefill: Rate,
    slots: Rate,
    urgent_prefill: Rate,
    urgent_short_prefill: Rate,
    urgent_slots: Rate,
}

impl DemandRates {
    fn record(&mut self, now: Timestamp, required: RequiredSeconds, group: UrgencyGroup) {
        self.prefill.record(now, required.prefill);
        self.short_prefill.record(now, required.short_prefill);
        self.slots.record(now, required.slot);
        if group == UrgencyGroup::Urgent {
            self.urgent_prefill.record(now, required.prefill);
            self.urgent_short_prefill
                .record(now, required.short_prefill);
            self.urgent_slots.record(now, required.slot);
        }
    }

    fn demand(&self, now: Timestamp, service: ServiceKey) -> EngineDemand {
        let prefill_engines = self.prefill.per_second(now);
        let decode_engines = self.short_prefill.per_second(now);
        let decode_slots = self.slots.per_second(now);
        // Rounding must not make a part greater than the whole, which receivers would reject.
        let part = |rate: &Rate, whole: f64| rate.per_second(now).min(whole);
        EngineDemand {
            service,
            prefill_engines,
            decode_engines,
            decode_slots,
            urgent_prefill_engines: part(&self.urgent_prefill, prefill_engines),
            urgent_decode_engines: part(&self.urgent_short_prefill, decode_engines),
            urgent_decode_slots: part(&self.urgent_slots, decode_slots),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ReportedDemand {
    demand: EngineDemand,
    received_at: Timestamp,
}

/// The demand for all services.
#[derive(Debug, Default)]
pub(super) struct Demands {
    own: HashMap<ServiceName, DemandRates>,
    others: HashMap<(GatewayKey, ServiceKey), ReportedDemand>,
}

impl Demands {
    /// Records the demand of one request of a caller of this gateway.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        required: RequiredSeconds,
        group: UrgencyGroup,
    ) {
        let rates = self.own.entry(service.clone()).or_default();
        rates.record(now, required, group);
    }

    /// Returns the demand of this gateway's callers.
    pub(super) fn own(&self, now: Timestamp) -> Vec<EngineDemand> {
        let own = self
            .own
            .iter()
            .map(|(service, rates)| rates.demand(now, ServiceKey::of(service)));
        let is_reported = |demand: &EngineDemand| {
            let most = demand
                .prefill_engines
                .max(demand.decode_engines)
                .max(demand.decode_slots);
            most >= MIN_REPORTED_DEMAND
        };
        own.filter(is_reported).collect()
    }

    /// Records the demand that another gateway reports.
    pub(super) fn receive(&mut self, now: Timestamp, sender: GatewayKey, demand: EngineDemand) {
        let reported = ReportedDemand {
            demand,
            received_at: now,
        };
        self.others.insert((sender, demand.service), reported);
    }

    /// Drops reported demand that was not repeated in time.
    pub(super) fn drop_stale(&mut self, now: Timestamp) {
        self.others
            .retain(|_, reported| now.since(reported.received_at) < STALE_AFTER);
    }

    /// Returns the demand of all callers for a service.
    pub(super) fn all(&self, now: Timestamp, service: &ServiceName) -> EngineDemand {
        let key = ServiceKey::of(service);
        let own = self.own.get(service).copied().unwrap_or_default();
        let of_service = self
            .others
            .iter()
            .filter(|((_, reported), _)| *reported == key);
        of_service.fold(own.demand(now, key), |sum, (_, reported)| EngineDemand {
            service: key,
            prefill_engines: sum.prefill_engines + reported.demand.prefill_engines,
            decode_engines: sum.decode_engines + reported.demand.decode_engines,
            decode_slots: sum.decode_slots + reported.demand.decode_slots,
            urgent_prefill_engines: sum.urgent_prefill_engines
                + reported.demand.urgent_prefill_engines,
            urgent_decode_engines: sum.urgent_decode_engines
                + reported.demand.urgent_decode_engines,
            urgent_decode_slots: sum.urgent_decode_slots + reported.demand.urgent_decode_slots,
        })
    }
}
