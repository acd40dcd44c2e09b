//! The balancer: takes packets of callers from the routers and carries them to agents.

mod frames;
mod packets;
mod serve;
mod settings_pull;

pub use serve::serve;
