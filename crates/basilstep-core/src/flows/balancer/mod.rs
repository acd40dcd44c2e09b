//! The balancer's side: which agent gets a packet.

mod hints;
mod liveness;
mod parking;
mod roster;
mod search;
mod state;
mod verdict;

pub use parking::Parked;
pub use roster::{AgentState, Roster};
pub use state::BalancerFlows;
pub use verdict::{BalancerIdentity, Due, Leg, Placed, Verdict};
