//! The balancer: receives packets of callers from the routers and forwards them to agents.

mod frames;
mod hedging;
mod packets;
mod serve;
mod settings_pull;

pub use serve::serve;
