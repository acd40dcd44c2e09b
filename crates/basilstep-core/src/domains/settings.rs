use serde::{Deserialize, Serialize};

/// How a balancer follows a failure domain out of service and back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DomainSettings {
    /// How long after a domain was taken out its open flows still get packets, so that its agents
    /// hear of it and close them with a code.
    pub close_ms: u64,
    /// How long after a domain was taken out packets of its flows are answered with resets; later
    /// they are dropped.
    pub reset_ms: u64,
    /// How long after a domain came back it gets no new flows, so that no balancer still drops
    /// their packets.
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
