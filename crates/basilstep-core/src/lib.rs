//! The decisions of basilstep as plain state machines.
//!
//! Each slice takes an event and a [`context::Context`] (the time and a seeded random source) and
//! returns typed actions. Nothing in this crate opens a socket, reads a clock or writes a log, so
//! a test or a bench can drive one slice, or several wired together, through any order of events.

pub mod address;
pub mod admission;
pub mod codes;
pub mod context;
pub mod crypto;
pub mod domains;
pub mod flows;
pub mod membership;
pub mod placement;
pub mod requests;
pub mod returns;
pub mod settings;
pub mod steering;
pub mod token;
pub mod wire;
