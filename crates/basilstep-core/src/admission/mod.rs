//! Limits of one target: requests in flight, connections, cold start and shedding.

mod settings;

pub use settings::AdmissionSettings;
