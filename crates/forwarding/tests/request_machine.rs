//! State machine of a request: the action that follows each failure, and the result for the caller.

use proptest::prelude::*;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::{
    Action, AttemptPolicy, Conclusion, Need, PromptHandle, PromptReadFailure, Repeatability,
    RequestEvent, RequestMachine, SendFailure, WorkerId,
};

const RESUMABLE: Repeatability = Repeatability::Stream { resumable: true };
const NON_RESUMABLE_STREAM: Repeatability = Repeatability::Stream { resumable: false };

fn machine(repeatability: Repeatability, max_attempts: u32, read_apart: bool) -> RequestMachine {
    RequestMachine::new(AttemptPolicy {
        repeatability,
        max_attempts,
        read_apart,
    })
}

fn worker(name: &str) -> WorkerId {
    WorkerId::from(name)
}

fn selected(name: &str) -> RequestEvent {
    RequestEvent::Selected(Some(worker(name)))
}

/// Returns a machine whose request runs on worker `a`.
fn running_machine(repeatability: Repeatability, max_attempts: u32) -> RequestMachine {
    let mut machine = machine(repeatability, max_attempts, false);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("a"));
    machine
}

#[test]
fn a_request_that_did_not_run_goes_to_another_worker() {
    let mut machine = running_machine(Repeatability::AtMostOnce, 1);
    let action = machine.step(RequestEvent::Failed(SendFailure::NotRun));
    assert_eq!(action, Action::CheckRetryBudget);
    let avoid = vec![worker("a")];
    let action = machine.step(RequestEvent::RetryAllowed(true));
    let need = Need::Run;
    assert_eq!(action, Action::Select { need, avoid });
}

#[test]
fn a_request_that_may_have_run_at_most_once_is_lost_not_refused() {
    let mut machine = running_machine(Repeatability::AtMostOnce, 3);
    let action = machine.step(RequestEvent::Failed(SendFailure::MayHaveRun));
    assert_eq!(action, Action::Finish(Conclusion::Lost));
}

#[test]
fn a_request_that_did_not_run_is_refused_when_the_budget_is_spent() {
    let mut machine = running_machine(Repeatability::AtMostOnce, 1);
    machine.step(RequestEvent::Failed(SendFailure::NotRun));
    let action = machine.step(RequestEvent::RetryAllowed(false));
    assert_eq!(action, Action::Finish(Conclusion::Refused));
}

#[test]
fn the_error_of_a_worker_reaches_the_caller_when_all_workers_fail() {
    let mut machine = running_machine(Repeatability::Repeatable, 2);
    machine.step(RequestEvent::Failed(SendFailure::ErrorAnswer));
    machine.step(RequestEvent::RetryAllowed(true));
    machine.step(selected("b"));
    let action = machine.step(RequestEvent::Failed(SendFailure::ErrorAnswer));
    assert_eq!(action, Action::Finish(Conclusion::WorkerError));
}

#[test]
fn a_resumable_stream_is_resumed_after_the_last_complete_event() {
    let mut machine = running_machine(RESUMABLE, 2);
    let broken = RequestEvent::Interrupted(Some("3".into()));
    assert_eq!(machine.step(broken), Action::CheckRetryBudget);
    machine.step(RequestEvent::RetryAllowed(true));
    let action = machine.step(selected("b"));
    let expected = Action::Run {
        worker: worker("b"),
        source: None,
        resume_after: Some("3".into()),
    };
    assert_eq!(action, expected);
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_as_broken() {
    let mut machine = running_machine(NON_RESUMABLE_STREAM, 2);
    let action = machine.step(RequestEvent::Interrupted(Some("3".into())));
    assert_eq!(action, Action::Finish(Conclusion::Broken));
}

#[test]
fn the_worker_that_runs_a_request_gets_the_kv_cache_of_a_separately_read_prompt() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 1, true);
    let reader = Action::Select {
        need: Need::ReadPrompt,
        avoid: Vec::new(),
    };
    assert_eq!(machine.step(RequestEvent::Arrived), reader);
    let read_prompt = Action::ReadPrompt {
        worker: worker("p"),
    };
    assert_eq!(machine.step(selected("p")), read_prompt);
    let handle = PromptHandle {
        worker: worker("p"),
        address: "10.0.0.1:1".into(),
        handle: "h".into(),
    };
    machine.step(RequestEvent::PromptRead(handle.clone()));
    let run = Action::Run {
        worker: worker("d"),
        source: Some(handle),
        resume_after: None,
    };
    assert_eq!(machine.step(selected("d")), run);
}

/// Guards against selecting a worker that does not have to read the prompt, after another worker has refused to take
/// over the KV cache: the worker that is selected next reads the prompt itself.
#[test]
fn after_a_refused_kv_transfer_a_worker_that_reads_the_prompt_is_selected() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 2, true);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("p"));
    let reader = worker("p");
    let handle = PromptHandle {
        worker: reader.clone(),
        address: "10.0.0.1:1".into(),
        handle: "h".into(),
    };
    let select_decoder = Action::Select {
        need: Need::Continue { reader },
        avoid: Vec::new(),
    };
    assert_eq!(
        machine.step(RequestEvent::PromptRead(handle)),
        select_decoder
    );
    machine.step(selected("d"));
    machine.step(RequestEvent::Failed(SendFailure::NotRun));
    let select_worker = Action::Select {
        need: Need::Run,
        avoid: vec![worker("d")],
    };
    assert_eq!(
        machine.step(RequestEvent::RetryAllowed(true)),
        select_worker
    );
}

/// Guards against failed connections to crashed workers that spend the retry budget, although no worker has received
/// anything.
#[test]
fn a_send_that_reached_no_worker_costs_no_retry() {
    let mut machine = running_machine(Repeatability::AtMostOnce, 1);
    let not_sent = RequestEvent::Failed(SendFailure::NotSent);
    let select_another = Action::Select {
        need: Need::Run,
        avoid: vec![worker("a")],
    };
    assert_eq!(machine.step(not_sent), select_another);
    assert!(!machine.may_have_run());
}

#[test]
fn a_request_that_reaches_no_worker_is_refused() {
    let mut machine = running_machine(Repeatability::Repeatable, 2);
    let refused = Action::Finish(Conclusion::Refused);
    let was_refused = (0..20).any(|number| {
        let not_sent = RequestEvent::Failed(SendFailure::NotSent);
        let action = machine.step(not_sent);
        machine.step(selected(&format!("w-{number}")));
        action == refused
    });
    assert!(was_refused);
}

/// Guards against connection attempts to one worker after the other while the gateway reaches none of them.
#[test]
fn a_request_whose_gateway_reaches_no_worker_is_refused_at_once() {
    let mut machine = running_machine(Repeatability::AtMostOnce, 3);
    let action = machine.step(RequestEvent::Failed(SendFailure::NoPath));
    assert_eq!(action, Action::Finish(Conclusion::Refused));
    assert_eq!(machine.sends(), 0);
}

#[test]
fn a_prompt_whose_gateway_reaches_no_worker_is_refused_at_once() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 1, true);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("p"));
    let no_path = RequestEvent::PromptNotRead(PromptReadFailure::NoPath);
    assert_eq!(machine.step(no_path), Action::Finish(Conclusion::Refused));
}

/// Guards against losing the KV cache of a prompt when the worker that should fetch it was not reached: the KV cache is
/// still available to the next worker.
#[test]
fn the_kv_cache_goes_to_the_next_worker_if_one_was_not_reached() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 1, true);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("p"));
    let handle = PromptHandle {
        worker: worker("p"),
        address: "10.0.0.1:1".into(),
        handle: "h".into(),
    };
    machine.step(RequestEvent::PromptRead(handle.clone()));
    machine.step(selected("d"));
    machine.step(RequestEvent::Failed(SendFailure::NotSent));
    let run = Action::Run {
        worker: worker("e"),
        source: Some(handle),
        resume_after: None,
    };
    assert_eq!(machine.step(selected("e")), run);
}

#[test]
fn a_prompt_reader_that_was_not_reached_is_replaced() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 1, true);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("p"));
    let not_sent = RequestEvent::PromptNotRead(PromptReadFailure::NotSent);
    let other = Action::Select {
        need: Need::ReadPrompt,
        avoid: vec![worker("p")],
    };
    assert_eq!(machine.step(not_sent), other);
}

/// Guards against continuing without permission from the retry budget after a prompt read was abandoned: the read may
/// still wait in its worker's queue, and counts there as a rejected arrival beyond those that retries may add.
#[test]
fn continuing_without_an_abandoned_prompt_read_needs_the_retry_budget() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 1, true);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("p"));
    let not_started = RequestEvent::PromptNotRead(PromptReadFailure::NotStarted);
    assert_eq!(machine.step(not_started), Action::CheckRetryBudget);
    let action = machine.step(RequestEvent::RetryAllowed(false));
    assert_eq!(action, Action::Finish(Conclusion::Refused));
}

/// Guards against prompt reads that spend the retry budget after their worker has started them. In both recorded
/// incidents, engines failed a third of all requests, including prompt reads, and the budget spent on these reads was
/// missing for requests that could have run.
#[test]
fn a_prompt_read_that_failed_after_its_start_needs_no_retry_budget() {
    let mut machine = machine(NON_RESUMABLE_STREAM, 1, true);
    machine.step(RequestEvent::Arrived);
    machine.step(selected("p"));
    let failed = RequestEvent::PromptNotRead(PromptReadFailure::FailedAfterStart);
    let avoid = Vec::new();
    let need = Need::Run;
    assert_eq!(machine.step(failed), Action::Select { need, avoid });
}

#[test]
fn a_request_that_misses_its_deadline_while_it_runs_times_out() {
    let mut machine = running_machine(Repeatability::Repeatable, 1);
    let action = machine.step(RequestEvent::DeadlinePassed);
    assert_eq!(action, Action::Finish(Conclusion::TimedOut));
}

fn stalled(last_event: Option<&str>) -> RequestEvent {
    RequestEvent::Stalled {
        answer_started: last_event.is_some(),
        last_event: last_event.map(str::to_owned),
    }
}

/// Returns a machine whose request runs on worker `b` after worker `a` has stalled.
fn machine_with_replacement(repeatability: Repeatability, max_attempts: u32) -> RequestMachine {
    let mut machine = running_machine(repeatability, max_attempts);
    let event = Some("3").filter(|_| repeatability.is_stream());
    assert_eq!(machine.step(stalled(event)), Action::CheckRetryBudget);
    machine.step(RequestEvent::RetryAllowed(true));
    machine.step(selected("b"));
    machine
}

#[test]
fn a_stalled_stream_is_resumed_by_another_worker_after_the_last_complete_event() {
    let mut machine = running_machine(RESUMABLE, 2);
    assert_eq!(machine.step(stalled(Some("3"))), Action::CheckRetryBudget);
    let select_another = Action::Select {
        need: Need::Run,
        avoid: vec![worker("a")],
    };
    let action = machine.step(RequestEvent::RetryAllowed(true));
    assert_eq!(action, select_another);
    let resume = Action::Run {
        worker: worker("b"),
        source: None,
        resume_after: Some("3".into()),
    };
    assert_eq!(machine.step(selected("b")), resume);
    let action = machine.step(RequestEvent::Completed);
    assert_eq!(action, Action::Finish(Conclusion::Delivered));
}

/// Guards against giving up a silent worker that no other worker can replace: it may go on.
#[test]
fn a_stalled_worker_is_awaited_if_nothing_can_replace_it() {
    for repeatability in [Repeatability::Repeatable, RESUMABLE] {
        let mut last_attempt = running_machine(repeatability, 1);
        assert_eq!(last_attempt.step(stalled(None)), Action::AwaitStalled);
        let mut budget_spent = running_machine(repeatability, 2);
        budget_spent.step(stalled(None));
        let action = budget_spent.step(RequestEvent::RetryAllowed(false));
        assert_eq!(action, Action::AwaitStalled);
        let mut no_worker = running_machine(repeatability, 2);
        no_worker.step(stalled(None));
        no_worker.step(RequestEvent::RetryAllowed(true));
        let action = no_worker.step(RequestEvent::Selected(None));
        assert_eq!(action, Action::AwaitStalled);
        let action = no_worker.step(RequestEvent::Completed);
        assert_eq!(action, Action::Finish(Conclusion::Delivered));
    }
}

/// Guards against a second run of a request that may run once, and against joining two runs of a stream.
#[test]
fn a_stalled_worker_is_awaited_if_a_second_run_is_forbidden() {
    for repeatability in [Repeatability::AtMostOnce, NON_RESUMABLE_STREAM] {
        let mut machine = running_machine(repeatability, 3);
        assert_eq!(machine.step(stalled(None)), Action::AwaitStalled);
    }
    let mut machine = running_machine(RESUMABLE, 3);
    let without_id = RequestEvent::Stalled {
        answer_started: true,
        last_event: None,
    };
    assert_eq!(machine.step(without_id), Action::AwaitStalled);
}

/// Guards against ending a request because the replacement of a silent worker failed while that worker may go on.
#[test]
fn a_stalled_worker_is_awaited_if_its_replacement_fails() {
    for repeatability in [Repeatability::Repeatable, RESUMABLE] {
        for failure in [SendFailure::MayHaveRun, SendFailure::ErrorAnswer] {
            let mut machine = machine_with_replacement(repeatability, 2);
            let action = machine.step(RequestEvent::ReplacementFailed(failure));
            assert_eq!(action, Action::AwaitStalled);
        }
        let mut machine = machine_with_replacement(repeatability, 2);
        let refused = RequestEvent::ReplacementFailed(SendFailure::NotRun);
        assert_eq!(machine.step(refused), Action::CheckRetryBudget);
        let action = machine.step(RequestEvent::RetryAllowed(false));
        assert_eq!(action, Action::AwaitStalled);
        let mut machine = machine_with_replacement(repeatability, 2);
        let not_sent = RequestEvent::ReplacementFailed(SendFailure::NotSent);
        assert!(matches!(machine.step(not_sent), Action::Select { .. }));
        let action = machine.step(RequestEvent::Selected(None));
        assert_eq!(action, Action::AwaitStalled);
    }
}

#[test]
fn a_request_ends_if_the_worker_that_replaced_a_stalled_one_fails_later() {
    let mut machine = machine_with_replacement(Repeatability::Repeatable, 2);
    let action = machine.step(RequestEvent::Failed(SendFailure::MayHaveRun));
    assert_eq!(action, Action::Finish(Conclusion::Lost));
    let mut machine = machine_with_replacement(RESUMABLE, 2);
    let action = machine.step(RequestEvent::Interrupted(Some("4".into())));
    assert_eq!(action, Action::Finish(Conclusion::Broken));
}

/// Guards against ending a request that crashes workers while a stalled worker may still answer it.
#[test]
fn a_stalled_worker_is_awaited_if_the_request_is_barred() {
    for repeatability in [Repeatability::Repeatable, RESUMABLE] {
        let mut machine = machine_with_replacement(repeatability, 3);
        assert_eq!(machine.step(RequestEvent::Barred), Action::AwaitStalled);
        assert_eq!(machine.sends(), 1);
        let action = machine.step(RequestEvent::Completed);
        assert_eq!(action, Action::Finish(Conclusion::Delivered));
    }
}

/// Guards against sending a barred request again when the awaited worker stalls again, breaks off or fails.
#[test]
fn a_barred_request_is_not_sent_again_after_its_stalled_worker() {
    let barred = |repeatability| {
        let mut machine = machine_with_replacement(repeatability, 3);
        assert_eq!(machine.step(RequestEvent::Barred), Action::AwaitStalled);
        assert!(!machine.may_retry_on_another_worker());
        machine
    };
    let mut broken = barred(Repeatability::Repeatable);
    let action = broken.step(RequestEvent::Failed(SendFailure::MayHaveRun));
    assert_eq!(action, Action::Finish(Conclusion::Barred));
    let mut interrupted = barred(RESUMABLE);
    let action = interrupted.step(RequestEvent::Interrupted(Some("4".into())));
    assert_eq!(action, Action::Finish(Conclusion::Broken));
    let mut stalled_again = barred(RESUMABLE);
    assert_eq!(stalled_again.step(stalled(Some("4"))), Action::AwaitStalled);
    let mut late = barred(Repeatability::Repeatable);
    let action = late.step(RequestEvent::DeadlinePassed);
    assert_eq!(action, Action::Finish(Conclusion::TimedOut));
}

#[test]
fn an_awaited_worker_ends_the_request_when_it_breaks_off_or_the_deadline_passes() {
    let mut machine = running_machine(Repeatability::Repeatable, 1);
    machine.step(stalled(None));
    let action = machine.step(RequestEvent::Failed(SendFailure::MayHaveRun));
    assert_eq!(action, Action::Finish(Conclusion::Lost));
    let mut machine = running_machine(Repeatability::Repeatable, 1);
    machine.step(stalled(None));
    let action = machine.step(RequestEvent::DeadlinePassed);
    assert_eq!(action, Action::Finish(Conclusion::TimedOut));
}

#[derive(Debug, Clone)]
enum SendOutcome {
    Stalled(bool),
    NotSent,
    NoPath,
    NotRun,
    MayHaveRun,
    ErrorAnswer,
    Interrupted(bool),
    Completed,
    Deadline,
    Barred,
}

fn send_outcome() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        any::<bool>().prop_map(SendOutcome::Stalled),
        Just(SendOutcome::NotSent),
        Just(SendOutcome::NoPath),
        Just(SendOutcome::NotRun),
        Just(SendOutcome::MayHaveRun),
        Just(SendOutcome::ErrorAnswer),
        any::<bool>().prop_map(SendOutcome::Interrupted),
        Just(SendOutcome::Completed),
        Just(SendOutcome::Deadline),
        Just(SendOutcome::Barred),
    ]
}

fn repeatability() -> impl Strategy<Value = Repeatability> {
    prop_oneof![
        Just(Repeatability::Repeatable),
        Just(Repeatability::AtMostOnce),
        Just(RESUMABLE),
        Just(NON_RESUMABLE_STREAM),
    ]
}

/// Returns the event for the outcome of a send. If `replaces_stalled`, a failed send was to replace a stalled one.
fn event_of(send_outcome: &SendOutcome, replaces_stalled: bool) -> RequestEvent {
    let failed = match replaces_stalled {
        true => RequestEvent::ReplacementFailed,
        false => RequestEvent::Failed,
    };
    match send_outcome {
        SendOutcome::Stalled(with_event) => stalled(with_event.then_some("7")),
        SendOutcome::NotSent => failed(SendFailure::NotSent),
        SendOutcome::NoPath => failed(SendFailure::NoPath),
        SendOutcome::NotRun => failed(SendFailure::NotRun),
        SendOutcome::MayHaveRun => failed(SendFailure::MayHaveRun),
        SendOutcome::ErrorAnswer => failed(SendFailure::ErrorAnswer),
        SendOutcome::Interrupted(with_event) => {
            RequestEvent::Interrupted(with_event.then(|| "7".to_owned()))
        }
        SendOutcome::Completed => RequestEvent::Completed,
        SendOutcome::Deadline => RequestEvent::DeadlinePassed,
        SendOutcome::Barred => RequestEvent::Barred,
    }
}

/// Returns whether the send was not made, or proves that its worker did not run the request.
fn is_unrun(outcome: &SendOutcome) -> bool {
    matches!(
        outcome,
        SendOutcome::NotSent | SendOutcome::NoPath | SendOutcome::NotRun | SendOutcome::Barred
    )
}

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// For any outcomes of the sends: the request finishes; no more workers may have run it than its route allows; a
    /// request that runs at most once is not sent again after it may have run; the caller receives "not run" only if no
    /// send may have run; a barred request is not sent again; and a request does not end while a stalled worker may go on, except at its deadline.
    #[test]
    fn guarantees_hold_for_any_outcomes_of_sends(
        repeatability in repeatability(),
        max_attempts in 1_u32..4,
        send_outcomes in prop::collection::vec(send_outcome(), 12),
        budget in prop::collection::vec(any::<bool>(), 12),
    ) {
        let mut machine = machine(repeatability, max_attempts, false);
        let mut send_outcomes = send_outcomes.iter();
        let mut budget = budget.iter();
        let mut may_have_run = 0;
        let mut has_stalled = false;
        let mut deadline_passed = false;
        let mut is_barred = false;
        let mut action = machine.step(RequestEvent::Arrived);
        for _ in 0..64 {
            let event = match &action {
                Action::Select { .. } => selected("w"),
                Action::CheckRetryBudget => RequestEvent::RetryAllowed(*budget.next().unwrap_or(&false)),
                Action::Run { .. } => {
                    let runs_at_most_once = !repeatability.allows_second_run();
                    prop_assert!(!(runs_at_most_once && may_have_run > 0));
                    prop_assert!(may_have_run < max_attempts);
                    prop_assert!(!is_barred);
                    let send_outcome = send_outcomes.next().unwrap_or(&SendOutcome::Completed);
                    may_have_run += u32::from(!is_unrun(send_outcome));
                    deadline_passed = matches!(send_outcome, SendOutcome::Deadline);
                    is_barred = matches!(send_outcome, SendOutcome::Barred);
                    let event = event_of(send_outcome, has_stalled);
                    has_stalled = match event {
                        RequestEvent::Stalled { .. } | RequestEvent::ReplacementFailed(_) => true,
                        RequestEvent::Barred => has_stalled,
                        _ => false,
                    };
                    event
                }
                Action::AwaitStalled => {
                    prop_assert!(has_stalled);
                    let send_outcome = send_outcomes
                        .find(|outcome| !matches!(outcome, SendOutcome::Barred))
                        .unwrap_or(&SendOutcome::Completed);
                    deadline_passed = matches!(send_outcome, SendOutcome::Deadline);
                    may_have_run -= u32::from(is_unrun(send_outcome));
                    let event = event_of(send_outcome, false);
                    has_stalled = matches!(event, RequestEvent::Stalled { .. });
                    event
                }
                Action::Finish(conclusion) => {
                    prop_assert!(!has_stalled || deadline_passed);
                    if *conclusion == Conclusion::Refused {
                        prop_assert_eq!(may_have_run, 0);
                    }
                    return Ok(());
                }
                other => panic!("unexpected action without a separate prompt read: {other:?}"),
            };
            action = machine.step(event);
        }
        prop_assert!(false, "the request has not finished after 64 steps");
    }
}
