//! Fingerprints of requests, and the requests that a worker may have been running when it ended.

use std::collections::BTreeSet;

use tansyhall_core::{TenantName, Timestamp};
use tansyhall_forwarding::{
    Fingerprint, PromptPart, RequestContent, SendId, SendTracker, WorkerId,
};

const NO_REQUESTS: BTreeSet<Fingerprint> = BTreeSet::new();

fn content<'a>(target: &'a str, body: &'a [u8], prompt: &'a [PromptPart]) -> RequestContent<'a> {
    RequestContent {
        method: "POST",
        host: "site.example",
        target,
        tenant: None,
        body,
        prompt,
    }
}

fn part(id: &str) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens: 7,
    }
}

fn begin(tracker: &mut SendTracker, worker: &WorkerId, request: Fingerprint) -> SendId {
    tracker.begin(worker, request, [].into())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn requests_differ_by_path_body_and_tenant() {
    let without_tenant = content("/a", b"x", &[]);
    let tenant = TenantName::new("t");
    let with_tenant = RequestContent {
        tenant: Some(&tenant),
        ..without_tenant
    };
    let others = [
        content("/b", b"x", &[]),
        content("/a", b"y", &[]),
        with_tenant,
    ];
    for other in &others {
        assert_ne!(
            Fingerprint::of(&without_tenant),
            Fingerprint::of(other),
            "{other:?}"
        );
    }
}

#[test]
fn the_prompt_in_headers_counts_only_where_there_is_no_body() {
    let (one, other) = ([part("1")], [part("2")]);
    let fingerprint = |body, prompt| Fingerprint::of(&content("/a", body, prompt));
    assert_ne!(fingerprint(b"", &one), fingerprint(b"", &other));
    assert_eq!(fingerprint(b"x", &one), fingerprint(b"x", &other));
}

#[test]
fn requests_that_an_ended_worker_may_have_been_running_are_returned() {
    let mut tracker = SendTracker::default();
    let worker = WorkerId::from("w");
    let [answered, broken, running, abandoned_long_ago] = [1, 2, 3, 4].map(Fingerprint);
    let sends = [answered, broken, running, abandoned_long_ago];
    let numbers = sends.map(|fingerprint| begin(&mut tracker, &worker, fingerprint));
    begin(&mut tracker, &worker, running);
    tracker.abandon(at(0), &worker, numbers[3]);
    tracker.finish(&worker, numbers[0]);
    tracker.abandon(at(9_000), &worker, numbers[1]);
    assert_eq!(
        tracker
            .remove_ended_worker(at(9_100), &WorkerId::from("another"))
            .requests(),
        NO_REQUESTS
    );
    let may_have_run = tracker.remove_ended_worker(at(9_100), &worker).requests();
    assert_eq!(may_have_run, BTreeSet::from([broken, running]));
    assert_eq!(
        tracker.remove_ended_worker(at(9_100), &worker).requests(),
        NO_REQUESTS,
        "the worker was removed already"
    );
}

#[test]
fn abandoned_sends_expire_and_running_ones_do_not() {
    let mut tracker = SendTracker::default();
    let worker = WorkerId::from("w");
    let lost = begin(&mut tracker, &worker, Fingerprint(1));
    begin(&mut tracker, &worker, Fingerprint(2));
    tracker.abandon(at(0), &worker, lost);
    tracker.expire(at(60_000));
    let may_have_run = tracker.remove_ended_worker(at(60_000), &worker).requests();
    assert_eq!(may_have_run, BTreeSet::from([Fingerprint(2)]));
}
