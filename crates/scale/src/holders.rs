//! Who holds the pools, as the store tells, and how long pools are without a holder.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use anyhow::{bail, Result};
use serde::Deserialize;
use tansyhall_store::{EtcdStore, KeyValue, KeyValueStore};

/// Prefix of the keys that tell who holds each pool.
const AUTHORITY_PREFIX: &str = "/tansyhall/authority/";
/// Time between looks at the keys.
const POLL: Duration = Duration::from_millis(20);

#[derive(Deserialize)]
struct Claim {
    node: String,
}

/// A holder and the revision at which it began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) node: String,
    epoch: u64,
}

/// The holder of each pool.
pub(crate) async fn read(store: &EtcdStore) -> Result<HashMap<String, Holder>> {
    let range = store.range(AUTHORITY_PREFIX).await?;
    Ok(range.entries.iter().filter_map(decode).collect())
}

fn decode(entry: &KeyValue) -> Option<(String, Holder)> {
    let claim: Claim = serde_json::from_slice(&entry.value).ok()?;
    let holder = Holder {
        node: claim.node,
        epoch: entry.created.0,
    };
    Some((entry.key.clone(), holder))
}

/// Milliseconds from now until each pool that one of `killed` held has another holder.
pub(crate) async fn takeovers(
    store: EtcdStore,
    before: HashMap<String, Holder>,
    killed: HashSet<String>,
    patience: Duration,
) -> Result<Vec<f64>> {
    let start = Instant::now();
    let mut waiting = before;
    waiting.retain(|_, holder| killed.contains(&holder.node));
    let mut times = Vec::new();
    while !waiting.is_empty() {
        if start.elapsed() > patience {
            bail!("{} pools were not taken over in time", waiting.len());
        }
        actix_rt::time::sleep(POLL).await;
        let holders = read(&store).await?;
        let count = waiting.len();
        waiting.retain(|pool, old| holders.get(pool).is_none_or(|holder| holder == old));
        let millis = start.elapsed().as_secs_f64() * 1_000.0;
        times.resize(times.len() + count - waiting.len(), millis);
    }
    Ok(times)
}
