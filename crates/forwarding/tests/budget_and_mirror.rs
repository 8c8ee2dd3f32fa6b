//! All gateways together stay within the fleet's retry budget, and the mirror of the store never goes back.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{
    sharing_gateways, Item, Mirror, MirrorChange, Position, RetryShareSettings, RetryShares,
    SharingGateways, Snapshot, Touched,
};

const FLEET: RetryShareSettings = RetryShareSettings {
    ratio: 0.2,
    fleet_extra: 54.0,
    window: Duration::from_secs(10),
};

/// Seed of the property tests.
const SEED: u64 = 20_261_202;
const WINDOW_MS: u64 = 10_000;

fn service() -> ServiceName {
    ServiceName::new("s")
}

fn sharing(count: u64, has_earlier_life: bool) -> SharingGateways {
    SharingGateways {
        count,
        has_earlier_life,
    }
}

/// Returns the shares of a gateway that is announced from now on, as one of this many.
fn announced_shares(now: Timestamp, gateways: u64, has_earlier_life: bool) -> RetryShares {
    let mut shares = RetryShares::new(FLEET);
    shares.set_gateways(now, Some(sharing(gateways, has_earlier_life)));
    shares
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// Gateways that know the number of gateways and attempt any number of retries stay within the
    /// fleet's budget in every window.
    #[test]
    fn gateways_together_stay_within_the_budget(
        gateways in 1_u64..12,
        steps in prop::collection::vec((0_u64..60, 0_usize..12, any::<bool>()), 200..800),
    ) {
        let service = service();
        let mut shares: Vec<RetryShares> =
            (0..gateways).map(|_| announced_shares(Timestamp::default(), gateways, false)).collect();
        let mut now = WINDOW_MS;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause, index, is_request) in steps {
            now += pause;
            let share = &mut shares[index % gateways as usize];
            let at = Timestamp::from_millis(now);
            if is_request {
                share.record_request(at, &service);
                requests.push(now);
            } else if share.try_retry(at, &service) {
                retries.push(now);
            }
        }
        for end in retries.iter().copied() {
            let start = end.saturating_sub(WINDOW_MS);
            let spent = retries.iter().filter(|at| (start..=end).contains(*at)).count();
            let earlier = start.saturating_sub(WINDOW_MS);
            let asked = requests.iter().filter(|at| (earlier..=end).contains(*at)).count();
            prop_assert!(spent as f64 <= 0.2 * asked as f64 + 54.0);
        }
    }

    /// Guards against gateways that use the ratio of the same requests several times: the requests before a window, and
    /// then, in their next life or at another gateway, those in it.
    #[test]
    fn callers_that_move_and_gateways_that_restart_stay_within_the_budget(
        gateways in 1_usize..6,
        steps in prop::collection::vec((0_u64..3_000, 0_usize..6, 0_usize..100, 0_u8..4), 20..60),
    ) {
        let service = service();
        let count = gateways as u64;
        let start = Timestamp::default();
        let mut shares: Vec<RetryShares> =
            (0..gateways).map(|_| announced_shares(start, count, false)).collect();
        let mut now = 2 * WINDOW_MS;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, index, new_requests, change) in steps {
            now += pause;
            let at = Timestamp::from_millis(now);
            let share = &mut shares[index % gateways];
            for _ in 0..new_requests {
                share.record_request(at, &service);
                requests.push(now);
            }
            if change > 0 {
                while share.try_retry(at, &service) {
                    retries.push(now);
                }
            }
            if change == 1 {
                *share = announced_shares(at, count, true);
            }
        }
        for start in retries.iter().copied() {
            let before = |times: &[u64], end: u64| times.partition_point(|at| *at < end);
            let within = |times: &[u64], from: u64| {
                (before(times, from + WINDOW_MS) - before(times, from)) as f64
            };
            let spent = within(&retries, start);
            let windows = [start, start - WINDOW_MS / 2, start - WINDOW_MS];
            let counted = windows.map(|from| within(&requests, from));
            let counted = counted.into_iter().fold(0.0, f64::max);
            let allowed = FLEET.ratio * counted + FLEET.fleet_extra;
            prop_assert!(spent <= allowed, "{spent} retries from {start} ms on, {allowed} allowed");
        }
    }

    /// Guards against gateways that use the fixed number several times within a window, because they restart, or because
    /// others take over the shares of gateways whose announcements are missing. All use whatever they are allowed to.
    #[test]
    fn lives_and_missing_announcements_stay_within_the_fixed_number(
        gateways in 1_usize..12,
        steps in prop::collection::vec((0_u64..1_500, 0_usize..12, 0_u8..6), 100..300),
    ) {
        let service = service();
        let count = gateways as u64;
        let mut announced = vec![true; gateways];
        let mut shares: Vec<RetryShares> =
            (0..gateways).map(|_| announced_shares(Timestamp::default(), count, false)).collect();
        let mut now = 0;
        let mut retries = Vec::new();
        for (pause, index, change) in steps {
            now += pause;
            let at = Timestamp::from_millis(now);
            let index = index % gateways;
            match change {
                0 => shares[index] = RetryShares::new(FLEET),
                1 => announced[index] = false,
                2 => announced[index] = true,
                _ => {}
            }
            let counted = announced.iter().filter(|is_announced| **is_announced).count() as u64;
            for (share, is_announced) in shares.iter_mut().zip(&announced) {
                share.set_gateways(at, is_announced.then_some(sharing(counted, true)));
                while share.try_retry(at, &service) {
                    retries.push(now);
                }
            }
        }
        for end in retries.iter().copied() {
            let start = end.saturating_sub(WINDOW_MS);
            let spent = retries.iter().filter(|at| (start..=end).contains(*at)).count();
            prop_assert!(spent <= 54, "{spent} retries until {end} ms");
        }
    }
}

/// What happened while two of three gateways shut down.
struct Shutdown {
    retries: u32,
    allowed: f64,
    /// The largest sum of the parts that gateways take as theirs.
    parts: f64,
}

/// Runs three gateways that use all retries that they are allowed. One and then another begins to shut down: it is no
/// longer announced but still serves requests.
fn shut_two_down(keeps_its_share: bool) -> Shutdown {
    const GATEWAYS: u64 = 3;
    const STOPS_AT_MS: [u64; GATEWAYS as usize] = [u64::MAX, 800, 1_500];
    let service = service();
    let mut shares = [(); 3].map(|()| announced_shares(Timestamp::default(), GATEWAYS, false));
    let mut known = [GATEWAYS; 3];
    let (mut requests, mut retries) = (0, 0);
    let mut parts = 0.0_f64;
    for at_ms in (0..2_000).step_by(10) {
        let now = Timestamp::from_millis(WINDOW_MS + at_ms);
        let announced = STOPS_AT_MS.iter().filter(|stop| at_ms < **stop).count() as u64;
        for (index, share) in shares.iter_mut().enumerate() {
            let is_stopping = keeps_its_share && at_ms >= STOPS_AT_MS[index];
            known[index] = sharing_gateways(announced, known[index], is_stopping);
            share.set_gateways(now, Some(sharing(known[index], false)));
            share.record_request(now, &service);
            requests += 1;
            while share.try_retry(now, &service) {
                retries += 1;
            }
        }
        parts = parts.max(known.iter().map(|known| 1.0 / *known as f64).sum());
    }
    Shutdown {
        retries,
        allowed: 0.2 * f64::from(requests) + 54.0,
        parts,
    }
}

#[test]
fn gateways_that_shut_down_shortly_after_each_other_stay_within_the_budget() {
    for keeps_its_share in [true, false] {
        let Shutdown {
            retries, allowed, ..
        } = shut_two_down(keeps_its_share);
        assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    }
}

// Guards against gateways that stop and each take over the parts of the others while those still use them.
#[test]
fn gateways_that_shut_down_keep_their_parts() {
    let kept = shut_two_down(true).parts;
    assert!(kept <= 2.0, "{kept}");
    let taken_over = shut_two_down(false).parts;
    assert!(taken_over > 2.0, "{taken_over}");
}

/// A position in the first epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.into(),
        value: revision.to_string().into_bytes(),
        written: at(revision),
        created: 1,
    }
}

#[test]
fn an_older_snapshot_or_change_is_ignored() {
    let mut mirror = Mirror::default();
    let newer = Snapshot {
        items: vec![item("a", 5)],
        position: at(6),
    };
    assert_eq!(mirror.replace(newer), Touched::Everything);
    let older = Snapshot {
        items: vec![item("a", 4)],
        position: at(5),
    };
    assert!(!mirror.replace(older).has_changes());
    let late = mirror.apply(vec![MirrorChange::Written(item("a", 3))], at(6));
    assert!(!late.has_changes());
    assert_eq!(mirror.get("a").map(|item| item.written), Some(at(5)));
}

#[test]
fn changes_are_applied_in_order_and_once() {
    let mut mirror = Mirror::default();
    mirror.apply(
        vec![
            MirrorChange::Written(item("p/a", 1)),
            MirrorChange::Written(item("p/b", 2)),
            MirrorChange::Removed {
                key: "p/a".into(),
                at: at(3),
            },
        ],
        at(4),
    );
    let keys: Vec<&str> = mirror
        .items_with_prefix("p/")
        .map(|item| item.key.as_str())
        .collect();
    assert_eq!(keys, ["p/b"]);
    assert_eq!(mirror.position(), at(4));
}

#[test]
fn a_changed_budget_still_counts_earlier_retries() {
    let service = service();
    let now = Timestamp::from_millis(WINDOW_MS);
    let mut shares = announced_shares(Timestamp::default(), 1, false);
    for _ in 0..20 {
        assert!(shares.try_retry(now, &service));
    }
    shares.set_settings(RetryShareSettings {
        fleet_extra: 42.0,
        ..FLEET
    });
    assert!(shares.try_retry(now, &service));
    assert!(!shares.try_retry(now, &service));
    assert_eq!(shares.remaining_by_service(now).len(), 1);
}
