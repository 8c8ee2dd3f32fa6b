//! The gateway processes of an episode. Only these are signalled.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result};
use tansyhall_platform_standin::{GatewayFields, Store, StoreEndpoint, StoreFault};
use tansyhall_testing::{gateway, gateway_of, GatewayAddresses, GatewayProcess};
use tokio::time::sleep;

use crate::judges::{BASE_RETRIES, BUDGET_WINDOW_S, RETRY_RATIO};
use crate::link::Link;
use crate::site::{LOCAL_ZONE, TAKEOVER_PAUSE_MS};

/// The template that is deployed.
const TEMPLATE: &str = include_str!("../../../deploy/node.toml");
/// Seconds that a planned stop may take.
const GRACE_S: u64 = 4;
/// Starts of a gateway whose ports other processes take.
const MAX_STARTS: usize = 5;
/// Pause between two looks at a process that stops.
const EXIT_POLL: Duration = Duration::from_millis(50);

/// What a gateway process is started with.
pub struct GatewayPlace {
    /// Its number.
    pub number: usize,
    /// Where its settings and logs lie.
    pub directory: PathBuf,
    /// Where it reaches the platform's operations.
    pub operations: SocketAddr,
    /// Mechanisms that are switched off.
    pub switched_off: Vec<String>,
    /// The program of another build. Each start of a gateway takes the other one of the two than the start before, so
    /// that builds run side by side and replace each other, forwards and back.
    pub beside: Option<PathBuf>,
}

impl GatewayPlace {
    fn name(&self) -> String {
        format!("gateway-{}", self.number)
    }
}

/// A place for a gateway process, with its links.
pub struct GatewaySlot {
    /// Between callers and the gateway.
    pub callers: Link,
    /// Between the gateway and the store.
    pub store: Link,
    /// Between the gateway and those that ask it for its copy of the store.
    pub copies: Link,
    place: GatewayPlace,
    process: RefCell<Option<GatewayProcess>>,
    is_busy: Cell<bool>,
    starts: Cell<usize>,
    door: StoreEndpoint,
}

impl GatewaySlot {
    /// Starts a gateway.
    pub async fn start(place: GatewayPlace, store: &Store) -> Result<Self> {
        let door = store.open_endpoint()?;
        let slot = Self {
            callers: Link::open(door.address).await?,
            store: Link::open(door.address).await?,
            copies: Link::open(door.address).await?,
            place,
            process: RefCell::new(None),
            is_busy: Cell::new(false),
            starts: Cell::new(0),
            door,
        };
        slot.start_process().await?;
        Ok(slot)
    }

    /// Switches what goes wrong at its door of the store.
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.door.set_fault(fault);
    }

    /// Its name.
    pub fn name(&self) -> String {
        self.place.name()
    }

    /// Where its process listens.
    pub fn addresses(&self) -> Option<GatewayAddresses> {
        self.process.borrow().as_ref().map(|p| p.addresses)
    }

    /// Freezes the process for a while. False if something else is done with it already.
    pub async fn freeze(&self, time: Duration) -> bool {
        let Some(_busy) = Busy::take(&self.is_busy) else {
            return false;
        };
        self.signal("STOP");
        sleep(time).await;
        self.signal("CONT");
        true
    }

    /// Kills the process and starts another; how it had ended by itself before, if it had.
    pub async fn kill(&self) -> Result<Done> {
        let Some(_busy) = Busy::take(&self.is_busy) else {
            return Ok(Done::Busy);
        };
        let ended = self.ended();
        let process = self.process.borrow_mut().take();
        actix_rt::task::spawn_blocking(move || drop(process)).await?;
        self.start_process().await?;
        Ok(Done::Done(ended))
    }

    /// Stops the process as planned and starts another; the same.
    pub async fn stop_and_start(&self) -> Result<Done> {
        let Some(_busy) = Busy::take(&self.is_busy) else {
            return Ok(Done::Busy);
        };
        let ended = self.ended();
        if ended.is_none() {
            self.signal("TERM");
            self.until_ended().await;
        }
        self.process.borrow_mut().take();
        self.start_process().await?;
        Ok(Done::Done(ended))
    }

    /// Stops the process as planned, for good; the same.
    pub async fn stop(&self) -> Option<String> {
        let ended = self.ended();
        if ended.is_none() {
            self.signal("TERM");
            self.until_ended().await;
        }
        self.process.borrow_mut().take();
        ended
    }

    /// Whether the process has ended, though nobody stopped it, and how.
    fn ended(&self) -> Option<String> {
        let mut process = self.process.borrow_mut();
        let status = process.as_mut()?.process.child.try_wait().ok()??;
        Some(format!("{}: {status}", self.place.name()))
    }

    async fn until_ended(&self) {
        let polls = (GRACE_S + 1) * 1_000 / EXIT_POLL.as_millis() as u64;
        for _ in 0..polls {
            if self.ended().is_some() {
                return;
            }
            sleep(EXIT_POLL).await;
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
            self.callers.lead_to(addresses.callers);
            self.copies.lead_to(addresses.peers);
            *self.process.borrow_mut() = Some(process);
            return Ok(());
        }
        anyhow::bail!("no free ports for {}", self.place.name())
    }

    async fn try_start(&self) -> Result<GatewayProcess> {
        let addresses = GatewayAddresses::free();
        let settings = self.settings(&addresses)?;
        let (directory, name) = (self.place.directory.clone(), self.place.name());
        let other_build = self.other_build();
        let started = actix_rt::task::spawn_blocking(move || {
            let mut process = match other_build {
                Some(program) => gateway_of(program, &directory, &name, &settings, addresses),
                None => gateway(&directory, &name, &settings, addresses),
            };
            let log = directory.join(format!("{name}.log"));
            process.process.copy_output_to(&log)?;
            anyhow::Ok(process)
        });
        started.await.context("a gateway does not start")?
    }

    /// The program of the other build, if it is its turn.
    fn other_build(&self) -> Option<PathBuf> {
        let start = self.starts.replace(self.starts.get() + 1);
        let is_its_turn = (self.place.number + start) % 2 == 1;
        self.place.beside.clone().filter(|_| is_its_turn)
    }

    fn settings(&self, addresses: &GatewayAddresses) -> Result<String> {
        let fields = GatewayFields {
            node: self.place.name(),
            zone: LOCAL_ZONE,
            callers: addresses.callers,
            ready: addresses.ready,
            peers: addresses.peers,
            load: addresses.load,
            metrics: addresses.metrics,
            store: self.store.entrance,
            operations: self.place.operations,
            retry_ratio: RETRY_RATIO,
            retry_extra: BASE_RETRIES,
            retry_window_s: BUDGET_WINDOW_S,
            grace_s: GRACE_S,
            takeover_pause_ms: TAKEOVER_PAUSE_MS,
        };
        let settings = fields.render(TEMPLATE);
        let settings = settings.map_err(|error| anyhow::anyhow!("{error:?}"))?;
        Ok(settings + &self.decisions())
    }
}

impl GatewaySlot {
    /// The section of the settings that switches mechanisms off.
    fn decisions(&self) -> String {
        let off = self.place.switched_off.iter();
        let lines = off.map(|name| format!("{name} = false\n"));
        format!("\n[decisions]\n{}", lines.collect::<String>())
    }
}

/// What came of an action on a process.
pub enum Done {
    /// Nothing, as another action was under way.
    Busy,
    /// It was done; how the process had ended by itself before, if it had.
    Done(Option<String>),
}

/// While this lives, nothing else is done with a process.
struct Busy<'a>(&'a Cell<bool>);

impl<'a> Busy<'a> {
    fn take(is_busy: &'a Cell<bool>) -> Option<Self> {
        (!is_busy.replace(true)).then_some(Self(is_busy))
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
