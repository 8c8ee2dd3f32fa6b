//! A late or duplicate answer of an engine is never accepted as the answer to another call.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::sleep;
use tansyhall_core::{Incarnation, ModelName};
use tansyhall_engine::protocol::{
    EngineRequest, FenceToken, KvExport, KvHandle, KvImport, KvImported, LoadReport, Order,
    OrderAction, OrderReply, Priority, Prompt, Refusal,
};
use tansyhall_engine::{EngineClient, EngineError};
use tansyhall_twice_answering::{Answer, DuplicateAnswerServer, DuplicateTiming, DELIVERY_TIME};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

fn answer(status: u16, body: &impl serde::Serialize) -> Answer {
    (status, serde_json::to_vec(body).expect("answer encodes"))
}

fn client() -> EngineClient {
    EngineClient::new(CONNECT_TIMEOUT)
}

fn order(order_id: &str) -> Order {
    Order {
        order_id: order_id.to_owned(),
        fence_token: FenceToken(3),
        incarnation: Incarnation(1),
        action: OrderAction::Drain,
    }
}

#[actix_rt::test]
async fn a_refused_order_does_not_receive_the_duplicate_answer_of_an_accepted_order() {
    let stale = OrderReply::StaleToken {
        highest: FenceToken(4),
    };
    for second in DuplicateTiming::ALL {
        let answers = vec![answer(200, &OrderReply::Accepted), answer(409, &stale)];
        let engine = DuplicateAnswerServer::start(second, answers);
        let client = client();
        let first = client.order(engine.address, &order("o-1")).await;
        assert_eq!(first.expect("a reply"), OrderReply::Accepted, "{second:?}");
        sleep(DELIVERY_TIME).await;
        let next = client.order(engine.address, &order("o-2")).await;
        assert_eq!(next.expect("a reply"), stale, "{second:?}");
    }
}

fn handle(name: &str) -> KvHandle {
    KvHandle {
        handle: name.to_owned(),
        incarnation: Incarnation(1),
        tokens: 16,
    }
}

#[actix_rt::test]
async fn the_cache_handle_of_one_request_is_not_accepted_for_another_request() {
    for second in DuplicateTiming::ALL {
        let answers = vec![answer(200, &handle("h-1")), answer(200, &handle("h-2"))];
        let engine = DuplicateAnswerServer::start(second, answers);
        let client = client();
        for (request, expected) in [("r-1", "h-1"), ("r-2", "h-2")] {
            let export = KvExport {
                request_id: request.to_owned(),
            };
            let exported = client.export_kv(engine.address, &export).await;
            assert_eq!(exported.expect("a handle").handle, expected, "{second:?}");
            sleep(DELIVERY_TIME).await;
        }
    }
}

#[actix_rt::test]
async fn an_import_is_not_acknowledged_by_the_answer_to_the_previous_import() {
    let source: SocketAddr = "127.0.0.1:1".parse().expect("valid address");
    let import = |name: &str| KvImport {
        source,
        handle: handle(name),
    };
    for second in DuplicateTiming::ALL {
        let answers = vec![
            answer(200, &KvImported { tokens: 16 }),
            answer(503, &refusal("no room")),
        ];
        let engine = DuplicateAnswerServer::start(second, answers);
        let client = client();
        let first = client.import_kv(engine.address, &import("h-1")).await;
        assert_eq!(first.expect("imported").tokens, 16, "{second:?}");
        sleep(DELIVERY_TIME).await;
        let next = client.import_kv(engine.address, &import("h-2")).await;
        assert!(
            matches!(next, Err(EngineError::Unavailable(_))),
            "{second:?}"
        );
    }
}

fn refusal(reason: &str) -> Refusal {
    Refusal {
        refused: true,
        reason: reason.to_owned(),
    }
}

fn request(id: &str) -> EngineRequest {
    EngineRequest {
        request_id: id.to_owned(),
        model: ModelName::new("m"),
        adapter: None,
        prompt: Prompt::Text {
            prompt: "hello".to_owned(),
        },
        max_tokens: 4,
        stream: true,
        priority: Priority::Standard,
        resume_after: 0,
    }
}

#[actix_rt::test]
async fn an_accepted_completion_does_not_receive_the_duplicate_refusal_of_another() {
    for second in DuplicateTiming::ALL {
        let answers = vec![
            answer(503, &refusal("draining")),
            (200, b"data: x\n\n".to_vec()),
        ];
        let engine = DuplicateAnswerServer::start(second, answers);
        let client = client();
        let first = client.complete(engine.address, &request("r-1")).await;
        assert!(
            matches!(first, Err(EngineError::Unavailable(_))),
            "{second:?}"
        );
        sleep(DELIVERY_TIME).await;
        let next = client.complete(engine.address, &request("r-2")).await;
        assert!(next.is_ok(), "{second:?}");
    }
}

#[actix_rt::test]
async fn an_older_report_is_not_accepted_as_a_new_one() {
    let report = |running| LoadReport {
        running,
        ..LoadReport::default()
    };
    for second in DuplicateTiming::ALL {
        let answers = vec![answer(200, &report(1)), answer(200, &report(2))];
        let engine = DuplicateAnswerServer::start(second, answers);
        let client = client();
        for running in [1, 2] {
            let read = client.load(engine.address).await.expect("a report");
            assert_eq!(read.running, running, "{second:?}");
            sleep(DELIVERY_TIME).await;
        }
    }
}
