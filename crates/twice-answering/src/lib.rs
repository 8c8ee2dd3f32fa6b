//! A test HTTP server that sends answers twice or late, for tests which check that clients never use the
//! answer to one request for another.

#![forbid(unsafe_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time after which sent bytes are assumed to have arrived.
pub const DELIVERY_TIME: Duration = Duration::from_millis(60);

/// When the duplicate of an answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DuplicateTiming {
    /// Together with the answer.
    Immediate,
    /// Shortly after the answer, while no request is in progress on the connection.
    WhileIdle,
    /// After the next request has been received, before the answer to that request.
    BeforeNextAnswer,
    /// No duplicate is sent, and the answer is delayed.
    NoDuplicate {
        /// Delay of the answer.
        answer_delay: Duration,
    },
}

impl DuplicateTiming {
    /// All variants that send a duplicate.
    pub const ALL: [Self; 3] = [Self::Immediate, Self::WhileIdle, Self::BeforeNextAnswer];
}

/// Status code and body of an answer.
pub type Answer = (u16, Vec<u8>);

/// A server that sends its answers in order, regardless of the connection on which a request arrives.
pub struct DuplicateAnswerServer {
    /// The address at which it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl DuplicateAnswerServer {
    /// Starts a server that sends these answers in order.
    pub fn start(timing: DuplicateTiming, answers: Vec<Answer>) -> Self {
        let answers = Mutex::new(answers);
        Self::start_with_handler(timing, move |_| {
            answers.lock().expect("not poisoned").remove(0)
        })
    }

    /// Starts a server that computes the answer to each request from its method and target.
    pub fn start_with_handler(
        timing: DuplicateTiming,
        answer: impl Fn(&str) -> Answer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let record = Arc::clone(&requests);
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, answer) = (Arc::clone(&record), Arc::clone(&answer));
                thread::spawn(move || serve_connection(stream, timing, &record, &*answer));
            }
        });
        Self { address, requests }
    }

    /// Returns the requests received so far, each as method and target in lower case.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("not poisoned").clone()
    }
}

fn serve_connection(
    mut stream: TcpStream,
    timing: DuplicateTiming,
    record: &Mutex<Vec<String>>,
    answer: &dyn Fn(&str) -> Answer,
) {
    let _ = stream.set_nodelay(true);
    let mut pending_duplicate: Option<Vec<u8>> = None;
    while let Some(request) = read_request(&mut stream) {
        let answer = encode(answer(&request));
        record.lock().expect("not poisoned").push(request);
        let mut bytes = pending_duplicate.take().unwrap_or_default();
        bytes.extend_from_slice(&answer);
        match timing {
            DuplicateTiming::Immediate => bytes.extend_from_slice(&answer),
            DuplicateTiming::BeforeNextAnswer => pending_duplicate = Some(answer.clone()),
            DuplicateTiming::NoDuplicate { answer_delay } => thread::sleep(answer_delay),
            DuplicateTiming::WhileIdle => {}
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if timing == DuplicateTiming::WhileIdle {
            thread::sleep(DELIVERY_TIME / 2);
            let _ = stream.write_all(&answer);
        }
    }
}

fn encode((status, body): Answer) -> Vec<u8> {
    let length = body.len();
    let mut bytes = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a request including its body, and returns method and target in lower case. Returns `None` if the
/// connection is closed or the request is malformed.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(Some(0), |text| text.trim().parse().ok())?;
    stream.read_exact(&mut vec![0; length]).ok()?;
    let line = head.lines().next()?;
    Some(line.trim_end_matches(" http/1.1").to_owned())
}
