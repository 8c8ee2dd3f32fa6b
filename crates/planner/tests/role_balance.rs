//! The number of decode engines follows the streams, never drops to zero and does not oscillate.

use proptest::prelude::*;
use tansyhall_core::{Role, Timestamp, ZoneName};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_planner::{
    balance_roles, BalancedEngine, ExpectedDemand, RecentPeak, RolePeakTracker, UrgentFractions,
};

fn engine(zone: &str, role: Role, streams: u32) -> BalancedEngine {
    BalancedEngine {
        zone: ZoneName::new(zone),
        role,
        changing: false,
        streams,
        slots: 32,
    }
}

fn apply_without_demand(engines: &mut [BalancedEngine]) -> usize {
    apply_for_prompts(engines, 0.0)
}

/// Applies the changes that are due if the prompts would keep `busy_prefill_engines` prefill engines busy.
fn apply_for_prompts(engines: &mut [BalancedEngine], busy_prefill_engines: f64) -> usize {
    let expected = ExpectedDemand {
        prefill_engines: busy_prefill_engines,
        ..ExpectedDemand::default()
    };
    apply_for_demand(engines, expected)
}

fn apply_for_demand(engines: &mut [BalancedEngine], expected: ExpectedDemand) -> usize {
    let changes = balance_roles(engines, expected, None);
    for change in &changes {
        engines[change.engine].role = change.role;
    }
    changes.len()
}

fn count_decode_engines(engines: &[BalancedEngine]) -> usize {
    let decoding = engines.iter().filter(|engine| engine.role == Role::Decode);
    decoding.count()
}

#[test]
fn idle_decode_engines_become_prefill_engines_until_each_zone_has_one_left() {
    let mut engines: Vec<BalancedEngine> = (0..12)
        .map(|number| engine(&format!("z{}", number % 4), Role::Decode, 0))
        .collect();
    while apply_without_demand(&mut engines) > 0 {}
    assert!(
        (4..=5).contains(&count_decode_engines(&engines)),
        "{}",
        count_decode_engines(&engines)
    );
    for zone in ["z0", "z1", "z2", "z3"] {
        let decodes_in_zone =
            |e: &&BalancedEngine| e.zone.as_str() == zone && e.role == Role::Decode;
        assert!(
            engines.iter().any(|engine| decodes_in_zone(&engine)),
            "{zone}"
        );
    }
}

#[test]
fn a_large_fleet_under_light_load_changes_nothing() {
    for size in [100, 10_000] {
        let mut engines: Vec<BalancedEngine> = (0..size)
            .map(|number| {
                let role = match number % 5 {
                    0 | 1 => Role::Prefill,
                    _ => Role::Decode,
                };
                engine(&format!("z{}", number % 6), role, 1)
            })
            .collect();
        let prefill_engines = size as f64 * 0.4;
        assert_eq!(
            apply_for_prompts(&mut engines, prefill_engines * 0.1),
            0,
            "of {size}"
        );
        let changes = apply_for_prompts(&mut engines, prefill_engines * 0.5);
        assert!(
            changes > 0,
            "no engine changed although half of {prefill_engines} prefill engines are busy"
        );
    }
}

#[test]
fn many_streams_need_more_decode_engines() {
    let mut engines: Vec<BalancedEngine> = (0..12)
        .map(|number| match number < 4 {
            true => engine("z", Role::Decode, 32),
            false => engine("z", Role::Prefill, 0),
        })
        .collect();
    apply_without_demand(&mut engines);
    assert_eq!(count_decode_engines(&engines), 5);
    for engine in engines.iter_mut().take(4) {
        engine.streams = 48;
    }
    apply_without_demand(&mut engines);
    assert_eq!(count_decode_engines(&engines), 7);
}

/// Guards against taking prefill engines for streams that fill only half of the decode engines. In the airport
/// workload, two were taken right before long prompts arrived, and all refused requests of that day were refused
/// while these two were missing.
#[test]
fn half_full_decode_engines_take_no_prefill_engine() {
    let mut engines: Vec<BalancedEngine> = (0..12)
        .map(|number| match number < 5 {
            true => engine("z", Role::Decode, 18),
            false => engine("z", Role::Prefill, 0),
        })
        .collect();
    assert_eq!(apply_for_prompts(&mut engines, 2.0), 0);
}

/// Guards against changing engines to decode only when the streams have already filled the decode engines. In
/// the airport workload, the additional decode engines became available seconds too late.
#[test]
fn expected_streams_count_before_they_fill_the_decode_engines() {
    let mut engines: Vec<BalancedEngine> = (0..12)
        .map(|number| match number < 4 {
            true => engine("z", Role::Decode, 10),
            false => engine("z", Role::Prefill, 0),
        })
        .collect();
    let expected = ExpectedDemand {
        prefill_engines: 2.0,
        decode_slots: 150.0,
        ..ExpectedDemand::default()
    };
    assert!(apply_for_demand(&mut engines, expected) > 0);
    assert_eq!(count_decode_engines(&engines), 6);
}

#[test]
fn missing_prefill_engines_are_taken_from_spare_decode_engines() {
    let mut engines: Vec<BalancedEngine> = (0..12)
        .map(|number| match number < 7 {
            true => engine("z", Role::Decode, 10),
            false => engine("z", Role::Prefill, 0),
        })
        .collect();
    while apply_for_prompts(&mut engines, 9.0) > 0 {}
    assert_eq!(count_decode_engines(&engines), 4);
}

#[test]
fn both_roles_are_equally_short_if_there_are_too_few_engines() {
    let mut engines: Vec<BalancedEngine> = (0..12)
        .map(|number| match number < 6 {
            true => engine("z", Role::Decode, 32),
            false => engine("z", Role::Prefill, 0),
        })
        .collect();
    while apply_for_prompts(&mut engines, 8.0) > 0 {
        let decode_engines = count_decode_engines(&engines) as u32;
        let decoding = engines.iter_mut().filter(|e| e.role == Role::Decode);
        decoding.for_each(|engine| engine.streams = 6 * 32 / decode_engines);
    }
    assert_eq!(count_decode_engines(&engines), 5);
}

#[test]
fn a_small_difference_changes_nothing() {
    let mut engines: Vec<BalancedEngine> = (0..8).map(|_| engine("z", Role::Prefill, 0)).collect();
    for decoder in engines.iter_mut().take(3) {
        decoder.role = Role::Decode;
    }
    assert_eq!(apply_without_demand(&mut engines), 0);
}

#[test]
fn mixed_engines_and_changing_engines_are_left_unchanged() {
    let mut engines = vec![engine("z", Role::Mixed, 0); 6];
    assert_eq!(apply_without_demand(&mut engines), 0);
    let mut engines: Vec<BalancedEngine> = (0..8).map(|_| engine("z", Role::Decode, 0)).collect();
    for changing in engines.iter_mut().take(3) {
        changing.changing = true;
    }
    assert_eq!(apply_without_demand(&mut engines), 0);
}

fn engines() -> impl Strategy<Value = Vec<BalancedEngine>> {
    let one = (0..4_usize, any::<bool>(), 0..8_u32);
    prop::collection::vec(one, 2..40).prop_map(|rows| {
        rows.into_iter()
            .map(|(zone, decodes, streams)| {
                let role = if decodes { Role::Decode } else { Role::Prefill };
                engine(&format!("z{zone}"), role, streams)
            })
            .collect()
    })
}

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// With constant streams the changes come to an end, and both roles have engines.
    #[test]
    fn changes_end_with_both_roles_filled(mut engines in engines()) {
        let mut rounds = 0;
        let streams: Vec<u32> = engines.iter().map(|engine| engine.streams).collect();
        loop {
            for (engine, streams) in engines.iter_mut().zip(&streams) {
                engine.streams = if engine.role == Role::Decode { *streams } else { 0 };
            }
            if apply_without_demand(&mut engines) == 0 {
                break;
            }
            rounds += 1;
            prop_assert!(rounds < 60, "engines still change after 60 rounds");
        }
        let decode_engines = count_decode_engines(&engines);
        prop_assert!(decode_engines > 0 && decode_engines < engines.len());
    }
}

/// Returns engines of one zone, the first `decode_engines` of which decode.
fn zone_of(engines: usize, decode_engines: usize) -> Vec<BalancedEngine> {
    let role = |number| match number < decode_engines {
        true => Role::Decode,
        false => Role::Prefill,
    };
    (0..engines)
        .map(|number| engine("z", role(number), 0))
        .collect()
}

#[test]
fn decode_engines_have_time_for_the_short_prompts_they_prefill() {
    let mut engines = zone_of(160, 45);
    let expected = ExpectedDemand {
        prefill_engines: 10.0,
        decode_engines_for_short_prompts: 36.0,
        ..ExpectedDemand::default()
    };
    while apply_for_demand(&mut engines, expected) > 0 {}
    assert!(
        (57..=63).contains(&count_decode_engines(&engines)),
        "{}",
        count_decode_engines(&engines)
    );
    let mut without_short_prompts = zone_of(160, 45);
    let streams_only = ExpectedDemand {
        decode_engines_for_short_prompts: 0.0,
        ..expected
    };
    assert_eq!(
        apply_for_demand(&mut without_short_prompts, streams_only),
        0
    );
}

#[test]
fn more_engines_change_at_once_in_a_larger_fleet() {
    let busy_prefill_engines = ExpectedDemand {
        prefill_engines: 1_000.0,
        ..ExpectedDemand::default()
    };
    assert_eq!(
        apply_for_demand(&mut zone_of(12, 12), busy_prefill_engines),
        3
    );
    assert_eq!(
        apply_for_demand(&mut zone_of(160, 160), busy_prefill_engines),
        8
    );
    assert_eq!(
        apply_for_demand(&mut zone_of(600, 600), busy_prefill_engines),
        30
    );
}

#[test]
fn a_recent_peak_decays_slowly() {
    let at = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
    let mut peak = RecentPeak::default();
    assert_eq!(peak.observe(at(100), 8.0), 8.0);
    assert!((peak.observe(at(110), 1.0) - 4.0).abs() < 1e-9);
    assert_eq!(peak.observe(at(111), 6.0), 6.0);
}

/// Engines of a fleet in three zones, a quarter of which prefill.
fn mixed_fleet(engines: usize) -> Vec<BalancedEngine> {
    let role = |number: usize| match number % 4 {
        0 => Role::Prefill,
        _ => Role::Decode,
    };
    (0..engines)
        .map(|number| engine(&format!("z{}", number % 3), role(number), 0))
        .collect()
}

/// Demand that keeps so many engines of each role busy; the streams count as slots of engines with 32 slots.
fn busy(prefill_engines: f64, decode_engines: f64) -> ExpectedDemand {
    ExpectedDemand {
        prefill_engines,
        decode_slots: decode_engines * 32.0,
        ..ExpectedDemand::default()
    }
}

/// Lets a demand last for `seconds`, with a plan each second whose changes take effect at once, and returns the number
/// of changes.
fn last_for(
    engines: &mut [BalancedEngine],
    peaks: &mut RolePeakTracker,
    from: u64,
    seconds: u64,
    expected: ExpectedDemand,
) -> usize {
    let changes = (from..from + seconds).map(|second| {
        let now = Timestamp::from_millis(second * 1_000);
        let peaks = peaks.observe(now, engines, expected);
        let changes = balance_roles(engines, expected, Some(peaks));
        for change in &changes {
            engines[change.engine].role = change.role;
        }
        changes.len()
    });
    changes.sum()
}

/// Guards against turning all spare engines into prefill engines while long prompts prevail: when the short questions
/// returned, the decode engines had no free slot, and most prefill engines were idle.
#[test]
fn when_the_mix_turns_back_after_15_s_both_roles_still_have_engines_for_it() {
    let (long_prompts, short_questions) = (busy(20.0, 8.0), busy(4.0, 30.0));
    let mut engines = mixed_fleet(56);
    let mut peaks = RolePeakTracker::default();
    last_for(&mut engines, &mut peaks, 0, 15, short_questions);
    last_for(&mut engines, &mut peaks, 15, 15, long_prompts);
    for cycle in 1..5 {
        let from = cycle * 30;
        assert!(count_decode_engines(&engines) >= 27, "cycle {cycle}");
        let to_decode = last_for(&mut engines, &mut peaks, from, 15, short_questions);
        let prefill_engines = engines.len() - count_decode_engines(&engines);
        assert!(prefill_engines >= 18, "cycle {cycle}: {prefill_engines}");
        let to_prefill = last_for(&mut engines, &mut peaks, from + 15, 15, long_prompts);
        assert!(to_decode + to_prefill <= 24, "cycle {cycle}");
    }
}

/// Guards against holding engines back for an earlier peak while the other role cannot serve its present demand.
#[test]
fn the_present_need_goes_before_an_earlier_peak_of_the_other_role() {
    let mut engines = mixed_fleet(56);
    let mut peaks = RolePeakTracker::default();
    last_for(&mut engines, &mut peaks, 0, 10, busy(2.0, 40.0));
    last_for(&mut engines, &mut peaks, 10, 30, busy(36.0, 8.0));
    let prefill_engines = engines.len() - count_decode_engines(&engines);
    assert!(prefill_engines >= 40, "{prefill_engines}");
}

/// Guards against urgent long prompts that are refused after a loss of engines because a burst of less urgent questions
/// takes nearly all of the remaining ones.
#[test]
fn in_a_shortage_urgent_prompts_keep_the_engines_that_they_need() {
    let burst = ExpectedDemand {
        urgent: UrgentFractions {
            prefill: 1.0,
            ..UrgentFractions::default()
        },
        ..busy(6.0, 60.0)
    };
    let mut engines = mixed_fleet(28);
    let mut peaks = RolePeakTracker::default();
    last_for(&mut engines, &mut peaks, 0, 30, burst);
    let prefill_engines = engines.len() - count_decode_engines(&engines);
    assert!((6..=9).contains(&prefill_engines), "{prefill_engines}");
    let equally_urgent = busy(6.0, 60.0);
    last_for(&mut engines, &mut peaks, 30, 30, equally_urgent);
    let prefill_engines = engines.len() - count_decode_engines(&engines);
    assert!(prefill_engines < 6, "{prefill_engines}");
}

/// Guards against role changes before any request has arrived, when nothing is known about the demand.
#[test]
fn without_any_demand_no_role_changes() {
    let mut engines = mixed_fleet(56);
    let mut peaks = RolePeakTracker::default();
    let changes = last_for(&mut engines, &mut peaks, 0, 10, ExpectedDemand::default());
    assert_eq!(changes, 0);
}
