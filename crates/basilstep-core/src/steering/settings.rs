use serde::{Deserialize, Serialize};

/// Settings of stateless resets and of pause detection in a balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SteeringSettings {
    /// The maximum rate of stateless resets that a balancer sends.
    pub reset_limit_per_s: u32,
    /// The maximum burst of stateless resets after a time without any.
    pub reset_burst: u32,
    /// The interval between two ticks above which the balancer counts as paused.
    pub pause_limit_ms: u64,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        Self {
            reset_limit_per_s: 2_000,
            reset_burst: 2_000,
            pause_limit_ms: 1_000,
        }
    }
}
