//! One episode: a site, a schedule of faults, callers, and the judges at the end.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::caller::{call, repeat_deadly, CallerPlan};
use crate::evidence::{Evidence, Outcome};
use crate::faults::{Fault, FaultCounts};
use crate::judges::{judge, Rule, Violation};
use crate::schedule::Schedule;
use crate::site::{Site, WORKERS};
use crate::worker::Notebook;

/// Pause between two looks at whether an episode is over.
const POLL: Duration = Duration::from_millis(50);
/// How often such a look is taken before an episode with too few answers ends all the same.
const MAX_POLLS: usize = 600;

/// What an episode is.
#[derive(Debug, Clone)]
pub struct EpisodePlan {
    /// The seed of its schedule, its callers and its workers.
    pub seed: u64,
    /// How long faults happen.
    pub duration: Duration,
    /// Gateway processes.
    pub gateways: usize,
    /// Callers.
    pub callers: usize,
    /// Requests that end each worker which begins to run them, each with a caller that repeats it.
    pub deadly_requests: usize,
    /// It goes on without new actions until callers have had this many whole successes.
    pub least_successes: usize,
    /// Whether what gateways are known not to withstand is played too: unsolved faults, and callers that
    /// come before the gateways know each other.
    pub with_unsolved: bool,
    /// Mechanisms of the gateways that are switched off, by their names in the settings: what a judge is
    /// about must be found without them.
    pub switched_off: Vec<String>,
    /// The program of another build that runs beside this one, as while a fleet is upgraded or rolled back.
    pub beside: Option<PathBuf>,
}

/// Rules that the build in production does not know.
const UNKNOWN_BESIDE: [Rule; 1] = [Rule::Configuration];

impl EpisodePlan {
    /// A plan with this seed and duration.
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            gateways: 3,
            callers: 32,
            deadly_requests: 2,
            least_successes: 100,
            with_unsolved: false,
            switched_off: Vec::new(),
            beside: None,
        }
    }
}

/// What came of an episode.
pub struct Episode {
    /// What it was.
    pub plan: EpisodePlan,
    /// Its schedule.
    pub schedule: Schedule,
    /// What was seen.
    pub evidence: Evidence,
    /// Faults that happened.
    pub faults: FaultCounts,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// The directory of the gateways' settings and logs.
    pub logs: TempDir,
}

impl Episode {
    /// Requests whose caller got a whole success.
    pub fn successes(&self) -> usize {
        successes(&self.evidence)
    }
}

/// Runs an episode and judges it.
pub async fn run_episode(plan: EpisodePlan) -> Result<Episode> {
    let logs = tempfile::tempdir()?;
    let faults = Fault::played(plan.with_unsolved);
    let schedule = Schedule::of_seed(plan.seed, WORKERS.len(), plan.duration, &faults);
    let mixes = &schedule.first_mixes;
    let site = Site::start(&plan, mixes, logs.path()).await?;
    if !plan.with_unsolved {
        site.until_gateways_know_each_other().await;
    }
    let site = Rc::new(site);
    let linked = Rc::clone(&site);
    let links = actix_rt::spawn(async move { linked.link_announcements().await });
    let is_over = Rc::new(Cell::new(false));
    let callers = (0..plan.callers)
        .map(|number| actix_rt::spawn(call(caller(&plan, number, &site, &is_over))));
    let mut callers: Vec<_> = callers.collect();
    let numbers = plan.callers..plan.callers + plan.deadly_requests;
    callers.extend(
        numbers
            .map(|number| actix_rt::spawn(repeat_deadly(caller(&plan, number, &site, &is_over)))),
    );
    let actions = perform_all(&site, &schedule).await;
    until_enough(site.notebook(), plan.least_successes).await;
    is_over.set(true);
    for task in callers {
        task.await?;
    }
    for action in actions {
        action.await??;
    }
    site.calm();
    site.check_configuration().await;
    site.stop().await;
    links.abort();
    let (evidence, faults) = site.notebook().take();
    let mut violations = judge(&evidence);
    if plan.beside.is_some() {
        violations.retain(|violation| !UNKNOWN_BESIDE.contains(&violation.rule));
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

fn caller(plan: &EpisodePlan, number: usize, site: &Site, is_over: &Rc<Cell<bool>>) -> CallerPlan {
    CallerPlan {
        number,
        seed: plan.seed.wrapping_add(number as u64),
        gateways: site.entrances(),
        is_over: Rc::clone(is_over),
        notebook: site.notebook().clone(),
    }
}

type ActionTask = actix_rt::task::JoinHandle<Result<()>>;

/// Begins every action at its time; they overlap.
async fn perform_all(site: &Rc<Site>, schedule: &Schedule) -> Vec<ActionTask> {
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

async fn until_enough(notebook: &Notebook, least: usize) {
    for _ in 0..MAX_POLLS {
        let mut count = 0;
        notebook.record(|evidence| count = successes(evidence));
        if count >= least {
            return;
        }
        sleep(POLL).await;
    }
}

fn successes(evidence: &Evidence) -> usize {
    let whole = evidence.sent.iter().filter(
        |sent| matches!(&sent.outcome, Outcome::Answer(answer) if answer.is_success() && answer.is_whole),
    );
    whole.count()
}
