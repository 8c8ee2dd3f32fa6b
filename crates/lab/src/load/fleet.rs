//! The processes that are measured: a stand-in platform, application worker and engines, and one
//! node.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use procfs::process::Process as ProcessInfo;
use procfs::WithCurrentSystemInfo;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin, NodeProcess,
    Standin,
};

/// Engines that hold the concurrent streams.
const ENGINES: usize = 6;
/// The engines' model.
pub const MODEL: &str = "base";

/// Running processes, stopped when dropped.
pub struct Fleet {
    node: NodeProcess,
    _platform: Standin,
    worker: Standin,
    _engines: Vec<Standin>,
    _directory: tempfile::TempDir,
}

impl Fleet {
    /// Starts everything and waits until the configuration is in force.
    pub async fn start(threads: usize) -> Result<Self> {
        let directory = tempfile::tempdir()?;
        let platform = start_standin(&["platform"]);
        let worker = start_standin(&["app", "--name", "app-0"]);
        let engines: Vec<Standin> = (0..ENGINES)
            .map(|index| start_standin(&["engine", "--name", &format!("engine-{index}")]))
            .collect();
        let settings = node_settings("node-0", "local", platform.address)
            .replace("threads = 2", &format!("threads = {threads}"));
        let node = start_node(directory.path(), "node-0", &settings);
        let file = directory.path().join("resources.toml");
        std::fs::write(&file, resources(&engines, worker.address))?;
        let file = file.to_str().context("a UTF-8 path")?;
        run_tansyhall(&["ctl", "--node", &node.admin.to_string(), "apply", file]);
        eventually("the configuration is in force", || async {
            let status = get_json(node.admin, "/admin/v1/status").await?;
            (status["configuration_revision"].as_u64()? > 0).then_some(())
        })
        .await;
        let fleet = Self {
            _platform: platform,
            worker,
            _engines: engines,
            node,
            _directory: directory,
        };
        Ok(fleet)
    }

    /// Where the application worker listens.
    pub fn worker_address(&self) -> SocketAddr {
        self.worker.address
    }

    /// Where the node's callers connect.
    pub fn node_address(&self) -> SocketAddr {
        self.node.callers
    }

    fn node_info(&self) -> Result<ProcessInfo> {
        let id = i32::try_from(self.node.process.child.id())?;
        Ok(ProcessInfo::new(id)?)
    }

    /// Processor time that the node has used, in seconds.
    pub fn node_cpu_seconds(&self) -> Result<f64> {
        let stat = self.node_info()?.stat()?;
        Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
    }

    /// Memory that the node holds, in mebibytes.
    pub fn node_memory_mib(&self) -> Result<f64> {
        let bytes = self.node_info()?.stat()?.rss_bytes().get();
        Ok(bytes as f64 / f64::from(1 << 20))
    }
}

fn resources(engines: &[Standin], worker: SocketAddr) -> String {
    let backends: String = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            let address = engine.address;
            format!("[[pool.backends]]\nname = 'engine-{index}'\naddress = '{address}'\n")
        })
        .collect();
    format!(
        "[[site]]\nname = 'local'\nregion = 'local'\nzones = ['local']\n\
         [[service]]\nname = 'stock'\nsite = 'local'\nkind = 'application'\n\
         path_prefix = '/stock'\n\
         [[service]]\nname = 'assistant'\nsite = 'local'\nkind = 'language-model'\n\
         [[pool]]\nname = 'stock-local'\nservice = 'stock'\nzone = 'local'\n\
         backends = [{{ name = 'app-0', address = '{worker}' }}]\n\
         [[pool]]\nname = 'assistant-local'\nservice = 'assistant'\nzone = 'local'\n\
         model = '{MODEL}'\n{backends}"
    )
}
