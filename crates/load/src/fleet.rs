//! A small fleet in one process, whose parts communicate over loopback TCP.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use sha2::{Digest, Sha256};
use tansyhall_config::settings::{OperatorAccount, OperatorRole};
use tansyhall_config::NodeSettings;
use tansyhall_core::{ModelName, Role};
use tansyhall_node::RunningNode;
use tansyhall_standin::engine::EngineOptions;
use tansyhall_standin::{app, engine, platform};

use crate::{Summary, Workload};

/// The model that the engines of the fleet load.
pub const MODEL: &str = "base";
/// Bearer token of the operator account of the fleet.
pub const OPERATOR_TOKEN: &str = "dev-token";
/// Number of nodes in the fleet.
pub const NODE_COUNT: usize = 2;
/// Number of engines in the fleet, all with the mixed role.
pub const ENGINE_COUNT: usize = 4;
/// Time for which an engine is unavailable during a role change.
pub const ROLE_CHANGE_DURATION: Duration = Duration::from_secs(3);
/// Timeout for the configuration to be in force on every node.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A platform stand-in, engines, an application worker and nodes in this process.
pub struct Fleet {
    nodes: Vec<RunningNode>,
    engines: Vec<SocketAddr>,
}

fn free_listener() -> Result<(TcpListener, SocketAddr)> {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).context("cannot bind a free port")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl Fleet {
    /// Starts the fleet on the current actix system and waits until the configuration is in force.
    pub async fn start() -> Result<Self> {
        let (listener, platform) = free_listener()?;
        actix_rt::spawn(platform::serve(listener)?);
        let mut engines = Vec::new();
        let weights = engine::Weights::default();
        for index in 0..ENGINE_COUNT {
            let (listener, address) = free_listener()?;
            let options = EngineOptions {
                name: format!("engine-{index}").as_str().into(),
                role: Role::Mixed,
                model: ModelName::from(MODEL),
                role_change: ROLE_CHANGE_DURATION,
                costs: Default::default(),
                weights: weights.clone(),
            };
            actix_rt::spawn(engine::serve(listener, options)?);
            engines.push(address);
        }
        let (listener, worker) = free_listener()?;
        actix_rt::spawn(app::serve(
            listener,
            app::AppOptions {
                name: "app-0".into(),
            },
        )?);
        let nodes: Result<Vec<_>> = (0..NODE_COUNT)
            .map(|index| tansyhall_node::run(settings(index, platform)?))
            .collect();
        let fleet = Self {
            nodes: nodes?,
            engines,
        };
        fleet.configure(worker).await?;
        Ok(fleet)
    }

    async fn configure(&self, worker: SocketAddr) -> Result<()> {
        let resources = resources(&self.engines, worker);
        let url = format!("http://{}/admin/v1/apply", self.nodes[0].admin);
        let result = awc::Client::default()
            .post(url)
            .bearer_auth(OPERATOR_TOKEN)
            .send_body(resources)
            .await;
        let mut response =
            result.map_err(|error| anyhow::anyhow!("configuration request failed: {error}"))?;
        if !response.status().is_success() {
            let body = response.body().await?;
            bail!(
                "the configuration was refused: {}",
                String::from_utf8_lossy(&body)
            );
        }
        let ready = async {
            let in_force =
                |running: &RunningNode| running.node.in_force.load().configuration.revision > 0;
            while !self.nodes.iter().all(in_force) {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = actix_rt::time::timeout(READY_TIMEOUT, ready).await;
        waited.map_err(|_| {
            anyhow::anyhow!("timed out waiting for every node to apply the configuration")
        })
    }

    async fn role_changes(&self) -> Result<u64> {
        let mut changes = 0;
        for engine in &self.engines {
            let url = format!("http://{engine}/standin/records");
            let result = awc::Client::default().get(url).send().await;
            let mut response = result.map_err(|error| {
                anyhow::anyhow!("reading the records of an engine failed: {error}")
            })?;
            let records: engine::Records = response.json().limit(64 << 20).await?;
            changes += records.role_changes();
        }
        Ok(changes)
    }

    /// Returns the address for callers of each node.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Returns the administration address of the first node.
    pub fn admin_address(&self) -> SocketAddr {
        self.nodes[0].admin
    }

    /// Runs a load and adds the number of role changes that the engines have accepted since their start.
    pub async fn run_load(
        &self,
        load: &Workload,
        progress: impl FnMut(&Summary),
    ) -> Result<Summary> {
        let mut summary =
            crate::run_workload(load, &self.caller_addresses(), MODEL, progress).await;
        summary.role_changes = self.role_changes().await?;
        Ok(summary)
    }

    /// Shuts the nodes down gracefully.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

fn settings(index: usize, platform: SocketAddr) -> Result<NodeSettings> {
    let process = std::process::id();
    let text = format!(
        "fleet = 'dev-{process}'\nname = 'node-{index}'\nzone = 'local'\nplatform = '{platform}'\nthreads = 2\n\
         callers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n"
    );
    let mut settings = NodeSettings::parse("dev", &text)?;
    settings.operators.push(OperatorAccount {
        name: "dev".into(),
        role: OperatorRole::Operator,
        tenant: None,
        token_sha256: hex::encode(Sha256::digest(OPERATOR_TOKEN.as_bytes())),
    });
    Ok(settings)
}

fn resources(engines: &[SocketAddr], worker: SocketAddr) -> String {
    let backends: String = engines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            format!("[[pool.backends]]\nname = 'engine-{index}'\naddress = '{address}'\n")
        })
        .collect();
    format!(
        "[[policy]]\nname = 'assistant'\nsource = '''\n\
         class review when prompt_tokens > 500 {{ deadline 4s; }}\n\
         class counter {{ deadline 3s; priority interactive; }}\n'''\n\
         [[site]]\nname = 'local'\nregion = 'local'\nzones = ['local']\n\
         [[service]]\nname = 'assistant'\nsite = 'local'\nkind = 'language-model'\n\
         policy = 'assistant'\n\
         [[service]]\nname = 'stock'\nsite = 'local'\nkind = 'application'\n\
         path_prefix = '/stock'\n\
         [[pool]]\nname = 'stock-local'\nservice = 'stock'\nzone = 'local'\n\
         [[pool.backends]]\nname = 'app-0'\naddress = '{worker}'\n\
         [[pool]]\nname = 'assistant-local'\nservice = 'assistant'\nzone = 'local'\n\
         model = '{MODEL}'\n{backends}"
    )
}
