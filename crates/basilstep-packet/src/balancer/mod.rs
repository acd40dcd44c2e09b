//! The balancer: receives packets of callers from the routers and forwards them to agents.

mod explaining;
mod frames;
mod hedging;
mod packets;
mod serve;
mod settings_pull;
mod stopping;

pub use serve::serve;
