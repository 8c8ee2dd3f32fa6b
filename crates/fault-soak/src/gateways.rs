//! The gateway processes of an episode. No other processes receive signals.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result};
use tansyhall_platform_standin::{GatewayFields, Store, StoreEndpoint, StoreFault};
use tansyhall_testing::{start_gateway, start_gateway_program, GatewayAddresses, GatewayProcess};
use tokio::time::sleep;

use crate::judges::{BASE_RETRIES, BUDGET_WINDOW_S, RETRY_RATIO};
use crate::link::Link;
use crate::site::{LOCAL_ZONE, TAKEOVER_PAUSE_MS};

/// The memory of each gateway's machine, in MB.
const MEMORY_MB: u64 = 260;
/// The settings template used in deployments.
const TEMPLATE: &str = include_str!("../../../deploy/node.toml");
/// Maximum duration of a graceful stop, in seconds.
const GRACE_PERIOD_S: u64 = 4;
/// Maximum number of attempts to start a gateway when other processes take its ports.
const MAX_STARTS: usize = 5;
/// Interval at which a stopping process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a gateway process is started with.
pub struct GatewayConfig {
    /// The number of the gateway.
    pub number: usize,
    /// The directory of the settings and logs.
    pub directory: PathBuf,
    /// The address of the platform's operations.
    pub operations: SocketAddr,
    /// Mechanisms that are disabled in the settings.
    pub disabled_mechanisms: Vec<String>,
    /// The executable of another build. Each start of a gateway alternates between the two builds, so that both run
    /// side by side and replace each other in both directions.
    pub other_build: Option<PathBuf>,
}

impl GatewayConfig {
    fn name(&self) -> String {
        format!("gateway-{}", self.number)
    }
}

/// Returns the address from which the gateway with this number connects to workers.
fn source_address(number: usize) -> IpAddr {
    let last = u8::try_from(number + 2).expect("fewer than 254 gateways");
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

/// A gateway that keeps its links while its process is restarted.
pub struct GatewaySlot {
    /// Between callers and the gateway.
    pub callers: Link,
    /// Between the gateway and the store.
    pub store: Link,
    /// Between the gateway and its peers that request its snapshot of the store.
    pub snapshots: Link,
    config: GatewayConfig,
    process: RefCell<Option<GatewayProcess>>,
    is_busy: Cell<bool>,
    starts: Cell<usize>,
    store_endpoint: StoreEndpoint,
}

impl GatewaySlot {
    /// Opens the links and starts the gateway process.
    pub async fn start(config: GatewayConfig, store: &Store) -> Result<Self> {
        let store_endpoint = store.open_endpoint()?;
        let slot = Self {
            callers: Link::open(store_endpoint.address).await?,
            store: Link::open(store_endpoint.address).await?,
            snapshots: Link::open(store_endpoint.address).await?,
            config,
            process: RefCell::new(None),
            is_busy: Cell::new(false),
            starts: Cell::new(0),
            store_endpoint,
        };
        slot.start_process().await?;
        Ok(slot)
    }

    /// Sets the fault of the store endpoint that this gateway uses.
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.store_endpoint.set_fault(fault);
    }

    /// Returns the name of the gateway.
    pub fn name(&self) -> String {
        self.config.name()
    }

    /// Returns the address from which the gateway connects to workers.
    pub fn source_address(&self) -> IpAddr {
        source_address(self.config.number)
    }

    /// Returns the addresses on which the process listens, or `None` without a process.
    pub fn addresses(&self) -> Option<GatewayAddresses> {
        self.process.borrow().as_ref().map(|p| p.addresses)
    }

    /// Freezes the process for this duration. Returns false if another action on the process is in progress.
    pub async fn freeze(&self, duration: Duration) -> bool {
        let Some(_guard) = BusyGuard::take(&self.is_busy) else {
            return false;
        };
        self.signal("STOP");
        sleep(duration).await;
        self.signal("CONT");
        true
    }

    /// Kills the process and starts another one. Reports how the process had exited by itself before, if it had.
    pub async fn kill(&self) -> Result<ActionResult> {
        let Some(_guard) = BusyGuard::take(&self.is_busy) else {
            return Ok(ActionResult::Busy);
        };
        let exit_status = self.exit_status();
        let process = self.process.borrow_mut().take();
        actix_rt::task::spawn_blocking(move || drop(process)).await?;
        self.start_process().await?;
        Ok(ActionResult::Done(exit_status))
    }

    /// Stops the process gracefully and starts another one. Reports how the process had exited by itself before, if
    /// it had.
    pub async fn stop_and_start(&self) -> Result<ActionResult> {
        let Some(_guard) = BusyGuard::take(&self.is_busy) else {
            return Ok(ActionResult::Busy);
        };
        let exit_status = self.exit_status();
        if exit_status.is_none() {
            self.signal("TERM");
            self.wait_for_exit().await;
        }
        self.process.borrow_mut().take();
        self.start_process().await?;
        Ok(ActionResult::Done(exit_status))
    }

    /// Stops the process gracefully and starts no other one. Returns how the process had exited by itself before, if
    /// it had.
    pub async fn stop(&self) -> Option<String> {
        let exit_status = self.exit_status();
        if exit_status.is_none() {
            self.signal("TERM");
            self.wait_for_exit().await;
        }
        self.process.borrow_mut().take();
        exit_status
    }

    /// Returns the name of the gateway and the exit status if the process has exited.
    fn exit_status(&self) -> Option<String> {
        let mut process = self.process.borrow_mut();
        let status = process.as_mut()?.process.child.try_wait().ok()??;
        Some(format!("{}: {status}", self.config.name()))
    }

    async fn wait_for_exit(&self) {
        let polls = (GRACE_PERIOD_S + 1) * 1_000 / EXIT_POLL_INTERVAL.as_millis() as u64;
        for _ in 0..polls {
            if self.exit_status().is_some() {
                return;
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    fn signal(&self, name: &str) {
        if let Some(process) = &*self.process.borrow() {
            process.process.signal(name);
        }
    }

    async fn start_process(&self) -> Result<()> {
        for _ in 0..MAX_STARTS {
            let process = self.try_start().await?;
            let addresses = process.addresses;
            if process.process.first_line.is_empty() && addresses.is_any_taken() {
                continue;
            }
            self.callers.set_target(addresses.callers);
            self.snapshots.set_target(addresses.peers);
            *self.process.borrow_mut() = Some(process);
            return Ok(());
        }
        anyhow::bail!(
            "{} did not start: other processes took its ports",
            self.config.name()
        )
    }

    async fn try_start(&self) -> Result<GatewayProcess> {
        let addresses = GatewayAddresses::free();
        let settings = self.settings(&addresses)?;
        let (directory, name) = (self.config.directory.clone(), self.config.name());
        let other_build = self.other_build();
        let started = actix_rt::task::spawn_blocking(move || {
            let mut process = match other_build {
                Some(program) => {
                    start_gateway_program(program, &directory, &name, &settings, addresses)
                }
                None => start_gateway(&directory, &name, &settings, addresses),
            };
            let log = directory.join(format!("{name}.log"));
            process.process.copy_output_to(&log)?;
            anyhow::Ok(process)
        });
        started
            .await
            .context("the task that starts a gateway failed")?
    }

    /// Returns the executable of the other build if this start uses it.
    fn other_build(&self) -> Option<PathBuf> {
        let start = self.starts.replace(self.starts.get() + 1);
        let uses_other_build = (self.config.number + start) % 2 == 1;
        self.config.other_build.clone().filter(|_| uses_other_build)
    }

    fn settings(&self, addresses: &GatewayAddresses) -> Result<String> {
        let fields = GatewayFields {
            node: self.config.name(),
            zone: LOCAL_ZONE,
            callers: addresses.callers,
            ready: addresses.ready,
            peers: addresses.peers,
            load: addresses.load,
            metrics: addresses.metrics,
            store: self.store.listen_address,
            operations: self.config.operations,
            memory_mb: MEMORY_MB,
            retry_ratio: RETRY_RATIO,
            retry_extra: BASE_RETRIES,
            retry_window_s: BUDGET_WINDOW_S,
            grace_s: GRACE_PERIOD_S,
            takeover_pause_ms: TAKEOVER_PAUSE_MS,
        };
        let settings = fields.render(TEMPLATE);
        let settings = settings.map_err(|error| anyhow::anyhow!("{error:?}"))?;
        let workers = format!("[workers]\nsource_address = \"{}\"", self.source_address());
        let settings = settings.replace("[workers]", &workers);
        Ok(settings + &self.decisions_section())
    }
}

impl GatewaySlot {
    /// Returns the section of the settings that disables mechanisms.
    fn decisions_section(&self) -> String {
        let off = self.config.disabled_mechanisms.iter();
        let lines = off.map(|name| format!("{name} = false\n"));
        format!("\n[decisions]\n{}", lines.collect::<String>())
    }
}

/// The result of an action on a process.
pub enum ActionResult {
    /// Nothing was done because another action was in progress.
    Busy,
    /// The action is complete. Holds how the process had exited by itself before, if it had.
    Done(Option<String>),
}

/// Prevents other actions on the process until it is dropped.
struct BusyGuard<'a>(&'a Cell<bool>);

impl<'a> BusyGuard<'a> {
    fn take(is_busy: &'a Cell<bool>) -> Option<Self> {
        // `then_some` would create, drop and so release the guard of an action in progress.
        (!is_busy.replace(true)).then(|| Self(is_busy))
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
