use serde::{Deserialize, Serialize};

/// Settings of the choice of balancers for answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReturnSettings {
    /// How long the balancer of a caller's last packet counts as live because of that packet.
    pub fresh_ms: u64,
    /// How long after its last message a balancer may forward answers to other callers.
    pub heard_ms: u64,
    /// The maximum number of callers in the table.
    pub caller_limit: usize,
    /// The maximum number of balancers in the table.
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
