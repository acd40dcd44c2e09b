//! The agent: stands between balancers and its target.

mod frames;
mod packets;
mod pings;
mod serve;

pub use serve::serve;
