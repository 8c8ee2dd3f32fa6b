//! Workers that send an answer again, late, in the place of the next one on its connection.
//!
//! Seen: on real sockets a few callers got an answer that was not their own. How it came about: a
//! gateway keeps its connections to workers, and the late second answer to one request was read as
//! the answer to the next. Cause: an answer was taken for a request's because of its place on the
//! connection. Where ids were compared, two sends under one id were not told apart; where a prompt
//! was read apart, ids were not compared at all, and the request went on from another's KV cache.
//! Proof: each test fails on a gateway without the comparison that it is about.

use crate::support::{ask, ask_own_prompt, Site, REPEATABLE};
use tansyhall_platform_standin::{handle_of, Behaviour};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
const REQUESTS: usize = 12;

#[actix_rt::test]
async fn no_request_goes_on_from_the_cache_of_another() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let reader = site
        .add_stuttering_worker("llm", Some("prefill"), ECHO)
        .await;
    for number in 0..REQUESTS {
        ask_own_prompt(&site.gateways[0], &format!("m-{number}"), number).await;
    }
    assert!(reader.worker.prompts_read() > 1, "no prompt was read apart");
    let noticed = "gateway_foreign_answers_total{work=\"read_prompt\"}";
    assert!(site.gateways[0].metric(noticed).await > Some(0.0));
    for run in site.workers[0].worker.runs() {
        let Some(source) = &run.cache_source else {
            continue;
        };
        let own = handle_of(&run.request_id);
        assert!(source.ends_with(&own), "{} from {source}", run.request_id);
    }
}

#[actix_rt::test]
async fn two_requests_under_one_id_get_an_answer_each() {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], 1).await;
    let worker = site.add_stuttering_worker("app", None, ECHO).await;
    for number in 0..REQUESTS {
        let body = format!("body {number}");
        let answer = ask(&site.gateways[0], "same", REPEATABLE, body.as_bytes()).await;
        assert!(answer.status != 200 || answer.body == body.as_bytes());
    }
    assert!(worker.worker.runs().len() > 1, "the worker was hardly used");
}
