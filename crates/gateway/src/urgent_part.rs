//! The part of a reported figure that belongs to the urgent group, on the wire. It is omitted if it equals the whole,
//! which keeps messages short and means the same to a receiver as the reports of earlier builds.

use std::fmt::Display;

/// Returns the value to send for a part of a whole.
pub fn encode<T: PartialEq>(part: T, whole: T) -> Option<T> {
    (part != whole).then_some(part)
}

/// Returns the part that a message states. A report without it counts all as urgent, and so does one with an impossible
/// value: a part that is negative, greater than the whole or no number.
pub fn decode<T: PartialOrd + Default + Display + Copy>(stated: Option<T>, whole: T) -> T {
    let Some(part) = stated else {
        return whole;
    };
    if part >= T::default() && part <= whole {
        return part;
    }
    log::debug!("ignoring an impossible urgent part of a report: {part} of {whole}");
    whole
}
