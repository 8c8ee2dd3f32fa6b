//! Sends callers' requests to a gateway and collects the answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tansyhall_platform_standin::{
    API_KEY, DEADLINE, LAST_EVENT, PROMPT_PARTS, REQUEST_ID, RESUMES, SEAL, TENANT,
};
use tokio::net::TcpStream;

use super::{SiteGateway, HOST, REPEATABLE};

/// Length of a prompt that is long enough to be read apart.
const LONG_PROMPT_TOKENS: u64 = 8_000;
const MODEL_PATH: &str = "/model/x";

/// The answer that a caller received.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub is_complete: bool,
    /// The worker's signature.
    pub seal: Option<String>,
    /// The value of `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
}

/// Sends a request to a gateway and returns the answer.
pub async fn send_request(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    body: &[u8],
) -> CallerAnswer {
    send_with_headers(gateway, id, path, body, &[]).await
}

/// Sends a request to a gateway like [`send_request`]. Returns `None` if the connection ends without an answer.
pub async fn try_request(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    body: &[u8],
) -> Option<CallerAnswer> {
    try_with_headers(gateway, id, path, body, &[]).await
}

/// Takes a stream up whose first event the attempt `first_attempt` brought, after the event with the id `last_event`.
pub async fn take_up(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    first_attempt: &str,
    last_event: &str,
) -> CallerAnswer {
    let headers = [
        (RESUMES, first_attempt.to_owned()),
        (LAST_EVENT, last_event.to_owned()),
    ];
    send_with_headers(gateway, id, path, b"x", &headers).await
}

/// Sends a request with an API key and a forged tenant name.
pub async fn send_with_key(gateway: &SiteGateway, id: &str, key: &str) -> CallerAnswer {
    let headers = [(API_KEY, key.to_owned()), (TENANT, "forged".to_owned())];
    send_with_headers(gateway, id, REPEATABLE, b"x", &headers).await
}

/// Sends a model request with a long prompt and this body.
pub async fn send_prompt_with_body(gateway: &SiteGateway, id: &str, body: &[u8]) -> CallerAnswer {
    let prompt = format!("c3:{LONG_PROMPT_TOKENS},d4:100");
    send_with_headers(gateway, id, MODEL_PATH, body, &[(PROMPT_PARTS, prompt)]).await
}

/// Sends a request whose prompt has parts with these ids, of ten tokens each.
pub async fn send_with_parts(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    body: &[u8],
    parts: &[&str],
) -> CallerAnswer {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part}:10")).collect();
    send_with_headers(gateway, id, path, body, &[(PROMPT_PARTS, parts.join(","))]).await
}

/// Sends a model request with a prompt of this many tokens.
pub async fn send_prompt(gateway: &SiteGateway, id: &str, tokens: u64) -> CallerAnswer {
    send_with_prompt(gateway, id, format!("a1:{tokens},b2:100")).await
}

/// Sends a model request with a long prompt that no request with another number shares.
pub async fn send_unique_prompt(gateway: &SiteGateway, id: &str, number: usize) -> CallerAnswer {
    send_with_prompt(gateway, id, format!("{number:x}:{LONG_PROMPT_TOKENS}")).await
}

/// Sends a model request with a long prompt, on a route with this path.
pub async fn send_long_prompt(gateway: &SiteGateway, id: &str, path: &str) -> CallerAnswer {
    let prompt = format!("e5:{LONG_PROMPT_TOKENS}");
    send_with_headers(gateway, id, path, b"prompt", &[(PROMPT_PARTS, prompt)]).await
}

async fn send_with_prompt(gateway: &SiteGateway, id: &str, prompt: String) -> CallerAnswer {
    let headers = [(PROMPT_PARTS, prompt)];
    send_with_headers(gateway, id, MODEL_PATH, b"prompt", &headers).await
}

async fn send_with_headers(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    body: &[u8],
    headers: &[(&str, String)],
) -> CallerAnswer {
    let answer = try_with_headers(gateway, id, path, body, headers).await;
    answer.expect("an answer")
}

async fn try_with_headers(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    body: &[u8],
    headers: &[(&str, String)],
) -> Option<CallerAnswer> {
    let stream = TcpStream::connect(gateway.addresses.callers).await;
    let stream = TokioIo::new(stream.expect("a connection"));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
        .await
        .expect("a connection");
    actix_rt::spawn(connection);
    let mut request = hyper::Request::post(path)
        .header("Host", HOST)
        .header(REQUEST_ID, id)
        .header(DEADLINE, "15000");
    for (name, value) in headers {
        request = request.header(*name, value.as_str());
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body)));
    let response = sender.send_request(request.expect("a request")).await;
    let (head, mut incoming) = response.ok()?.into_parts();
    let header = |name: &str| {
        let value = head.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let mut received = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = incoming.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(bytes)) => received.extend_from_slice(&bytes),
            Ok(Err(_)) => {}
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Some(CallerAnswer {
        status: head.status.as_u16(),
        body: received,
        is_complete,
        seal: header(SEAL),
        retry_after: header("Retry-After").and_then(|value| value.parse().ok()),
    })
}
