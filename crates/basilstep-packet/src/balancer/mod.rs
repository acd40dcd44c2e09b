//! The balancer: takes packets of callers from the routers and carries them to agents.

mod frames;
mod packets;
mod pull;
mod serve;

pub use serve::serve;
