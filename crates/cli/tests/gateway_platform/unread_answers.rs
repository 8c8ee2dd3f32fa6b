//! Answers that a gateway reads long after they were given, because it stood still.

use std::time::{Duration, Instant};

use tansyhall_platform_standin::{Behaviour, StoreFault};
use tokio::time::sleep;

use crate::relays::wait_for_single_relay;
use crate::support::{Site, WorkerSpec};

const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
/// Time in which a call that was in progress when the gateway was stopped is answered, by the store or by a relay.
const STORE_ANSWER_TIME: Duration = Duration::from_millis(500);
const RELAY_ANSWER_TIME: Duration = Duration::from_millis(310);
/// Time for which the answer then lies unread. The call has not timed out yet.
const UNREAD_TIME: Duration = Duration::from_millis(330);
const READING_TIME: Duration = Duration::from_millis(30);
/// The gateway may be stopped between two calls, so that there is no unread answer.
const STOPS: usize = 6;

/// Stops a gateway until the call that it makes is answered. Then nobody knows of the store's state any more for a while, and
/// the gateway goes on. The age that it states must not be less than this while.
async fn assert_unread_answers_are_not_new(site: &Site, stopped: usize, answer_time: Duration) {
    let gateway = &site.gateways[stopped];
    let others = site.gateways.iter().enumerate();
    let others = others.filter(|(index, _)| *index != stopped);
    let signal_others = |name| {
        others
            .clone()
            .for_each(|(_, other)| other.process.signal(name))
    };
    let set_faults = |fault| {
        site.store_endpoints
            .iter()
            .for_each(|store| store.set_fault(fault))
    };
    for _ in 0..STOPS {
        gateway.process.signal("STOP");
        sleep(answer_time).await;
        signal_others("STOP");
        set_faults(StoreFault::Silent);
        let silent_since = Instant::now();
        sleep(UNREAD_TIME).await;
        gateway.process.signal("CONT");
        sleep(READING_TIME).await;
        let silent_ms = silent_since.elapsed().as_millis() as f64;
        let age_ms = gateway.metric("gateway_store_age_ms").await;
        let age_ms = age_ms.expect("the metric");
        assert!(age_ms >= silent_ms, "{age_ms} ms, not {silent_ms} ms");
        set_faults(StoreFault::None);
        signal_others("CONT");
        site.wait_until_in_force(site.configure_next()).await;
    }
}

/// Guards against a gateway that stood still and takes the store's answer, which lay unread, for a new one.
#[actix_rt::test]
async fn an_unread_answer_of_the_store_is_not_new() {
    let site = Site::start(&[APP], 1).await;
    wait_for_single_relay(&site, None).await;
    assert_unread_answers_are_not_new(&site, 0, STORE_ANSWER_TIME).await;
}

/// Guards against the same with the answer of another gateway.
#[actix_rt::test]
async fn an_unread_answer_of_a_relay_is_not_new() {
    let site = Site::start(&[APP], 2).await;
    site.wait_until_gateways_know_each_other().await;
    let relay = wait_for_single_relay(&site, None).await;
    assert_unread_answers_are_not_new(&site, 1 - relay, RELAY_ANSWER_TIME).await;
}
