//! Failure domains leaving and returning, as one balancer carries it out.
//!
//! A change reaches balancers at different moments. Each phase bridges that: a domain that leaves
//! is first closed by its agents, who tell callers why; a domain that returns gets new flows only
//! when every balancer knows that it is back.

mod overflow;
mod settings;
#[cfg(test)]
mod tests;
mod tracker;

pub use overflow::{OverflowRelays, OverflowSettings};
pub use settings::DomainSettings;
pub use tracker::{DomainPhase, DomainPhases, DomainTracker};
