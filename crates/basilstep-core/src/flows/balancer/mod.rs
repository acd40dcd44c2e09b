//! The balancer's side: which agent gets a packet.

mod hints;
mod liveness;
mod pending_openings;
mod roster;
mod search;
mod state;
mod verdict;

pub use pending_openings::PendingOpening;
pub use roster::{AgentState, Roster};
pub use state::BalancerFlows;
pub use verdict::{BalancerIdentity, NextHop, PlacedOpening, TickOutcome, Verdict};
