//! The decision logic of basilstep as state machines without I/O.
//!
//! Each state machine takes an event and a [`context::Context`] (the time and a seeded random
//! number generator) and returns typed actions. Nothing in this crate opens a socket, reads a
//! clock or writes a log, so a test or a benchmark can drive one state machine, or several
//! connected ones, with events in any order.

pub mod address;
pub mod admission;
pub mod codes;
pub mod context;
pub mod crypto;
pub mod domains;
pub mod flows;
pub mod hedging;
pub mod membership;
pub mod placement;
pub mod requests;
pub mod return_paths;
pub mod settings;
pub mod steering;
pub mod token;
pub mod wire;
