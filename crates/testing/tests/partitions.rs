//! Partitions of a link from clients with some source addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tansyhall_testing::{Link, Partition};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

const PARTITIONED: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));
/// How long nothing must arrive on a silent connection.
const SILENCE: Duration = Duration::from_millis(300);

/// Starts a server that echoes every byte, with a link in front of it.
async fn linked_echo() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    Link::open(address)
}

async fn connect_from(source: IpAddr, link: &Link) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(SocketAddr::new(source, 0))
        .expect("a local address");
    let stream = socket.connect(link.listen_address).await;
    stream.expect("a connection")
}

/// Sends a byte and waits for its echo.
async fn echo(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x").await?;
    let mut echoed = [0];
    stream.read_exact(&mut echoed).await.map(|_| ())
}

#[actix_rt::test]
async fn a_partition_concerns_only_its_client_and_ends_when_it_heals() {
    for partition in Partition::ALL {
        let link = linked_echo().await;
        let mut other = connect_from(OTHER, &link).await;
        echo(&mut other).await.expect("an echo before");
        link.set_partition(PARTITIONED, Some(partition));
        echo(&mut other).await.expect("an echo during a partition");
        let mut new = connect_from(OTHER, &link).await;
        echo(&mut new).await.expect("an echo on a new connection");
        link.set_partition(PARTITIONED, None);
        let mut healed = connect_from(PARTITIONED, &link).await;
        echo(&mut healed).await.expect("an echo after healing");
    }
}

#[actix_rt::test]
async fn open_connections_are_reset_go_silent_or_live_on() {
    for partition in Partition::ALL {
        let link = linked_echo().await;
        let mut open = connect_from(PARTITIONED, &link).await;
        echo(&mut open).await.expect("an echo before");
        link.set_partition(PARTITIONED, Some(partition));
        let echoed = timeout(SILENCE, echo(&mut open)).await;
        match partition {
            Partition::Reset => assert!(matches!(echoed, Ok(Err(_))), "{echoed:?}"),
            Partition::ResetNew => assert!(matches!(echoed, Ok(Ok(()))), "{echoed:?}"),
            Partition::Silence => {
                assert!(echoed.is_err(), "{echoed:?}");
                link.set_partition(PARTITIONED, None);
                let mut late = [0];
                open.read_exact(&mut late).await.expect("the late echo");
            }
        }
    }
}

#[actix_rt::test]
async fn new_connections_are_reset_or_stay_silent() {
    for partition in Partition::ALL {
        let link = linked_echo().await;
        link.set_partition(PARTITIONED, Some(partition));
        let mut new = connect_from(PARTITIONED, &link).await;
        let echoed = timeout(SILENCE, echo(&mut new)).await;
        match partition {
            Partition::Silence => assert!(echoed.is_err(), "{echoed:?}"),
            _ => assert!(matches!(echoed, Ok(Err(_))), "{echoed:?}"),
        }
    }
}
