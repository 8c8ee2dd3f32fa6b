//! Callers' connections: several requests on one, and heads that are too long or never complete.

use tansyhall_platform_standin::{Behaviour, DEADLINE, REQUEST_ID};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{Site, WorkerSpec, HOST, REPEATABLE};

const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
/// Longer together than what is read of a connection at once.
const REQUESTS: usize = 40;

fn head(id: usize) -> String {
    format!("POST {REPEATABLE} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: r-{id}\r\n{DEADLINE}: 15000\r\n")
}

async fn connect(site: &Site) -> TcpStream {
    let address = site.gateways[0].addresses.callers;
    TcpStream::connect(address).await.expect("a connection")
}

/// Sends bytes and returns all that is answered until the connection is closed.
async fn send_and_read_to_end(site: &Site, bytes: &[u8]) -> String {
    let mut stream = connect(site).await;
    let mut answers = Vec::new();
    stream.write_all(bytes).await.expect("the bytes are sent");
    // A connection that is closed with unread bytes may be reset.
    let _ = stream.read_to_end(&mut answers).await;
    String::from_utf8_lossy(&answers).into_owned()
}

/// Guards against a connection on which nothing more is read after a caller sent requests ahead.
#[actix_rt::test]
async fn requests_sent_ahead_of_their_answers_are_answered_in_order() {
    let site = Site::start(&[APP], 1).await;
    let mut requests = String::new();
    for id in 0..REQUESTS {
        let connection = match id + 1 < REQUESTS {
            true => "keep-alive",
            false => "close",
        };
        let body = match id % 3 {
            0 => "Content-Length: 9\r\n\r\n".to_owned() + &format!("number {id:02}"),
            1 => {
                "Transfer-Encoding: chunked\r\n\r\n".to_owned()
                    + &format!("7\r\nnumber \r\n2\r\n{id:02}\r\n0\r\n\r\n")
            }
            _ => "\r\n".to_owned(),
        };
        requests += &format!("{}Connection: {connection}\r\n{body}", head(id));
    }
    let answers = send_and_read_to_end(&site, requests.as_bytes()).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), REQUESTS);
    let mut rest = answers.as_str();
    for id in (0..REQUESTS).filter(|id| id % 3 < 2) {
        let body = format!("number {id:02}");
        let (_, after) = rest.split_once(&body).expect("the bodies are in order");
        rest = after;
    }
}

/// Guards against heads whose length is bounded by the server's buffers alone.
#[actix_rt::test]
async fn a_head_beyond_the_configured_length_is_refused_and_a_long_one_is_served() {
    let site = Site::start(&[APP], 1).await;
    let request = |padding: usize| {
        let padding = "p".repeat(padding);
        let head = head(padding.len());
        format!("{head}Connection: close\r\nX-Padding: {padding}\r\n\r\n").into_bytes()
    };
    let answer = send_and_read_to_end(&site, &request(15_000)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = send_and_read_to_end(&site, &request(60_000)).await;
    assert!(!answer.contains("200 OK"), "{answer}");
    assert_eq!(site.workers[0].worker.runs().len(), 1);
}

/// Guards against heads that never end on a connection that has served a request before.
#[actix_rt::test]
async fn a_connection_is_closed_when_its_second_head_does_not_end() {
    let site = Site::start(&[APP], 1).await;
    let mut stream = connect(&site).await;
    let request = format!("{}\r\n", head(1));
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
    stream.write_all(head(2).as_bytes()).await.expect("sent");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.expect("the end");
    assert!(answers.contains("HTTP/1.1 408"), "{answers}");
}
