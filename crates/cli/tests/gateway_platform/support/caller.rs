//! Asking a gateway, and what its caller gets.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tansyhall_platform_standin::{API_KEY, DEADLINE, PROMPT_PARTS, REQUEST_ID, SEAL, TENANT};
use tokio::net::TcpStream;

use super::{SiteGateway, HOST, REPEATABLE};

/// A prompt that is long enough to be read apart.
const LONG_PROMPT_TOKENS: u64 = 8_000;
const MODEL: &str = "/model/x";

/// What a caller got.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether it ended as a whole body does.
    pub whole: bool,
    /// The worker's signature.
    pub seal: Option<String>,
    /// When to come back, in seconds.
    pub retry_after: Option<f64>,
}

/// Asks a gateway.
pub async fn ask(gateway: &SiteGateway, id: &str, path: &str, body: &[u8]) -> CallerAnswer {
    ask_with(gateway, id, path, body, &[]).await
}

/// Asks a gateway with a key, and with a forged name of a tenant.
pub async fn ask_with_key(gateway: &SiteGateway, id: &str, key: &str) -> CallerAnswer {
    let headers = [(API_KEY, key.to_owned()), (TENANT, "forged".to_owned())];
    ask_with(gateway, id, REPEATABLE, b"x", &headers).await
}

/// Asks a gateway for the answer of a model to a long prompt with this body.
pub async fn ask_model_with_body(gateway: &SiteGateway, id: &str, body: &[u8]) -> CallerAnswer {
    let prompt = format!("c3:{LONG_PROMPT_TOKENS},d4:100");
    ask_with(gateway, id, MODEL, body, &[(PROMPT_PARTS, prompt)]).await
}

/// Asks a gateway for the answer of a model to a prompt of this length.
pub async fn ask_model(gateway: &SiteGateway, id: &str, tokens: u64) -> CallerAnswer {
    ask_with_prompt(gateway, id, format!("a1:{tokens},b2:100")).await
}

/// Asks a gateway for the answer of a model to a long prompt that no other request shares.
pub async fn ask_own_prompt(gateway: &SiteGateway, id: &str, number: usize) -> CallerAnswer {
    ask_with_prompt(gateway, id, format!("{number:x}:{LONG_PROMPT_TOKENS}")).await
}

async fn ask_with_prompt(gateway: &SiteGateway, id: &str, prompt: String) -> CallerAnswer {
    ask_with(gateway, id, MODEL, b"prompt", &[(PROMPT_PARTS, prompt)]).await
}

async fn ask_with(
    gateway: &SiteGateway,
    id: &str,
    path: &str,
    body: &[u8],
    headers: &[(&str, String)],
) -> CallerAnswer {
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
    let (head, mut incoming) = response.expect("an answer").into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let mut received = Vec::new();
    let mut whole = true;
    while let Some(frame) = incoming.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(bytes)) => received.extend_from_slice(&bytes),
            Ok(Err(_)) => {}
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    CallerAnswer {
        status: head.status.as_u16(),
        body: received,
        whole,
        seal: text(SEAL),
        retry_after: text("Retry-After").and_then(|value| value.parse().ok()),
    }
}
