//! Summary of whole logs: how requests ended and why, the expected and observed times of each kind of work,
//! and the requests and engines in each interval of time.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

use super::line::{parse_lines, Line, LoggedEvent, LoggedRequest, LoggedSend};
use super::table;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Prints the summary of the logs, with one row for each interval of `interval_seconds`.
pub(super) fn explain(logs: &[String], interval_seconds: u64) -> ExitCode {
    let lines: Vec<Line> = logs.iter().flat_map(|log| parse_lines(log)).collect();
    let Some(first) = lines.iter().map(|line| line.at_ms).min() else {
        eprintln!("the files contain no line of a gateway's log");
        return ExitCode::FAILURE;
    };
    let mut summary = Summary::default();
    for line in &lines {
        let second = (line.at_ms - first) / MILLIS_PER_SECOND;
        summary.record(second / interval_seconds * interval_seconds, &line.event);
    }
    summary.print();
    ExitCode::SUCCESS
}

/// A kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    /// An engine reads a prompt, and another engine runs the request.
    ReadApart,
    /// An engine reads a prompt and runs the request.
    ReadAndRun,
    /// An engine runs a request without reading prompt tokens.
    Run,
}

impl Work {
    fn of(send: &LoggedSend) -> Self {
        match (send.work.as_str(), send.reading_tokens) {
            ("read_prompt", _) => Work::ReadApart,
            (_, 0) => Work::Run,
            _ => Work::ReadAndRun,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Work::ReadApart => "read apart",
            Work::ReadAndRun => "read and run",
            Work::Run => "run",
        }
    }
}

/// Expected and observed times of one kind of work.
#[derive(Debug, Default)]
struct WorkTimes {
    /// Expected time divided by observed time, for each send.
    ratios: Vec<f64>,
    /// Observed times to the beginning of the answer, in milliseconds.
    heads_ms: Vec<u64>,
}

impl WorkTimes {
    fn record(&mut self, send: &LoggedSend) {
        // The log has whole milliseconds: half a millisecond is added to both times, which also avoids a division by 0.
        let ratio = (send.expected_ms as f64 + 0.5) / (send.head_ms as f64 + 0.5);
        self.ratios.push(ratio);
        self.heads_ms.push(send.head_ms);
    }

    fn row(mut self, work: Work) -> Vec<String> {
        self.ratios.sort_by(f64::total_cmp);
        self.heads_ms.sort_unstable();
        let ratio =
            |fraction| quantile(&self.ratios, fraction).map_or("-".into(), |r| format!("{r:.2}"));
        let head =
            |fraction| quantile(&self.heads_ms, fraction).map_or("-".into(), |ms| ms.to_string());
        vec![
            work.name().into(),
            self.heads_ms.len().to_string(),
            head(0.5),
            head(0.9),
            ratio(0.1),
            ratio(0.5),
            ratio(0.9),
        ]
    }
}

/// Events in one interval of time.
#[derive(Debug, Default)]
struct Interval {
    /// Prompts that were read apart, by the engines in `readers`.
    readings: u64,
    /// Tokens of these prompts.
    tokens: u64,
    readers: BTreeSet<String>,
    in_time: u64,
    late: u64,
    refused: u64,
    other: u64,
    orders: Vec<String>,
}

impl Interval {
    fn count(&mut self, request: &LoggedRequest) {
        let counter = match (request.is_late(), request.outcome.as_str()) {
            (true, _) => &mut self.late,
            (false, "delivered") => &mut self.in_time,
            (false, "refused") => &mut self.refused,
            _ => &mut self.other,
        };
        *counter += 1;
    }

    fn row(&self, second: u64) -> Vec<String> {
        vec![
            second.to_string(),
            self.in_time.to_string(),
            self.late.to_string(),
            self.refused.to_string(),
            self.other.to_string(),
            self.readings.to_string(),
            self.tokens.to_string(),
            self.readers.len().to_string(),
            self.orders.join(" "),
        ]
    }
}

/// A summary of all log lines.
#[derive(Debug, Default)]
struct Summary {
    /// Number of requests by route and end.
    ends: BTreeMap<(String, String), u64>,
    work_times: BTreeMap<Work, WorkTimes>,
    /// Intervals by their first second, counted from the first line.
    intervals: BTreeMap<u64, Interval>,
}

impl Summary {
    fn record(&mut self, second: u64, event: &LoggedEvent) {
        let interval = self.intervals.entry(second).or_default();
        match event {
            LoggedEvent::Send(send) if send.outcome == "answered" => {
                let work = Work::of(send);
                self.work_times.entry(work).or_default().record(send);
                if work == Work::ReadApart {
                    interval.readings += 1;
                    interval.tokens += send.reading_tokens;
                    interval.readers.insert(send.worker.clone());
                }
            }
            LoggedEvent::Request(request) => {
                interval.count(request);
                let end = (request.route.clone(), request.describe_end());
                *self.ends.entry(end).or_default() += 1;
            }
            LoggedEvent::Order { worker, role } => interval.orders.push(format!("{worker}:{role}")),
            LoggedEvent::Send(_) | LoggedEvent::Other => {}
        }
    }

    fn print(self) {
        let ends = self.ends.into_iter();
        let rows: Vec<Vec<String>> = ends
            .map(|((route, end), count)| vec![route, end, count.to_string()])
            .collect();
        table::print(&["route", "end", "requests"], &rows);
        let work_times = self.work_times.into_iter();
        let rows: Vec<Vec<String>> = work_times.map(|(work, times)| times.row(work)).collect();
        table::print(
            &[
                "work",
                "sends",
                "ms p50",
                "ms p90",
                "expected/observed p10",
                "p50",
                "p90",
            ],
            &rows,
        );
        let intervals = self.intervals.iter();
        let rows: Vec<Vec<String>> = intervals
            .map(|(second, interval)| interval.row(*second))
            .collect();
        table::print(
            &[
                "second", "in time", "late", "refused", "other", "readings", "tokens", "readers",
                "orders",
            ],
            &rows,
        );
    }
}

/// Returns the value below which this fraction of the sorted values lie.
fn quantile<T: Copy>(sorted: &[T], fraction: f64) -> Option<T> {
    let last = sorted.len().checked_sub(1)?;
    sorted
        .get((last as f64 * fraction).round() as usize)
        .copied()
}
