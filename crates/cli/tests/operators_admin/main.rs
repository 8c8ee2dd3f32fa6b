//! The operators' interfaces, with separate processes: the administration API, `ctl`, and concurrent changes by two
//! operators.

mod api;
mod ctl;
mod race;
mod support;
