//! The control port of a process: authenticated HTTP/1.1 on the TCP port of its address.

mod auth;
mod client;
mod path_and_query;
mod server;
#[cfg(test)]
mod tests;

pub use auth::{AUTH_HEADER, Credential, CredentialVerifier};
pub use client::{ControlClient, ControlError};
pub use path_and_query::PathAndQuery;
pub use server::{ControlHandler, ControlResponse, ControlServer};
