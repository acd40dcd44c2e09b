use serde::{Deserialize, Serialize};

/// Settings of the admission control of each target of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// The maximum number of requests in flight at a warm target.
    pub request_limit: u32,
    /// The maximum number of requests in flight at a target that has just started.
    pub cold_request_limit: u32,
    /// The minimum time from the cold limit to the full limit, counted while the limit is used up.
    pub ramp_ms: u32,
    /// The maximum number of open connections of a target.
    pub connection_limit: u32,
    /// The maximum number of requests that wait for a slot.
    pub queue_limit: u32,
    /// The maximum time that a request waits for a slot.
    pub queue_wait_ms: u32,
    /// The latency above which an answer indicates overload.
    pub latency_limit_ms: u32,
    /// The minimum time after which a refused caller is told to retry.
    pub retry_after_min_ms: u32,
    /// The maximum time after which a refused caller is told to retry.
    pub retry_after_max_ms: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            request_limit: 64,
            cold_request_limit: 1,
            ramp_ms: 5_000,
            connection_limit: 2_000,
            queue_limit: 64,
            queue_wait_ms: 200,
            latency_limit_ms: 1_000,
            retry_after_min_ms: 100,
            retry_after_max_ms: 30_000,
        }
    }
}

impl AdmissionSettings {
    /// Returns the limit of a cold target: at least one, at most the full limit.
    pub fn cold_limit(&self) -> u32 {
        self.cold_request_limit.clamp(1, self.full_limit())
    }

    /// Returns the limit of a warm target, at least one.
    pub fn full_limit(&self) -> u32 {
        self.request_limit.max(1)
    }
}
