use crate::address::AgentAddress;
use serde::Serialize;
use std::collections::BTreeMap;

/// Which other agents have not acknowledged an offer that was shown to them.
///
/// An agent that dies or freezes is noticed within the reply time-out by those that show offers to
/// it, long before membership removes it.
#[derive(Debug, Default, Serialize)]
pub(super) struct Peers {
    awaited_since_ms: BTreeMap<AgentAddress, u64>,
}

impl Peers {
    /// Notes that an offer goes to an agent.
    pub(super) fn shown(&mut self, peer: AgentAddress, now_ms: u64) {
        self.awaited_since_ms.entry(peer).or_insert(now_ms);
    }

    /// Notes a sign of life of an agent.
    pub(super) fn heard(&mut self, peer: AgentAddress) {
        self.awaited_since_ms.remove(&peer);
    }

    /// Tells whether an agent is passed over.
    pub(super) fn is_silent(&self, peer: AgentAddress, reply_timeout_ms: u64, now_ms: u64) -> bool {
        self.awaited_since_ms
            .get(&peer)
            .is_some_and(|since_ms| now_ms.saturating_sub(*since_ms) >= reply_timeout_ms)
    }

    /// Gives agents that have been passed over for long another chance.
    pub(super) fn expire(&mut self, silence_ms: u64, now_ms: u64) {
        self.awaited_since_ms
            .retain(|_, since_ms| now_ms.saturating_sub(*since_ms) < silence_ms);
    }
}
