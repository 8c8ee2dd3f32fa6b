//! Recovery of the contents of engines' caches: the first gateway queries the engines, later gateways query a gateway.

use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;

use crate::support::{Site, WorkerSpec};

const ENGINE: WorkerSpec = ("llm", Some("decode"), Behaviour::Serve { events: 0 });

async fn wait_until_caches_recovered(site: &Site, index: usize) {
    eventually("the contents of caches are recovered", || async {
        let recovered = site.gateways[index]
            .metric("gateway_caches_recovered")
            .await;
        (recovered == Some(1.0)).then_some(())
    })
    .await;
}

/// Returns how many times each engine was asked to list its cache.
fn list_requests(site: &Site) -> Vec<u64> {
    let workers = site.workers.iter();
    workers
        .map(|worker| worker.worker.cache_list_requests())
        .collect()
}

#[actix_rt::test]
async fn engines_are_queried_once_and_later_gateways_query_the_first() {
    let mut site = Site::start(&[ENGINE; 3], 1).await;
    wait_until_caches_recovered(&site, 0).await;
    assert_eq!(list_requests(&site), [1, 1, 1]);
    site.add_gateway();
    wait_until_caches_recovered(&site, 1).await;
    assert_eq!(list_requests(&site), [1, 1, 1]);
}
