//! Gateways as processes, each with addresses of its own on loopback.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use tansyhall_platform_standin::{render, Store, StoreEndpoint};
use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::client;
use crate::record::Record;

/// The bounds of a deployment that its machines' settings contain.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub grace_s: u64,
    pub lease_ms: u64,
    pub drain_ms: u64,
    pub retry_extra: u32,
    /// Where the platform's operations are called, if there are any, with the windows of usage reports.
    pub duties: Option<Duties>,
}

/// The platform's operations and the windows of usage reports.
#[derive(Debug, Clone, Copy)]
pub struct Duties {
    pub address: SocketAddr,
    pub report_window_s: u64,
    pub usage_late_s: u64,
}

/// One machine of the system and its gateway.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub store: StoreEndpoint,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// When its process was last started, thawed or stopped.
    pub last_disturbed: Instant,
}

/// The head line of a call to the store, and when it came.
pub type StoreCall = (Instant, String);

/// All machines of the system. Dropping it ends their processes, and a watchdog ends them if this process is killed.
pub struct Fleet {
    /// The calls of each gateway to the store.
    pub store_calls: Vec<Arc<Mutex<Vec<StoreCall>>>>,
    watchdog: Child,
    pub gateways: Vec<Gateway>,
    directory: PathBuf,
    root: PathBuf,
    record: Record,
}

/// Returns the first three octets of a loopback network whose ports are free.
fn free_network(machines: usize) -> Result<[u8; 3], String> {
    let start = std::process::id() as u8;
    for offset in 0..200u8 {
        let second = 20 + start.wrapping_add(offset) % 200;
        let is_free = |machine: usize| {
            let ip = Ipv4Addr::new(127, second, 7, machine as u8 + 1);
            PORTS
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if (0..machines).all(is_free) {
            return Ok([127, second, 7]);
        }
    }
    Err("no free loopback network".into())
}

const FRONT: u16 = 8144;
const READY: u16 = 8140;
const CONTROL: u16 = 8146;
const FIRST_OWN: u16 = 7660;
const LAST_OWN: u16 = 7675;
const PORTS: [u16; 5] = [FRONT, READY, CONTROL, LAST_OWN, 9464];

impl Fleet {
    /// Starts one gateway in each of these zones.
    pub fn start(
        record: &Record,
        store: &Store,
        zones: &[&str],
        bounds: Bounds,
    ) -> Result<Self, String> {
        let root = repository_root()?;
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let [a, b, c] = free_network(zones.len())?;
        let template = fs::read_to_string(root.join("deploy/node.toml"))
            .map_err(|error| format!("deploy/node.toml: {error}"))?;
        let ip = |machine: usize| IpAddr::V4(Ipv4Addr::new(a, b, c, machine as u8 + 1));
        let seeds: Vec<String> = (0..zones.len().min(3))
            .map(|machine| SocketAddr::new(ip(machine), CONTROL).to_string())
            .collect();
        let mut fleet = Self {
            store_calls: Vec::new(),
            watchdog: start_watchdog(&directory)?,
            gateways: Vec::new(),
            directory: directory.clone(),
            root,
            record: record.clone(),
        };
        for (machine, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{}", machine + 1);
            let address = |port| SocketAddr::new(ip(machine), port);
            let endpoint = store.open_endpoint().map_err(|error| error.to_string())?;
            let calls = Arc::default();
            let store_address = log_store_calls(endpoint.address, Arc::clone(&calls))?;
            fleet.store_calls.push(calls);
            let mut fields = json!({
                "node": name,
                "role": "gateway",
                "machine_class": "front",
                "serves": ["front", "control"],
                "ip": ip(machine).to_string(),
                "zone": zone,
                "listen": {
                    "front": address(FRONT).to_string(),
                    "ready": address(READY).to_string(),
                    "control": address(CONTROL).to_string(),
                },
                "port_range": [FIRST_OWN, LAST_OWN],
                "seeds": seeds,
                "limits": { "cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100 },
                "fault_tolerance": { "machines": 1, "zones": 0, "regions": 0 },
                "bounds": {
                    "retry_budget_ratio": 0.2,
                    "budget_extra": bounds.retry_extra,
                    "budget_window_s": 10,
                    "grace_s": bounds.grace_s,
                    "lease_ms": bounds.lease_ms,
                    "drain_ms": bounds.drain_ms,
                },
                "provider": { "address": store_address.to_string(), "form": "kv" },
            });
            if let Some(duties) = bounds.duties {
                fields["cloud"] = json!({ "address": duties.address.to_string() });
                fields["bounds"]["report_window_s"] = json!(duties.report_window_s);
                fields["bounds"]["usage_late_s"] = json!(duties.usage_late_s);
            }
            let text = render(&template, &fields).map_err(|error| format!("{error:?}"))?;
            let settings = directory.join(format!("{name}.toml"));
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            fleet.gateways.push(Gateway {
                log: directory.join(format!("{name}.out")),
                front: address(FRONT),
                ready: address(READY),
                store: endpoint,
                settings,
                process: None,
                last_disturbed: Instant::now(),
                name,
            });
        }
        for index in 0..fleet.gateways.len() {
            fleet.start_process(index)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a gateway with the command of the deploy file.
    pub fn start_process(&mut self, index: usize) -> Result<(), String> {
        let program = self.root.join("target/release/tansyhall");
        if let Some(mut ended) = self.gateways[index].process.take() {
            let _ = ended.kill();
            let _ = ended.wait();
        }
        let gateway = &mut self.gateways[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&gateway.log);
        let log = log.map_err(|error| error.to_string())?;
        let started = Command::new(&program)
            .arg("gateway")
            .arg("--settings")
            .arg(&gateway.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn();
        gateway.process = Some(started.map_err(|error| format!("{}: {error}", program.display()))?);
        gateway.last_disturbed = Instant::now();
        self.record
            .line(format!("start process of {}", gateway.name));
        self.list_processes()?;
        Ok(())
    }

    /// Lists the running processes for the watchdog.
    fn list_processes(&self) -> Result<(), String> {
        let running = self
            .gateways
            .iter()
            .filter_map(|gateway| gateway.process.as_ref());
        let lines: String = running
            .map(|process| format!("{}\n", process.id()))
            .collect();
        fs::write(self.directory.join("pids"), lines).map_err(|error| error.to_string())
    }

    /// Sends a signal to the process of a gateway.
    pub fn signal(&mut self, index: usize, signal: &str) {
        let gateway = &mut self.gateways[index];
        if let Some(process) = &gateway.process {
            self.record.line(format!("SIG{signal} to {}", gateway.name));
            let _ = Command::new("kill")
                .args([format!("-{signal}"), process.id().to_string()])
                .status();
            gateway.last_disturbed = Instant::now();
        }
    }

    /// Returns whether the process of a gateway has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = &mut self.gateways[index].process;
        process
            .as_mut()
            .is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Waits until all gateways say that they are ready.
    pub async fn wait_until_ready(&mut self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        for index in 0..self.gateways.len() {
            while !client::is_ready(self.gateways[index].ready).await {
                if Instant::now() > end || self.has_ended(index) {
                    return Err(format!("{} is not ready", self.gateways[index].name));
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Returns the index of the gateway with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.gateways
            .iter()
            .position(|gateway| gateway.name == name)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            if let Some(mut process) = gateway.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
            if std::env::var_os("KEEP_LOGS").is_none() {
                let _ = fs::remove_file(&gateway.log);
            }
        }
        let _ = self.list_processes();
        // The end of its input ends the watchdog, which removes the directory.
        drop(self.watchdog.stdin.take());
        let _ = self.watchdog.wait();
    }
}

/// Starts a shell that waits for the end of this process, ends the listed processes and removes the directory.
fn start_watchdog(directory: &Path) -> Result<Child, String> {
    let keeps_logs = std::env::var_os("KEEP_LOGS").is_some();
    let remove = if keeps_logs { ":" } else { "rm -rf \"$1\"" };
    let script = format!(
        "trap '' TERM INT HUP; cat >/dev/null; \
         for pid in $(cat \"$1/pids\"); do kill -KILL \"$pid\" 2>/dev/null; done; {remove}"
    );
    let started = Command::new("sh")
        .args(["-c", &script, "watchdog"])
        .arg(directory)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    started.map_err(|error| format!("watchdog: {error}"))
}

/// Opens a proxy in front of the store that passes everything on unchanged and notes the head line of each call. Each
/// call has a connection of its own.
fn log_store_calls(
    store: SocketAddr,
    calls: Arc<Mutex<Vec<StoreCall>>>,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener
        .set_nonblocking(true)
        .map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let listener =
        tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    actix_rt::spawn(async move {
        while let Ok((gateway, _)) = listener.accept().await {
            actix_rt::spawn(pass_on(gateway, store, Arc::clone(&calls)));
        }
    });
    Ok(address)
}

async fn pass_on(mut gateway: TcpStream, store: SocketAddr, calls: Arc<Mutex<Vec<StoreCall>>>) {
    let mut first = vec![0; 4096];
    let Ok(count) = gateway.read(&mut first).await else {
        return;
    };
    let line = String::from_utf8_lossy(&first[..count]);
    let line = line.lines().next().unwrap_or_default().to_owned();
    calls.lock().expect("a lock").push((Instant::now(), line));
    let Ok(mut connection) = TcpStream::connect(store).await else {
        return;
    };
    if connection.write_all(&first[..count]).await.is_ok() {
        let _ = copy_bidirectional(&mut gateway, &mut connection).await;
    }
}

fn repository_root() -> Result<PathBuf, String> {
    let current = std::env::current_dir().map_err(|error| error.to_string())?;
    let root = current
        .ancestors()
        .find(|path| path.join("deploy/node.toml").exists());
    root.map(PathBuf::from)
        .ok_or_else(|| "run it inside the repository".into())
}
