//! Stand-in for the platform: a key-value store with the API of the etcd v3 JSON gateway, and the list
//! of machines.

mod backup;
mod faults;
mod gateway;
mod keyspace;
mod machines;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use actix_web::dev::Server;
use actix_web::{web, App, HttpServer};
use parking_lot::Mutex;
use tokio::sync::watch;

pub use faults::{FaultSwitches, Faults};
pub use keyspace::Keyspace;

/// State shared by the handlers of the stand-in.
pub struct Platform {
    keyspace: Mutex<Keyspace>,
    backup: Mutex<Option<Keyspace>>,
    faults: Mutex<Faults>,
    machines: Mutex<machines::Machines>,
    changed: watch::Sender<u64>,
    started: std::time::Instant,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            keyspace: Mutex::new(Keyspace::default()),
            backup: Mutex::new(None),
            faults: Mutex::new(Faults::default()),
            machines: Mutex::new(machines::Machines::default()),
            changed: watch::Sender::new(0),
            started: std::time::Instant::now(),
        }
    }
}

impl Platform {
    fn now_millis(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Removes expired leases, calls `access` with the key space, and then wakes the watches if the revision
    /// changed.
    fn with_keyspace<R>(&self, access: impl FnOnce(&mut Keyspace) -> R) -> R {
        let now = self.now_millis();
        let mut keyspace = self.keyspace.lock();
        keyspace.expire_leases(now);
        let result = access(&mut keyspace);
        let revision = keyspace.revision();
        drop(keyspace);
        self.changed.send_if_modified(|last_revision| {
            std::mem::replace(last_revision, revision) != revision
        });
        result
    }
}

/// Starts the platform on a listener.
pub fn serve(listener: TcpListener) -> std::io::Result<Server> {
    let platform = Arc::new(Platform::default());
    let expiry_platform = Rc::new(Arc::clone(&platform));
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(LEASE_EXPIRY_INTERVAL).await;
            expiry_platform.with_keyspace(|_| ());
        }
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&platform)))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .configure(gateway::routes)
            .configure(machines::routes)
            .configure(faults::routes)
            .configure(backup::routes)
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

const LEASE_EXPIRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
const MAX_BODY_BYTES: usize = 16 << 20;
