//! The scripted cases.

pub mod forgotten_start;
pub mod reused_port;
pub mod unrecorded_endpoint;
