use serde::{Deserialize, Serialize};

/// How an agent passes on what its target has no room for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverflowSettings {
    /// How long an agent that refused is passed over at first; it doubles with each refusal.
    pub pause_min_ms: u64,
    /// How long an agent that refused is passed over at most.
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
