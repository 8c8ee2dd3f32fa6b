//! The operators' side, by separate processes: the administration API, `ctl`, and operators who
//! race.

mod api;
mod ctl;
mod race;
mod support;
