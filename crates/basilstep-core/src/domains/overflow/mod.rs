//! Relays requests that a target has no capacity for to agents whose target may have some.
//!
//! Flows do not move when a domain returns, so its targets stay idle while the others are
//! overloaded. [`OverflowRelays`] selects the agent that a request is relayed to; see
//! docs/design/domains.md.

mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use settings::OverflowSettings;
pub use state::OverflowRelays;
