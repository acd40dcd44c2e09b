//! The balancer's side: which agent gets a packet.

mod hints;
mod roster;
mod search;
mod state;

pub use roster::{AgentState, Roster};
pub use state::{BalancerFlows, BalancerIdentity, Leg, Verdict};
