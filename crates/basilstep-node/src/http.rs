//! A minimal HTTP/1.1 client and server for requests outside of the packet path.

mod client;
mod server;

pub use client::{ClientResponse, HttpClient, HttpError};
pub use server::{RequestHandler, ServerRequest, ServerResponse, spawn_http_server};
