//! Finds the route of a request: of the routes of its host, the one with the longest prefix of its
//! path. A route with several targets deals its requests out by smooth weighted round robin, so
//! that each target's share is exact after a few requests, not only on average.

use std::collections::HashMap;
use std::sync::Arc;

use tansyhall_core::ServiceName;

use crate::configuration::{Configuration, Route, Target};

/// The routes of one configuration, indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    route: Arc<Route>,
    credit: Vec<i64>,
}

impl RouteTable {
    /// Indexes a configuration's routes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Entry>> = HashMap::new();
        for route in &configuration.routes {
            let entry = Entry {
                credit: vec![0; route.targets.len()],
                route: Arc::new(route.clone()),
            };
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(entry);
        }
        for entries in by_host.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// The route for a host (a port is ignored) and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let entries = self.by_host.get(&host_name(host))?;
        let entry = entries.iter().find(|entry| entry.serves(path))?;
        Some(&entry.route)
    }

    /// The same route, and the service whose turn it is.
    pub fn take(&mut self, host: &str, path: &str) -> Option<(Arc<Route>, ServiceName)> {
        let entries = self.by_host.get_mut(&host_name(host))?;
        let entry = entries.iter_mut().find(|entry| entry.serves(path))?;
        let service = entry.next_target().service.clone();
        Some((Arc::clone(&entry.route), service))
    }
}

impl Entry {
    fn serves(&self, path: &str) -> bool {
        path.starts_with(&self.route.path_prefix)
    }

    fn next_target(&mut self) -> &Target {
        let targets = &self.route.targets;
        let total: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        for (credit, target) in self.credit.iter_mut().zip(targets) {
            *credit += i64::from(target.weight);
        }
        let mut best = 0;
        for (index, credit) in self.credit.iter().enumerate() {
            if *credit > self.credit[best] {
                best = index;
            }
        }
        self.credit[best] -= total;
        &targets[best]
    }
}

fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
