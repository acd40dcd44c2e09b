//! Test doubles for the environment of the processes, on loopback addresses.
//!
//! They implement the platform's published formats and share no code with `basilstep-platform`, so
//! that a fault in that crate does not go unnoticed.

pub mod caller;
pub mod fleet;
pub mod flow;
pub mod network;
pub mod packet;
pub mod proxy;
pub mod store;
pub mod target;
