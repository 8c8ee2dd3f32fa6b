//! Runs the built programs as separate processes on loopback and kills them when a test ends.

#![forbid(unsafe_code)]

mod completion;

mod fleet;
mod gateway;
mod link;
mod partition;
mod ports;

pub use fleet::{Fleet, NodeOptions};
pub use gateway::{
    start_gateway, start_gateway_at_free_addresses, start_gateway_program, GatewayAddresses,
    GatewayProcess,
};
pub use link::Link;
pub use partition::{ClientPartition, Partition, PartitionView, Partitions};
pub use ports::free_peer_address;

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

pub use completion::{stream_completion, StreamOutcome, StreamRequest};

/// Bearer token of the operator account in the settings from [`node_settings`].
pub const OPERATOR_TOKEN: &str = "secret";
/// SHA-256 of [`OPERATOR_TOKEN`].
const TOKEN_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
/// Maximum time to wait for a condition. A wait that reaches it fails the test.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Text that a program prints if another process listens at one of its addresses.
const ADDRESS_IN_USE: &str = "Address already in use";
/// Time after which a program is started again at an address that was taken.
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(20);

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
        Self::spawn_command(Command::new(program).args(arguments))
    }

    /// Starts a program, and starts it again while it ends because one of its addresses is taken. Another process may
    /// bind a port after the port was found free. `prepare` is called before each start.
    fn spawn_until_listening(
        program: PathBuf,
        arguments: &[&str],
        mut prepare: impl FnMut(),
    ) -> Self {
        let started = Instant::now();
        loop {
            prepare();
            let mut command = Command::new(&program);
            command.args(arguments).stderr(Stdio::piped());
            let mut process = Self::spawn_command(&mut command);
            let errors = process.child.stderr.take().expect("stderr is piped");
            if !process.first_line.is_empty() {
                std::thread::spawn(move || copy_to_stderr(errors));
                return process;
            }
            let errors = read_and_print(errors);
            let is_retried =
                errors.contains(ADDRESS_IN_USE) && started.elapsed() < CONDITION_TIMEOUT;
            assert!(
                is_retried,
                "{} printed no line: {errors}",
                program.display()
            );
            std::thread::sleep(ADDRESS_RETRY_INTERVAL);
        }
    }

    fn spawn_command(command: &mut Command) -> Self {
        command.stdout(Stdio::piped());
        let spawned = ports::without_open_probes(|| command.spawn());
        let program = command.get_program().to_string_lossy();
        let mut child = spawned.unwrap_or_else(|error| panic!("cannot run {program}: {error}"));
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

    /// Returns the largest amount of memory that it has occupied, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the status of the process");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes.expect("a number of kilobytes") << 10
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&self) -> bool {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let state = status.lines().find_map(|line| line.strip_prefix("State:"));
        state.is_some_and(|state| !state.trim().starts_with(['Z', 'X']))
    }

    /// Returns the number of its open descriptors.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        let entries = std::fs::read_dir(path).expect("the descriptors of the process");
        entries.count()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let mut command = Command::new("kill");
        command.args(["-s", name, &pid]);
        let child = ports::without_open_probes(|| command.spawn());
        let status = child.and_then(|mut child| child.wait());
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

/// Copies the standard error of a process to that of this process until the process closes it.
fn copy_to_stderr(mut errors: ChildStderr) {
    let _ = std::io::copy(&mut errors, &mut std::io::stderr());
}

/// Reads the standard error of a process that ends, and prints it.
fn read_and_print(mut errors: ChildStderr) -> String {
    let mut text = Vec::new();
    let _ = errors.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    eprint!("{text}");
    text
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
    let arguments = ["node", "--settings", file];
    let mut process = Process::spawn_until_listening(program_path("tansyhall"), &arguments, || {});
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
    let mut command = Command::new(program_path("tansyhall"));
    command.args(arguments);
    command.env("TANSYHALL_TOKEN", OPERATOR_TOKEN);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = ports::without_open_probes(|| command.spawn());
    let output = child.and_then(std::process::Child::wait_with_output);
    let output = output.expect("tansyhall runs");
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
