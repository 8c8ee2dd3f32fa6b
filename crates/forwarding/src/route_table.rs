//! Finds the route of a request: among the routes for its host, the one with the longest prefix that
//! matches its path. A route with several targets distributes its requests by smooth weighted
//! round-robin, so that each target's share is exact after a few requests, not only on average.

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
    /// The current round-robin weight of each target.
    current_weights: Vec<i64>,
}

impl RouteTable {
    /// Creates the table of a configuration's routes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Entry>> = HashMap::new();
        for route in &configuration.routes {
            let entry = Entry {
                current_weights: vec![0; route.targets.len()],
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

    /// Returns the route for a host and a path. A port after the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let entries = self.by_host.get(&host_name(host))?;
        let entry = entries.iter().find(|entry| entry.matches(path))?;
        Some(&entry.route)
    }

    /// Returns the route for a host and a path, and the service that receives this request by weighted round-robin.
    pub fn route_request(&mut self, host: &str, path: &str) -> Option<(Arc<Route>, ServiceName)> {
        let entries = self.by_host.get_mut(&host_name(host))?;
        let entry = entries.iter_mut().find(|entry| entry.matches(path))?;
        let service = entry.next_target().service.clone();
        Some((Arc::clone(&entry.route), service))
    }
}

impl Entry {
    fn matches(&self, path: &str) -> bool {
        path.starts_with(&self.route.path_prefix)
    }

    fn next_target(&mut self) -> &Target {
        let targets = &self.route.targets;
        let total: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        for (current, target) in self.current_weights.iter_mut().zip(targets) {
            *current += i64::from(target.weight);
        }
        let mut best = 0;
        for (index, current) in self.current_weights.iter().enumerate() {
            if *current > self.current_weights[best] {
                best = index;
            }
        }
        self.current_weights[best] -= total;
        &targets[best]
    }
}

fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
