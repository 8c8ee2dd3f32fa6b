//! Exchange of placement messages (see [`tansyhall_forwarding::placement`]): requests to a scheduler, and answers to
//! gateways that have this one as their scheduler.

mod client;
mod codec;
mod message;
mod server;

pub use client::{
    request_placement, send_notices, OpenPlacement, PlacementClient, SchedulerAnswer,
};
pub use message::{MessageToScheduler, PromptPartMessage, RequestMessage, SchedulerAnswerMessage};
pub use server::{expire, handle_message};
