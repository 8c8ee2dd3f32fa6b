//! Unit tests of the fault soak's parts: schedules, HTTP reader, marks and links.

use std::net::Ipv4Addr;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_fault_soak::{
    load_regressions, Fault, Framing, Link, LinkFault, Mark, ReadError, Reader, RequestKey,
    Schedule,
};
use tansyhall_testing::{free_peer_address, Partition, Partitions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

const DURATION: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

proptest! {
    #[test]
    fn a_seed_gives_the_same_schedule_each_time(seed: u64) {
        let first = Schedule::from_seed(seed, 9, DURATION, &Fault::DEFAULT);
        let second = Schedule::from_seed(seed, 9, DURATION, &Fault::DEFAULT);
        prop_assert_eq!(&first, &second);
        prop_assert!(!first.actions.is_empty());
        prop_assert!(first.actions.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms));
    }

    #[test]
    fn a_mark_survives_a_round_trip_through_text(run: u64, body: u64, id in "[a-z0-9-]{1,20}") {
        let key = RequestKey { id, target: "/x/y?z=%2F".into(), body };
        let mark = Mark { run, worker: "i-1".into(), key };
        let text = format!("before\n{}\nafter", mark.text());
        prop_assert_eq!(Mark::find_all(&text), vec![mark]);
    }

    #[test]
    fn a_message_is_parsed_the_same_however_it_is_split(cut in 0..ANSWER.len()) {
        let (first, second) = ANSWER.split_at(cut);
        let body = read(first, second).expect("complete message should be parsed");
        prop_assert_eq!(body, b"body");
    }

    #[test]
    fn a_truncated_message_is_an_error(cut in 1..ANSWER.len()) {
        let read = read(&ANSWER[..cut], b"");
        prop_assert_eq!(read, Err(ReadError::Truncated));
    }
}

/// Reads an answer that arrives in two pieces, followed by the end of the stream.
fn read(first: &[u8], second: &[u8]) -> Result<Vec<u8>, ReadError> {
    actix_rt::System::new().block_on(async {
        let mut reader = Reader::new(first.chain(second));
        let head = reader.read_head().await?;
        head.status()?;
        let mut body = Vec::new();
        let framing = head.framing(Framing::UntilClose)?;
        reader.read_body(framing, &mut body).await?;
        Ok(body)
    })
}

#[actix_rt::test]
async fn bytes_that_are_not_a_message_are_reported_as_garbage() {
    for bytes in [
        &b"\x00\xff\r\n\r\n"[..],
        b"no answer\r\n\r\n",
        b"HTTP/1.1 x\r\n\r\n",
    ] {
        let mut reader = Reader::new(bytes);
        let status = match reader.read_head().await {
            Ok(head) => head.status().map(|_| ()),
            Err(error) => Err(error),
        };
        assert!(matches!(status, Err(ReadError::Garbage(_))), "{bytes:?}");
    }
}

#[test]
fn the_list_of_regressions_parses() {
    load_regressions().expect("list of regression seeds should parse");
}

/// Sends an answer through a link with a fault. Returns the bytes that the reader received and how its stream ended.
async fn read_through_link(fault: LinkFault) -> (Vec<u8>, std::io::Result<()>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind listener");
    let exit = listener.local_addr().expect("listener address");
    let link = Link::open(exit).await.expect("open link");
    let mut near = TcpStream::connect(link.listen_address)
        .await
        .expect("connect to link");
    let (mut far, _) = listener.accept().await.expect("accept connection");
    link.set_fault(fault);
    if fault != LinkFault::Reset {
        far.write_all(ANSWER).await.expect("send answer");
        far.shutdown().await.expect("shut down connection");
    }
    let mut received = Vec::new();
    let ended = near.read_to_end(&mut received).await;
    (received, ended.map(|_| ()))
}

#[actix_rt::test]
async fn a_link_that_delays_throttles_or_splits_changes_no_byte() {
    let harmless = [
        LinkFault::None,
        LinkFault::Delay { ms: 20 },
        LinkFault::Throttle,
        LinkFault::Split,
    ];
    for fault in harmless {
        let (received, ended) = read_through_link(fault).await;
        assert_eq!(received, ANSWER, "{fault:?}");
        assert!(ended.is_ok());
    }
}

#[actix_rt::test]
async fn a_link_that_resets_never_closes_the_connection_cleanly() {
    let (_, ended) = read_through_link(LinkFault::Reset).await;
    assert!(ended.is_err());
}

/// Sends a byte through a link to a server that echoes it, from this source address.
async fn echo_through(link: &Link, source: Ipv4Addr) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((source, 0).into())?;
    let mut stream = socket.connect(link.listen_address).await?;
    stream.write_all(b"x").await?;
    stream.read_exact(&mut [0]).await.map(|_| ())
}

#[actix_rt::test]
async fn a_link_partitions_only_the_client_with_this_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("a bound address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let partitions = Partitions::default();
    let link = Link::open_at(free_peer_address(), target, &partitions).expect("open link");
    let (client, other) = (Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::new(127, 0, 0, 3));
    for partition in Partition::ALL {
        partitions.set(client.into(), Some(partition));
        let echoed = timeout(Duration::from_millis(300), echo_through(&link, client)).await;
        match partition {
            Partition::Silence => assert!(echoed.is_err(), "{echoed:?}"),
            _ => assert!(matches!(echoed, Ok(Err(_))), "{echoed:?}"),
        }
        let echoed = echo_through(&link, other).await;
        echoed.expect("an echo for another client");
        partitions.set(client.into(), None);
        let echoed = echo_through(&link, client).await;
        echoed.expect("an echo after healing");
    }
}
