use serde::{Deserialize, Serialize};

/// The operators' limits for the targets of one service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceLimits {
    /// The maximum number of flows that a target holds; 0 means no limit.
    pub max_flows: u32,
    /// How long a target stays cold after its start.
    pub warmup_ms: u32,
    /// The requests per second that a cold target can handle; 0 means no limit.
    pub warmup_per_s: f64,
}
