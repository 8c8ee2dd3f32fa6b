//! Requests with one part in their prompts that crash each worker that starts to answer them.
//!
//! The failure: engines crashed one after another, were back after some seconds and crashed again. No two of the requests
//! that crashed them were alike, but all had one prompt part in common. The quarantine knows requests as a whole, so each of
//! them was another suspect. Sound requests with the same other parts found no engine.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tansyhall_platform_standin::{Behaviour, CrashTrigger, CrashingWorker, PartialAnswer};
use tansyhall_testing::eventually;
use tokio::time::sleep;

use crate::crashing_requests::total_crashes;
use crate::support::{send_with_parts, Site, AT_MOST_ONCE, REPEATABLE};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// The part that crashes workers.
const GUILTY: &str = "bad00bad";
const GUILTY_TEXT: &[u8] = GUILTY.as_bytes();
/// Parts that sound requests hold as well.
const FIRST: &str = "f1f1";
const SECOND: &str = "52525252";
const GATEWAYS: usize = 3;
const WORKERS: usize = 8;
/// Pause between two requests of a kind.
const PAUSE: Duration = Duration::from_millis(100);
/// Number of crashes that are allowed before the part has to be recognized.
const ALLOWED_CRASHES: u64 = 5;
/// Time from the last of these crashes until all gateways must know the part.
const RECOGNITION_TIME: Duration = Duration::from_secs(3);
/// Time from the last of these crashes until sound requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time for which sound requests are observed after that.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Number of requests with the part that may reach workers after they must know it.
const MAX_LATE_ARRIVALS: u64 = 3;

/// What two kinds of requests hold, which are sent side by side.
#[derive(Clone, Copy)]
struct Mix {
    path: &'static str,
    /// Whether all requests have the same body.
    has_one_body: bool,
    /// The shared parts of requests with the guilty part.
    crashing: &'static [&'static str],
    /// The shared parts of the other requests.
    sound: &'static [&'static str],
}

/// When each sound request was sent, and whether its first attempt was answered.
type SoundAttempts = Rc<RefCell<Vec<(Instant, bool)>>>;

/// Sends requests to all gateways in turn until it is dropped.
struct Load {
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    in_progress: Rc<Cell<usize>>,
    sound: SoundAttempts,
}

impl Load {
    fn start(site: &Rc<Site>, mix: Mix) -> Self {
        let sound = SoundAttempts::default();
        let in_progress = Rc::<Cell<usize>>::default();
        let kinds = [mix.crashing, mix.sound];
        let tasks = kinds.into_iter().enumerate().map(|(kind, shared)| {
            let (site, sound) = (Rc::clone(site), Rc::clone(&sound));
            let in_progress = Rc::clone(&in_progress);
            actix_rt::spawn(async move {
                for number in 0.. {
                    let (site, sound) = (Rc::clone(&site), Rc::clone(&sound));
                    let in_progress = Rc::clone(&in_progress);
                    in_progress.set(in_progress.get() + 1);
                    actix_rt::spawn(async move {
                        let answered = send_one(&site, mix, kind, number, shared).await;
                        if kind == 1 {
                            sound.borrow_mut().push(answered);
                        }
                        drop(site);
                        in_progress.set(in_progress.get() - 1);
                    });
                    sleep(PAUSE).await;
                }
            })
        });
        Self {
            tasks: tasks.collect(),
            in_progress,
            sound,
        }
    }

    /// Stops sending, and waits until all requests have ended.
    async fn stop(mut self) {
        for task in self.tasks.drain(..) {
            task.abort();
            // The result says that the task was cancelled.
            let _ = task.await;
        }
        eventually("all requests have ended", || async {
            (self.in_progress.get() == 0).then_some(())
        })
        .await;
    }

    /// Returns how many sound requests were sent between two times, and how many of them were answered.
    fn sound_between(&self, from: Instant, to: Instant) -> (usize, usize) {
        let attempts = self.sound.borrow();
        let sent: Vec<bool> = attempts
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .map(|(_, answered)| *answered)
            .collect();
        (
            sent.len(),
            sent.iter().filter(|answered| **answered).count(),
        )
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn send_one(
    site: &Site,
    mix: Mix,
    kind: usize,
    number: usize,
    shared: &[&str],
) -> (Instant, bool) {
    let gateway = &site.gateways[number % site.gateways.len()];
    let own = format!("{kind}0{number:x}");
    let mut parts = shared.to_vec();
    parts.push(&own);
    let body = match mix.has_one_body {
        true => "the same".to_owned(),
        false => own.clone(),
    };
    let sent_at = Instant::now();
    let id = format!("q-{own}");
    let answer = send_with_parts(gateway, &id, mix.path, body.as_bytes(), &parts).await;
    (sent_at, answer.status == 200)
}

async fn start_site(partial_answer: PartialAnswer) -> (Rc<Site>, Vec<CrashingWorker>) {
    let site = Site::start(&[("llm", Some("decode"), ECHO)], GATEWAYS).await;
    let trigger = CrashTrigger {
        text: GUILTY_TEXT,
        partial_answer,
        delay: Duration::from_millis(10),
    };
    let workers = site
        .add_crashing_workers(WORKERS, ("app", None, ECHO), trigger)
        .await;
    site.wait_until_gateways_know_each_other().await;
    (Rc::new(site), workers)
}

fn arrivals(workers: &[CrashingWorker]) -> u64 {
    let received = workers.iter().map(CrashingWorker::crash_requests_received);
    received.sum()
}

/// Waits until enough workers have crashed, and returns the time.
async fn wait_for_crashes(workers: &[CrashingWorker]) -> Instant {
    eventually("workers have crashed", || async {
        (total_crashes(workers) >= ALLOWED_CRASHES).then_some(())
    })
    .await;
    Instant::now()
}

/// What was observed while both kinds of requests were sent.
struct Observed {
    /// Arrivals of requests with the guilty part when it had to be known.
    before: u64,
    /// Further arrivals.
    late: u64,
    /// Sound requests sent after the recovery.
    sound: usize,
    /// Those of them that were answered at the first attempt.
    answered: usize,
}

impl Observed {
    fn assert_recognized(&self) {
        let Self { before, late, .. } = self;
        assert!(*late <= MAX_LATE_ARRIVALS, "{late} arrivals after {before}");
    }

    fn assert_served(&self) {
        let Self {
            sound, answered, ..
        } = self;
        assert!(
            *sound > 0 && 2 * answered >= *sound,
            "{answered} of {sound} sound requests were answered"
        );
    }
}

/// Sends both kinds of requests until some time after the recovery.
async fn observe(mix: Mix, partial_answer: PartialAnswer) -> Observed {
    let (site, workers) = start_site(partial_answer).await;
    let load = Load::start(&site, mix);
    let crashed_at = wait_for_crashes(&workers).await;
    sleep(RECOGNITION_TIME).await;
    let before = arrivals(&workers);
    let recovered_at = crashed_at + RECOVERY_TIME;
    sleep((recovered_at + OBSERVATION_TIME).saturating_duration_since(Instant::now())).await;
    let (sound, answered) =
        load.sound_between(recovered_at, recovered_at + OBSERVATION_TIME - PAUSE * 5);
    Observed {
        before,
        late: arrivals(&workers) - before,
        sound,
        answered,
    }
}

// Guards against a prompt part that crashes workers again and again, because no two requests with it are alike.
#[actix_rt::test]
async fn a_prompt_part_that_crashes_workers_is_no_longer_sent() {
    let mix = Mix {
        path: AT_MOST_ONCE,
        has_one_body: false,
        crashing: &[FIRST, SECOND, GUILTY],
        sound: &[FIRST, SECOND],
    };
    observe(mix, PartialAnswer::None).await.assert_recognized();
}

// Guards against the same where each request is sent to a second worker.
#[actix_rt::test]
async fn a_prompt_part_of_repeatable_requests_is_no_longer_sent() {
    let mix = Mix {
        path: REPEATABLE,
        has_one_body: false,
        crashing: &[FIRST, GUILTY],
        sound: &[FIRST],
    };
    observe(mix, PartialAnswer::None).await.assert_recognized();
}

// Guards against answers that have begun and clear the part that crashes their worker.
#[actix_rt::test]
async fn an_answer_that_breaks_off_does_not_clear_a_prompt_part() {
    let mix = Mix {
        path: AT_MOST_ONCE,
        has_one_body: false,
        crashing: &[GUILTY, SECOND],
        sound: &[SECOND],
    };
    let observed = observe(mix, PartialAnswer::WithoutLength).await;
    observed.assert_recognized();
}

// Guards against sound requests that are refused, or find no worker, because they share parts with a barred one.
#[actix_rt::test]
async fn sound_requests_beside_a_barred_part_are_served() {
    let mix = Mix {
        path: REPEATABLE,
        has_one_body: false,
        crashing: &[FIRST, SECOND, GUILTY],
        sound: &[FIRST, SECOND],
    };
    observe(mix, PartialAnswer::None).await.assert_served();
}

// Guards against sound requests that are barred as a whole, because they have the body of requests with a barred part.
#[actix_rt::test]
async fn requests_with_one_body_are_told_apart_by_their_prompt_parts() {
    let mix = Mix {
        path: AT_MOST_ONCE,
        has_one_body: true,
        crashing: &[FIRST, GUILTY],
        sound: &[FIRST],
    };
    let observed = observe(mix, PartialAnswer::None).await;
    observed.assert_recognized();
    observed.assert_served();
}

// Guards against gateways that start, or have lost all they knew, and send requests with a barred part again.
#[actix_rt::test]
async fn a_prompt_part_stays_barred_after_the_loss_of_all_gateways() {
    let (site, workers) = start_site(PartialAnswer::None).await;
    let mix = Mix {
        path: AT_MOST_ONCE,
        has_one_body: false,
        crashing: &[FIRST, GUILTY],
        sound: &[FIRST],
    };
    let load = Load::start(&site, mix);
    wait_for_crashes(&workers).await;
    sleep(RECOVERY_TIME).await;
    load.stop().await;
    let mut site = Rc::try_unwrap(site).unwrap_or_else(|_| panic!("requests are still sent"));
    site.restart_all_gateways();
    for index in 0..GATEWAYS {
        site.wait_for_ready_workers(index, (site.workers.len() + WORKERS) as f64)
            .await;
    }
    let before = arrivals(&workers);
    for number in 0..2 * GATEWAYS {
        let (_, answered) = send_one(&site, mix, 0, 1_000 + number, mix.crashing).await;
        assert!(!answered);
        let (_, answered) = send_one(&site, mix, 1, 1_000 + number, mix.sound).await;
        assert!(answered, "a sound request was not answered");
    }
    assert_eq!(arrivals(&workers), before);
}
