//! Placement of new flows: selection of candidate targets and the choice between them.
//!
//! An offer is a first packet of a new flow on its way between the candidates; its
//! [`CarrierPurpose`](crate::wire::CarrierPurpose) tells the recipient how far the choice has come.
//! The first flight of a flow is all packets that the caller sends before it receives an answer.
//!
//! A balancer draws up to three candidates from [`ServiceTargets`] and sends the first packet to
//! the first of them. The agents then compare their exact loads, and the least loaded accepts the
//! flow: [`decide_offer`] is that step at one agent.

mod decision;
mod hash;
mod load;
mod offers;
mod peer_acks;
mod settings;
mod targets;

#[cfg(test)]
mod tests;

pub use decision::{
    CarrierHop, MAX_COMPARE_HOPS, OfferDecision, OfferedPacket, acknowledge_offer, decide_offer,
};
pub use load::{Load, OwnLoad};
pub use offers::RecentOffers;
pub use settings::PlacementSettings;
pub use targets::ServiceTargets;
