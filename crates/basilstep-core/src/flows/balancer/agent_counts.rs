//! How many agents other balancers know.

use std::collections::BTreeMap;

/// The numbers of agents that other balancers have stated, with the time of the last statement of
/// each number; those who stated it may have restarted since.
#[derive(Clone, Debug, Default)]
pub struct AgentCounts {
    stated_ms: BTreeMap<u16, u64>,
}

impl AgentCounts {
    /// Records that another balancer knows `agents` agents.
    pub fn record(&mut self, agents: u16, now_ms: u64) {
        self.stated_ms.insert(agents, now_ms);
    }

    /// Removes the numbers that have not been stated since `before_ms`.
    pub fn expire(&mut self, before_ms: u64) {
        self.stated_ms.retain(|_, at_ms| *at_ms >= before_ms);
    }

    /// Returns the highest number.
    pub fn max(&self) -> Option<u16> {
        self.stated_ms.keys().next_back().copied()
    }
}
