//! Routes: the longest matching prefix for a host is used, and traffic splits are exact.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::ServiceName;
use tansyhall_forwarding::{
    Configuration, ConfigurationError, Limits, Repeatability, Route, RouteTable, Service, Target,
};

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "Shop.example".into(),
        path_prefix: prefix.into(),
        repeatability: Repeatability::Repeatable,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_objective: None,
        max_attempts: 1,
        rank: 0,
        public: false,
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: ServiceName::new(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let services = ["a", "b"].map(|name| Service {
        name: ServiceName::new(name),
        max_connections: 10,
        engine: None,
        scaling: None,
    });
    Configuration {
        version: 1,
        routes,
        services: services.to_vec(),
        tenants: None,
        limits: Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "/x/", &[("a", 1)]),
        route("long", "/x/y/", &[("b", 1)]),
    ];
    let mut table = RouteTable::new(&configuration(routes));
    let mut route_name = |host: &str, path: &str| {
        let taken = table.route_request(host, path);
        taken.map(|(route, _)| route.name.clone())
    };
    assert_eq!(route_name("shop.example", "/x/y/z"), Some("long".into()));
    assert_eq!(
        route_name("SHOP.example:8080", "/x/z"),
        Some("short".into())
    );
    assert_eq!(route_name("shop.example", "/x"), None);
    assert_eq!(route_name("other.example", "/x/z"), None);
}

#[test]
fn a_traffic_split_is_exact_after_each_round() {
    let routes = vec![route("split", "/s/", &[("a", 90), ("b", 10)])];
    let mut table = RouteTable::new(&configuration(routes));
    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..50 {
        let (_, service) = table.route_request("shop.example", "/s/").expect("a route");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    assert_eq!(counts["a"], 45);
    assert_eq!(counts["b"], 5);
}

#[test]
fn invalid_configurations_are_rejected_as_a_whole() {
    let duplicate = vec![
        route("r", "/x/", &[("a", 1)]),
        route("r", "/y/", &[("a", 1)]),
    ];
    let validation_error = |routes| {
        configuration(routes)
            .validate()
            .expect_err("a validation error")
    };
    assert_eq!(
        validation_error(duplicate),
        ConfigurationError::DuplicateRoute("r".into())
    );
    let unknown = validation_error(vec![route("r", "/x/", &[("c", 1)])]);
    assert!(matches!(unknown, ConfigurationError::UnknownService { .. }));
    let prefix = validation_error(vec![route("r", "x/", &[("a", 1)])]);
    assert!(matches!(prefix, ConfigurationError::Prefix { .. }));
    let weightless = validation_error(vec![route("r", "/x/", &[("a", 0)])]);
    assert_eq!(weightless, ConfigurationError::NoTarget("r".into()));
}
