//! Format of usage counts in messages and in the store.

use std::collections::BTreeMap;
use std::io::{Read, Write};

use anyhow::Context;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use prost::Message;
use tansyhall_core::TenantName;
use tansyhall_usage::{Collection, Source, SourceUsage, TenantCounts, UnixMillis, WindowNumber};

/// Maximum size of the decompressed counts of one store entry: those of 64 gateways that each start 40 requests a second
/// take a fifth of it. Anyone may write an entry, and messages without content take up to 40 times their size when
/// decoded, so that a longer entry could occupy the whole memory of a gateway.
const MAX_ROWS_BYTES: u64 = 2 << 20;

/// The counts of a source.
#[derive(Clone, PartialEq, Message)]
pub struct UsageMessage {
    /// Name of the source's gateway.
    #[prost(string, tag = "1")]
    pub gateway: String,
    /// Incarnation of the source.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Time up to which the source has counted, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub counted_until: u64,
    /// Counts by window.
    #[prost(message, repeated, tag = "4")]
    pub windows: Vec<WindowMessage>,
    /// Sequence number of the message.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The wall-clock time by the sender's own clock, in milliseconds since 1970.
    #[prost(uint64, tag = "6")]
    pub own_time: u64,
}

/// The counts of a window.
#[derive(Clone, PartialEq, Message)]
pub struct WindowMessage {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Counts by tenant.
    #[prost(message, repeated, tag = "2")]
    pub tenants: Vec<TenantMessage>,
}

/// The count of a tenant.
#[derive(Clone, PartialEq, Message)]
pub struct TenantMessage {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of requests.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
}

/// A collector's acknowledgement of a [`UsageMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct AcknowledgementMessage {
    /// Sequence number of the acknowledged message.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Incarnation of the gateway that sent the message.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The wall-clock time that the fleet agrees on, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub time: u64,
    /// Incarnation of the collector.
    #[prost(fixed64, tag = "4")]
    pub collector: u64,
}

/// The collected counts that a collector writes to the store.
#[derive(Clone, PartialEq, Message)]
pub struct RowsMessage {
    /// The counts of each source.
    #[prost(message, repeated, tag = "1")]
    pub sources: Vec<UsageMessage>,
}

impl UsageMessage {
    /// Creates a message with these counts. The sequence number and the sender's time are 0.
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

    /// Returns the counts of the message.
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
    /// Encodes a collection for the store, compressed with deflate: names of tenants are repeated for each source and
    /// window, so it compresses well.
    ///
    /// # Errors
    ///
    /// Fails if the compression fails.
    pub fn encode_collection(collection: &Collection) -> anyhow::Result<Vec<u8>> {
        let sources = collection.sources().map(|usage| UsageMessage::new(&usage));
        let rows = Self {
            sources: sources.collect(),
        };
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&rows.encode_to_vec())?;
        Ok(encoder.finish()?)
    }

    /// Decodes a collection from the store and merges it into `collection`.
    ///
    /// # Errors
    ///
    /// Fails if `value` is not a compressed collection, or too long; `collection` is then unchanged.
    pub fn decode_into(value: &[u8], collection: &mut Collection) -> anyhow::Result<()> {
        let mut inflated = Vec::new();
        DeflateDecoder::new(value)
            .take(MAX_ROWS_BYTES + 1)
            .read_to_end(&mut inflated)
            .context("usage counts are not valid deflate data")?;
        anyhow::ensure!(
            inflated.len() as u64 <= MAX_ROWS_BYTES,
            "usage counts exceed the maximum length"
        );
        let rows = Self::decode(inflated.as_slice()).context("failed to decode usage counts")?;
        for source in rows.sources {
            collection.merge(source.into_usage());
        }
        Ok(())
    }
}
