//! The agent: admits flows to its target and forwards packets between balancers and the target.

mod frames;
mod http;
mod packets;
mod released_syns;
mod serve;
mod stopping;

pub use serve::serve;
