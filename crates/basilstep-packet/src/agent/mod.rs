//! The agent: stands between balancers and its target.

mod frames;
mod http;
mod packets;
mod serve;

pub use serve::serve;
