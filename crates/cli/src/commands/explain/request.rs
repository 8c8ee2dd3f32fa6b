//! Explains one request: its log lines from all gateways in order of time, and why it ended as it did.

use std::process::ExitCode;

use serde_json::Value;

/// Prints the log lines of a request and the cause of its end.
pub(super) fn explain(logs: &[String], request: &str, as_json: bool) -> ExitCode {
    let mut lines: Vec<Value> = logs
        .iter()
        .flat_map(|log| lines_of_request(log, request))
        .collect();
    lines.sort_by_key(|line| line["at_ms"].as_u64().unwrap_or_default());
    if lines.is_empty() {
        eprintln!("no line names request {request}");
        return ExitCode::FAILURE;
    }
    let cause = describe_cause(&lines);
    match as_json {
        true => println!("{}", serde_json::json!({ "lines": lines, "cause": cause })),
        false => print(&lines, &cause),
    }
    ExitCode::SUCCESS
}

fn lines_of_request(text: &str, request: &str) -> Vec<Value> {
    let parse = |line: &str| {
        let start = line.find('{')?;
        let value: Value = serde_json::from_str(&line[start..]).ok()?;
        (value["request"] == request).then_some(value)
    };
    text.lines().filter_map(parse).collect()
}

fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Returns one sentence that says why the request ended as it did.
fn describe_cause(lines: &[Value]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| text(line, "event") == event);
    if let Some(refused) = last("refused") {
        return format!(
            "refused before any send: {}, with configuration {} in force and the last answer of the \
             store {} ms old",
            text(refused, "reason"),
            refused["configuration"],
            refused["store_age_ms"]
        );
    }
    let failed_send = lines
        .iter()
        .rev()
        .find(|line| text(line, "event") == "send" && text(line, "outcome") != "answered");
    let send = failed_send.map_or_else(String::new, |send| {
        format!(
            "; last failed send: {} at {} {} ({}) after {} ms ({} ms were expected)",
            text(send, "work"),
            text(send, "worker"),
            text(send, "outcome"),
            text(send, "detail"),
            send["took_ms"],
            send["expected_ms"]
        )
    });
    match last("request") {
        Some(end) if is_late(end) => format!(
            "late: the answer began {} ms after the request, the objective is {} ms{}",
            end["begun_ms"],
            end["objective_ms"],
            describe_sends(lines)
        ),
        Some(end) => format!(
            "{}{} after {} ms and {} sends, {} ms and {} retries left{send}",
            text(end, "outcome"),
            describe_reason(end),
            end["took_ms"],
            end["sends"],
            end["left_ms"],
            end["retries_left"]
        ),
        None => {
            format!(
                "no end is logged: the gateway stopped first, or its log lines were dropped{send}"
            )
        }
    }
}

fn is_late(end: &Value) -> bool {
    let number = |field: &str| end[field].as_u64().unwrap_or_default();
    text(end, "outcome") == "delivered" && number("begun_ms") > number("objective_ms")
}

/// Returns a list of the sends with their observed and expected times.
fn describe_sends(lines: &[Value]) -> String {
    let sends = lines.iter().filter(|line| text(line, "event") == "send");
    let describe = |send: &Value| {
        let relay = match text(send, "relay") {
            "" => String::new(),
            relay => format!(" through {relay}"),
        };
        format!(
            "; {} at {}{relay}: {} ms, {} ms expected, {} tokens to read",
            text(send, "work"),
            text(send, "worker"),
            send["head_ms"],
            send["expected_ms"],
            send["reading_tokens"]
        )
    };
    sends.map(describe).collect()
}

/// Returns why a request was not sent, or not retried, in words that follow the outcome.
fn describe_reason(end: &Value) -> String {
    match text(end, "cause") {
        "" if text(end, "outcome") == "barred" => format!(
            " because workers crash while running it (fingerprint {})",
            text(end, "fingerprint")
        ),
        "" => String::new(),
        "overload" => format!(
            " because of overload (its prompt would have waited {} ms)",
            end["waiting_ms"]
        ),
        "tenant_share" => format!(
            " because of its tenant's share (it would have waited {} ms, in time for a tenant below its share)",
            end["waiting_ms"]
        ),
        "workers_rest" => " because all workers that could run it were backing off".into(),
        "no_path" => " because its gateway reached workers neither directly nor through another gateway".into(),
        other => format!(" because of {other}"),
    }
}

fn print(lines: &[Value], cause: &str) {
    for line in lines {
        let fields = line.as_object().into_iter().flatten();
        let fields = fields
            .filter(|(name, _)| !matches!(name.as_str(), "at_ms" | "node" | "event" | "request"));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (at, node, event) = (&line["at_ms"], text(line, "node"), text(line, "event"));
        println!("{at} {node} {event} {}", fields.join(" "));
    }
    println!("cause: {cause}");
}
