//! Runs the part of a node that serves callers in the test process, with the engines and workers that
//! the test starts and without a platform.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use awc::ClientResponse;
use futures_util::StreamExt;
use serde_json::{json, Value};
use tansyhall_config::file::ResourceFile;
use tansyhall_config::{Configuration, NodeSettings};
use tansyhall_core::{ModelName, Role};
use tansyhall_engine::protocol::{FenceToken, Order, OrderAction, OrderReply};
use tansyhall_engine::sse::SseDecoder;
use tansyhall_engine::EngineClient;
use tansyhall_node::configuration::ConfigurationInForce;
use tansyhall_node::Node;
use tansyhall_standin::engine::{self, answer_text, EngineOptions};

pub const MODEL: &str = "base";
pub const PROMPT: &str = "which families receive rice and lentils";

pub fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns an address at which no process listens.
pub fn unused_address() -> SocketAddr {
    bind_listener().1
}

/// Starts a stand-in engine in the mixed role.
pub fn start_engine(name: &str) -> SocketAddr {
    start_engine_as(name, Role::Mixed)
}

/// Starts a stand-in engine in the given role.
pub fn start_engine_as(name: &str, role: Role) -> SocketAddr {
    let (listener, address) = bind_listener();
    let options = EngineOptions {
        name: name.into(),
        role,
        model: ModelName::from(MODEL),
        role_change: Duration::from_millis(100),
        costs: Default::default(),
        weights: Default::default(),
    };
    actix_rt::spawn(engine::serve(listener, options).expect("an engine"));
    address
}

fn backends(name: &str, addresses: &[SocketAddr]) -> String {
    let entries: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{{ name = '{name}-{index}', address = '{address}' }}"))
        .collect();
    entries.join(", ")
}

fn configuration(engines: &[SocketAddr], workers: &[SocketAddr]) -> Configuration {
    let text = format!(
        "[[policy]]\nname = 'assistant'\nsource = 'class counter {{ deadline 20s; }}'\n\
         [[site]]\nname = 'valley'\nregion = 'valley'\nzones = ['kalimati']\n\
         [[service]]\nname = 'assistant'\nsite = 'valley'\nkind = 'language-model'\n\
         policy = 'assistant'\n\
         [[service]]\nname = 'stock'\nsite = 'valley'\nkind = 'application'\n\
         path_prefix = '/stock'\n\
         [[pool]]\nname = 'stock-kalimati'\nservice = 'stock'\nzone = 'kalimati'\n\
         backends = [{}]\n\
         [[pool]]\nname = 'assistant-kalimati'\nservice = 'assistant'\nzone = 'kalimati'\n\
         model = '{MODEL}'\nbackends = [{}]\n",
        backends("app", workers),
        backends("engine", engines),
    );
    let mut configuration = Configuration {
        revision: 1,
        ..Configuration::default()
    };
    for resource in ResourceFile::parse(&text)
        .expect("resources")
        .into_resources()
    {
        configuration.put(resource);
    }
    configuration
}

/// Starts the part of a node that serves callers; `limits` is the content of the settings' table of
/// that name.
pub fn start_node(
    engines: &[SocketAddr],
    workers: &[SocketAddr],
    limits: &str,
) -> (Arc<Node>, SocketAddr) {
    let text = format!(
        "name = 'node-0'\nzone = 'kalimati'\nplatform = '127.0.0.1:1'\nthreads = 2\n\
         callers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n\
         [journal]\nreplicas = 1\n[limits]\n{limits}"
    );
    let settings = NodeSettings::parse("test", &text).expect("settings");
    let node = Node::new(settings).expect("a node");
    let in_force =
        ConfigurationInForce::new(configuration(engines, workers)).expect("a configuration");
    node.in_force.store(Arc::new(in_force));
    let (listener, address) = bind_listener();
    let server = tansyhall_node::server::serve_callers(listener, Arc::clone(&node));
    actix_rt::spawn(server.expect("a server"));
    (node, address)
}

/// Returns an HTTP client without timeouts and redirects.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .disable_timeout()
        .disable_redirects()
        .finish()
}

pub fn completion_body(max_tokens: u32, stream: bool) -> Value {
    json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": max_tokens, "stream": stream })
}

pub fn expected_text(tokens: u32) -> String {
    answer_text(MODEL, PROMPT, tokens)
}

/// Sends a request for a completion.
pub async fn request_completion(
    node: SocketAddr,
    headers: &[(&str, &str)],
    body: &Value,
) -> ClientResponse {
    let mut request = client().post(format!("http://{node}/v1/completions"));
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    request.send_json(body).await.expect("an answer")
}

pub fn header<'a>(response: &'a ClientResponse, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

pub async fn read_json(response: &mut ClientResponse) -> Value {
    response.json().await.expect("a JSON body")
}

/// Returns the requests and orders that a stand-in engine has recorded.
pub async fn get_records(engine: SocketAddr) -> Value {
    let sent = client().get(format!("http://{engine}/standin/records"));
    read_json(&mut sent.send().await.expect("an answer")).await
}

/// Orders an engine to drain, with the test as the holder of the authority.
pub async fn order_drain(engine: SocketAddr) {
    let engines = EngineClient::new(Duration::from_secs(1));
    let state = engines.state(engine).await.expect("a state");
    let order = Order {
        order_id: "drain".to_owned(),
        fence_token: FenceToken(1),
        incarnation: state.incarnation,
        action: OrderAction::Drain,
    };
    let reply = engines.order(engine, &order).await.expect("a reply");
    assert_eq!(reply, OrderReply::Accepted);
}

/// Sets the faults that a stand-in engine injects.
pub async fn set_faults(engine: SocketAddr, faults: Value) {
    let url = format!("http://{engine}/standin/faults");
    let response = client().post(url).send_json(&faults).await;
    assert_eq!(response.expect("an answer").status(), 204);
}

/// Reads a streamed answer and holds what has been read so far.
pub struct StreamReader {
    response: ClientResponse,
    decoder: SseDecoder,
    /// The generated text.
    pub text: String,
    /// The comment lines.
    pub comments: Vec<String>,
    /// The verdict, once the stream has stated it.
    pub verdict: Option<String>,
    /// Whether the connection was lost before the end of the stream.
    pub connection_lost: bool,
}

impl StreamReader {
    pub fn new(response: ClientResponse) -> Self {
        Self {
            response,
            decoder: SseDecoder::default(),
            text: String::new(),
            comments: Vec::new(),
            verdict: None,
            connection_lost: false,
        }
    }

    /// Reads one chunk of the stream; returns false at its end.
    pub async fn read(&mut self) -> bool {
        let bytes = match self.response.next().await {
            None => return false,
            Some(Err(_)) => {
                self.connection_lost = true;
                return false;
            }
            Some(Ok(bytes)) => bytes,
        };
        let lines = String::from_utf8_lossy(&bytes).into_owned();
        let comments = lines.lines().filter(|line| line.starts_with(':'));
        self.comments.extend(comments.map(str::to_owned));
        for data in self.decoder.push(&bytes).expect("an event stream") {
            let Ok(event) = serde_json::from_str::<Value>(&data) else {
                assert_eq!(data, "[DONE]");
                continue;
            };
            let text = event["choices"][0]["text"].as_str();
            self.text.push_str(text.unwrap_or(""));
            let verdict = &event["tansyhall_verdict"];
            let failed = &event["error"]["verdict"];
            let verdict = verdict.as_str().or(failed.as_str());
            if let Some(verdict) = verdict {
                self.verdict = Some(verdict.to_owned());
            }
        }
        true
    }

    /// Reads until some text has been received.
    pub async fn read_text(&mut self) {
        while self.text.is_empty() {
            assert!(self.read().await, "the stream ended before any text");
        }
    }

    /// Reads to the end of the stream.
    pub async fn read_all(mut self) -> Self {
        while self.read().await {}
        self
    }
}
