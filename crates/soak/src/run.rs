//! Episodes one after the other, and the shrinking of one that fails.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_core::{Duration, Timestamp};

use crate::cluster::Cluster;
use crate::faults::{plan, FaultKind, PlannedFault};
use crate::oracle::{Activity, Violation};

/// Virtual time of an episode.
const EPISODE: Duration = Duration::from_secs(120);

/// A mechanism that can be switched off, to show that the judge can find a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Engines refuse stale tokens.
    Fence,
    /// Changes wait for requests in progress.
    Drain,
    /// A restarted replica is no member of its view.
    Journal,
    /// Without a quorum the verdict is not `not-run`.
    Verdict,
    /// An older configuration never replaces a newer one.
    Monotonic,
}

impl Rule {
    /// Every rule.
    pub const ALL: [Rule; 5] = [
        Rule::Fence,
        Rule::Drain,
        Rule::Journal,
        Rule::Verdict,
        Rule::Monotonic,
    ];

    /// The rule's name on the command line.
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

/// How an episode went.
#[derive(Debug, Clone)]
pub struct Episode {
    /// Its seed.
    pub seed: u64,
    /// Its faults.
    pub faults: Vec<PlannedFault>,
    /// Events handled.
    pub steps: u64,
    /// What happened.
    pub activity: Activity,
    /// What did not hold; the episode ended there.
    pub violation: Option<Violation>,
}

/// Runs an episode with these faults.
pub fn run_episode(seed: u64, faults: &[PlannedFault], broken: Option<Rule>) -> Episode {
    let mut cluster = Cluster::new(seed, faults, broken);
    let steps = cluster.run(Timestamp::default() + EPISODE);
    Episode {
        seed,
        faults: faults.to_vec(),
        steps,
        activity: cluster.oracle().activity(),
        violation: cluster.oracle().violations().first().copied(),
    }
}

/// Drops faults for as long as the same violation remains.
pub fn shrink(failed: &Episode, broken: Option<Rule>) -> Episode {
    let mut smallest = failed.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut faults = smallest.faults.clone();
        faults.remove(index);
        let tried = run_episode(failed.seed, &faults, broken);
        if tried.violation == failed.violation {
            smallest = tried;
        } else {
            index += 1;
        }
    }
    smallest
}

/// What a soak found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// The first episode's seed; each further one has the next.
    pub seed: u64,
    /// Episodes run.
    pub episodes: u64,
    /// Events handled.
    pub steps: u64,
    /// Faults planned in the episodes.
    pub faults: u64,
    /// Faults by kind.
    pub faults_by_kind: BTreeMap<FaultKind, u64>,
    /// What happened.
    pub activity: Activity,
    /// Episodes that ended with a violation.
    pub violations: u64,
}

/// Runs episodes while `go_on` says so; returns at the first that fails, shrunk.
pub fn soak(
    seed: u64,
    broken: Option<Rule>,
    mut go_on: impl FnMut(&Report) -> bool,
) -> (Report, Option<Episode>) {
    let mut report = Report {
        seed,
        ..Report::default()
    };
    while go_on(&report) {
        let seed = seed.wrapping_add(report.episodes);
        let faults = plan(&mut ChaCha8Rng::seed_from_u64(seed), EPISODE);
        let episode = run_episode(seed, &faults, broken);
        report.episodes += 1;
        report.steps += episode.steps;
        report.activity += episode.activity;
        report.faults += faults.len() as u64;
        for planned in &faults {
            *report.faults_by_kind.entry(planned.fault.kind).or_default() += 1;
        }
        if episode.violation.is_some() {
            report.violations += 1;
            return (report, Some(shrink(&episode, broken)));
        }
    }
    (report, None)
}
