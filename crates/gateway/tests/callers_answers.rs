//! Bytes on a caller's connection: a truncated answer never looks complete, and the unread remainder of a refused request
//! is not parsed as another request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use bytes::Bytes;
use tansyhall_gateway::answer::{self, Answer, AnswerHead};
use tansyhall_gateway::headers::HeaderList;
use tansyhall_gateway::ingress::answer_caller;

/// Maximum time to wait for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Streams two parts to each caller. The answer is complete only at the path `/whole`; otherwise it is truncated.
async fn stream(request: HttpRequest) -> HttpResponse {
    let (mut sink, source) = answer::channel();
    let is_complete = request.path() == "/whole";
    actix_rt::spawn(async move {
        sink.begin(Answer::Streamed(AnswerHead {
            status: 200,
            headers: HeaderList::default(),
        }));
        sink.send_part(Bytes::from_static(b"one ")).await;
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        sink.send_part(Bytes::from_static(b"two")).await;
        if is_complete {
            sink.end().await;
        }
    });
    answer_caller(request.version(), source).await
}

/// Refuses a request without reading its body.
async fn refuse(_request: HttpRequest, _payload: web::Payload) -> HttpResponse {
    HttpResponse::build(StatusCode::UNAUTHORIZED).body("no")
}

fn serve() -> SocketAddr {
    let server = HttpServer::new(|| {
        App::new()
            .route("/refused", web::to(refuse))
            .default_service(web::to(stream))
    });
    let server = server.workers(1).disable_signals();
    let server = server.bind("127.0.0.1:0").expect("a free port");
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Sends these parts with pauses between them, and reads until the connection is closed.
async fn answers_to(address: SocketAddr, parts: &'static [&'static str]) -> String {
    let exchange = move || {
        let mut connection = TcpStream::connect(address).expect("a connection");
        let timeout = Some(READ_TIMEOUT);
        connection.set_read_timeout(timeout).expect("a time-out");
        for part in parts {
            let _ = connection.write_all(part.as_bytes());
            std::thread::sleep(Duration::from_millis(60));
        }
        let mut answer = Vec::new();
        let _ = connection.read_to_end(&mut answer);
        String::from_utf8(answer).expect("text")
    };
    actix_rt::task::spawn_blocking(exchange)
        .await
        .expect("an exchange")
}

#[actix_rt::test]
async fn an_http_1_0_caller_gets_an_error_instead_of_a_truncated_answer() {
    let address = serve();
    let whole = answers_to(address, &["GET /whole HTTP/1.0\r\n\r\n"]).await;
    assert!(whole.starts_with("HTTP/1.0 200"), "{whole}");
    assert!(whole.ends_with("\r\n\r\none two"), "{whole}");
    let broken = answers_to(address, &["GET /broken HTTP/1.0\r\n\r\n"]).await;
    assert!(broken.starts_with("HTTP/1.0 502"), "{broken}");
}

#[actix_rt::test]
async fn a_truncated_answer_has_no_last_chunk() {
    let address = serve();
    let request = &["GET /whole HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"];
    let whole = answers_to(address, request).await;
    assert!(whole.ends_with("\r\n0\r\n\r\n"), "{whole}");
    let request = &["GET /broken HTTP/1.1\r\nhost: a\r\n\r\n"];
    let broken = answers_to(address, request).await;
    assert!(broken.starts_with("HTTP/1.1 200"), "{broken}");
    assert!(
        broken.contains("one") && !broken.contains("\r\n0\r\n"),
        "{broken}"
    );
}

#[actix_rt::test]
async fn the_unread_body_of_a_refused_request_is_not_parsed_as_another_request() {
    let address = serve();
    let hidden = "GET /whole HTTP/1.1\r\nhost: a\r\n\r\n";
    assert_eq!(hidden.len(), 32);
    let sized: &'static [&'static str] = &[
        "POST /refused HTTP/1.1\r\nhost: a\r\ncontent-length: 64\r\n\r\n",
        "GET /whole HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET /whole HTTP/1.1\r\nhost: a\r\n\r\n",
    ];
    let chunked: &'static [&'static str] = &[
        "POST /refused HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
        "20\r\nGET /whole HTTP/1.1\r\nhost: a\r\n\r\n\r\n",
        "0\r\n\r\n",
        "GET /refused HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    ];
    let answers = answers_to(address, sized).await;
    assert_eq!(answers.matches("HTTP/1.1 401").count(), 1, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 0, "{answers}");
    let answers = answers_to(address, chunked).await;
    assert!(answers.starts_with("HTTP/1.1 401"), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 0, "{answers}");
}
