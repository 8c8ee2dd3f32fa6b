//! Closed and open loops of short requests, over connections that stay open, on a few threads.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Threads that send requests.
const CLIENT_THREADS: usize = 4;

/// What came of one load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadResult {
    /// Requests answered with success.
    pub requests: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Answers a second.
    pub requests_per_second: f64,
    /// Median latency, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of latency, in milliseconds.
    pub p99_ms: f64,
}

struct Counts {
    latency: Histogram<u64>,
    failed: u64,
}

impl Counts {
    fn new() -> Self {
        let latency = Histogram::new(3).expect("three digits are valid");
        Self { latency, failed: 0 }
    }

    fn record(&mut self, answered: bool, latency: Duration) {
        if !answered {
            self.failed += 1;
            return;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency
            .record(micros.max(1))
            .expect("the histogram resizes");
    }
}

/// Every connection sends its next request as soon as it has its answer.
pub async fn closed_loop(url: &str, duration: Duration, connections: usize) -> LoadResult {
    run(url, duration, connections, None).await
}

/// Requests are due at a fixed rate; latency counts from when a request was due.
pub async fn open_loop(url: &str, duration: Duration, rate: f64, connections: usize) -> LoadResult {
    let interval = Duration::from_secs_f64(connections as f64 / rate);
    run(url, duration, connections, Some(interval)).await
}

async fn run(
    url: &str,
    duration: Duration,
    connections: usize,
    interval: Option<Duration>,
) -> LoadResult {
    let per_thread = connections.div_ceil(CLIENT_THREADS);
    let threads: Vec<_> = (0..CLIENT_THREADS)
        .map(|_| {
            let url = url.to_owned();
            std::thread::spawn(move || {
                let task = client_thread(url, duration, per_thread, interval);
                actix_rt::System::new().block_on(task)
            })
        })
        .collect();
    let mut total = Counts::new();
    for thread in threads {
        let joined = actix_rt::task::spawn_blocking(move || thread.join()).await;
        if let Ok(Ok(counts)) = joined {
            total
                .latency
                .add(&counts.latency)
                .expect("the histogram resizes");
            total.failed += counts.failed;
        }
    }
    let millis = |quantile| total.latency.value_at_quantile(quantile) as f64 / 1_000.0;
    LoadResult {
        requests: total.latency.len(),
        failed: total.failed,
        requests_per_second: total.latency.len() as f64 / duration.as_secs_f64(),
        median_ms: millis(0.5),
        p99_ms: millis(0.99),
    }
}

async fn client_thread(
    url: String,
    duration: Duration,
    connections: usize,
    interval: Option<Duration>,
) -> Counts {
    let counts = Rc::new(RefCell::new(Counts::new()));
    let client = awc::Client::default();
    let started = Instant::now();
    let tasks: Vec<_> = (0..connections)
        .map(|index| {
            let offset = interval.map_or(Duration::ZERO, |interval| {
                interval.mul_f64(index as f64 / connections as f64)
            });
            let connection = connection(client.clone(), url.clone(), started + offset, interval);
            let counts = Rc::clone(&counts);
            actix_rt::spawn(connection.run(started + duration, counts))
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    Rc::into_inner(counts).map_or_else(Counts::new, RefCell::into_inner)
}

struct Connection {
    client: awc::Client,
    url: String,
    due: Instant,
    interval: Option<Duration>,
}

fn connection(
    client: awc::Client,
    url: String,
    due: Instant,
    interval: Option<Duration>,
) -> Connection {
    Connection {
        client,
        url,
        due,
        interval,
    }
}

impl Connection {
    async fn run(mut self, end: Instant, counts: Rc<RefCell<Counts>>) {
        loop {
            if let Some(interval) = self.interval {
                actix_rt::time::sleep_until(self.due.into()).await;
                self.due += interval;
            }
            let begun = match self.interval {
                Some(interval) => self.due - interval,
                None => Instant::now(),
            };
            if begun >= end || Instant::now() >= end {
                return;
            }
            let answered = self.request().await;
            counts.borrow_mut().record(answered, begun.elapsed());
        }
    }

    async fn request(&self) -> bool {
        let Ok(mut response) = self.client.get(&self.url).send().await else {
            return false;
        };
        response.status().is_success() && response.body().await.is_ok()
    }
}
