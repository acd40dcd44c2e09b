use serde::{Deserialize, Serialize};

/// The settings of how an agent relays requests that its target has no capacity for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverflowSettings {
    /// How long an agent is skipped after its first refusal; the pause doubles with each refusal.
    pub pause_min_ms: u64,
    /// The longest time for which an agent that refused is skipped.
    pub pause_max_ms: u64,
}

impl Default for OverflowSettings {
    fn default() -> Self {
        Self {
            pause_min_ms: 100,
            pause_max_ms: 5_000,
        }
    }
}
