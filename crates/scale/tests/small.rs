//! A small scale run gets through all its steps.

use std::time::Duration;

use tansyhall_scale::{run, ScaleOptions};

#[actix_rt::test]
async fn a_small_run_reports_every_figure() {
    let options = ScaleOptions {
        nodes: 12,
        zones: 2,
        threads: 2,
        warm_up: Duration::ZERO,
        duration: Duration::from_secs(1),
        ..ScaleOptions::default()
    };
    let report = run(options).await.expect("the run gets through");
    assert_eq!((report.nodes, report.zones), (12, 2));
    assert!(report.control_bytes_per_s.mean > 0.0);
    assert!(report.store_ops_per_s >= 0.0);
    assert!(report.detect_ms.max > 0.0);
}
