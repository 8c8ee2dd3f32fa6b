//! What gateways conclude about the software version at which a stream began.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{
    AttemptKey, Position, ServedVersion, ServiceHistory, SoftwareVersion, StreamRecord,
    StreamVersions, Testimony, VersionEvidence, Watch, LATEST_RETURN,
};

const SEED: u64 = 20_261_203;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than a gateway has to watch a service.
const LONG: u64 = 11;

fn second(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn service() -> ServiceName {
    ServiceName::new("llm")
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::from(name)
}

fn record(attempt: AttemptKey, name: &str) -> StreamRecord {
    StreamRecord {
        attempt,
        version: version(name),
    }
}

fn key(attempt: &str) -> AttemptKey {
    AttemptKey::of(&service(), None, attempt)
}

fn current() -> Watch {
    Watch::new(TIMEOUT, true)
}

/// Lets the store name these versions, and no others.
fn name_in_store(gateway: &mut StreamVersions, now: u64, versions: &[&str]) {
    let position = Position::new(0, 1);
    let items = versions.iter().map(|name| {
        let (service, version) = (service(), version(name));
        (ServedVersion { service, version }, position)
    });
    gateway.set_recorded(second(now), position, items);
}

/// A gateway that has seen these versions in each second of a time, and that finds them in the store.
fn watcher(seconds: std::ops::RangeInclusive<u64>, versions: &[&str]) -> StreamVersions {
    let mut watcher = StreamVersions::default();
    name_in_store(&mut watcher, *seconds.start(), versions);
    for now in seconds {
        for name in versions {
            watcher.observe(second(now), &service(), &version(name));
        }
    }
    watcher
}

fn ask(gateway: &mut StreamVersions, now: u64, attempt: &str) -> Testimony {
    let stream = (&service(), Some(key(attempt)));
    gateway.testimony(second(now), stream, current())
}

#[test]
fn a_gateway_testifies_for_the_only_version_after_it_has_watched_long_enough() {
    let mut gateway = watcher(0..=LONG, &["v1"]);
    assert_eq!(ask(&mut gateway, 9, "a"), Testimony::Unsure);
    assert_eq!(ask(&mut gateway, LONG, "a"), Testimony::Only(version("v1")));
}

#[test]
fn a_gateway_without_contact_to_the_store_does_not_testify() {
    let mut gateway = watcher(0..=LONG, &["v1"]);
    let cut_off = Watch::new(TIMEOUT, false);
    let stream = (&service(), Some(key("a")));
    let testimony = gateway.testimony(second(LONG), stream, cut_off);
    assert_eq!(testimony, Testimony::Unsure);
    gateway.interrupt_watch(second(LONG));
    gateway.observe(second(LONG + 5), &service(), &version("v1"));
    assert_eq!(ask(&mut gateway, LONG + 5, "a"), Testimony::Unsure);
}

/// Guards against streams that are refused after the loss of all gateways that had watched for long enough.
#[test]
fn a_gateway_that_has_just_started_testifies_by_what_another_has_watched() {
    let histories = watcher(0..=LONG, &["v1"]).histories(second(LONG));
    let mut gateway = watcher(0..=1, &["v1"]);
    assert_eq!(ask(&mut gateway, 1, "a"), Testimony::Unsure);
    gateway.adopt(second(1), &histories);
    assert!(gateway.is_watch_complete(second(1), current()));
    assert_eq!(ask(&mut gateway, 1, "a"), Testimony::Only(version("v1")));
    gateway.interrupt_watch(second(2));
    assert!(!gateway.is_watch_complete(second(2), current()));
    assert_eq!(ask(&mut gateway, 2, "a"), Testimony::Unsure);
}

#[test]
fn adopted_versions_count_as_if_they_had_been_seen() {
    let mut other = watcher(0..=LONG, &["v1", "v2"]);
    for now in LONG..=LONG + 5 {
        other.observe(second(now), &service(), &version("v1"));
    }
    let mut gateway = watcher(20..=20, &["v1"]);
    gateway.adopt(second(20), &other.histories(second(LONG + 5)));
    let last_return = 20 - 5 + LATEST_RETURN.as_secs();
    gateway.observe(second(last_return), &service(), &version("v1"));
    assert_eq!(ask(&mut gateway, last_return, "a"), Testimony::Several);
    let only = Testimony::Only(version("v1"));
    assert_eq!(ask(&mut gateway, last_return + 1, "a"), only);
}

#[test]
fn only_a_longer_history_of_a_watched_service_is_adopted() {
    let mut gateway = watcher(0..=LONG, &["v1"]);
    let shorter = watcher(0..=1, &["v1"]).histories(second(1));
    gateway.adopt(second(LONG), &shorter);
    assert_eq!(ask(&mut gateway, LONG, "a"), Testimony::Only(version("v1")));
    let unknown = ServiceHistory {
        service: ServiceName::new("app"),
        watched: Duration::from_secs(LONG),
        versions: vec![(version("v1"), Duration::ZERO)],
    };
    gateway.adopt(second(LONG), &[unknown]);
    let stream = (&ServiceName::new("app"), Some(key("a")));
    let testimony = gateway.testimony(second(LONG), stream, current());
    assert_eq!(testimony, Testimony::Unsure);
}

#[test]
fn a_version_counts_until_its_callers_can_no_longer_return() {
    let mut gateway = watcher(0..=LONG, &["v1"]);
    gateway.observe(second(LONG), &service(), &version("v2"));
    let last_return = LONG + LATEST_RETURN.as_secs();
    for now in LONG..=last_return {
        gateway.observe(second(now), &service(), &version("v2"));
    }
    name_in_store(&mut gateway, last_return, &["v2"]);
    assert_eq!(ask(&mut gateway, last_return, "a"), Testimony::Several);
    let only = Testimony::Only(version("v2"));
    assert_eq!(ask(&mut gateway, last_return + 1, "a"), only);
}

/// Guards against streams that are joined from two versions after the loss of all gateways: those that start afterwards
/// have seen one version only.
#[test]
fn a_gateway_never_testifies_against_what_the_store_names() {
    let mut gateway = watcher(0..=LONG, &["v2"]);
    name_in_store(&mut gateway, LONG, &["v1", "v2"]);
    assert_eq!(ask(&mut gateway, LONG, "a"), Testimony::Several);
    name_in_store(&mut gateway, LONG, &["v1"]);
    assert_eq!(ask(&mut gateway, LONG, "a"), Testimony::Several);
    name_in_store(&mut gateway, LONG, &[]);
    assert_eq!(ask(&mut gateway, LONG, "a"), Testimony::Unsure);
    name_in_store(&mut gateway, LONG, &["v2"]);
    assert_eq!(ask(&mut gateway, LONG, "a"), Testimony::Only(version("v2")));
}

#[test]
fn streams_are_told_at_once_only_without_a_testimony() {
    let mut gateway = watcher(0..=LONG, &["v1"]);
    let begin = |gateway: &mut StreamVersions, attempt| {
        let stream = (&service(), key(attempt));
        gateway.begin(second(LONG), stream, &version("v1"), current())
    };
    assert!(!begin(&mut gateway, "before"));
    assert!(gateway.take_untold(second(LONG), current()).is_empty());
    gateway.observe(second(LONG), &service(), &version("v2"));
    let untold = gateway.take_untold(second(LONG), current());
    assert_eq!(untold, [record(key("before"), "v1")]);
    assert!(gateway.take_untold(second(LONG), current()).is_empty());
    assert!(begin(&mut gateway, "after"));
}

#[test]
fn a_question_keeps_a_stream_known() {
    let mut gateway = StreamVersions::default();
    gateway.record(second(0), record(key("a"), "v1"));
    gateway.record(second(0), record(key("b"), "v1"));
    assert_eq!(ask(&mut gateway, 100, "a"), Testimony::Known(version("v1")));
    assert_eq!(ask(&mut gateway, 200, "a"), Testimony::Known(version("v1")));
    assert_eq!(ask(&mut gateway, 200, "b"), Testimony::Unsure);
    assert_eq!(gateway.len(), 1);
}

#[test]
fn the_number_of_streams_is_bounded() {
    let mut gateway = StreamVersions::default();
    for number in 0..100_000 {
        gateway.record(second(0), record(AttemptKey(number), "v1"));
    }
    assert!(gateway.len() <= 65_536);
    let newest = (&service(), Some(AttemptKey(99_999)));
    let testimony = gateway.testimony(second(0), newest, current());
    assert_eq!(testimony, Testimony::Known(version("v1")));
}

/// Guards against streams that are refused because their records end before the last retry of their callers.
#[test]
fn streams_are_recorded_until_the_last_of_three_retries() {
    for timeout in [1, 3, 20].map(Duration::from_secs) {
        let pause = Duration::from_millis(750).min(timeout / 4);
        let last_retry = 3 * (timeout + pause);
        assert!(Watch::new(timeout, true).record_retention >= last_retry);
    }
}

#[test]
fn attempts_of_other_services_and_tenants_are_different() {
    let other = AttemptKey::of(&ServiceName::new("app"), None, "a");
    assert_ne!(key("a"), other);
    assert_ne!(key("a"), key("b"));
}

fn testimonies() -> impl Strategy<Value = Testimony> {
    let name = prop::sample::select(vec!["v1", "v2"]);
    (0..4, name).prop_map(|(kind, name)| match kind {
        0 => Testimony::Known(version(name)),
        1 => Testimony::Only(version(name)),
        2 => Testimony::Several,
        _ => Testimony::Unsure,
    })
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// A version is concluded only from those who know the stream, or if nobody says anything else and a gateway that has
    /// read the store since the stream was taken up knows no other one.
    #[test]
    fn a_version_is_never_guessed(
        said in prop::collection::vec(testimonies(), 0..6),
        confirmed in prop::option::of(prop::collection::vec(prop::sample::select(vec!["v1", "v2"]), 0..3)),
    ) {
        let mut evidence = VersionEvidence::default();
        said.iter().cloned().for_each(|testimony| evidence.add(testimony));
        let confirmed: Option<Vec<_>> = confirmed.map(|names| names.into_iter().map(version).collect());
        confirmed.iter().for_each(|served| evidence.confirm(served.clone()));
        let known: Vec<_> = said.iter().filter(|t| matches!(t, Testimony::Known(_))).collect();
        match evidence.version() {
            Some(version) if known.is_empty() => {
                let agrees = |t: &Testimony| *t == Testimony::Only(version.clone()) || *t == Testimony::Unsure;
                prop_assert!(said.iter().all(agrees));
                prop_assert!(said.contains(&Testimony::Only(version.clone())));
                prop_assert!(confirmed.is_some_and(|served| served.iter().all(|other| other == version)));
                prop_assert_eq!(evidence.ground(), "only");
            }
            Some(version) => {
                prop_assert!(known.iter().all(|t| **t == Testimony::Known(version.clone())));
                prop_assert_eq!(evidence.ground(), "known");
            }
            None => {
                let is_unanimous = known.first().is_some_and(|first| known.iter().all(|t| t == first));
                prop_assert!(!is_unanimous);
            }
        }
    }
}
