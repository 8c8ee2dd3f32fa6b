//! One module for each command.

pub mod check;
pub mod ctl;
pub mod dev;
pub mod explain;
pub mod gateway;
pub mod node;
