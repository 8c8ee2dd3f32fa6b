//! Runs the built programs as separate processes on loopback and kills them when a test ends.

#![forbid(unsafe_code)]

mod completion;

mod fleet;
mod gateway;
mod link;
mod partition;

pub use fleet::{Fleet, NodeOptions};
pub use gateway::{start_gateway, start_gateway_program, GatewayAddresses, GatewayProcess};
pub use link::Link;
pub use partition::{ClientPartition, Partition, PartitionView, Partitions};

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;

pub use completion::{stream_completion, StreamOutcome, StreamRequest};

/// Bearer token of the operator account in the settings from [`node_settings`].
pub const OPERATOR_TOKEN: &str = "secret";
/// SHA-256 of [`OPERATOR_TOKEN`].
const TOKEN_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
/// Maximum time to wait for a condition. A wait that reaches it fails the test.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// A process that is killed when the test ends.
pub struct Process {
    /// The process.
    pub child: Child,
    /// The unread rest of its standard output, after the first line.
    unread_stdout: Option<BufReader<std::process::ChildStdout>>,
    /// The first line of its standard output.
    pub first_line: String,
}

impl Process {
    fn spawn(program: PathBuf, arguments: &[&str]) -> Self {
        let mut child = Command::new(&program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot run {}: {error}", program.display()));
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut first_line = String::new();
        let mut output = BufReader::new(stdout);
        output
            .read_line(&mut first_line)
            .expect("the process prints a line");
        Self {
            child,
            first_line,
            unread_stdout: Some(output),
        }
    }

    /// Reads standard output after the first line until the process closes it.
    pub fn output_to_end(&mut self) -> String {
        let mut text = String::new();
        if let Some(mut output) = self.unread_stdout.take() {
            output
                .read_to_string(&mut text)
                .expect("the process prints UTF-8");
        }
        text
    }

    /// Appends the first line of standard output to a file, and the rest in the background until the
    /// process closes it.
    pub fn copy_output_to(&mut self, file: &Path) -> std::io::Result<()> {
        let mut file = OpenOptions::new().create(true).append(true).open(file)?;
        file.write_all(self.first_line.as_bytes())?;
        if let Some(mut output) = self.unread_stdout.take() {
            std::thread::spawn(move || std::io::copy(&mut output, &mut file));
        }
        Ok(())
    }

    /// Closes the read end of its standard output.
    pub fn close_output(&mut self) {
        self.unread_stdout = None;
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill -s {name} {pid}"
        );
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a built program in the directory of the running program or, for a test, in its
/// parent directory. Cargo builds all programs for the tests of the package `tansyhall`.
fn program_path(name: &str) -> PathBuf {
    let running = std::env::current_exe().expect("the path of the running program");
    let directory = running.parent().expect("the program is in a directory");
    let beside = directory.join(name);
    if beside.exists() {
        return beside;
    }
    directory.with_file_name(name)
}

/// A stand-in process.
pub struct Standin {
    /// The process.
    pub process: Process,
    /// The address at which it listens.
    pub address: SocketAddr,
}

impl Standin {
    /// Sends the platform stand-in a command without a body, such as `backup` or `restore`.
    pub async fn command(&self, command: &str) {
        let url = format!("http://{}/standin/{command}", self.address);
        let answer = awc::Client::default().post(url).send().await;
        assert!(answer.expect("an answer").status().is_success());
    }

    /// Sets the fault switches of the stand-in.
    pub async fn set_faults(&self, switches: Value) {
        let url = format!("http://{}/standin/faults", self.address);
        let answer = awc::Client::default().post(url).send_json(&switches).await;
        assert!(answer.expect("an answer").status().is_success());
    }
}

/// Starts a stand-in on a free port.
pub fn start_standin(arguments: &[&str]) -> Standin {
    start_standin_at(arguments, SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Starts a stand-in at an address, such as the address of a stand-in that has been killed.
pub fn start_standin_at(arguments: &[&str], address: SocketAddr) -> Standin {
    let listen = address.to_string();
    let mut all = arguments.to_vec();
    all.extend(["--listen", &listen]);
    let mut process = Process::spawn(program_path("tansyhall-standin"), &all);
    process.close_output();
    let address = process
        .first_line
        .trim()
        .strip_prefix("listening ")
        .expect("the first line starts with `listening `");
    let address = address.parse().expect("an address");
    Standin { process, address }
}

/// A node process.
pub struct NodeProcess {
    /// The process.
    pub process: Process,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The administration address.
    pub admin: SocketAddr,
}

/// Returns the settings of a node in TOML.
pub fn node_settings(name: &str, zone: &str, platform: SocketAddr) -> String {
    format!(
        "name = '{name}'\nzone = '{zone}'\nplatform = '{platform}'\nthreads = 2\n\
         callers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n\
         [[operators]]\nname = 'test'\nrole = 'operator'\ntoken_sha256 = '{TOKEN_SHA256}'\n"
    )
}

/// First port of the range from which [`free_peer_address`] allocates. The range lies below the ephemeral
/// ports, so that no outgoing connection takes a node's port while the node restarts.
const FIRST_PEER_PORT: u32 = 16_000;
/// Number of ports in the range from which [`free_peer_address`] allocates.
const PEER_PORT_COUNT: u32 = 16_000;
/// Distance between the first ports of two test processes with consecutive process ids. It is larger than the
/// number of ports that the fault soak allocates in a minute, because another process may bind a port after
/// it was found free and before it is used.
const PROCESS_PORT_STRIDE: u32 = 1_009;
/// Number of ports that this process has tried.
static ALLOCATED_PEER_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free for both UDP and TCP.
pub fn free_peer_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PROCESS_PORT_STRIDE);
    loop {
        let next = ALLOCATED_PEER_PORTS.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PEER_PORT + first.wrapping_add(next) % PEER_PORT_COUNT;
        let port = u16::try_from(port).expect("ports are below 32,000");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the settings of a node of `fleet` in TOML, with its peer address `peers` and the peer addresses
/// `seeds` of other nodes.
pub fn peer_node_settings(
    fleet: &str,
    name: &str,
    zone: &str,
    platform: SocketAddr,
    peers: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let settings = node_settings(name, zone, platform);
    let settings = settings.replace("peers = '127.0.0.1:0'", &format!("peers = '{peers}'"));
    format!(
        "fleet = '{fleet}'\nseeds = {seeds:?}\n{settings}\n[peer_limits]\nprobe_period = '200ms'\n"
    )
}

/// Reads all metrics of a process as text. Returns `None` if it does not answer.
async fn metrics_text(metrics: SocketAddr) -> Option<String> {
    let request = awc::Client::default().get(format!("http://{metrics}/metrics"));
    let mut response = request.send().await.ok()?;
    let text = response.body().limit(64 << 20).await.ok()?;
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// Reads one metric of a process. `name` includes the labels as in the text format.
pub async fn get_metric(admin: SocketAddr, name: &str) -> Option<f64> {
    let text = metrics_text(admin).await?;
    let value = |line| str::strip_prefix(line, name)?.strip_prefix(' ');
    text.lines().find_map(value)?.trim().parse().ok()
}

/// Returns the sum of a metric over all its labels, or `None` if the process has no such metric yet.
pub async fn get_metric_sum(metrics: SocketAddr, name: &str) -> Option<f64> {
    let text = metrics_text(metrics).await?;
    let value = |line: &str| {
        let labelled = line.strip_prefix(name)?.strip_prefix('{')?;
        let (_, value) = labelled.rsplit_once(' ')?;
        value.parse::<f64>().ok()
    };
    text.lines().filter_map(value).reduce(|sum, one| sum + one)
}

/// Starts a node with the given settings.
pub fn start_node(directory: &std::path::Path, name: &str, settings: &str) -> NodeProcess {
    let file = directory.join(format!("{name}.toml"));
    std::fs::write(&file, settings).expect("the settings are written");
    let file = file.to_str().expect("a UTF-8 path");
    let mut process = Process::spawn(program_path("tansyhall"), &["node", "--settings", file]);
    process.close_output();
    let words: Vec<&str> = process.first_line.split_whitespace().collect();
    let callers = words[1].parse().expect("an address");
    let admin = words[3].parse().expect("an address");
    NodeProcess {
        process,
        callers,
        admin,
    }
}

/// Runs `tansyhall` until it exits and returns its standard output. Panics if it fails.
pub fn run_tansyhall(arguments: &[&str]) -> String {
    let output = Command::new(program_path("tansyhall"))
        .args(arguments)
        .env("TANSYHALL_TOKEN", OPERATOR_TOKEN)
        .output()
        .expect("tansyhall runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "tansyhall {arguments:?}: {errors}");
    String::from_utf8(output.stdout).expect("UTF-8 output")
}

/// Sends an HTTP GET request and parses the answer as JSON. Returns `None` if either fails.
pub async fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let request = awc::Client::default().get(format!("http://{address}{path}"));
    let mut response = request.bearer_auth(OPERATOR_TOKEN).send().await.ok()?;
    response.json().limit(64 << 20).await.ok()
}

/// Polls `condition` until it returns a value. Panics after [`CONDITION_TIMEOUT`]; `what` describes the
/// condition in the message.
pub async fn eventually<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: std::future::Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting until {what}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}
