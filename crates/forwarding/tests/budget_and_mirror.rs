//! The fleet's retry budget holds as a sum, and the copy of the store never goes back.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::{
    Item, Mirror, MirrorChange, RetryShare, RetryShareSettings, RetryShares, Snapshot, Touched,
};

const FLEET: RetryShareSettings = RetryShareSettings {
    ratio: 0.2,
    fleet_extra: 54.0,
    window: Duration::from_secs(10),
};

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(fixed_cases(SEED))]

    /// Gateways that know each other's number and ask for retries as often as they like stay
    /// within the fleet's budget in every window.
    #[test]
    fn the_sum_stays_within_the_budget(
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

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.into(),
        value: revision.to_string().into_bytes(),
        revision,
        created: 1,
    }
}

#[test]
fn an_older_copy_or_change_is_not_taken() {
    let mut mirror = Mirror::default();
    let newer = Snapshot {
        items: vec![item("a", 5)],
        revision: 6,
    };
    assert_eq!(mirror.replace(newer), Touched::Everything);
    let older = Snapshot {
        items: vec![item("a", 4)],
        revision: 5,
    };
    assert!(!mirror.replace(older).is_any());
    let late = mirror.apply(vec![MirrorChange::Written(item("a", 3))], 6);
    assert!(!late.is_any());
    assert_eq!(mirror.get("a").map(|item| item.revision), Some(5));
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
                revision: 3,
            },
        ],
        4,
    );
    let keys: Vec<&str> = mirror.below("p/").map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["p/b"]);
    assert_eq!(mirror.revision(), 4);
}

#[test]
fn a_changed_budget_counts_what_was_spent() {
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
    assert_eq!(shares.all_left(now).len(), 1);
}
