//! Gateways hand each other their copies of the store, so that one that cannot reach the store
//! still follows the configuration and the workers. Only newer copies are taken.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{web, HttpResponse};
use awc::Client;
use prost::Message;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use tansyhall_forwarding::{Item, Snapshot};
use tokio::time::sleep;

use crate::events::{Event, Weight};
use crate::follower::refresh;
use crate::presence;
use crate::state::Shared;

/// Silence of the store after which peers are asked.
const STORE_SILENCE: Duration = Duration::from_millis(900);
/// Pause between two questions.
const PACE: Duration = Duration::from_millis(250);
/// Time for one question.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest copy that is taken.
const MAX_COPY_BYTES: usize = 16 << 20;

/// A copy of the store on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct CopyMessage {
    /// The revision of the copy.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Its items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// How many items there are: a copy that was cut short still decodes.
    #[prost(uint64, tag = "3")]
    pub count: u64,
}

/// A copy that was cut short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a copy of {count} items has only {found}")]
pub struct Incomplete {
    /// Items that the sender had.
    pub count: u64,
    /// Items that arrived.
    pub found: u64,
}

/// One item on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct ItemMessage {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// The revision of its last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The revision of its creation.
    #[prost(uint64, tag = "4")]
    pub created: u64,
}

/// What a gateway that asks has already.
#[derive(Debug, Deserialize)]
pub struct Known {
    after: u64,
}

impl From<Snapshot> for CopyMessage {
    fn from(snapshot: Snapshot) -> Self {
        let items = snapshot.items.into_iter().map(|item| ItemMessage {
            key: item.key,
            value: item.value,
            revision: item.revision,
            created: item.created,
        });
        let items: Vec<ItemMessage> = items.collect();
        Self {
            revision: snapshot.revision,
            count: items.len() as u64,
            items,
        }
    }
}

impl TryFrom<CopyMessage> for Snapshot {
    type Error = Incomplete;

    fn try_from(message: CopyMessage) -> Result<Self, Incomplete> {
        let found = message.items.len() as u64;
        if found != message.count {
            return Err(Incomplete {
                count: message.count,
                found,
            });
        }
        let items = message.items.into_iter().map(|item| Item {
            key: item.key,
            value: item.value,
            revision: item.revision,
            created: item.created,
        });
        Ok(Self {
            items: items.collect(),
            revision: message.revision,
        })
    }
}

/// Answers a gateway that asks for a newer copy.
pub async fn hand_over(known: web::Query<Known>, shared: web::Data<Arc<Shared>>) -> HttpResponse {
    let mirror = shared.mirror.lock();
    if mirror.revision() <= known.after {
        return HttpResponse::NoContent().finish();
    }
    let message = CopyMessage::from(mirror.snapshot());
    HttpResponse::Ok().body(message.encode_to_vec())
}

/// Asks peers while the store is silent.
pub async fn follow(shared: Arc<Shared>) {
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut relying = false;
    loop {
        sleep(PACE).await;
        let silent = shared.store_contact.age(shared.now()) > STORE_SILENCE;
        if silent != relying {
            relying = silent;
            record(&shared, relying);
        }
        if !silent {
            continue;
        }
        let Some(peer) = pick(&shared) else { continue };
        match ask(&client, peer, &shared).await {
            Ok(true) => refresh(&shared),
            Ok(false) => {}
            Err(error) => log::debug!("peer {peer}: {error:#}"),
        }
    }
}

fn record(shared: &Shared, relying: bool) {
    let event = Event::Dependency {
        name: "peers",
        state: if relying { "relied_on" } else { "not_needed" },
        reason: "",
    };
    shared.log.record(Weight::Important, &event);
}

fn pick(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings.read().clone();
    let members = presence::members(&shared.mirror.lock());
    let mut peers: Vec<SocketAddr> = members.into_iter().map(|member| member.copy).collect();
    peers.extend(&settings.store.seeds);
    peers.retain(|peer| *peer != settings.listen.peers);
    peers.choose(&mut rand::rng()).copied()
}

async fn ask(client: &Client, peer: SocketAddr, shared: &Shared) -> anyhow::Result<bool> {
    let after = shared.mirror.lock().revision();
    let call = client.get(format!("http://{peer}/copy?after={after}"));
    let mut response = call.send().await.map_err(|e| anyhow::anyhow!("{e}"))?;
    if response.status() != 200 {
        return Ok(false);
    }
    let body = response.body().limit(MAX_COPY_BYTES).await?;
    let snapshot = Snapshot::try_from(CopyMessage::decode(body)?)?;
    Ok(shared.mirror.lock().replace(snapshot))
}
