//! Second copies of requests whose first copy is answered late: whether one is sent, and when.
//!
//! [`HedgePolicy`] decides, from a [`HedgeBudget`] for the whole process and a [`DelayEstimate`] of
//! each group of requests (a service). What a second copy is and which process gets it is the
//! caller's part. docs/design/hedging.md gives the reasons.

mod budget;
mod delay_estimate;
mod policy;
mod settings;

#[cfg(test)]
mod tests;

pub use budget::HedgeBudget;
pub use delay_estimate::DelayEstimate;
pub use policy::{HedgeCounts, HedgePolicy, HedgeRefusal};
pub use settings::HedgingSettings;
