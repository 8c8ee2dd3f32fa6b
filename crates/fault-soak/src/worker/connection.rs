//! One connection of a worker: serves requests one after another and injects faults into the answers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

use super::answers::Request;
use super::reply::{BodyFraming, Reply};
use super::state::WorkerState;
use crate::evidence::BackoffRequest;
use crate::faults::{Aspect, Fault};
use crate::http::{Framing, ReadError, Reader};
use crate::identity::RequestKey;
use crate::link::reset_on_close;

/// Maximum delay before an answer is sent a second time, in milliseconds.
const MAX_LATE_ANSWER_DELAY_MS: u64 = 400;
/// Maximum number of other answers that are sent before an old answer is repeated in the place of the next one.
const MAX_ANSWERS_BETWEEN: u32 = 2;
/// How long a hanging worker keeps the connection open.
const HANG_DURATION: Duration = Duration::from_secs(8);
/// Pause between two pieces of a slow answer.
const SLOW_ANSWER_PAUSE: Duration = Duration::from_millis(25);
/// Number of pieces of a slow answer.
const SLOW_ANSWER_PIECES: usize = 12;
/// Maximum size of a piece of a split answer.
const MAX_PIECE_BYTES: usize = 40;
/// Maximum number of bytes that are repeated of a partly repeated answer. The cut is usually inside the head.
const MAX_PARTIAL_ANSWER_BYTES: usize = 160;
/// Delay before a reset, so that the bytes sent before it arrive.
const RESET_DELAY: Duration = Duration::from_millis(5);
/// Bytes that are sent after a complete answer.
const TRAILING_BYTES: [&[u8]; 4] = [
    b"\r\n",
    b"no answer\r\n\r\n",
    b"HTTP/1.1 200 Answer\r\nContent-Length: 5\r\n\r\nextra",
    b"\x00\xff\x16\x03",
];

/// An answer that will be sent a second time.
struct LateAnswer {
    bytes: Bytes,
    due: Due,
}

enum Due {
    /// When this time is reached.
    At(Instant),
    /// Before a later answer, after this many other answers.
    BeforeAnswer(u32),
}

/// How a worker ends a connection.
enum ConnectionEnd {
    Close,
    Reset,
}

/// Serves a connection until it ends.
pub(super) async fn serve(stream: TcpStream, worker: Arc<WorkerState>) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection {
        reader: Reader::new(stream),
        late: VecDeque::new(),
        has_surplus: false,
        worker,
    };
    if let ConnectionEnd::Reset = connection.run().await {
        reset_on_close(connection.reader.source());
    }
}

struct Connection {
    reader: Reader<TcpStream>,
    late: VecDeque<LateAnswer>,
    /// Whether bytes that belong to no request have been sent, or will be.
    has_surplus: bool,
    worker: Arc<WorkerState>,
}

impl Connection {
    async fn run(&mut self) -> ConnectionEnd {
        loop {
            let request = match self.next_request().await {
                Ok(request) => request,
                Err(ReadError::Garbage(bytes)) => {
                    self.worker.record_garbled(bytes);
                    return ConnectionEnd::Close;
                }
                Err(_) => return ConnectionEnd::Close,
            };
            let reply = self.worker.answer(&request).await;
            if let Some(key) = &reply.crashing_request {
                return self.crash_worker(&reply, key).await;
            }
            if let Some(backoff) = &reply.backoff {
                match self.deliver_backoff(&reply, backoff).await {
                    Ok(()) => continue,
                    Err(_) => return ConnectionEnd::Close,
                }
            }
            if self.send_late_before_answer().await.is_err() {
                return ConnectionEnd::Close;
            }
            if let Some(end) = self.deliver(&reply).await {
                return end;
            }
        }
    }

    /// Sends an incomplete answer, possibly no bytes at all, and crashes the worker.
    async fn crash_worker(&mut self, reply: &Reply, key: &RequestKey) -> ConnectionEnd {
        let bytes = reply.steps(BodyFraming::Explicit).concat();
        // The worker crashes whether or not the connection still accepts data.
        let _ = self.write_part(&bytes).await;
        self.worker.crash(key.clone());
        ConnectionEnd::Reset
    }

    /// Waits for a request. Meanwhile sends late answers when they become due.
    async fn next_request(&mut self) -> Result<Request, ReadError> {
        let head = loop {
            let due = self.late.iter().filter_map(|late| match late.due {
                Due::At(at) => Some(at),
                Due::BeforeAnswer(_) => None,
            });
            let Some(due) = due.min() else {
                break self.reader.read_head().await?;
            };
            tokio::select! {
                head = self.reader.read_head() => break head?,
                () = sleep_until(due) => self.send_due().await.map_err(|_| ReadError::Truncated)?,
            }
        };
        let mut body = Vec::new();
        let framing = head.framing(Framing::Length(0))?;
        self.reader.read_body(framing, &mut body).await?;
        Ok(Request { head, body })
    }

    /// Sends the late answers whose time is reached.
    async fn send_due(&mut self) -> std::io::Result<()> {
        let now = Instant::now();
        self.send_late_if(|due| matches!(due, Due::At(at) if *at <= now))
            .await
    }

    /// Sends the late answers that precede the next answer and so take its place.
    async fn send_late_before_answer(&mut self) -> std::io::Result<()> {
        let now = Instant::now();
        self.send_late_if(|due| match due {
            Due::At(at) => *at <= now,
            Due::BeforeAnswer(remaining) => {
                let is_due = *remaining == 0;
                *remaining = remaining.saturating_sub(1);
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

    /// Sends an answer that asks for a back-off, without faults. The back-off is recorded only if no repeated answer
    /// is queued before it: the gateway does not accept an answer that arrives in the place of this one.
    async fn deliver_backoff(
        &mut self,
        reply: &Reply,
        backoff: &BackoffRequest,
    ) -> std::io::Result<()> {
        let has_no_late_answers = self.late.is_empty();
        self.send_late_before_answer().await?;
        self.worker.wait_while_silent().await;
        let at_ms = self.worker.recorder.now_ms();
        self.write(&reply.steps(BodyFraming::Explicit).concat())
            .await?;
        if has_no_late_answers {
            self.worker.record_backoff(BackoffRequest {
                at_ms,
                ..backoff.clone()
            });
        }
        Ok(())
    }

    /// Sends an answer with its faults. Returns how the connection ends, or `None` if it stays open.
    async fn deliver(&mut self, reply: &Reply) -> Option<ConnectionEnd> {
        let fault = self.worker.draw_fault(Aspect::Delivery);
        let trailing_fault = self.worker.draw_fault(Aspect::Trailing);
        if self.has_surplus || fault.is_some_and(Fault::breaks_answer) {
            self.worker.record_broken_answer(reply.request_id());
        }
        if let Some(fault) = fault {
            let name = format!("worker {fault:?}");
            self.worker.recorder.count_fault(name);
        }
        match self.deliver_with(reply, fault).await {
            Ok(None) => {}
            Ok(end) => return end,
            Err(_) => return Some(ConnectionEnd::Close),
        }
        match trailing_fault {
            Some(fault) => self
                .send_trailing(reply, fault)
                .await
                .err()
                .map(|_| ConnectionEnd::Close),
            None => None,
        }
    }

    async fn deliver_with(
        &mut self,
        reply: &Reply,
        fault: Option<Fault>,
    ) -> std::io::Result<Option<ConnectionEnd>> {
        let framing = match fault {
            Some(Fault::NoLength | Fault::NoLengthTwice | Fault::NoLengthReset) => {
                BodyFraming::UntilClose
            }
            _ => BodyFraming::Explicit,
        };
        let steps = reply.steps(framing);
        let bytes = steps.concat();
        match fault {
            Some(Fault::Split) => self.write_split(&bytes).await?,
            Some(Fault::Drip) => self.write_slowly(&bytes).await?,
            Some(Fault::Close) => return Ok(Some(ConnectionEnd::Close)),
            Some(Fault::Hang) => {
                sleep(HANG_DURATION).await;
                return Ok(Some(ConnectionEnd::Close));
            }
            Some(Fault::CutShort) => {
                self.write_part(&bytes).await?;
                return Ok(Some(ConnectionEnd::Close));
            }
            Some(Fault::CutThenWhole) => {
                self.write_part(&bytes).await?;
                self.write(&bytes).await?;
            }
            Some(Fault::Reset | Fault::NoLengthReset) => {
                self.write_part(&bytes).await?;
                sleep(RESET_DELAY).await;
                return Ok(Some(ConnectionEnd::Reset));
            }
            Some(Fault::NoLength | Fault::NoLengthTwice) => {
                self.write_paced(&steps, reply.pause).await?;
                if fault == Some(Fault::NoLengthTwice) {
                    let framing = self.worker.draw(|random| {
                        [BodyFraming::Explicit, BodyFraming::UntilClose][random.random_range(0..2)]
                    });
                    self.write(&reply.steps(framing).concat()).await?;
                }
                return Ok(Some(ConnectionEnd::Close));
            }
            _ => self.write_paced(&steps, reply.pause).await?,
        }
        Ok(None)
    }

    /// Sends further bytes after a complete answer, immediately or later.
    async fn send_trailing(&mut self, reply: &Reply, fault: Fault) -> std::io::Result<()> {
        self.has_surplus = true;
        self.worker
            .recorder
            .count_fault(format!("worker {fault:?}"));
        let due = match fault {
            Fault::ExtraBytes => {
                let index = self
                    .worker
                    .draw(|random| random.random_range(0..TRAILING_BYTES.len()));
                return self.write(TRAILING_BYTES[index]).await;
            }
            Fault::StutterLater => {
                let late_ms = self
                    .worker
                    .draw(|random| random.random_range(0..MAX_LATE_ANSWER_DELAY_MS));
                Due::At(Instant::now() + Duration::from_millis(late_ms))
            }
            _ => Due::BeforeAnswer(
                self.worker
                    .draw(|random| random.random_range(0..=MAX_ANSWERS_BETWEEN)),
            ),
        };
        let mut bytes = Bytes::from(reply.steps(BodyFraming::Explicit).concat());
        if fault == Fault::StutterTorn {
            let max_bytes = MAX_PARTIAL_ANSWER_BYTES.min(bytes.len());
            bytes.truncate(self.worker.draw(|random| random.random_range(1..max_bytes)));
        }
        self.late.push_back(LateAnswer { bytes, due });
        Ok(())
    }

    /// Writes bytes. If the worker is silent, a part of them, possibly an empty one, is written before the silence and
    /// the rest after it.
    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if !self.worker.is_silent() || bytes.is_empty() {
            return self.reader.source().write_all(bytes).await;
        }
        let length = self.worker.draw(|random| {
            let is_midway = random.random_bool(0.5);
            random.random_range(0..bytes.len()) * usize::from(is_midway)
        });
        self.reader.source().write_all(&bytes[..length]).await?;
        self.worker.wait_while_silent().await;
        self.reader.source().write_all(&bytes[length..]).await
    }

    async fn write_paced(&mut self, steps: &[Bytes], pause: Duration) -> std::io::Result<()> {
        let mut unsent = BytesMut::new();
        for step in steps {
            unsent.extend_from_slice(step);
            if pause.is_zero() {
                continue;
            }
            self.write(&unsent).await?;
            unsent.clear();
            sleep(pause).await;
        }
        self.write(&unsent).await
    }

    async fn write_split(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let max_bytes = MAX_PIECE_BYTES.min(bytes.len());
            let length = self
                .worker
                .draw(|random| random.random_range(1..=max_bytes));
            self.write(&bytes[..length]).await?;
            bytes = &bytes[length..];
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    async fn write_slowly(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        for piece in bytes.chunks(bytes.len().div_ceil(SLOW_ANSWER_PIECES).max(1)) {
            self.write(piece).await?;
            sleep(SLOW_ANSWER_PAUSE).await;
        }
        Ok(())
    }

    /// Sends an incomplete prefix of the bytes, possibly an empty one.
    async fn write_part(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let length = self
            .worker
            .draw(|random| random.random_range(0..bytes.len()));
        self.write(&bytes[..length]).await
    }
}
