//! A whole day: how requests ended and why, what each kind of work was expected to take against what
//! it took, and the engines at work over time.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

use super::line::{lines_of, Line, LoggedEvent, LoggedRequest, LoggedSend};
use super::table;

const MILLIS_A_SECOND: u64 = 1_000;

/// Prints the summary of a day's logs in spans of so many seconds.
pub(super) fn explain(logs: &[String], every: u64) -> ExitCode {
    let lines: Vec<Line> = logs.iter().flat_map(|log| lines_of(log)).collect();
    let Some(first) = lines.iter().map(|line| line.at_ms).min() else {
        eprintln!("no line of a gateway's log");
        return ExitCode::FAILURE;
    };
    let mut day = Day::default();
    for line in &lines {
        let second = (line.at_ms - first) / MILLIS_A_SECOND;
        day.take(second / every * every, &line.event);
    }
    day.print();
    ExitCode::SUCCESS
}

/// A kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    /// An engine reads a prompt whose stream goes on elsewhere.
    ReadApart,
    /// An engine reads a prompt and runs it.
    ReadAndRun,
    /// An engine runs what needs no reading there.
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

/// What was expected and observed of one kind of work.
#[derive(Debug, Default)]
struct Expectations {
    ratios: Vec<f64>,
    heads: Vec<u64>,
}

impl Expectations {
    fn take(&mut self, send: &LoggedSend) {
        // Half a millisecond more on both sides: whole ones were logged.
        let ratio = (send.expected_ms as f64 + 0.5) / (send.head_ms as f64 + 0.5);
        self.ratios.push(ratio);
        self.heads.push(send.head_ms);
    }

    fn row(mut self, work: Work) -> Vec<String> {
        self.ratios.sort_by(f64::total_cmp);
        self.heads.sort_unstable();
        let ratio = |part| quantile(&self.ratios, part).map_or("-".into(), |r| format!("{r:.2}"));
        let head = |part| quantile(&self.heads, part).map_or("-".into(), |ms| ms.to_string());
        vec![
            work.name().into(),
            self.heads.len().to_string(),
            head(0.5),
            head(0.9),
            ratio(0.1),
            ratio(0.5),
            ratio(0.9),
        ]
    }
}

/// What happened in a span of time.
#[derive(Debug, Default)]
struct Span {
    readings: u64,
    tokens: u64,
    readers: BTreeSet<String>,
    in_time: u64,
    late: u64,
    refused: u64,
    other: u64,
    orders: Vec<String>,
}

impl Span {
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

/// A whole day.
#[derive(Debug, Default)]
struct Day {
    ends: BTreeMap<(String, String), u64>,
    expectations: BTreeMap<Work, Expectations>,
    spans: BTreeMap<u64, Span>,
}

impl Day {
    fn take(&mut self, second: u64, event: &LoggedEvent) {
        let span = self.spans.entry(second).or_default();
        match event {
            LoggedEvent::Send(send) if send.outcome == "answered" => {
                let work = Work::of(send);
                self.expectations.entry(work).or_default().take(send);
                if work == Work::ReadApart {
                    span.readings += 1;
                    span.tokens += send.reading_tokens;
                    span.readers.insert(send.worker.clone());
                }
            }
            LoggedEvent::Request(request) => {
                span.count(request);
                let end = (request.route.clone(), request.end());
                *self.ends.entry(end).or_default() += 1;
            }
            LoggedEvent::Order { worker, role } => span.orders.push(format!("{worker}:{role}")),
            LoggedEvent::Send(_) | LoggedEvent::Other => {}
        }
    }

    fn print(self) {
        let ends = self.ends.into_iter();
        let rows: Vec<Vec<String>> = ends
            .map(|((route, end), count)| vec![route, end, count.to_string()])
            .collect();
        table::print(&["route", "end", "requests"], &rows);
        let expectations = self.expectations.into_iter();
        let rows: Vec<Vec<String>> = expectations.map(|(work, seen)| seen.row(work)).collect();
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
        let spans = self.spans.iter();
        let rows: Vec<Vec<String>> = spans.map(|(second, span)| span.row(*second)).collect();
        table::print(
            &[
                "second", "in time", "late", "refused", "other", "readings", "tokens", "readers",
                "orders",
            ],
            &rows,
        );
    }
}

/// The value below which a part of the sorted values lie.
fn quantile<T: Copy>(sorted: &[T], part: f64) -> Option<T> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * part).round() as usize).copied()
}
