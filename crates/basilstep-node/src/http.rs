//! A small HTTP/1.1 client and server for calls that are not on the packet path.

mod client;
mod server;

pub use client::{ClientResponse, HttpClient, HttpError};
pub use server::{RequestHandler, ServerRequest, ServerResponse, spawn_server};
