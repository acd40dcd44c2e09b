use serde::{Deserialize, Serialize};

/// The settings of how a balancer takes a failure domain out of service and returns it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DomainSettings {
    /// How long after a domain was taken out packets of its open flows are still forwarded, so that
    /// its agents learn of it and close the flows with a result code.
    pub close_ms: u64,
    /// How long after a domain was taken out packets of its flows are answered with resets;
    /// afterwards they are dropped.
    pub reset_ms: u64,
    /// How long a returned domain gets no new flows, so that no balancer that has not learned of
    /// the return drops their packets.
    pub hold_ms: u64,
}

impl Default for DomainSettings {
    fn default() -> Self {
        Self {
            close_ms: 500,
            reset_ms: 20_000,
            hold_ms: 3_000,
        }
    }
}
