//! The local address of connections to workers.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use tansyhall_gateway::worker_connect::connect;
use tokio::net::TcpListener;

/// Returns the address from which a connection to a local listener comes.
async fn address_of_client(source: Option<IpAddr>) -> IpAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let _client = connect(address, source).await.expect("a connection");
    let (_, client_address) = listener.accept().await.expect("a connection");
    client_address.ip()
}

#[actix_rt::test]
async fn connections_come_from_the_configured_address() {
    let source = IpAddr::from(Ipv4Addr::new(127, 0, 0, 2));
    assert_eq!(address_of_client(Some(source)).await, source);
}

#[actix_rt::test]
async fn the_system_chooses_the_address_if_none_is_usable() {
    let default = IpAddr::from(Ipv4Addr::LOCALHOST);
    assert_eq!(address_of_client(None).await, default);
    let other_family = IpAddr::from(Ipv6Addr::LOCALHOST);
    assert_eq!(address_of_client(Some(other_family)).await, default);
}
