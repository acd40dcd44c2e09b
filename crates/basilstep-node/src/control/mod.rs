//! The control port of a process: HTTP/1.1 on the TCP port of its address, authenticated.

mod auth;
mod client;
mod query;
mod server;
#[cfg(test)]
mod tests;

pub use auth::{AUTH_HEADER, Credential, CredentialVerifier};
pub use client::{ControlClient, ControlError};
pub use query::PathAndQuery;
pub use server::{ControlHandler, ControlResponse, ControlServer};
