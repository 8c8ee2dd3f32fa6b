//! The parts of the soak by themselves: the schedule, reading of messages, marks and links.

use std::time::Duration;

use proptest::prelude::*;
use tansyhall_fault_soak::{
    regressions, Fault, Framing, Link, LinkFault, Mark, ReadError, Reader, RequestKey, Schedule,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DURATION: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

proptest! {
    #[test]
    fn a_seed_gives_the_same_schedule_each_time(seed: u64) {
        let first = Schedule::of_seed(seed, 9, DURATION, &Fault::USUAL);
        let second = Schedule::of_seed(seed, 9, DURATION, &Fault::USUAL);
        prop_assert_eq!(&first, &second);
        prop_assert!(!first.actions.is_empty());
        prop_assert!(first.actions.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms));
    }

    #[test]
    fn a_mark_is_read_as_it_was_written(run: u64, body: u64, id in "[a-z0-9-]{1,20}") {
        let key = RequestKey { id, target: "/x/y?z=%2F".into(), body };
        let mark = Mark { run, worker: "i-1".into(), key };
        let text = format!("before\n{}\nafter", mark.text());
        prop_assert_eq!(Mark::find_all(&text), vec![mark]);
    }

    #[test]
    fn a_message_reads_the_same_however_it_is_cut(cut in 0..ANSWER.len()) {
        let (first, second) = ANSWER.split_at(cut);
        let body = read(first, second).expect("a whole message");
        prop_assert_eq!(body, b"body");
    }

    #[test]
    fn a_message_that_is_cut_off_is_not_whole(cut in 1..ANSWER.len()) {
        let read = read(&ANSWER[..cut], b"");
        prop_assert_eq!(read, Err(ReadError::Cut));
    }
}

/// Reads an answer that comes in two pieces and then ends.
fn read(first: &[u8], second: &[u8]) -> Result<Vec<u8>, ReadError> {
    actix_rt::System::new().block_on(async {
        let mut reader = Reader::new(first.chain(second));
        let head = reader.head().await?;
        head.status()?;
        let mut body = Vec::new();
        let framing = head.framing(Framing::UntilClose)?;
        reader.body(framing, &mut body).await?;
        Ok(body)
    })
}

#[actix_rt::test]
async fn what_is_no_message_is_said_to_be_none() {
    for bytes in [
        &b"\x00\xff\r\n\r\n"[..],
        b"no answer\r\n\r\n",
        b"HTTP/1.1 x\r\n\r\n",
    ] {
        let mut reader = Reader::new(bytes);
        let status = match reader.head().await {
            Ok(head) => head.status().map(|_| ()),
            Err(error) => Err(error),
        };
        assert!(matches!(status, Err(ReadError::Garbage(_))), "{bytes:?}");
    }
}

#[test]
fn the_list_of_regressions_parses() {
    regressions().expect("a list of seeds");
}

/// A connection through a link with a fault: what was sent, and how its reader saw the end.
async fn through(fault: LinkFault) -> (Vec<u8>, std::io::Result<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let exit = listener.local_addr().expect("an address");
    let link = Link::open(exit).await.expect("a link");
    let mut near = TcpStream::connect(link.entrance).await.expect("a link");
    let (mut far, _) = listener.accept().await.expect("a connection");
    link.set_fault(fault);
    if fault != LinkFault::Reset {
        far.write_all(ANSWER).await.expect("room");
        far.shutdown().await.expect("an open connection");
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
        let (received, ended) = through(fault).await;
        assert_eq!(received, ANSWER, "{fault:?}");
        assert!(ended.is_ok());
    }
}

#[actix_rt::test]
async fn a_link_that_resets_never_makes_an_end_in_good_order() {
    let (_, ended) = through(LinkFault::Reset).await;
    assert!(ended.is_err());
}
