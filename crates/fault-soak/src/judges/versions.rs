//! A stream goes on only at the software version of the worker that began it, in one answer and over its caller's tries.

use std::collections::HashMap;

use super::stream_events::read_events;
use super::{Rule, Violation};
use crate::evidence::{Evidence, Outcome, SentRequest};

/// Finds streams that hold events from workers of two software versions.
pub fn check_versions(evidence: &Evidence) -> Vec<Violation> {
    let runs = evidence.runs.iter();
    let versions: HashMap<u64, &str> = runs
        .map(|run| (run.mark.run, run.version.as_str()))
        .collect();
    let mut tries: HashMap<&str, Vec<&SentRequest>> = HashMap::new();
    for sent in evidence.sent.iter().filter(|sent| sent.route.is_stream()) {
        tries.entry(&sent.key.id).or_default().push(sent);
    }
    let mut violations = Vec::new();
    for mut tries in tries.into_values() {
        tries.sort_by_key(|sent| sent.at_ms);
        let mut began_at = None;
        let first_target = tries.first().map(|sent| &sent.key.target);
        // A caller names the stream that it takes up by its id alone, so that only the first stream of an id is certain.
        let of_first_stream = tries
            .iter()
            .take_while(|sent| Some(&sent.key.target) == first_target);
        for sent in of_first_stream {
            if sent.after_event.is_none() {
                began_at = None;
            }
            let Outcome::Answer(answer) = &sent.outcome else {
                continue;
            };
            let events = read_events(&answer.body).events;
            let of_events = events
                .iter()
                .filter_map(|event| versions.get(&event.mark.run).copied());
            for version in of_events {
                if *began_at.get_or_insert(version) != version {
                    let what = "stream went on at another software version";
                    violations.push(Violation::for_request(Rule::Version, what, sent, None));
                    break;
                }
            }
        }
    }
    violations
}
