//! How long the requests of each route have recently taken, from their arrival to the end of their answers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of recent requests of a route that are kept.
const MAX_SAMPLES: usize = 64;
/// One of this many requests may take longer than the usual maximum.
const LONGER_THAN_USUAL: usize = 10;

/// The times that recent requests took, by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<String, VecDeque<Duration>>,
}

impl AnswerTimes {
    /// Records that a request of this route took `time`.
    pub fn record(&mut self, route: &str, time: Duration) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), VecDeque::new());
        }
        if let Some(times) = self.routes.get_mut(route) {
            if times.len() == MAX_SAMPLES {
                times.pop_front();
            }
            times.push_back(time);
        }
    }

    /// Returns the time that nine of ten recent requests of this route took at most. `None` if none has ended.
    pub fn usual_maximum(&self, route: &str) -> Option<Duration> {
        let mut times: Vec<Duration> = self.routes.get(route)?.iter().copied().collect();
        times.sort_unstable();
        let longer = times.len() / LONGER_THAN_USUAL;
        times.iter().rev().nth(longer).copied()
    }

    /// Forgets the routes for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}
