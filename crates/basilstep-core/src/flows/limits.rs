use serde::{Deserialize, Serialize};

/// What the operators' settings say about the targets of one service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceLimits {
    /// The most flows that a target holds; 0 stands for no limit.
    pub max_flows: u32,
    /// How long a target stays cold after it started.
    pub warmup_ms: u32,
    /// The requests a second that a cold target bears; 0 stands for no limit.
    pub warmup_per_s: f64,
}
