//! A worker whose machine is listed as leaving is sent no new request, by separate processes.

mod application_cluster;

use application_cluster::{Cluster, AT_ONCE};
use serde_json::json;
use tansyhall_testing::{eventually, get_metric, Fleet};

const SIZE: usize = 3;
const LEAVING: usize = 0;
const STAYING: usize = 1;
/// Requests through each node; one that ignored the mark would hit the leaving worker in half.
const REQUESTS: usize = 20;

#[actix_rt::test]
async fn a_worker_whose_machine_is_leaving_is_sent_no_new_request() {
    let cluster = Cluster::start_with(Fleet::start(SIZE).await, 2).await;
    let leaving = json!([{
        "name": "app-0", "kind": "app", "zone": "kalimati", "leaving": true,
        "address": cluster.workers[LEAVING].address,
    }]);
    cluster.fleet.set_machines(leaving).await;
    for index in 0..SIZE {
        eventually("the mark is known", || async {
            let gauge = "tansyhall_leaving_backends";
            let marked = get_metric(cluster.fleet.admin_address(index), gauge).await?;
            (marked == 1.0).then_some(())
        })
        .await;
    }
    for request in 0..REQUESTS {
        for index in 0..SIZE {
            let key = format!("slip-{request}-{index}");
            let told = cluster.print_slip(index, &key, AT_ONCE).await;
            assert_eq!(told.status, 200, "{told:?}");
        }
    }
    assert_eq!(cluster.runs_at(LEAVING).await, 0);
    assert_eq!(cluster.runs_at(STAYING).await, REQUESTS * SIZE);
}
