//! Rates of tenants' work in load reports: their encoding, their size, and what is ignored.

use prost::Message;
use tansyhall_forwarding::fleet_tenants::{MAX_RATE, MAX_REPORTED_TENANTS, MAX_ROUNDS};
use tansyhall_forwarding::{
    GatewayKey, LoadReport, OwnTenants, ServiceKey, ServiceTenants, TenantKey, TenantRates,
    TenantRotation, WorkRates,
};
use tansyhall_gateway::datagrams::{Datagram, MAX_DATAGRAM_BYTES};
use tansyhall_gateway::load_messages::{decode, encode, ReportMessage};
use tansyhall_gateway::tenant_messages::{
    decode_tenants, ServiceTenantsMessage, TenantRatesMessage,
};

const SERVICE: u64 = 7;
/// The largest number of tenants of a deployment.
const MANY_TENANTS: u64 = 300;
/// The most bytes that tenants add to a report. With a report every 500 ms and 18 schedulers that each send to 23 others,
/// 986 gateways send 1.9 KB/s each at the mean, of the 3 KB/s that control traffic may take.
const MAX_TENANT_BYTES: usize = 2_300;

fn report(tenants: Vec<ServiceTenants>) -> LoadReport {
    LoadReport {
        sender: GatewayKey(1),
        sequence: 2,
        loads: Vec::new(),
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: Vec::new(),
        shares: None,
        tenants,
    }
}

fn rates(tenant: u64, demand: u64, contending: u64, accepted: u64) -> TenantRates {
    TenantRates {
        tenant: TenantKey(tenant),
        rates: WorkRates {
            demand,
            contending,
            accepted,
        },
    }
}

fn service(tenants: Vec<TenantRates>) -> ServiceTenants {
    ServiceTenants {
        service: ServiceKey(SERVICE),
        rounds: 9,
        refuses: true,
        tenants,
    }
}

fn message(tenant: u64, demand: u64, for_share: u64, for_overload: u64) -> TenantRatesMessage {
    TenantRatesMessage {
        tenant,
        demand,
        refused_for_share: for_share,
        refused_for_overload: for_overload,
    }
}

fn service_message(rounds: u32, tenants: Vec<TenantRatesMessage>) -> ServiceTenantsMessage {
    ServiceTenantsMessage {
        service: SERVICE,
        rounds,
        refuses: true,
        tenants,
    }
}

// Guards against rates that are lost or mixed up between two gateways.
#[test]
fn reported_rates_keep_their_content() {
    let sent = report(vec![service(vec![
        rates(u64::MAX, 3_000_000, 2_000_000, 1_000_000),
        rates(1, 5, 5, 5),
        rates(2, MAX_RATE, 0, 0),
    ])]);
    let bytes = Datagram::report(encode(&sent)).encode_to_vec();
    let datagram = Datagram::decode(bytes.as_slice()).expect("a datagram");
    assert_eq!(decode(datagram.report.expect("a report")), sent);
}

// Guards against a faulty peer whose rates would distort the shares of all tenants.
#[test]
fn impossible_rates_are_ignored() {
    let plausible = message(1, 10, 2, 3);
    let impossible = [
        message(2, 0, 0, 0),
        message(3, 10, 11, 0),
        message(4, 10, 5, 6),
        message(5, MAX_RATE + 1, 0, 0),
        message(6, u64::MAX, u64::MAX, u64::MAX),
        message(7, 10, 1, u64::MAX),
    ];
    let mut tenants = impossible.to_vec();
    tenants.push(plausible.clone());
    let decoded = decode_tenants(&[service_message(1, tenants)]);
    assert_eq!(decoded.len(), 1);
    assert_eq!(decoded[0].tenants, vec![rates(1, 10, 8, 5)]);
    for rounds in [0, MAX_ROUNDS + 1, u32::MAX] {
        assert!(decode_tenants(&[service_message(rounds, vec![plausible.clone()])]).is_empty());
    }
}

// Guards against a faulty peer that makes others process tenants without bound.
#[test]
fn no_more_tenants_are_read_than_a_report_may_contain() {
    let tenants = |first| (first..first + 50).map(|tenant| message(tenant, 10, 0, 0));
    let services = [0, 50, 100].map(|first| service_message(1, tenants(first).collect()));
    let read: usize = decode_tenants(&services)
        .iter()
        .map(|service| service.tenants.len())
        .sum();
    assert_eq!(read, MAX_REPORTED_TENANTS);
}

// Guards against reports that outgrow the datagram or the budget for control traffic.
#[test]
fn a_report_of_300_tenants_stays_small() {
    // The highest demand of a deployment: 10,004 engines.
    let tenants = (0..MANY_TENANTS).map(|tenant| rates(!tenant, 10_004_000_000, 20_000_000, 0));
    let own = OwnTenants {
        service: ServiceKey(SERVICE),
        refuses: true,
        tenants: tenants.collect(),
    };
    let sent = report(TenantRotation::default().next_report(&[own]));
    let without = Datagram::report(encode(&report(Vec::new()))).encoded_len();
    let added = Datagram::report(encode(&sent)).encoded_len() - without;
    assert!(added <= MAX_TENANT_BYTES, "{added}");
    assert!(added < MAX_DATAGRAM_BYTES);
}

/// A report of a build without tenants.
#[derive(Clone, PartialEq, Message)]
struct EarlierReport {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(fixed64, repeated, tag = "5")]
    absences: Vec<u64>,
}

// Guards against gateways that misunderstand each other during an upgrade.
#[test]
fn builds_with_and_without_tenants_read_each_others_reports() {
    let earlier = EarlierReport {
        sender: 1,
        sequence: 2,
        absences: vec![3],
    };
    let bytes = earlier.encode_to_vec();
    let read = ReportMessage::decode(bytes.as_slice()).expect("a report of an earlier build");
    let read = decode(read);
    assert!(read.tenants.is_empty());
    assert_eq!(read.absences.len(), 1);
    // Without tenants, a report is the same as that of an earlier build, byte for byte.
    assert_eq!(encode(&read).encode_to_vec(), bytes);

    let with = LoadReport {
        tenants: vec![service(vec![rates(1, 3, 2, 1)])],
        ..read
    };
    let bytes = encode(&with).encode_to_vec();
    let read = EarlierReport::decode(bytes.as_slice()).expect("a report of a later build");
    assert_eq!(read, earlier);
}
