//! What the end of a stream means that nothing but the end of its connection marks.

use tansyhall_forwarding::{
    ConnectionRefusalCause, EndConclusion, EndEvidence, Reachability, WorkerStanding,
};

fn conclusion(
    standing: WorkerStanding,
    reachability: Reachability,
    refusal: Option<ConnectionRefusalCause>,
) -> EndConclusion {
    let evidence = EndEvidence {
        standing,
        reachability,
        refusal,
        is_partitioned: true,
    };
    evidence.conclusion()
}

// Guards against streams that look whole because all workers ended at once, which looks like a fault of the path.
#[test]
fn a_refusal_cuts_streams_off_unless_the_gateway_is_partitioned() {
    for refusal in [None, Some(ConnectionRefusalCause::PathFault)] {
        let evidence = EndEvidence {
            standing: WorkerStanding::Serving,
            reachability: Reachability::Refused,
            refusal,
            is_partitioned: false,
        };
        assert_eq!(evidence.conclusion(), EndConclusion::CutOff, "{refusal:?}");
    }
}

// Guards against streams that look whole although the process of their worker has ended.
#[test]
fn only_a_worker_that_has_ended_cuts_its_streams_off() {
    let ended = Some(ConnectionRefusalCause::WorkerEnded);
    let path_fault = Some(ConnectionRefusalCause::PathFault);
    let serving = WorkerStanding::Serving;
    let cases = [
        (Reachability::Refused, ended, EndConclusion::CutOff),
        (Reachability::Refused, path_fault, EndConclusion::Unknown),
        (Reachability::Refused, None, EndConclusion::Unknown),
        (Reachability::Unknown, None, EndConclusion::Unknown),
        (Reachability::Connected, None, EndConclusion::Whole),
    ];
    for (reachability, refusal, expected) in cases {
        let concluded = conclusion(serving, reachability, refusal);
        assert_eq!(concluded, expected, "{reachability:?} {refusal:?}");
    }
}

// Guards against cutting off the last streams of workers that leave and no longer accept connections.
#[test]
fn the_streams_of_a_leaving_worker_are_never_cut_off() {
    let departing = WorkerStanding::Departing;
    let ended = Some(ConnectionRefusalCause::WorkerEnded);
    let cases = [
        (Reachability::Refused, EndConclusion::Doubtful),
        (Reachability::Unknown, EndConclusion::Unknown),
        (Reachability::Connected, EndConclusion::Whole),
    ];
    for (reachability, expected) in cases {
        assert_eq!(conclusion(departing, reachability, ended), expected);
    }
}

// Guards against taking the next incarnation of a worker, which accepts connections, for the one that has ended.
#[test]
fn a_restart_cuts_streams_off_even_if_the_worker_accepts_connections() {
    let restarted = WorkerStanding::Restarted;
    for reachability in [
        Reachability::Connected,
        Reachability::Refused,
        Reachability::Unknown,
    ] {
        assert_eq!(
            conclusion(restarted, reachability, None),
            EndConclusion::CutOff
        );
    }
}
