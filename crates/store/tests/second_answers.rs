//! Guards against a late, second or missing answer of the key-value service that is read as the answer to another
//! call, or as proof that a call was not applied.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use tansyhall_store::{Compare, EtcdStore, KeyValueStore, Operation, StoreError, Transaction};
use tansyhall_twice_answering::{Answer, DuplicateAnswerServer, DuplicateTiming, DELIVERY_TIME};

const TIMEOUT: Duration = Duration::from_secs(5);

fn ok(body: &str) -> Answer {
    (200, body.into())
}

fn transaction(key: &str) -> Transaction {
    Transaction {
        compare: vec![Compare::Absent(key.to_owned())],
        operations: vec![Operation::Delete {
            key: key.to_owned(),
        }],
    }
}

#[actix_rt::test]
async fn a_second_answer_to_an_applied_transaction_is_not_read_as_the_answer_to_the_next() {
    for second in DuplicateTiming::ALL {
        let answers = vec![
            ok(r#"{"header":{"revision":"5"},"succeeded":true}"#),
            ok(r#"{"header":{"revision":"5"}}"#),
        ];
        let server = DuplicateAnswerServer::start(second, answers);
        let store = EtcdStore::new(server.address, TIMEOUT);
        let first = store.transact(&transaction("a")).await.expect("applied");
        assert!(first.succeeded, "{second:?}");
        actix_rt::time::sleep(DELIVERY_TIME).await;
        let refused = store.transact(&transaction("b")).await.expect("refused");
        assert!(!refused.succeeded, "{second:?}");
        assert_eq!(server.requests().len(), 2, "{second:?}");
    }
}

/// Starts a server that reads a call and closes the connection without an answer.
fn silent_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            thread::sleep(DELIVERY_TIME);
        }
    });
    address
}

#[actix_rt::test]
async fn a_call_whose_connection_closes_without_an_answer_may_be_applied() {
    let store = EtcdStore::new(silent_server(), TIMEOUT);
    let result = store.transact(&transaction("a")).await;
    assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
}

#[actix_rt::test]
async fn a_call_to_a_closed_port_is_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let store = EtcdStore::new(address, TIMEOUT);
    let result = store.transact(&transaction("a")).await;
    assert!(
        matches!(result, Err(StoreError::NotApplied(_))),
        "{result:?}"
    );
}
