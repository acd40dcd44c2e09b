//! The scripted cases.

pub mod reused_port;
