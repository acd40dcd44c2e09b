use serde::{Deserialize, Serialize};

/// How a balancer answers packets of flows that have ended with their agent or domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SteeringSettings {
    /// The most stateless resets that a balancer sends in a second.
    pub reset_limit_per_s: u32,
    /// The most stateless resets that a balancer sends at once after a calm time.
    pub reset_burst: u32,
    /// The gap between two ticks above which the balancer was paused.
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
