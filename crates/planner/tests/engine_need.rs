//! The number of engines that the demand needs: it rises at once, falls slowly, and is constant while the mix of
//! requests alternates.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_planner::{engines_for, BusyEngines, EngineNeed};

const STARTUP: Duration = Duration::from_secs(4);
const CHECK_MS: u64 = 500;
/// Time for which the mix of requests stays the same.
const PHASE_MS: u64 = 2_800;

/// Returns the need at each check from 0 to `until_ms`, with room for a burst.
fn needs(
    until_ms: u64,
    min_needed: f64,
    busy_at: impl Fn(u64) -> BusyEngines,
) -> Vec<(u64, Option<u32>)> {
    let mut need = EngineNeed::default();
    let checks = (0..until_ms).step_by(CHECK_MS as usize);
    let needs = checks.map(|at| {
        let now = Timestamp::from_millis(at);
        let estimate = need.update(now, busy_at(at), STARTUP, min_needed);
        assert!(estimate.is_none_or(|estimate| estimate.needed <= estimate.with_burst));
        (at, estimate.map(|estimate| estimate.with_burst))
    });
    needs.collect()
}

fn busy(prefill: f64, decode: f64) -> BusyEngines {
    BusyEngines { prefill, decode }
}

/// Returns the mean wait of a prompt, as a multiple of its reading time (M/M/c).
fn mean_wait(busy: f64, engines: u32) -> f64 {
    let mut blocked = 1.0;
    for count in 1..=engines {
        blocked = busy * blocked / (f64::from(count) + busy * blocked);
    }
    let utilization = busy / f64::from(engines);
    let waiting = blocked / (1.0 - utilization * (1.0 - blocked));
    waiting / (f64::from(engines) - busy)
}

/// Guards against too little headroom: prompts of 0.5 s that wait are late.
#[test]
fn nearly_all_prompts_find_an_idle_engine_at_10_to_25_busy_engines() {
    for busy in [1.0, 4.0, 10.0, 17.0, 25.0, 200.0] {
        let engines = engines_for(busy);
        assert!(f64::from(engines) > busy);
        assert!(
            mean_wait(busy, engines) < 0.05,
            "prompts wait with {engines} engines for {busy} busy ones"
        );
    }
    assert!(engines_for(10.0) <= 18, "idle engines are paid for");
    assert!(engines_for(25.0) <= 36, "idle engines are paid for");
    assert_eq!(engines_for(0.0), 0);
}

/// Guards against releasing workers of a site whose demand is not known yet.
#[test]
fn nothing_is_known_at_the_start_until_both_phases_of_the_mix_were_observed() {
    let idle = needs(20_000, 15.0, |_| BusyEngines::default());
    assert!(idle.iter().all(|(_, need)| need.is_none()));
    let used = needs(20_000, 15.0, |at| match at < 3_000 {
        true => BusyEngines::default(),
        false => busy(5.0, 5.0),
    });
    for (at, need) in used {
        assert_eq!(need.is_some(), at >= 3_000 + 6_000, "at {at} ms: {need:?}");
    }
}

/// Guards against a need that is raised only after prompts have waited for some checks.
#[test]
fn a_burst_that_doubles_the_demand_within_a_second_raises_the_need_at_once() {
    let burst_at = 60_000;
    let needs = needs(62_000, 5.0, |at| match at < burst_at {
        true => busy(8.0, 4.0),
        false => busy(16.0, 4.0),
    });
    let (_, at_burst) = needs[(burst_at / CHECK_MS) as usize];
    let required = engines_for(16.0) + engines_for(4.0);
    assert!(at_burst >= Some(required), "{at_burst:?} < {required}");
}

/// Guards against a fleet that is too small for a second burst of the size of the first one.
#[test]
fn room_is_kept_for_a_burst_of_the_observed_size_for_30_s() {
    let needs = needs(90_000, 5.0, |at| match (40_000..42_000).contains(&at) {
        true => busy(16.0, 4.0),
        false => busy(8.0, 4.0),
    });
    let required = engines_for(16.0) + engines_for(4.0);
    for (at, need) in &needs {
        if (42_000..70_000).contains(at) {
            assert!(*need >= Some(required), "at {at} ms: {need:?}");
        }
    }
    let last = needs.last().and_then(|(_, need)| *need);
    assert!(last < Some(required), "the peak is remembered for ever");
}

/// Guards against a sudden loss of most workers when the load becomes light, since the mix may change back.
#[test]
fn a_calm_day_lowers_the_need_slowly_and_not_below_the_minimum() {
    let needs = needs(240_000, 15.0, |at| match at < 40_000 {
        true => busy(15.0, 10.0),
        false => busy(1.0, 1.0),
    });
    let known: Vec<(u64, u32)> = needs
        .iter()
        .filter_map(|(at, need)| Some((*at, (*need)?)))
        .collect();
    let mut before = known.iter().filter(|(at, _)| *at < 40_000).map(|(_, n)| *n);
    let before = before.next_back().expect("known");
    for (at, need) in &known {
        let is_held = (40_000..70_000).contains(at);
        assert!(
            !is_held || *need == before,
            "at {at} ms: {need} of {before}"
        );
        assert!(*need >= 15);
    }
    for pair in known.windows(2) {
        let fraction = f64::from(pair[1].1) / f64::from(pair[0].1);
        assert!(fraction >= 0.68, "{pair:?}");
    }
    // A tenth of the workers more than needed does not justify an order.
    let last = known.last().map(|(_, need)| *need);
    assert!(last <= Some(17), "{last:?}");
}

/// Guards against orders that follow each change of the mix, which are late by the startup time of workers.
#[test]
fn the_need_is_constant_while_the_mix_turns_every_2800_ms() {
    let needs = needs(180_000, 5.0, |at| match (at / PHASE_MS) % 2 {
        0 => busy(14.0, 4.0),
        _ => busy(5.0, 9.0),
    });
    let settled = needs.iter().filter(|(at, _)| *at > 60_000);
    let mut values: Vec<u32> = settled.filter_map(|(_, need)| *need).collect();
    values.dedup();
    assert_eq!(values.len(), 1, "{values:?}");
    let peaks = engines_for(14.0) + engines_for(9.0);
    assert!(values[0] >= peaks, "{values:?} < {peaks}");
}

/// Guards against reports of impossible demand.
#[test]
fn impossible_demand_changes_nothing() {
    for impossible in [f64::NAN, f64::INFINITY, -3.0] {
        let needs = needs(30_000, 15.0, |_| busy(impossible, 2.0));
        let usual = self::needs(30_000, 15.0, |_| busy(0.0, 2.0));
        assert_eq!(needs, usual);
    }
}
