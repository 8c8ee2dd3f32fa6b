//! Tests of gateways as separate processes, with settings rendered from the deployed template, against
//! stand-ins of the users' platform.

mod budget;
mod caches;
mod caller_connections;
mod concentrated_connections;
mod crashing_prompt_parts;
mod crashing_requests;
mod departures;
mod endless_answers;
mod gateways_out_of_step;
mod leaving_and_backoff;
mod logs;
mod mismatched_answers;
mod misordered_events;
mod partitions;
mod path_faults;
mod planned_stops;
mod rate_limits;
mod relays;
mod requests;
mod restarted_versions;
mod restored_store;
mod roles;
mod schedulers;
mod silent_connections;
mod silent_workers;
mod support;
mod tenants;
mod unframed_streams;
mod unread_answers;
mod usage;
mod worker_incarnations;
mod worker_orders;
mod worker_relays;
mod worker_versions;
mod workers_leaving_in_a_shortage;
