//! Long values of the store, deflated for their way between gateways. A relay sends the same value to
//! all its subscribers, over links that a long configuration would fill for seconds: it is deflated
//! once each time that it is written.

use std::collections::HashMap;
use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use tansyhall_forwarding::Position;

/// Shorter values are sent as they are.
const MIN_BYTES: usize = 4 << 10;
/// The longest value that is taken.
const MAX_BYTES: u64 = 16 << 20;

/// Values that were deflated last, by key.
#[derive(Debug, Default)]
pub struct DeflatedValues {
    latest: HashMap<String, Deflated>,
}

#[derive(Debug)]
struct Deflated {
    written: Position,
    bytes: Vec<u8>,
}

impl DeflatedValues {
    /// The value of a key that was written there, deflated; none if it is better sent as it is.
    pub fn deflate(&mut self, key: &str, written: Position, value: &[u8]) -> Option<Vec<u8>> {
        if value.len() < MIN_BYTES {
            return None;
        }
        if let Some(known) = self.latest.get(key) {
            if known.written == written {
                return Some(known.bytes.clone());
            }
        }
        let bytes = deflate(value)?;
        let latest = Deflated {
            written,
            bytes: bytes.clone(),
        };
        self.latest.insert(key.to_owned(), latest);
        Some(bytes)
    }
}

/// A value, deflated.
pub fn deflate(value: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value).ok()?;
    encoder.finish().ok()
}

/// A value as it was before it was deflated; none if it was damaged, or is too long.
pub fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut value = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_BYTES + 1);
    decoder.read_to_end(&mut value).ok()?;
    (value.len() as u64 <= MAX_BYTES).then_some(value)
}
