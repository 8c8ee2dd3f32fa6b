//! The configuration of a scale run.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use serde_json::{json, Value};
use tansyhall_config::{Resource, ResourceKind};
use tansyhall_node::configuration::{Author, Change, ConfigurationStore, Precondition};
use tansyhall_store::EtcdStore;

use crate::options::ScaleOptions;

/// Resources changed at once while the configuration is filled.
const BATCH: usize = 100;

/// The name of a hollow engine.
pub(crate) fn engine_name(index: usize) -> String {
    format!("engine-{index:04}")
}

/// The name of a zone.
pub(crate) fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

/// Writes the site, the tenants, one service for each model, and a pool of it in each zone.
pub(crate) async fn fill(
    store: &EtcdStore,
    options: &ScaleOptions,
    engines: &[SocketAddr],
) -> Result<()> {
    let zones: Vec<String> = (0..options.zones).map(zone_name).collect();
    let site = json!({ "name": "site", "region": "region", "zones": zones });
    let mut resources = vec![resource(ResourceKind::Site, &site)?];
    for index in 0..options.tenants {
        let tenant = json!({ "name": format!("tenant-{index:04}"), "owner": "scale" });
        resources.push(resource(ResourceKind::Tenant, &tenant)?);
    }
    for model in 0..options.models {
        let name = format!("service-{model}");
        let service = json!({ "name": name, "site": "site", "kind": "language-model" });
        resources.push(resource(ResourceKind::Service, &service)?);
    }
    for zone in 0..options.zones {
        for model in 0..options.models {
            let pool = pool(options, engines, zone, model);
            resources.extend(
                pool.map(|pool| resource(ResourceKind::Pool, &pool))
                    .transpose()?,
            );
        }
    }
    for batch in resources.chunks(BATCH) {
        change(store, batch.to_vec()).await?;
    }
    Ok(())
}

/// Changes one tenant; returns the store's revision.
pub(crate) async fn change_one(store: &EtcdStore) -> Result<u64> {
    let tenant = json!({ "name": "tenant-changed", "owner": "scale" });
    change(store, vec![resource(ResourceKind::Tenant, &tenant)?]).await
}

fn pool(
    options: &ScaleOptions,
    engines: &[SocketAddr],
    zone: usize,
    model: usize,
) -> Option<Value> {
    let is_here = |index: &usize| {
        index % options.zones == zone && (index / options.zones) % options.models == model
    };
    let backend = |index| json!({ "name": engine_name(index), "address": engines[index] });
    let backends: Vec<Value> = (0..engines.len()).filter(is_here).map(backend).collect();
    (!backends.is_empty()).then(|| {
        json!({
            "name": format!("pool-{zone}-{model}"),
            "service": format!("service-{model}"),
            "zone": zone_name(zone),
            "model": format!("model-{model}"),
            "backends": backends,
        })
    })
}

fn resource(kind: ResourceKind, body: &Value) -> Result<Resource> {
    let resource = Resource::from_json(kind, body.to_string().as_bytes());
    resource.with_context(|| format!("the resource {body}"))
}

async fn change(store: &EtcdStore, resources: Vec<Resource>) -> Result<u64> {
    let change = |resource: Resource| Change {
        key: resource.key(),
        resource: Some(resource),
        precondition: Precondition::None,
    };
    let changes: Vec<Change> = resources.into_iter().map(change).collect();
    let store = ConfigurationStore::new(store.clone());
    let author = Author {
        account: "scale".into(),
        tenant: None,
    };
    let committed = store.change(&author, &changes).await?;
    let revision = committed.revision;
    Ok(revision
        .context("the change's own revision is not known")?
        .0)
}
