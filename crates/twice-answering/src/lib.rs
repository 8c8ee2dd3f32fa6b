//! A server that answers its calls twice, or late, for clients that must not take an answer for
//! another's.

#![forbid(unsafe_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time in which bytes that were sent have arrived.
pub const ARRIVAL: Duration = Duration::from_millis(60);

/// When the second copy of an answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Second {
    /// Together with the first.
    AtOnce,
    /// While nothing is asked on the connection.
    WhileIdle,
    /// When the next question has come, before its own answer.
    BeforeTheNext,
    /// Never; the first comes only after this time.
    Never {
        /// How late the first comes.
        after: Duration,
    },
}

impl Second {
    /// Whenever a second answer may come.
    pub const ALL: [Self; 3] = [Self::AtOnce, Self::WhileIdle, Self::BeforeTheNext];
}

/// A status and a body.
pub type Answer = (u16, Vec<u8>);

/// The server; each question takes the next of its answers, on whatever connection it comes.
pub struct TwiceAnswering {
    /// Where it listens.
    pub address: SocketAddr,
    asked: Arc<Mutex<Vec<String>>>,
}

impl TwiceAnswering {
    /// Serves these answers in turn.
    pub fn start(second: Second, answers: Vec<Answer>) -> Self {
        let answers = Mutex::new(answers);
        Self::answering(second, move |_| {
            answers.lock().expect("not poisoned").remove(0)
        })
    }

    /// Answers each question, given by method and target.
    pub fn answering(
        second: Second,
        answer: impl Fn(&str) -> Answer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let asked: Arc<Mutex<Vec<String>>> = Arc::default();
        let record = Arc::clone(&asked);
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, answer) = (Arc::clone(&record), Arc::clone(&answer));
                thread::spawn(move || serve(stream, second, &record, &*answer));
            }
        });
        Self { address, asked }
    }

    /// The questions so far: method and target.
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("not poisoned").clone()
    }
}

fn serve(
    mut stream: TcpStream,
    second: Second,
    record: &Mutex<Vec<String>>,
    answer: &dyn Fn(&str) -> Answer,
) {
    let _ = stream.set_nodelay(true);
    let mut owed: Option<Vec<u8>> = None;
    while let Some(question) = read_question(&mut stream) {
        let answer = encode(answer(&question));
        record.lock().expect("not poisoned").push(question);
        let mut bytes = owed.take().unwrap_or_default();
        bytes.extend_from_slice(&answer);
        match second {
            Second::AtOnce => bytes.extend_from_slice(&answer),
            Second::BeforeTheNext => owed = Some(answer.clone()),
            Second::Never { after } => thread::sleep(after),
            Second::WhileIdle => {}
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if second == Second::WhileIdle {
            thread::sleep(ARRIVAL / 2);
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

/// Reads a whole question; none at the connection's end.
fn read_question(stream: &mut TcpStream) -> Option<String> {
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
