//! Runs episodes in sequence, and shrinks the fault list of a failing one.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_core::{Duration, Timestamp};

use crate::cluster::Cluster;
use crate::faults::{plan_faults, FaultKind, PlannedFault};
use crate::oracle::{Activity, Violation};

/// Duration of an episode in virtual time.
const EPISODE_DURATION: Duration = Duration::from_secs(120);

/// A rule of the mechanisms that can be disabled, to show that the oracle detects the resulting fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Engines reject stale fence tokens.
    Fence,
    /// Changes wait until no request is in progress.
    Drain,
    /// A restarted replica is not a member of the view any more.
    Journal,
    /// Without a quorum, a request is not reported as `not-run`.
    Verdict,
    /// An older configuration never replaces a newer one.
    Monotonic,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 5] = [
        Rule::Fence,
        Rule::Drain,
        Rule::Journal,
        Rule::Verdict,
        Rule::Monotonic,
    ];

    /// Returns the name of the rule on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Rule::Fence => "fence",
            Rule::Drain => "drain",
            Rule::Journal => "journal",
            Rule::Verdict => "verdict",
            Rule::Monotonic => "monotonic",
        }
    }
}

/// The result of an episode.
#[derive(Debug, Clone)]
pub struct Episode {
    /// Seed of the episode.
    pub seed: u64,
    /// Faults of the episode.
    pub faults: Vec<PlannedFault>,
    /// Number of events handled.
    pub steps: u64,
    /// Counts of what happened.
    pub activity: Activity,
    /// The violation that ended the episode, if any.
    pub violation: Option<Violation>,
}

/// Runs an episode with `faults`.
pub fn run_episode(seed: u64, faults: &[PlannedFault], disabled_rule: Option<Rule>) -> Episode {
    let mut cluster = Cluster::new(seed, faults, disabled_rule);
    let steps = cluster.run(Timestamp::default() + EPISODE_DURATION);
    Episode {
        seed,
        faults: faults.to_vec(),
        steps,
        activity: cluster.oracle().activity(),
        violation: cluster.oracle().violations().first().copied(),
    }
}

/// Removes every fault without which the episode still ends with the same violation.
pub fn shrink(failed: &Episode, disabled_rule: Option<Rule>) -> Episode {
    let mut smallest = failed.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut faults = smallest.faults.clone();
        faults.remove(index);
        let candidate = run_episode(failed.seed, &faults, disabled_rule);
        if candidate.violation == failed.violation {
            smallest = candidate;
        } else {
            index += 1;
        }
    }
    smallest
}

/// The result of a soak.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Seed of the first episode. Each further episode uses the next number.
    pub seed: u64,
    /// Number of episodes run.
    pub episodes: u64,
    /// Number of events handled.
    pub steps: u64,
    /// Number of faults planned in all episodes.
    pub faults: u64,
    /// Number of planned faults by kind.
    pub faults_by_kind: BTreeMap<FaultKind, u64>,
    /// Counts of what happened.
    pub activity: Activity,
    /// Number of episodes that ended with a violation.
    pub violations: u64,
}

/// Runs episodes while `should_continue` returns true and none fails. Returns the failing episode, shrunk, if any.
pub fn soak(
    seed: u64,
    disabled_rule: Option<Rule>,
    mut should_continue: impl FnMut(&Report) -> bool,
) -> (Report, Option<Episode>) {
    let mut report = Report {
        seed,
        ..Report::default()
    };
    while should_continue(&report) {
        let seed = seed.wrapping_add(report.episodes);
        let faults = plan_faults(&mut ChaCha8Rng::seed_from_u64(seed), EPISODE_DURATION);
        let episode = run_episode(seed, &faults, disabled_rule);
        report.episodes += 1;
        report.steps += episode.steps;
        report.activity += episode.activity;
        report.faults += faults.len() as u64;
        for planned in &faults {
            *report.faults_by_kind.entry(planned.fault.kind).or_default() += 1;
        }
        if episode.violation.is_some() {
            report.violations += 1;
            return (report, Some(shrink(&episode, disabled_rule)));
        }
    }
    (report, None)
}
