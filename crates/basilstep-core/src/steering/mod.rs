//! Where a packet goes: by its flow token, or by placement when it opens a flow.
//!
//! A balancer keeps nothing about single flows. It steers each datagram by a [`SteeringTable`], an
//! immutable snapshot that packet tasks share and that is replaced as a whole.

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
