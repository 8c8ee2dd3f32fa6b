//! Planned stops of gateways: every request that a stopping gateway has accepted is answered before its process exits.

use futures_util::future::{join, join_all};
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;

use crate::support::{
    send_request, try_request, CallerAnswer, Site, AT_MOST_ONCE, NON_RESUMABLE, REPEATABLE,
    RESUMABLE,
};

/// Time from SIGTERM to SIGKILL in seconds.
const GRACE_S: u64 = 3;
const PATHS: [&str; 4] = [REPEATABLE, AT_MOST_ONCE, RESUMABLE, NON_RESUMABLE];

/// Sends a request to the first gateway on each path.
async fn send_to_all_paths(site: &Site, prefix: &str) -> Vec<(String, Option<CallerAnswer>)> {
    let sends = PATHS.iter().enumerate().map(|(number, path)| async move {
        let id = format!("{prefix}-{number}");
        let answer = try_request(&site.gateways[0], &id, path, b"x").await;
        (id, answer)
    });
    join_all(sends).await
}

async fn wait_until_stopping(site: &Site) {
    eventually("the gateway is stopping", || async {
        (!site.gateways[0].is_ready().await).then_some(())
    })
    .await;
}

/// Guards against the end of a stopping process closing the connections of callers whose requests it has accepted.
#[actix_rt::test]
async fn a_request_that_is_in_progress_at_the_end_of_the_grace_period_is_answered() {
    let site = Site::start_with_grace(&[("app", None, Behaviour::Hang)], 1, GRACE_S).await;
    let stop_and_send = async {
        for number in 0..PATHS.len() {
            site.wait_for_runs(&format!("early-{number}"), 1).await;
        }
        site.gateways[0].process.signal("TERM");
        wait_until_stopping(&site).await;
        send_to_all_paths(&site, "late").await
    };
    let (early, late) = join(send_to_all_paths(&site, "early"), stop_and_send).await;
    for (id, answer) in early.iter().chain(&late) {
        let expected: &[u16] = match site.runs_of(id) {
            0 => &[503],
            _ => &[502, 504],
        };
        let status = answer.as_ref().map(|answer| answer.status);
        let is_answered = status.is_some_and(|status| expected.contains(&status));
        assert!(is_answered, "{id}: {status:?}, not one of {expected:?}");
    }
    assert!(early.iter().all(|(id, _)| site.runs_of(id) == 1));
}

/// Guards against a stopping gateway that accepts a request although such requests take longer than its process will live.
#[actix_rt::test]
async fn a_request_that_usually_takes_longer_than_the_rest_of_the_grace_period_is_refused_as_not_run(
) {
    let delay_ms = GRACE_S * 1_000;
    let worker = ("app", None, Behaviour::Delayed { delay_ms });
    let site = Site::start_with_grace(&[worker], 2, GRACE_S).await;
    site.wait_until_gateways_know_each_other().await;
    let gateway = &site.gateways[0];
    let first = send_request(gateway, "first", AT_MOST_ONCE, b"x").await;
    assert_eq!(first.status, 200);
    gateway.process.signal("TERM");
    wait_until_stopping(&site).await;
    let late = send_request(gateway, "late", AT_MOST_ONCE, b"x").await;
    assert_eq!((late.status, site.runs_of("late")), (503, 0));
    assert!(late.retry_after.is_some_and(|seconds| seconds < 1.0));
}
