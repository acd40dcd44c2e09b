//! Steering of packets by their flow tokens, and by placement when they open a flow.
//!
//! A balancer keeps no state per flow. It steers each datagram by a [`SteeringTable`], an immutable
//! snapshot that packet tasks share and that is replaced as a whole.

mod decision;
mod header;
mod pause;
mod reset;
mod settings;
mod table;

#[cfg(test)]
mod tests;

pub use decision::SteeringDecision;
pub use header::{HeaderError, PacketHeader, PacketKind, parse_header};
pub use pause::PauseGuard;
pub use reset::{
    MIN_RESET_BYTES, RESET_TOKEN_BYTES, ResetRateLimiter, StatelessReset, reset_key,
    stateless_reset,
};
pub use settings::SteeringSettings;
pub use table::{DeadAgent, SteeringTable};
