//! Starts a small deployment for a case of the review: real gateways as processes, and the project's stand-ins of the
//! store and the workers in this process.

pub mod client;
pub mod fleet;
pub mod record;

use std::os::unix::process::parent_id;
use std::time::Duration;

use tokio::time::sleep;

const PARENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the disruption takes place: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case and returns its exit code. The case is given up, and its processes end, if the process that started this
/// one ends.
pub async fn run_case<F>(case: F) -> i32
where
    F: std::future::Future<Output = Result<i32, String>>,
{
    let parent = parent_id();
    let abandoned = async {
        while parent_id() == parent {
            sleep(PARENT_CHECK_INTERVAL).await;
        }
    };
    let outcome = tokio::select! {
        outcome = case => outcome,
        () = abandoned => Err("the script was ended".into()),
    };
    outcome.unwrap_or_else(|reason| {
        eprintln!("cannot run: {reason}");
        COULD_NOT_RUN
    })
}
