//! The processes of a measurement: stand-ins of the platform, an application worker and engines, and
//! one node.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use procfs::process::Process as ProcessInfo;
use procfs::WithCurrentSystemInfo;
use tansyhall_testing::{
    eventually, get_json, node_settings, run_tansyhall, start_node, start_standin, NodeProcess,
    Standin,
};

/// Number of engines that serve the concurrent streams.
const ENGINE_COUNT: usize = 6;
/// Model that the engines serve.
pub const MODEL: &str = "base";

/// The running processes; they are stopped on drop.
pub struct Fleet {
    node: NodeProcess,
    _platform: Standin,
    worker: Standin,
    _engines: Vec<Standin>,
    _directory: tempfile::TempDir,
}

impl Fleet {
    /// Starts all processes and waits until the node has applied the configuration.
    pub async fn start(threads: usize) -> Result<Self> {
        let directory = tempfile::tempdir()?;
        let platform = start_standin(&["platform"]);
        let worker = start_standin(&["app", "--name", "app-0"]);
        let engines: Vec<Standin> = (0..ENGINE_COUNT)
            .map(|index| start_standin(&["engine", "--name", &format!("engine-{index}")]))
            .collect();
        let settings = node_settings("node-0", "local", platform.address)
            .replace("threads = 2", &format!("threads = {threads}"));
        let node = start_node(directory.path(), "node-0", &settings);
        let file = directory.path().join("resources.toml");
        std::fs::write(&file, resources(&engines, worker.address))?;
        let file = file
            .to_str()
            .context("path of the resources file is not UTF-8")?;
        run_tansyhall(&["ctl", "--node", &node.admin.to_string(), "apply", file]);
        eventually("the node has applied the configuration", || async {
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

    /// Returns the address of the application worker.
    pub fn worker_address(&self) -> SocketAddr {
        self.worker.address
    }

    /// Returns the address at which the node accepts callers.
    pub fn node_address(&self) -> SocketAddr {
        self.node.callers
    }

    fn node_info(&self) -> Result<ProcessInfo> {
        let id = i32::try_from(self.node.process.child.id())?;
        Ok(ProcessInfo::new(id)?)
    }

    /// Returns the CPU time that the node has used, in seconds.
    pub fn node_cpu_seconds(&self) -> Result<f64> {
        let stat = self.node_info()?.stat()?;
        Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
    }

    /// Returns the resident memory of the node, in mebibytes.
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
