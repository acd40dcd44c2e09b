use serde::{Deserialize, Serialize};

/// Settings of the comparison of offers between agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// The time without a reply after which the agent that forwarded an offer accepts it itself
    /// when it is repeated.
    pub compare_timeout_ms: u64,
    /// How long another agent may take to acknowledge an offer that was forwarded to it.
    pub reply_timeout_ms: u64,
    /// How long an agent that does not acknowledge is skipped before it is tried again.
    pub silence_ms: u64,
    /// How long the decision on an offer is kept for other packets of the same flow.
    pub retention_ms: u64,
    /// How long an accepted flow counts as load while the endpoint has not opened it.
    pub pending_ms: u64,
    /// The maximum number of decisions kept.
    pub recent_limit: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            compare_timeout_ms: 300,
            reply_timeout_ms: 100,
            silence_ms: 5_000,
            retention_ms: 10_000,
            pending_ms: 1_000,
            recent_limit: 16_384,
        }
    }
}
