//! Requests that a target has no room for, passed on to agents that may have room.
//!
//! Flows stay where they are when a domain returns, so its targets stay idle while the others
//! have too much. [`OverflowRelays`] decides which agent gets what a target has no room for; see
//! docs/design/domains.md.

mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use settings::OverflowSettings;
pub use state::OverflowRelays;
