//! Gateways as separate processes, with the settings that the deployed template renders, against
//! stand-ins of the users' platform.

mod budget;
mod caches;
mod deadly_requests;
mod leaving_and_resting;
mod logs;
mod rate_limits;
mod relays;
mod requests;
mod restored_store;
mod roles;
mod schedulers;
mod silent_connections;
mod stuttering;
mod support;
mod tenants;
mod usage;
mod worker_lives;
mod worker_orders;
