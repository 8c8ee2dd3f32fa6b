//! The memory that a process may hold for its callers. Bytes are reserved before they are read and released when the
//! holder is dropped. No clocks, sockets or tasks.

#![forbid(unsafe_code)]

mod body_pace;
mod budget;

pub use body_pace::BodyPace;
pub use budget::{Exhausted, MemoryBudget, Reservation, Use, SMALL_BYTES};
