//! The ranks that engines see where both tenants and routes have ranks.
//!
//! A tenant's rank goes before that of the route. With the tenant's rank alone, all requests of a tenant would be
//! equally urgent to an engine, so that long prompts of its most urgent route would wait behind its own short questions.
//! Requests are therefore ordered by the rank of the tenant first and by that of the route among equals.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tansyhall_core::ServiceName;

use crate::configuration::{Configuration, Route};

/// The least urgent rank that engines distinguish.
const LEAST_URGENT_RANK: u8 = 9;

/// The ranks of a tenant, or of the route if the tenant has none, and of the route.
type RankPair = (u8, u8);

/// The ranks of one service.
#[derive(Debug, Clone, Default)]
struct ServiceRanks {
    combined: BTreeMap<RankPair, u8>,
    /// The rank of its most urgent route.
    most_urgent_route: u8,
}

/// The combined ranks of all services of a configuration.
#[derive(Debug, Clone, Default)]
pub struct CombinedRanks {
    services: HashMap<ServiceName, ServiceRanks>,
}

/// The urgency of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// The combined rank, 0 to 9; 0 is the most urgent.
    pub rank: u8,
    /// Whether its service has more urgent routes.
    pub yields: bool,
}

impl CombinedRanks {
    /// Computes the ranks of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let tenant_ranks = distinct_tenant_ranks(configuration);
        let mut pairs: HashMap<ServiceName, BTreeSet<RankPair>> = HashMap::new();
        for route in &configuration.routes {
            for target in &route.targets {
                let of_service = pairs.entry(target.service.clone()).or_default();
                of_service.extend(rank_pairs(&tenant_ranks, route));
            }
        }
        let services = pairs.into_iter().map(|(service, pairs)| {
            let routes = pairs.iter().map(|(_, route)| *route);
            let ranks = ServiceRanks {
                most_urgent_route: routes.min().unwrap_or_default(),
                combined: combine(&pairs),
            };
            (service, ranks)
        });
        Self {
            services: services.collect(),
        }
    }

    /// Returns the urgency of a request of a route to a service, sent by a tenant with this rank.
    pub fn urgency(
        &self,
        service: &ServiceName,
        tenant_rank: Option<u8>,
        route: &Route,
    ) -> Urgency {
        let first = tenant_rank.filter(|_| !route.public).unwrap_or(route.rank);
        let ranks = self.services.get(service);
        let combined = ranks.and_then(|ranks| ranks.combined.get(&(first, route.rank)));
        Urgency {
            rank: combined.copied().unwrap_or(first),
            yields: ranks.is_some_and(|ranks| ranks.most_urgent_route < route.rank),
        }
    }
}

/// Returns the ranks that tenants have; `None` stands for tenants without a rank and for requests without a tenant.
fn distinct_tenant_ranks(configuration: &Configuration) -> BTreeSet<Option<u8>> {
    match &configuration.tenants {
        Some(tenants) => tenants.iter().map(|tenant| tenant.rank).collect(),
        None => BTreeSet::from([None]),
    }
}

fn rank_pairs<'a>(
    tenant_ranks: &'a BTreeSet<Option<u8>>,
    route: &'a Route,
) -> impl Iterator<Item = RankPair> + 'a {
    let of_tenants = tenant_ranks.iter().copied().filter(|_| !route.public);
    let ranks = of_tenants.chain(route.public.then_some(None));
    ranks.map(|rank| (rank.unwrap_or(route.rank), route.rank))
}

/// Numbers the pairs in their order. If there are more than engines distinguish, neighbours share a number.
fn combine(pairs: &BTreeSet<RankPair>) -> BTreeMap<RankPair, u8> {
    let levels = usize::from(LEAST_URGENT_RANK) + 1;
    let number = |position: usize| match pairs.len() <= levels {
        true => position,
        false => position * levels / pairs.len(),
    };
    let numbered = pairs.iter().enumerate();
    numbered
        .map(|(position, pair)| (*pair, number(position) as u8))
        .collect()
}
