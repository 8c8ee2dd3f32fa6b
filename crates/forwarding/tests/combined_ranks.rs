//! The order of requests where both tenants and routes have ranks.

use std::time::Duration;

use tansyhall_core::{ServiceName, TenantName};
use tansyhall_forwarding::{
    CombinedRanks, Configuration, Limits, Repeatability, Route, Service, Target, Tenant,
};

fn route(name: &str, rank: u8, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        path_prefix: format!("/{name}/"),
        repeatability: Repeatability::Stream { resumable: true },
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(500),
        pause_objective: None,
        max_attempts: 1,
        rank,
        public,
        targets: vec![Target {
            service: ServiceName::new("models"),
            weight: 1,
        }],
    }
}

fn configuration(routes: Vec<Route>, tenant_ranks: Option<&[Option<u8>]>) -> Configuration {
    let tenant = |(number, rank): (usize, &Option<u8>)| Tenant {
        name: TenantName::new(format!("tenant-{number}")),
        keys: Vec::new(),
        rank: *rank,
    };
    Configuration {
        version: 1,
        routes,
        services: vec![Service {
            name: ServiceName::new("models"),
            max_connections: 100,
            engine: None,
            scaling: None,
        }],
        tenants: tenant_ranks.map(|ranks| ranks.iter().enumerate().map(tenant).collect()),
        limits: Limits {
            header_bytes: 1_000,
            body_bytes: 1_000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

/// Guards against a tenant's short questions that an engine serves before the same tenant's urgent long prompts, because
/// the tenant's rank replaced the ranks of both routes.
#[test]
fn the_tenants_rank_goes_first_and_the_routes_rank_orders_equal_tenants() {
    let (long, short) = (route("long", 0, false), route("short", 2, false));
    let routes = vec![long.clone(), short.clone()];
    let ranks = CombinedRanks::new(&configuration(routes, Some(&[Some(0), Some(1), Some(3)])));
    let service = ServiceName::new("models");
    let in_order = [
        (Some(0), &long),
        (Some(0), &short),
        (Some(1), &long),
        (Some(1), &short),
        (Some(3), &long),
        (Some(3), &short),
    ];
    for (position, (tenant, route)) in in_order.into_iter().enumerate() {
        let urgency = ranks.urgency(&service, tenant, route);
        assert_eq!(usize::from(urgency.rank), position);
        assert_eq!(urgency.yields, route.name == "short");
    }
}

/// Guards against other ranks than before where no tenant has a rank, and against routes without tenants that lose theirs.
#[test]
fn without_ranks_of_tenants_the_routes_alone_are_ordered() {
    let routes = vec![
        route("long", 1, false),
        route("short", 0, false),
        route("open", 1, true),
    ];
    for tenants in [None, Some(&[None][..])] {
        let ranks = CombinedRanks::new(&configuration(routes.clone(), tenants));
        let of = |route: &Route| ranks.urgency(&ServiceName::new("models"), None, route);
        let order: Vec<u8> = routes.iter().map(|route| of(route).rank).collect();
        assert_eq!(order, [1, 0, 1]);
        let yields: Vec<bool> = routes.iter().map(|route| of(route).yields).collect();
        assert_eq!(yields, [true, false, true]);
    }
}

/// Guards against ranks that engines do not distinguish, and against an order that is lost when there are many.
#[test]
fn many_pairs_share_the_ranks_of_engines_in_their_order() {
    let routes = vec![route("long", 0, false), route("short", 5, false)];
    let tenants: Vec<Option<u8>> = (0..40).map(Some).collect();
    let ranks = CombinedRanks::new(&configuration(routes.clone(), Some(&tenants)));
    let service = ServiceName::new("models");
    let of = |tenant: u8, route| ranks.urgency(&service, Some(tenant), route).rank;
    let all: Vec<u8> = (0..40)
        .flat_map(|tenant| routes.iter().map(move |route| (tenant, route)))
        .map(|(tenant, route)| of(tenant, route))
        .collect();
    assert!(all.is_sorted());
    assert_eq!((all[0], all[79]), (0, 9));
}
