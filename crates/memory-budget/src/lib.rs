//! The memory that a process may hold for its callers. Bytes are reserved before they are read and released when the
//! holder is dropped, and a connection hands its bytes to the parser only as requests advance. No clocks, sockets or tasks.

#![forbid(unsafe_code)]

mod body_pace;
mod budget;
mod read_ahead;

pub use body_pace::BodyPace;
pub use budget::{Exhausted, MemoryBudget, Reservation, Use, SMALL_BYTES};
pub use read_ahead::{Allowance, BodyLength, ReadAhead};
