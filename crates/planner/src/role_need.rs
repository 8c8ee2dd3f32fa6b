//! The demand on the engines of a service, expressed as engines of both roles, and its recent peaks.

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};

use crate::peak::RecentPeak;
use crate::role_balance::BalancedEngine;

/// Fraction of its slots or of its time above which an engine counts as full, because waiting times grow
/// quickly beyond it.
const FULL_UTILISATION: f64 = 0.9;
/// Fraction of their time up to which decode engines are kept busy with prefilling short prompts. At 0.6, a
/// short prompt waits on average for three quarters of the time that one prefill takes (M/D/1), and short
/// prompts arrive in bursts.
const SHORT_PREFILL_UTILISATION: f64 = 0.6;
/// Fraction of its slots or of its time in use up to which a role gets no more engines: a burst of four times the
/// current demand still fits. Without this rule, 483 changes were ordered for 9,560 engines in 25 s of light
/// load, and as many requests are served without these changes.
const LIGHT_UTILISATION: f64 = 0.25;
/// Number of engines in a role from which low utilisation means light load. Fewer engines can be filled by a
/// handful of long prompts that arrive together, however low the mean demand is.
const MIN_ENGINES_FOR_LIGHT_LOAD: usize = 16;
/// Utilisation up to which urgent requests keep engines busy at a peak. A request then waits on average for half of the
/// time that one request takes (M/D/1), and the choice of engines that have its prompt cached does not make it late.
const URGENT_PEAK_UTILISATION: f64 = 0.5;
/// Time in which the peak of a role's demand decays to half: twice as long as a mix of requests commonly lasts, so that
/// the previous mix still counts when it returns.
const ROLE_PEAK_HALF_LIFE: Duration = Duration::from_secs(30);

/// Demand of the callers, including requests that are refused.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ExpectedDemand {
    /// Number of prefill engines that the prompts would keep busy.
    pub prefill_engines: f64,
    /// Number of decode engines that prefilling the short prompts would keep busy.
    pub decode_engines_for_short_prompts: f64,
    /// Number of slots that the streams will hold.
    pub decode_slots: f64,
    /// The part of this demand that belongs to the most urgent routes.
    pub urgent: UrgentFractions,
}

/// The fractions of the demand that belong to the most urgent routes of the service, each from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UrgentFractions {
    /// Of the demand for prefill engines.
    pub prefill: f64,
    /// Of the short prompts that decode engines prefill.
    pub short_prefill: f64,
    /// Of the slots of streams.
    pub slots: f64,
}

/// The engines that each role needed at the recent peak of its demand. The two peaks need not have been simultaneous.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RolePeaks {
    /// Decode engines for the streams and for the short prompts that they prefill.
    pub decode_engines: f64,
    /// Prefill engines.
    pub prefill_engines: f64,
}

/// The recent peaks of the demand for both roles of a service's engines.
#[derive(Debug, Clone, Copy)]
pub struct RolePeakTracker {
    decode: RecentPeak,
    prefill: RecentPeak,
}

impl Default for RolePeakTracker {
    fn default() -> Self {
        Self {
            decode: RecentPeak::with_half_life(ROLE_PEAK_HALF_LIFE),
            prefill: RecentPeak::with_half_life(ROLE_PEAK_HALF_LIFE),
        }
    }
}

impl RolePeakTracker {
    /// Records the demand at `now` and returns the recent peaks.
    pub fn observe(
        &mut self,
        now: Timestamp,
        engines: &[BalancedEngine],
        expected: ExpectedDemand,
    ) -> RolePeaks {
        let need = Need::of(engines, &single_role_engines(engines), expected);
        let needed = need.peak_engines();
        RolePeaks {
            decode_engines: self.decode.observe(now, needed.decode_engines),
            prefill_engines: self.prefill.observe(now, needed.prefill_engines),
        }
    }
}

/// Demand on the engines, expressed as the number of engines that it keeps busy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Need {
    streams: f64,
    short_prefill: f64,
    prefill: f64,
    urgent: UrgentFractions,
}

impl Need {
    pub(crate) fn of(
        engines: &[BalancedEngine],
        single_role: &[usize],
        expected: ExpectedDemand,
    ) -> Self {
        let decoding = single_role
            .iter()
            .map(|index| &engines[*index])
            .filter(|engine| engine.role == Role::Decode);
        let streams: u32 = decoding.map(|engine| engine.streams).sum();
        let slots = single_role.iter().map(|index| engines[*index].slots).max();
        let slots = f64::from(slots.unwrap_or(1).max(1));
        Self {
            streams: f64::from(streams).max(expected.decode_slots) / slots,
            short_prefill: expected.decode_engines_for_short_prompts,
            prefill: expected.prefill_engines,
            urgent: expected.urgent,
        }
    }

    /// Returns the part of the need that belongs to the most urgent routes.
    fn urgent_part(&self) -> Self {
        Self {
            streams: self.streams * self.urgent.slots,
            short_prefill: self.short_prefill * self.urgent.short_prefill,
            prefill: self.prefill * self.urgent.prefill,
            urgent: self.urgent,
        }
    }

    /// Returns the engines that each role needs at a peak of its demand, with the headroom that urgent requests need.
    fn peak_engines(&self) -> RolePeaks {
        let urgent = self.urgent_part();
        let engines = |busy: f64, urgent: f64| {
            urgent / URGENT_PEAK_UTILISATION + (busy - urgent) / FULL_UTILISATION
        };
        RolePeaks {
            decode_engines: engines(
                self.busy_engines(Role::Decode),
                urgent.busy_engines(Role::Decode),
            ),
            prefill_engines: engines(self.prefill, urgent.prefill),
        }
    }

    /// Returns how many of too few engines should decode: the most urgent routes get the engines that they need, and
    /// the other routes share the remaining ones in proportion to their need.
    fn decode_engines_in_shortage(&self, engines: f64) -> usize {
        let urgent = self.urgent_part();
        let urgent_decode = urgent.needed_decode_engines();
        let urgent_prefill = urgent.needed_prefill_engines();
        let remaining = engines - urgent_decode - urgent_prefill;
        if remaining <= 0.0 {
            let fraction = urgent_decode / (urgent_decode + urgent_prefill);
            return (engines * fraction).round() as usize;
        }
        let other_decode = self.needed_decode_engines() - urgent_decode;
        let other_prefill = self.needed_prefill_engines() - urgent_prefill;
        let fraction = other_decode / (other_decode + other_prefill).max(f64::MIN_POSITIVE);
        (urgent_decode + remaining * fraction).round() as usize
    }

    fn needed_decode_engines(&self) -> f64 {
        let for_short = self.short_prefill / SHORT_PREFILL_UTILISATION;
        self.streams / FULL_UTILISATION + for_short
    }

    fn needed_prefill_engines(&self) -> f64 {
        self.prefill / FULL_UTILISATION
    }

    /// Returns how many of `engines` engines should decode so that the spare ones are divided in proportion to the
    /// peaks of both roles.
    fn decode_engines_for_peaks(&self, engines: f64, peaks: RolePeaks) -> usize {
        let least = self.needed_decode_engines().ceil();
        let most = engines - self.needed_prefill_engines().ceil();
        if least > most {
            return self.decode_engines_in_shortage(engines);
        }
        // A peak that all engines together could not serve says no more than that all were busy.
        let decode_peak = peaks.decode_engines.min(engines);
        let prefill_peak = peaks.prefill_engines.min(engines);
        let both_peaks = (decode_peak + prefill_peak).max(f64::MIN_POSITIVE);
        let in_proportion = (engines * decode_peak / both_peaks).round();
        in_proportion.clamp(least, most) as usize
    }

    /// Returns how many of `engines` engines should decode, before the minimum of each role is applied.
    pub(crate) fn decode_engines(&self, engines: f64, peaks: Option<RolePeaks>) -> usize {
        if let Some(peaks) = peaks {
            return self.decode_engines_for_peaks(engines, peaks);
        }
        let decode_engines = self.needed_decode_engines().ceil();
        let prefill_engines = engines - decode_engines;
        if self.prefill <= prefill_engines * FULL_UTILISATION {
            return decode_engines as usize;
        }
        let decoding = self.streams + self.short_prefill;
        let equally_short = engines * decoding / (decoding + self.prefill);
        decode_engines.min(equally_short.round()) as usize
    }

    /// Returns whether the demand fills `engines` engines of a role.
    pub(crate) fn fills(&self, role: Role, engines: usize) -> bool {
        self.busy_engines(role) > engines as f64 * FULL_UTILISATION
    }

    /// Returns whether the demand is light for `engines` engines of a role.
    pub(crate) fn is_light(&self, role: Role, engines: usize) -> bool {
        engines >= MIN_ENGINES_FOR_LIGHT_LOAD
            && self.busy_engines(role) <= engines as f64 * LIGHT_UTILISATION
    }

    /// Returns how many engines of a role the demand keeps busy.
    fn busy_engines(&self, role: Role) -> f64 {
        match role {
            Role::Decode => self.streams + self.short_prefill,
            _ => self.prefill,
        }
    }
}

/// Returns the indices of the engines that are not mixed.
pub(crate) fn single_role_engines(engines: &[BalancedEngine]) -> Vec<usize> {
    let is_single_role = |index: &usize| engines[*index].role != Role::Mixed;
    (0..engines.len()).filter(is_single_role).collect()
}
