//! Which targets a new flow is offered to, and which of them takes it.
//!
//! A balancer draws up to three candidates from [`ServiceTargets`] and sends the first packet to the
//! first of them. The agents then settle between themselves, by exact knowledge of their own load,
//! which of them takes the flow: [`decide`] is that step at one agent.

mod decide;
mod hash;
mod load;
mod offers;
mod peer_acks;
mod settings;
mod targets;

#[cfg(test)]
mod tests;

pub use decide::{MAX_COMPARE_HOPS, NextLeg, OfferDecision, OfferedPacket, acknowledge, decide};
pub use load::{Load, OwnLoad};
pub use offers::RecentOffers;
pub use settings::PlacementSettings;
pub use targets::ServiceTargets;
