//! One connection of a worker: requests one after another, and faults on the way of their answers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

use super::answers::Request;
use super::reply::{Ending, Reply};
use super::state::WorkerState;
use crate::evidence::BackoffRequest;
use crate::faults::{Aspect, Fault};
use crate::http::{Framing, ReadError, Reader};
use crate::identity::RequestKey;
use crate::link::reset_on_close;

/// The longest time after which an answer is sent again, in milliseconds.
const MAX_LATE_MS: u64 = 400;
/// The most answers that are sent before one is sent again in the place of the next.
const MAX_ANSWERS_BETWEEN: u32 = 2;
/// How long a worker that hangs keeps its connection.
const HANG: Duration = Duration::from_secs(8);
/// Pause between two pieces of a slow answer.
const DRIP_PAUSE: Duration = Duration::from_millis(25);
/// Pieces of a slow answer.
const DRIP_PIECES: usize = 12;
/// The most bytes of a piece of a split answer.
const MAX_PIECE_BYTES: usize = 40;
/// The most bytes of an answer whose beginning is sent again; it ends in the head as a rule.
const MAX_TORN_BYTES: usize = 160;
/// What a reset waits for, so that the bytes before it arrive.
const BEFORE_RESET: Duration = Duration::from_millis(5);
/// Bytes that follow a whole answer.
const EXTRA: [&[u8]; 4] = [
    b"\r\n",
    b"no answer\r\n\r\n",
    b"HTTP/1.1 200 Answer\r\nContent-Length: 5\r\n\r\nextra",
    b"\x00\xff\x16\x03",
];

/// An answer that is to be sent again.
struct LateAnswer {
    bytes: Bytes,
    due: Due,
}

enum Due {
    /// At this time.
    At(Instant),
    /// Before the answer that follows so many others.
    InPlace(u32),
}

/// How a connection ends.
enum End {
    Close,
    Reset,
}

/// Serves a connection until it ends.
pub(super) async fn serve(stream: TcpStream, worker: Arc<WorkerState>) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection {
        reader: Reader::new(stream),
        late: VecDeque::new(),
        worker,
    };
    if let End::Reset = connection.run().await {
        reset_on_close(connection.reader.source());
    }
}

struct Connection {
    reader: Reader<TcpStream>,
    late: VecDeque<LateAnswer>,
    worker: Arc<WorkerState>,
}

impl Connection {
    async fn run(&mut self) -> End {
        loop {
            let request = match self.next_request().await {
                Ok(request) => request,
                Err(ReadError::Garbage(bytes)) => {
                    self.worker.record_garbled(bytes);
                    return End::Close;
                }
                Err(_) => return End::Close,
            };
            let reply = self.worker.answer(&request).await;
            if let Some(key) = &reply.deadly {
                return self.end_worker(&reply, key).await;
            }
            if let Some(rest) = &reply.rest {
                match self.deliver_rest(&reply, rest).await {
                    Ok(()) => continue,
                    Err(_) => return End::Close,
                }
            }
            if self.send_late().await.is_err() {
                return End::Close;
            }
            if let Some(end) = self.deliver(&reply).await {
                return end;
            }
        }
    }

    /// Sends some of the answer, perhaps nothing, and ends the worker.
    async fn end_worker(&mut self, reply: &Reply, key: &RequestKey) -> End {
        let bytes = reply.steps(Ending::Told).concat();
        // The worker ends whether or not the connection still takes anything.
        let _ = self.write_part(&bytes).await;
        self.worker.end(key.clone());
        End::Reset
    }

    /// Waits for a request, and sends late answers meanwhile as they become due.
    async fn next_request(&mut self) -> Result<Request, ReadError> {
        let head = loop {
            let due = self.late.iter().filter_map(|late| match late.due {
                Due::At(at) => Some(at),
                Due::InPlace(_) => None,
            });
            let Some(due) = due.min() else {
                break self.reader.head().await?;
            };
            tokio::select! {
                head = self.reader.head() => break head?,
                () = sleep_until(due) => self.send_due().await.map_err(|_| ReadError::Cut)?,
            }
        };
        let mut body = Vec::new();
        let framing = head.framing(Framing::Length(0))?;
        self.reader.body(framing, &mut body).await?;
        Ok(Request { head, body })
    }

    /// Sends the late answers whose time has come.
    async fn send_due(&mut self) -> std::io::Result<()> {
        let now = Instant::now();
        self.send_late_if(|due| matches!(due, Due::At(at) if *at <= now))
            .await
    }

    /// Sends the late answers that take the place of the one that is due.
    async fn send_late(&mut self) -> std::io::Result<()> {
        let now = Instant::now();
        self.send_late_if(|due| match due {
            Due::At(at) => *at <= now,
            Due::InPlace(left) => {
                let is_due = *left == 0;
                *left = left.saturating_sub(1);
                is_due
            }
        })
        .await
    }

    async fn send_late_if(&mut self, is_due: impl Fn(&mut Due) -> bool) -> std::io::Result<()> {
        for mut late in std::mem::take(&mut self.late) {
            if is_due(&mut late.due) {
                self.write(&late.bytes).await?;
            } else {
                self.late.push_back(late);
            }
        }
        Ok(())
    }

    /// Sends an answer that asks for rest, without faults. It is noted where none of an earlier answer is in its way:
    /// what comes in its place is not believed.
    async fn deliver_rest(&mut self, reply: &Reply, rest: &BackoffRequest) -> std::io::Result<()> {
        let is_alone = self.late.is_empty();
        self.send_late().await?;
        self.write(&reply.steps(Ending::Told).concat()).await?;
        if is_alone {
            self.worker.record_rest(rest.clone());
        }
        Ok(())
    }

    /// Sends an answer with its faults; the end of the connection, if it has come.
    async fn deliver(&mut self, reply: &Reply) -> Option<End> {
        let fault = self.worker.draw_fault(Aspect::Delivery);
        let echo = self.worker.draw_fault(Aspect::Echo);
        if let Some(fault) = fault {
            let name = format!("worker {fault:?}");
            self.worker.notebook.count_fault(name);
        }
        match self.deliver_with(reply, fault).await {
            Ok(None) => {}
            Ok(end) => return end,
            Err(_) => return Some(End::Close),
        }
        match echo {
            Some(fault) => self.echo(reply, fault).await.err().map(|_| End::Close),
            None => None,
        }
    }

    async fn deliver_with(
        &mut self,
        reply: &Reply,
        fault: Option<Fault>,
    ) -> std::io::Result<Option<End>> {
        let ending = match fault {
            Some(Fault::NoLength | Fault::NoLengthTwice | Fault::NoLengthReset) => {
                Ending::Connection
            }
            _ => Ending::Told,
        };
        let steps = reply.steps(ending);
        let bytes = steps.concat();
        match fault {
            Some(Fault::Split) => self.write_split(&bytes).await?,
            Some(Fault::Drip) => self.write_slowly(&bytes).await?,
            Some(Fault::Close) => return Ok(Some(End::Close)),
            Some(Fault::Hang) => {
                sleep(HANG).await;
                return Ok(Some(End::Close));
            }
            Some(Fault::CutShort) => {
                self.write_part(&bytes).await?;
                return Ok(Some(End::Close));
            }
            Some(Fault::CutThenWhole) => {
                self.write_part(&bytes).await?;
                self.write(&bytes).await?;
            }
            Some(Fault::Reset | Fault::NoLengthReset) => {
                self.write_part(&bytes).await?;
                sleep(BEFORE_RESET).await;
                return Ok(Some(End::Reset));
            }
            Some(Fault::NoLength | Fault::NoLengthTwice) => {
                self.write_paced(&steps, reply.pause).await?;
                if fault == Some(Fault::NoLengthTwice) {
                    let ending = self.worker.draw(|random| {
                        [Ending::Told, Ending::Connection][random.random_range(0..2)]
                    });
                    self.write(&reply.steps(ending).concat()).await?;
                }
                return Ok(Some(End::Close));
            }
            _ => self.write_paced(&steps, reply.pause).await?,
        }
        Ok(None)
    }

    /// Sends more after a whole answer, now or later.
    async fn echo(&mut self, reply: &Reply, fault: Fault) -> std::io::Result<()> {
        self.worker
            .notebook
            .count_fault(format!("worker {fault:?}"));
        let due = match fault {
            Fault::ExtraBytes => {
                let index = self
                    .worker
                    .draw(|random| random.random_range(0..EXTRA.len()));
                return self.write(EXTRA[index]).await;
            }
            Fault::StutterLater => {
                let late_ms = self
                    .worker
                    .draw(|random| random.random_range(0..MAX_LATE_MS));
                Due::At(Instant::now() + Duration::from_millis(late_ms))
            }
            _ => Due::InPlace(
                self.worker
                    .draw(|random| random.random_range(0..=MAX_ANSWERS_BETWEEN)),
            ),
        };
        let mut bytes = Bytes::from(reply.steps(Ending::Told).concat());
        if fault == Fault::StutterTorn {
            let most = MAX_TORN_BYTES.min(bytes.len());
            bytes.truncate(self.worker.draw(|random| random.random_range(1..most)));
        }
        self.late.push_back(LateAnswer { bytes, due });
        Ok(())
    }

    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.source().write_all(bytes).await
    }

    async fn write_paced(&mut self, steps: &[Bytes], pause: Duration) -> std::io::Result<()> {
        let mut together = BytesMut::new();
        for step in steps {
            together.extend_from_slice(step);
            if pause.is_zero() {
                continue;
            }
            self.write(&together).await?;
            together.clear();
            sleep(pause).await;
        }
        self.write(&together).await
    }

    async fn write_split(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let most = MAX_PIECE_BYTES.min(bytes.len());
            let length = self.worker.draw(|random| random.random_range(1..=most));
            self.write(&bytes[..length]).await?;
            bytes = &bytes[length..];
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    async fn write_slowly(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        for piece in bytes.chunks(bytes.len().div_ceil(DRIP_PIECES).max(1)) {
            self.write(piece).await?;
            sleep(DRIP_PAUSE).await;
        }
        Ok(())
    }

    /// Sends some of the bytes, not all.
    async fn write_part(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let length = self
            .worker
            .draw(|random| random.random_range(0..bytes.len()));
        self.write(&bytes[..length]).await
    }
}
