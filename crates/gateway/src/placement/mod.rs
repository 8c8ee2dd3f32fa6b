//! Wiring of placements (see [`tansyhall_forwarding::placement`]): asking a scheduler, and answering
//! gateways that ask this one.

mod client;
mod codec;
mod message;
mod server;

pub use client::{ask, tell_notices, Answered, OpenPlacement, PlacementClient};
pub use message::{AnswerMessage, QuestionMessage};
pub use server::{answer, expire};
