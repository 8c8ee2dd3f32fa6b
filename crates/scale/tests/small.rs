//! Small scale runs get through all their steps.

use std::time::Duration;

use tansyhall_scale::{run, Fault, ScaleOptions};

/// Longer than the time between two renewals of a lease: nodes that started together renew together,
/// and a shorter measurement may see no call to the platform at all.
const MEASUREMENT: Duration = Duration::from_secs(3);

fn small() -> ScaleOptions {
    ScaleOptions {
        nodes: 12,
        workers: 8,
        zones: 2,
        models: 2,
        tenants: 3,
        warm_up: Duration::from_secs(2),
        duration: MEASUREMENT,
        ..ScaleOptions::default()
    }
}

#[actix_rt::test]
async fn a_small_run_reports_every_figure() {
    let report = run(small()).await.expect("the run gets through");
    assert_eq!((report.nodes, report.zones, report.workers), (12, 2, 8));
    assert!(report.control_bytes_per_s.expect("bytes").mean > 0.0);
    assert!(report.engine_calls_per_s > 0.0);
    assert!(report.store_ops_per_s > 0.0);
    assert!(report.config_in_force_ms.is_some());
    assert!(report.detect_ms.expect("a death is seen").max > 0.0);
}

#[actix_rt::test]
async fn a_lost_zone_leaves_the_other_working() {
    let options = ScaleOptions {
        fault: Fault::Zone,
        ..small()
    };
    let report = run(options).await.expect("the run gets through");
    assert!(report.config_in_force_ms.is_some());
    assert!(report.detect_ms.is_none());
}

#[actix_rt::test]
async fn restarted_nodes_come_back() {
    let options = ScaleOptions {
        fault: Fault::RestartStorm,
        ..small()
    };
    let report = run(options).await.expect("the run gets through");
    assert!(report.rejoin_ms.expect("all come back").max > 0.0);
}
