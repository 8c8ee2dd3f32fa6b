//! Runs one episode: starts a site and callers, injects the faults of a schedule, and checks the evidence at the end.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::caller::{run_caller, send_crashing_request, CallerPlan};
use crate::evidence::{Evidence, Outcome};
use crate::faults::{Fault, FaultCounts};
use crate::judges::{judge, Rule, Violation};
use crate::schedule::{Focus, Schedule};
use crate::site::{Site, WORKERS};
use crate::worker::Recorder;

/// Interval between two checks of whether callers have had enough successes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of these checks. After that, the episode ends even with too few successes.
const MAX_POLLS: usize = 600;

/// The parameters of an episode.
#[derive(Debug, Clone)]
pub struct EpisodePlan {
    /// The seed of the schedule, the callers and the workers.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of callers.
    pub callers: usize,
    /// Number of requests that crash each worker which starts to run them. Each has its own caller, which repeats it.
    pub crashing_requests: usize,
    /// The episode continues without new faults until callers have received this many complete successful answers.
    pub min_successes: usize,
    /// Whether to include what gateways are known not to withstand: unsolved faults, and callers that send requests
    /// before the gateways know each other.
    pub include_unsolved: bool,
    /// Which faults are injected.
    pub focus: Focus,
    /// Mechanisms of the gateways that are disabled, by their names in the settings. Without a mechanism, the judge for
    /// it must find violations.
    pub disabled_mechanisms: Vec<String>,
    /// The program of another build that runs alongside this one, as during an upgrade or a rollback of a fleet.
    pub other_build: Option<PathBuf>,
}

/// Rules that the build in production does not implement. They are not checked if another build runs alongside.
const RULES_UNKNOWN_IN_PRODUCTION: [Rule; 5] = [
    Rule::Drain,
    Rule::Configuration,
    Rule::Recover,
    Rule::Lost,
    Rule::Version,
];

impl EpisodePlan {
    /// Creates a plan with this seed and duration, and defaults for the rest.
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            gateways: 3,
            callers: 32,
            crashing_requests: 2,
            min_successes: 100,
            include_unsolved: false,
            focus: Focus::Everything,
            disabled_mechanisms: Vec::new(),
            other_build: None,
        }
    }
}

/// A finished episode.
pub struct Episode {
    /// Its parameters.
    pub plan: EpisodePlan,
    /// Its schedule.
    pub schedule: Schedule,
    /// What callers and workers observed.
    pub evidence: Evidence,
    /// Counts of the faults that were injected.
    pub faults: FaultCounts,
    /// Violations of rules.
    pub violations: Vec<Violation>,
    /// The directory with the gateways' settings and logs.
    pub logs: TempDir,
}

impl Episode {
    /// Returns the number of requests whose caller received a complete successful answer.
    pub fn successes(&self) -> usize {
        count_successes(&self.evidence)
    }
}

/// Runs an episode and checks its evidence.
pub async fn run_episode(plan: EpisodePlan) -> Result<Episode> {
    let logs = tempfile::tempdir()?;
    let faults = Fault::enabled(plan.include_unsolved);
    let schedule = Schedule::from_seed(plan.seed, WORKERS.len(), plan.duration, &faults);
    let schedule = schedule.focused_on(plan.focus, plan.seed, plan.duration);
    let mixes = &schedule.first_mixes;
    let site = Site::start(&plan, mixes, logs.path()).await?;
    if !plan.include_unsolved {
        site.wait_until_gateways_discover_each_other().await;
    }
    let site = Rc::new(site);
    let linked_site = Rc::clone(&site);
    let link_task =
        actix_rt::spawn(async move { linked_site.redirect_announcements_to_links().await });
    let is_over = Rc::new(Cell::new(false));
    let callers = (0..plan.callers)
        .map(|number| actix_rt::spawn(run_caller(caller_plan(&plan, number, &site, &is_over))));
    let mut caller_tasks: Vec<_> = callers.collect();
    let crashing_callers = plan.callers..plan.callers + plan.crashing_requests;
    caller_tasks.extend(crashing_callers.map(|number| {
        actix_rt::spawn(send_crashing_request(caller_plan(
            &plan, number, &site, &is_over,
        )))
    }));
    let actions = start_actions(&site, &schedule).await;
    wait_for_successes(site.recorder(), plan.min_successes).await;
    is_over.set(true);
    for task in caller_tasks {
        task.await?;
    }
    for action in actions {
        action.await??;
    }
    site.clear_worker_faults();
    site.check_configuration().await;
    site.stop().await;
    link_task.abort();
    let (evidence, faults) = site.recorder().take();
    let mut violations = judge(&evidence);
    if plan.other_build.is_some() {
        violations.retain(|violation| !RULES_UNKNOWN_IN_PRODUCTION.contains(&violation.rule));
    }
    Ok(Episode {
        plan,
        schedule,
        evidence,
        faults,
        violations,
        logs,
    })
}

fn caller_plan(
    plan: &EpisodePlan,
    number: usize,
    site: &Site,
    is_over: &Rc<Cell<bool>>,
) -> CallerPlan {
    CallerPlan {
        number,
        seed: plan.seed.wrapping_add(number as u64),
        gateways: site.caller_addresses(),
        is_over: Rc::clone(is_over),
        recorder: site.recorder().clone(),
    }
}

type ActionTask = actix_rt::task::JoinHandle<Result<()>>;

/// Starts every action at its scheduled time and returns their tasks. Actions may overlap.
async fn start_actions(site: &Rc<Site>, schedule: &Schedule) -> Vec<ActionTask> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for scheduled in &schedule.actions {
        let at = Duration::from_millis(scheduled.at_ms);
        sleep(at.saturating_sub(started.elapsed())).await;
        let site = Rc::clone(site);
        let action = scheduled.action.clone();
        tasks.push(actix_rt::spawn(async move { site.perform(action).await }));
    }
    tasks
}

async fn wait_for_successes(recorder: &Recorder, min_successes: usize) {
    for _ in 0..MAX_POLLS {
        let mut count = 0;
        recorder.record(|evidence| count = count_successes(evidence));
        if count >= min_successes {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn count_successes(evidence: &Evidence) -> usize {
    let successful = evidence.sent.iter().filter(
        |sent| matches!(&sent.outcome, Outcome::Answer(answer) if answer.is_success() && answer.is_whole),
    );
    successful.count()
}
