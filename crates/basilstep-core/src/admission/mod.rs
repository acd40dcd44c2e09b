//! Limits of one target: requests in flight, connections, cold start and shedding.
//!
//! The agent beside a target sees each of its requests, so the limit is exact. The limit rises
//! while answers come in time and falls on latency, errors, sheds and silence; see
//! docs/design/admission.md.

mod answers;
mod arrivals;
mod in_flight;
mod limit;
mod messages;
mod overload_detector;
mod queue;
mod reachability;
mod retry_schedule;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{Action, AdmissionView, CostClass, Event, Outcome, RequestId};
pub use settings::AdmissionSettings;
pub use state::Admission;
