use serde::{Deserialize, Serialize};

/// The limits of each target of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// The most requests in flight at a warm target.
    pub request_limit: u32,
    /// The most requests in flight at a target that has just started.
    pub cold_request_limit: u32,
    /// The most open connections of a target.
    pub connection_limit: u32,
    /// The most requests that wait for a slot.
    pub queue_limit: u32,
    /// The longest time that a request waits for a slot.
    pub queue_wait_ms: u32,
    /// An answer slower than this counts as a sign of overload.
    pub latency_limit_ms: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            request_limit: 64,
            cold_request_limit: 1,
            connection_limit: 2_000,
            queue_limit: 64,
            queue_wait_ms: 200,
            latency_limit_ms: 1_000,
        }
    }
}
