use serde::{Deserialize, Serialize};

/// How an agent settles offers of new flows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// After this time without a reply, a repeated offer is taken by the agent that asked.
    pub compare_timeout_ms: u64,
    /// How long another agent may take to acknowledge an offer that was shown to it.
    pub reply_timeout_ms: u64,
    /// How long an agent that does not acknowledge is passed over before it is tried again.
    pub silence_ms: u64,
    /// How long the decision on an offer is kept for the other packets of the same flow.
    pub retention_ms: u64,
    /// How long a flow that was taken counts as load before the endpoint has opened it.
    pub pending_ms: u64,
    /// The most decisions that are kept.
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
