//! Usage on the wire and in the store.

use std::collections::BTreeMap;
use std::io::{Read, Write};

use anyhow::Context;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use prost::Message;
use tansyhall_core::TenantName;
use tansyhall_usage::{Collection, Source, SourceUsage, TenantCounts, UnixMillis, WindowNumber};

/// The most bytes that rows of the store are inflated to.
const MAX_ROWS_BYTES: u64 = 64 << 20;

/// What a source has counted.
#[derive(Clone, PartialEq, Message)]
pub struct UsageMessage {
    /// The source's gateway.
    #[prost(string, tag = "1")]
    pub gateway: String,
    /// The source's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Until when it has counted, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub counted_until: u64,
    /// Counts by window.
    #[prost(message, repeated, tag = "4")]
    pub windows: Vec<WindowMessage>,
    /// The message's number.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The time of day as the sender believes by itself, in milliseconds since 1970.
    #[prost(uint64, tag = "6")]
    pub own_time: u64,
}

/// Counts of a window.
#[derive(Clone, PartialEq, Message)]
pub struct WindowMessage {
    /// The window's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Counts by tenant.
    #[prost(message, repeated, tag = "2")]
    pub tenants: Vec<TenantMessage>,
}

/// A count of a tenant.
#[derive(Clone, PartialEq, Message)]
pub struct TenantMessage {
    /// The tenant's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Requests.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
}

/// A collector has taken a message in.
#[derive(Clone, PartialEq, Message)]
pub struct AcknowledgementMessage {
    /// The message's number.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The incarnation that sent it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The time that the fleet agrees on, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub time: u64,
    /// The incarnation of the collector.
    #[prost(fixed64, tag = "4")]
    pub collector: u64,
}

/// What a collector has.
#[derive(Clone, PartialEq, Message)]
pub struct RowsMessage {
    /// What each source has counted.
    #[prost(message, repeated, tag = "1")]
    pub sources: Vec<UsageMessage>,
}

impl UsageMessage {
    /// Usage for the wire.
    pub fn new(usage: &SourceUsage) -> Self {
        let windows = usage.windows.iter().map(|(window, counts)| WindowMessage {
            number: window.0,
            tenants: counts.iter().map(tenant_message).collect(),
        });
        Self {
            gateway: usage.source.gateway.clone(),
            incarnation: usage.source.incarnation,
            counted_until: usage.counted_until.0,
            windows: windows.collect(),
            ..Self::default()
        }
    }

    /// Usage from the wire.
    pub fn into_usage(self) -> SourceUsage {
        let windows = self.windows.into_iter().map(|window| {
            let mut counts = TenantCounts::default();
            for tenant in window.tenants {
                counts.raise_to(&TenantName::new(tenant.name), tenant.requests);
            }
            (WindowNumber(window.number), counts)
        });
        SourceUsage {
            source: Source {
                gateway: self.gateway,
                incarnation: self.incarnation,
            },
            counted_until: UnixMillis(self.counted_until),
            windows: windows.collect::<BTreeMap<_, _>>(),
        }
    }
}

fn tenant_message((name, requests): (&TenantName, u64)) -> TenantMessage {
    TenantMessage {
        name: name.to_string(),
        requests,
    }
}

impl RowsMessage {
    /// A collection for the store: names of tenants repeat in each row, so that it deflates well.
    pub fn encode_collection(collection: &Collection) -> anyhow::Result<Vec<u8>> {
        let sources = collection.sources().map(|usage| UsageMessage::new(&usage));
        let rows = Self {
            sources: sources.collect(),
        };
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&rows.encode_to_vec())?;
        Ok(encoder.finish()?)
    }

    /// Takes a collection from the store in.
    pub fn decode_into(value: &[u8], collection: &mut Collection) -> anyhow::Result<()> {
        let mut inflated = Vec::new();
        DeflateDecoder::new(value)
            .take(MAX_ROWS_BYTES)
            .read_to_end(&mut inflated)
            .context("not deflated")?;
        let rows = Self::decode(inflated.as_slice()).context("no rows of usage")?;
        for source in rows.sources {
            collection.take_in(source.into_usage());
        }
        Ok(())
    }
}
