//! How a balancer takes failure domains out of service and returns them.
//!
//! A change reaches balancers at different times, which the phases compensate for. When a domain is
//! taken out, its agents first close its flows and tell callers why. A domain that returns gets new
//! flows only after every balancer knows that it is back.

mod overflow;
mod settings;
#[cfg(test)]
mod tests;
mod tracker;

pub use overflow::{OverflowRelays, OverflowSettings};
pub use settings::DomainSettings;
pub use tracker::{DomainPhase, DomainPhases, DomainTracker};
