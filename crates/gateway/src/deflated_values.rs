//! Long values of the store, compressed with DEFLATE for transfer between gateways. A relay sends the same
//! value to all its subscribers, and a long configuration would occupy its links for seconds. Each value
//! is therefore deflated, once each time that it is written.

use std::collections::HashMap;
use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use tansyhall_forwarding::Position;

/// Shorter values are sent without compression.
const MIN_DEFLATED_BYTES: usize = 4 << 10;
/// Longest inflated value that is accepted.
const MAX_INFLATED_BYTES: u64 = 16 << 20;

/// The latest deflated values, by key.
#[derive(Debug, Default)]
pub struct DeflatedValues {
    latest: HashMap<String, DeflatedValue>,
}

#[derive(Debug)]
struct DeflatedValue {
    written: Position,
    bytes: Vec<u8>,
}

impl DeflatedValues {
    /// Returns the deflated value of a key that was written at this position. Returns `None` if the value is too short,
    /// or could not be deflated, and is to be sent as it is.
    pub fn deflate(&mut self, key: &str, written: Position, value: &[u8]) -> Option<Vec<u8>> {
        if value.len() < MIN_DEFLATED_BYTES {
            return None;
        }
        if let Some(cached) = self.latest.get(key) {
            if cached.written == written {
                return Some(cached.bytes.clone());
            }
        }
        let bytes = deflate(value)?;
        let latest = DeflatedValue {
            written,
            bytes: bytes.clone(),
        };
        self.latest.insert(key.to_owned(), latest);
        Some(bytes)
    }
}

/// Deflates a value.
pub fn deflate(value: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value).ok()?;
    encoder.finish().ok()
}

/// Inflates a value. Returns `None` if it is corrupted or longer than `MAX_INFLATED_BYTES`.
pub fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut value = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_INFLATED_BYTES + 1);
    decoder.read_to_end(&mut value).ok()?;
    (value.len() as u64 <= MAX_INFLATED_BYTES).then_some(value)
}
