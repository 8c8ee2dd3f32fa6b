//! Closed-loop and open-loop clients for short requests, over persistent connections on a few threads.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Threads that send requests.
const CLIENT_THREADS: usize = 4;

/// Results of one load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadResult {
    /// Requests that were answered with a success status.
    pub requests: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Successful requests per second.
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
        let latency = Histogram::new(3).expect("3 significant digits are valid");
        Self { latency, failed: 0 }
    }

    fn record(&mut self, succeeded: bool, latency: Duration) {
        if !succeeded {
            self.failed += 1;
            return;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency
            .record(micros.max(1))
            .expect("histogram resizes automatically");
    }
}

/// Runs a closed loop: each connection sends its next request as soon as the previous one is answered.
pub async fn closed_loop(url: &str, duration: Duration, connections: usize) -> LoadResult {
    run(url, duration, connections, None).await
}

/// Runs an open loop: requests are due at a fixed rate, and latency is measured from the due time.
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
    let connections_per_thread = connections.div_ceil(CLIENT_THREADS);
    let threads: Vec<_> = (0..CLIENT_THREADS)
        .map(|_| {
            let url = url.to_owned();
            std::thread::spawn(move || {
                let task = client_thread(url, duration, connections_per_thread, interval);
                actix_rt::System::new().block_on(task)
            })
        })
        .collect();
    let mut total = Counts::new();
    for thread in threads {
        let result = actix_rt::task::spawn_blocking(move || thread.join()).await;
        if let Ok(Ok(counts)) = result {
            total
                .latency
                .add(&counts.latency)
                .expect("histogram resizes automatically");
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
            let connection =
                new_connection(client.clone(), url.clone(), started + offset, interval);
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
    next_due: Instant,
    interval: Option<Duration>,
}

fn new_connection(
    client: awc::Client,
    url: String,
    next_due: Instant,
    interval: Option<Duration>,
) -> Connection {
    Connection {
        client,
        url,
        next_due,
        interval,
    }
}

impl Connection {
    async fn run(mut self, end: Instant, counts: Rc<RefCell<Counts>>) {
        loop {
            if let Some(interval) = self.interval {
                actix_rt::time::sleep_until(self.next_due.into()).await;
                self.next_due += interval;
            }
            let start = match self.interval {
                Some(interval) => self.next_due - interval,
                None => Instant::now(),
            };
            if start >= end || Instant::now() >= end {
                return;
            }
            let succeeded = self.request().await;
            counts.borrow_mut().record(succeeded, start.elapsed());
        }
    }

    async fn request(&self) -> bool {
        let Ok(mut response) = self.client.get(&self.url).send().await else {
            return false;
        };
        response.status().is_success() && response.body().await.is_ok()
    }
}
