use serde::{Deserialize, Serialize};

/// How an agent chooses the balancer for an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReturnSettings {
    /// How long the balancer of a caller's last packet counts as live by that packet alone.
    pub fresh_ms: u64,
    /// How long after it was last heard a balancer may carry answers of other callers.
    pub heard_ms: u64,
    /// The most callers that are remembered.
    pub caller_limit: usize,
    /// The most balancers that are remembered.
    pub balancer_limit: usize,
}

impl Default for ReturnSettings {
    fn default() -> Self {
        Self {
            fresh_ms: 150,
            heard_ms: 3_000,
            caller_limit: 8_192,
            balancer_limit: 1_024,
        }
    }
}
