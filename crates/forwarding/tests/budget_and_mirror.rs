//! All gateways together stay within the fleet's retry budget, and the mirror of the store never goes back.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{
    sharing_gateways, Item, Mirror, MirrorChange, Position, RetryShare, RetryShareSettings,
    RetryShares, Snapshot, Touched,
};

const FLEET: RetryShareSettings = RetryShareSettings {
    ratio: 0.2,
    fleet_extra: 54.0,
    window: Duration::from_secs(10),
};

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// Gateways that know the number of gateways and attempt any number of retries stay within the
    /// fleet's budget in every window.
    #[test]
    fn gateways_together_stay_within_the_budget(
        gateways in 1_u32..12,
        steps in prop::collection::vec((0_u64..60, 0_usize..12, any::<bool>()), 200..800),
    ) {
        let mut shares: Vec<RetryShare> =
            (0..gateways).map(|_| RetryShare::new(FLEET, gateways)).collect();
        let mut now = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause, index, is_request) in steps {
            now += pause;
            let share = &mut shares[index % gateways as usize];
            let at = Timestamp::from_millis(now);
            if is_request {
                share.record_request(at);
                requests.push(now);
            } else if share.try_retry(at) {
                retries.push(now);
            }
        }
        for end in retries.iter().copied() {
            let start = end.saturating_sub(10_000);
            let spent = retries.iter().filter(|at| (start..=end).contains(*at)).count();
            let earlier = start.saturating_sub(10_000);
            let asked = requests.iter().filter(|at| (earlier..=end).contains(*at)).count();
            prop_assert!(spent as f64 <= 0.2 * asked as f64 + 54.0);
        }
    }
}

/// Runs three gateways that use all retries that they are allowed. One and then another begins to shut down: it is no
/// longer announced but still serves requests. Returns the number of retries and the number that the fleet's budget
/// allows.
fn retries_while_two_stop(keeps_its_share: bool) -> (u32, f64) {
    const GATEWAYS: u64 = 3;
    const STOPS_AT_MS: [u64; GATEWAYS as usize] = [u64::MAX, 800, 1_500];
    let mut shares = [(); 3].map(|()| RetryShare::new(FLEET, GATEWAYS as u32));
    let mut known = [GATEWAYS; 3];
    let (mut requests, mut retries) = (0, 0);
    for at_ms in (0..2_000).step_by(10) {
        let now = Timestamp::from_millis(at_ms);
        let announced = STOPS_AT_MS.iter().filter(|stop| at_ms < **stop).count() as u64;
        for (index, share) in shares.iter_mut().enumerate() {
            let is_stopping = keeps_its_share && at_ms >= STOPS_AT_MS[index];
            known[index] = sharing_gateways(announced, known[index], is_stopping);
            share.set_gateways(known[index] as u32);
            share.record_request(now);
            requests += 1;
            while share.try_retry(now) {
                retries += 1;
            }
        }
    }
    (retries, 0.2 * f64::from(requests) + 54.0)
}

#[test]
fn gateways_that_shut_down_shortly_after_each_other_stay_within_the_budget() {
    let (spent, allowed) = retries_while_two_stop(true);
    assert!(f64::from(spent) <= allowed, "{spent} of {allowed}");
    // The fault that this guards against: each stopping gateway took over the shares of the others while those were
    // still using them.
    let (spent, allowed) = retries_while_two_stop(false);
    assert!(f64::from(spent) > allowed, "{spent} of {allowed}");
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
    let service = ServiceName::new("s");
    let now = Timestamp::from_millis(1_000);
    let mut shares = RetryShares::new(FLEET, 1);
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
