//! The gateway: the sockets, tasks and state around the decisions made by `tansyhall-forwarding`.
//!
//! [`ingress`] receives callers' requests, [`exchange`] runs each of them, and [`connections`] sends them to workers.
//! [`follower`] keeps a mirror of the store up to date, [`mirror_refresh`] derives the configuration in force from it,
//! [`peers`] sends its changes to other gateways, and [`presence`] announces this gateway. In a large fleet,
//! [`placement`] asks a scheduler where to send requests. Workers that this gateway cannot reach itself are reached
//! through other gateways, see [`worker_relay`].

#![forbid(unsafe_code)]

pub mod answer;
pub mod answer_body;
pub mod authority;
pub mod authority_claim;
pub mod cache_recovery;
pub mod caller_body;
pub mod caller_server;
pub mod caller_stream;
pub mod connection_losses;
pub mod connection_pool;
pub mod connections;
pub mod correlation;
pub mod datagrams;
pub mod deflated_values;
mod departed_workers;
pub mod desired_roles;
pub mod duties;
pub mod duty_calls;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follower;
pub mod headers;
pub mod ingress;
pub mod lease;
pub mod load_exchange;
pub mod load_messages;
pub mod metrics;
pub mod mirror_refresh;
pub mod peers;
pub mod placement;
pub mod presence;
pub mod protocol;
pub mod quarantine;
pub mod readiness;
pub mod refused_connections;
mod response_body;
pub mod role_orders;
pub mod run;
pub mod second_answer;
pub mod send_guard;
pub mod settings;
pub mod share_messages;
pub mod state;
pub mod store_call;
pub mod store_contact;
pub mod stream_pause;
pub mod stream_versions;
pub mod tenant_messages;
pub mod update_cache;
pub mod update_message;
mod urgent_part;
pub mod usage;
pub mod worker_connect;
pub mod worker_ends;
pub mod worker_entries;
pub mod worker_http;
pub mod worker_notices;
pub mod worker_orders;
pub mod worker_relay;
pub mod worker_request;

pub use run::{run, Adapter, Build};
pub use settings::{GatewaySettings, SettingsError};
