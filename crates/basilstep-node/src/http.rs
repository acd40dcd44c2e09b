//! A small HTTP/1.1 client and server for calls that are not on the packet path.

mod client;
mod server;

pub use client::{HttpClient, HttpError, Reply};
pub use server::{Answer, Handler, Incoming, spawn_server};
