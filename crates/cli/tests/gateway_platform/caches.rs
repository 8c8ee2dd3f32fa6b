//! What engines' caches hold is asked of engines once, and of gateways afterwards.

use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::eventually;

use crate::support::{Site, WorkerSpec};

const ENGINE: WorkerSpec = ("llm", Some("decode"), Behaviour::Serve { events: 0 });

async fn until_recovered(site: &Site, index: usize) {
    eventually("what caches hold is known", || async {
        let recovered = site.gateways[index]
            .metric("gateway_caches_recovered")
            .await;
        (recovered == Some(1.0)).then_some(())
    })
    .await;
}

fn lists(site: &Site) -> Vec<u64> {
    let workers = site.workers.iter();
    workers
        .map(|worker| worker.worker.cache_list_requests())
        .collect()
}

#[actix_rt::test]
async fn engines_are_asked_once_and_later_gateways_ask_the_first() {
    let mut site = Site::start(&[ENGINE; 3], 1).await;
    until_recovered(&site, 0).await;
    assert_eq!(lists(&site), [1, 1, 1]);
    site.add_gateway();
    until_recovered(&site, 1).await;
    assert_eq!(lists(&site), [1, 1, 1]);
}
