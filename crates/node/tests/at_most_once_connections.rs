//! A request between nodes that arrives while all connections are in use waits for a free one.

use std::time::Duration;

use tansyhall_config::NodeSettings;
use tansyhall_node::peers::exchange;
use tansyhall_proto::{
    decode_journal_answer, JournalAnswer, JournalCall, JournalRequest, PeerRequest,
};
use tokio::net::TcpStream;

/// Longer than a node keeps one connection open.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

#[actix_rt::test]
async fn a_request_beyond_the_connection_limit_waits_and_is_answered() {
    let text = "name = 'node-0'\nzone = 'kalimati'\nplatform = '127.0.0.1:1'\n\
                callers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n\
                [peer_limits]\nmax_connections = 1\n";
    let settings = NodeSettings::parse("test", text).expect("settings");
    let running = tansyhall_node::run(settings).expect("a node");
    // This connection is accepted first, and sends nothing for as long as the node keeps it open.
    let idle = TcpStream::connect(running.peers).await;
    let idle = idle.expect("a connection");
    let request = PeerRequest::Journal(JournalCall {
        addressee: None,
        request: JournalRequest::Identify,
    });
    let answer =
        exchange::send_request(&running.node, running.peers, request, ANSWER_TIMEOUT).await;
    let answer =
        decode_journal_answer(&answer.expect("an answer")).expect("an answer of a replica");
    let JournalAnswer::Identity { member, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(&member, running.node.journal.member());
    drop(idle);
}
