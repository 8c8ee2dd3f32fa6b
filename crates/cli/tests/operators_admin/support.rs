//! A platform, two nodes with accounts of every role, and a client of their administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use awc::http::{header, Method, StatusCode};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use tansyhall_testing::{
    node_settings, start_node, start_standin, NodeProcess, Standin, OPERATOR_TOKEN,
};

/// Token of an account that may only read.
pub const VIEWER: &str = "viewer-token";
/// Token of an operator of the tenant `notaries`.
pub const NOTARIES: &str = "notaries-token";
/// Largest body that the nodes accept from operators.
pub const MAX_ADMIN_BODY_BYTES: usize = 64 << 10;

/// The fleet.
pub struct Fleet {
    pub nodes: [NodeProcess; 2],
    pub platform: Standin,
    pub directory: tempfile::TempDir,
}

fn account(name: &str, role: &str, token: &str, tenant: &str) -> String {
    let hash = hex::encode(Sha256::digest(token.as_bytes()));
    let account = format!("[[operators]]\nname = '{name}'\nrole = '{role}'\n");
    format!("{account}token_sha256 = '{hash}'\n{tenant}")
}

impl Fleet {
    /// Starts the platform and two nodes.
    pub fn start() -> Self {
        let platform = start_standin(&["platform"]);
        let directory = tempfile::tempdir().expect("a directory");
        let start = |name| {
            let settings = node_settings(name, "kalimati", platform.address);
            let viewer = account("watcher", "viewer", VIEWER, "");
            let notaries = account("notary", "operator", NOTARIES, "tenant = 'notaries'\n");
            let limits = format!("[limits]\nmax_admin_body_bytes = {MAX_ADMIN_BODY_BYTES}\n");
            let settings = format!("{settings}{viewer}{notaries}{limits}");
            start_node(directory.path(), name, &settings)
        };
        let nodes = [start("node-0"), start("node-1")];
        Self {
            platform,
            nodes,
            directory,
        }
    }

    /// The administration address of a node.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.nodes[index].admin
    }

    /// Runs `tansyhall ctl` against a node.
    pub fn ctl(&self, index: usize, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_tansyhall"))
            .arg("ctl")
            .args(arguments)
            .env("TANSYHALL_NODE", self.admin(index).to_string())
            .env("TANSYHALL_TOKEN", OPERATOR_TOKEN)
            .output()
            .expect("tansyhall runs")
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path: &Path = &self.directory.path().join(name);
        std::fs::write(path, text).expect("the file is written");
        path.to_str().expect("a UTF-8 path").to_owned()
    }
}

/// An answer of the administration API.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub tag: Option<String>,
    pub body: Value,
}

/// A call of the administration API.
pub struct Call<'a> {
    pub admin: SocketAddr,
    pub method: Method,
    pub path: &'a str,
    pub token: Option<&'a str>,
    pub condition: Option<(header::HeaderName, &'a str)>,
    pub body: Vec<u8>,
}

impl<'a> Call<'a> {
    /// A call by the operator without a body.
    pub fn new(admin: SocketAddr, method: Method, path: &'a str) -> Self {
        Self {
            admin,
            method,
            path,
            token: Some(OPERATOR_TOKEN),
            condition: None,
            body: Vec::new(),
        }
    }

    /// A read by the operator.
    pub fn get(admin: SocketAddr, path: &'a str) -> Self {
        Self::new(admin, Method::GET, path)
    }

    /// A PUT by the operator.
    pub fn put(admin: SocketAddr, path: &'a str, body: &Value) -> Self {
        Self {
            body: body.to_string().into_bytes(),
            ..Self::new(admin, Method::PUT, path)
        }
    }

    /// The same with `If-Match`.
    pub fn if_match(self, tag: &'a str) -> Self {
        Self {
            condition: Some((header::IF_MATCH, tag)),
            ..self
        }
    }

    /// The same with another token.
    pub fn with_token(self, token: Option<&'a str>) -> Self {
        Self { token, ..self }
    }

    /// Makes the call.
    pub async fn send(self) -> Answer {
        let url = format!("http://{}{}", self.admin, self.path);
        let timeout = std::time::Duration::from_secs(60);
        let client = awc::Client::builder().timeout(timeout).finish();
        let mut request = client.request(self.method, url);
        if let Some(token) = self.token {
            request = request.bearer_auth(token);
        }
        if let Some(condition) = self.condition {
            request = request.insert_header(condition);
        }
        let mut response = request.send_body(self.body).await.expect("an answer");
        let tag = response.headers().get(header::ETAG);
        let tag = tag.map(|tag| tag.to_str().expect("a text").to_owned());
        let body = response.body().await.expect("a whole answer");
        Answer {
            status: response.status(),
            tag,
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        }
    }
}

/// A policy that is valid by itself.
pub fn policy(name: &str, deadline: u32) -> Value {
    json!({ "name": name, "source": format!("class c {{ deadline {deadline}s; }}") })
}
