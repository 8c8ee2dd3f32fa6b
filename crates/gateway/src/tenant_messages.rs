//! Wire format of the rates of tenants' work in load reports.
//!
//! Instead of the demand, the contending demand and the accepted work, a message contains the demand and the two parts of
//! it that were refused. Both are mostly 0, which takes no bytes, and the order of the three rates holds by itself.

use prost::Message;
use tansyhall_forwarding::fleet_tenants::{MAX_REPORTED_TENANTS, MAX_ROUNDS};
use tansyhall_forwarding::{ServiceKey, ServiceTenants, TenantKey, TenantRates, WorkRates};

/// The rates of some tenants of one service, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceTenantsMessage {
    /// The service's key.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// The number of reports in which each tenant of the sender is contained at least once.
    #[prost(uint32, tag = "2")]
    pub rounds: u32,
    /// Whether the sender itself refuses requests for the service.
    #[prost(bool, tag = "3")]
    pub refuses: bool,
    /// The rates.
    #[prost(message, repeated, tag = "4")]
    pub tenants: Vec<TenantRatesMessage>,
}

/// The rates of one tenant in microseconds of engine time per second, on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct TenantRatesMessage {
    /// The tenant's key.
    #[prost(fixed64, tag = "1")]
    pub tenant: u64,
    /// The requested work.
    #[prost(uint64, tag = "2")]
    pub demand: u64,
    /// The part of it that was refused because of the tenant's share.
    #[prost(uint64, tag = "3")]
    pub refused_for_share: u64,
    /// The part of it that was refused whichever tenant requested it.
    #[prost(uint64, tag = "4")]
    pub refused_for_overload: u64,
}

/// Encodes the rates of tenants.
pub fn encode_tenants(services: &[ServiceTenants]) -> Vec<ServiceTenantsMessage> {
    let messages = services.iter().map(|service| ServiceTenantsMessage {
        service: service.service.0,
        rounds: service.rounds,
        refuses: service.refuses,
        tenants: service.tenants.iter().map(encode_rates).collect(),
    });
    messages.collect()
}

fn encode_rates(tenant: &TenantRates) -> TenantRatesMessage {
    let rates = tenant.rates;
    TenantRatesMessage {
        tenant: tenant.tenant.0,
        demand: rates.demand,
        refused_for_share: rates.demand.saturating_sub(rates.contending),
        refused_for_overload: rates.contending.saturating_sub(rates.accepted),
    }
}

/// Decodes the rates of tenants. Impossible values are ignored, and so are tenants beyond the maximum of a report.
pub fn decode_tenants(messages: &[ServiceTenantsMessage]) -> Vec<ServiceTenants> {
    let mut left = MAX_REPORTED_TENANTS;
    let mut services = Vec::new();
    for message in messages {
        if message.rounds == 0 || message.rounds > MAX_ROUNDS {
            log::debug!(
                "ignoring tenants reported in {} rounds for service {:x}",
                message.rounds,
                message.service
            );
            continue;
        }
        let tenants = message.tenants.iter().filter_map(decode_rates).take(left);
        let tenants: Vec<TenantRates> = tenants.collect();
        left -= tenants.len();
        if !tenants.is_empty() {
            services.push(ServiceTenants {
                service: ServiceKey(message.service),
                rounds: message.rounds,
                refuses: message.refuses,
                tenants,
            });
        }
    }
    services
}

/// Decodes the rates of one tenant; `None` if they are impossible.
fn decode_rates(message: &TenantRatesMessage) -> Option<TenantRates> {
    let contending = message.demand.checked_sub(message.refused_for_share);
    let accepted =
        contending.and_then(|contending| contending.checked_sub(message.refused_for_overload));
    let rates = contending
        .zip(accepted)
        .map(|(contending, accepted)| WorkRates {
            demand: message.demand,
            contending,
            accepted,
        });
    let rates = rates.filter(|rates| rates.demand > 0 && rates.is_plausible());
    if rates.is_none() {
        log::debug!("ignoring impossible rates of tenant {:x}", message.tenant);
    }
    Some(TenantRates {
        tenant: TenantKey(message.tenant),
        rates: rates?,
    })
}
