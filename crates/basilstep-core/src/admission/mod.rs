//! Admission control of one target: limits of requests in flight and connections, cold start and
//! load shedding.
//!
//! The agent on the VM of a target sees each of its requests, so the limit is exact. The limit
//! rises while answers arrive in time and falls on latency, errors, sheds and silence; see
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

pub use messages::{
    AdmissionAction, AdmissionEvent, AdmissionView, CostClass, RequestId, RequestOutcome,
};
pub use settings::AdmissionSettings;
pub use state::Admission;
