//! Observations of a site: metrics of its gateways, items of the store, and records of its workers.

use tansyhall_gateway::authority_claim;
use tansyhall_gateway::usage::{RowsMessage, ROWS_PREFIX};
use tansyhall_platform_standin::Order;
use tansyhall_testing::{eventually, get_metric_sum};
use tansyhall_usage::Collection;

use super::Site;

impl Site {
    /// Waits until a configuration is in force at every gateway.
    pub async fn wait_until_in_force(&self, version: u64) {
        for gateway in &self.gateways {
            eventually("the configuration is in force", || async {
                let known = gateway.metric("gateway_configuration_version").await?;
                (known == version as f64).then_some(())
            })
            .await;
        }
    }

    /// Returns the fence of the claim to the authority, if a gateway has claimed it.
    pub fn authority_fence(&self) -> Option<u64> {
        let (_, created_at) = self.store.get(authority_claim::KEY)?;
        Some(created_at)
    }

    /// Waits until a gateway knows this many workers from the store, including workers that are changing their role.
    pub async fn wait_for_announced_workers(&self, index: usize, count: f64) {
        let metrics = self.gateways[index].addresses.metrics;
        eventually("the gateway knows the workers", || async {
            let known = get_metric_sum(metrics, "gateway_workers").await?;
            (known == count).then_some(())
        })
        .await;
    }

    /// Waits until a gateway knows this many workers that accept requests.
    pub async fn wait_for_ready_workers(&self, index: usize, count: f64) {
        eventually("the gateway knows the ready workers", || async {
            let known = self.gateways[index].metric("gateway_ready_workers").await?;
            (known == count).then_some(())
        })
        .await;
    }

    /// Waits until every gateway knows the number of gateways.
    pub async fn wait_until_gateways_know_each_other(&self) {
        for gateway in &self.gateways {
            eventually("gateways know each other", || async {
                let known = gateway.metric("gateway_gateways").await?;
                (known == self.gateways.len() as f64).then_some(())
            })
            .await;
        }
    }

    /// Waits until workers have started to run a request this many times.
    pub async fn wait_for_runs(&self, id: &str, count: usize) {
        eventually("the request runs", || async {
            (self.runs_of(id) == count).then_some(())
        })
        .await;
    }

    /// Waits until the usage counts in the store add up to this many requests.
    pub async fn wait_until_collected(&self, requests: u64) {
        eventually("the usage counts are in the store", || async {
            let mut collection = Collection::default();
            for rows in self.store.values_with_prefix(ROWS_PREFIX) {
                RowsMessage::decode_into(&rows, &mut collection).expect("rows");
            }
            let counted = collection
                .sources()
                .flat_map(|source| source.windows.into_values());
            let counted: u64 = counted.map(|counts| counts.total()).sum();
            (counted == requests).then_some(())
        })
        .await;
    }

    /// Returns how many times workers ran a request.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = self.workers.iter().flat_map(|worker| worker.worker.runs());
        runs.filter(|run| run.request_id == id).count()
    }

    /// Returns the orders that engines have accepted.
    pub fn orders(&self) -> Vec<Order> {
        let workers = self.workers.iter();
        workers.flat_map(|worker| worker.worker.orders()).collect()
    }
}
