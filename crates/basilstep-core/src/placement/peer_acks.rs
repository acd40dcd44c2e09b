use crate::address::AgentAddress;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum time between two reports of unresponsive agents.
const REPORT_INTERVAL_MS: u64 = 500;

/// The maximum number of agents in one report; the others wait for the next.
const MAX_AGENTS_PER_REPORT: usize = 2;

/// The agents that have not yet acknowledged an offer forwarded to them.
///
/// An agent that crashes or freezes is detected within the reply timeout by those that forward
/// offers to it, long before membership removes it.
#[derive(Debug, Default, Serialize)]
pub(super) struct PeerAcks {
    awaited_since_ms: BTreeMap<AgentAddress, u64>,
    reported: BTreeSet<AgentAddress>,
    next_report_ms: u64,
}

impl PeerAcks {
    /// Records that an offer is sent to an agent.
    pub(super) fn note_sent(&mut self, peer: AgentAddress, now_ms: u64) {
        self.awaited_since_ms.entry(peer).or_insert(now_ms);
    }

    /// Records a message from an agent.
    pub(super) fn note_message(&mut self, peer: AgentAddress) {
        self.awaited_since_ms.remove(&peer);
        self.reported.remove(&peer);
    }

    /// Returns some unresponsive agents, each once until it responds or is forgotten.
    pub(super) fn take_unresponsive(
        &mut self,
        reply_timeout_ms: u64,
        now_ms: u64,
    ) -> Vec<AgentAddress> {
        if now_ms < self.next_report_ms {
            return Vec::new();
        }
        let unresponsive: Vec<AgentAddress> = self
            .awaited_since_ms
            .keys()
            .copied()
            .filter(|peer| self.is_unresponsive(*peer, reply_timeout_ms, now_ms))
            .filter(|peer| !self.reported.contains(peer))
            .take(MAX_AGENTS_PER_REPORT)
            .collect();
        if !unresponsive.is_empty() {
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            self.reported.extend(&unresponsive);
        }
        unresponsive
    }

    /// Returns whether an agent has left an offer unacknowledged for the reply timeout.
    pub(super) fn is_unresponsive(
        &self,
        peer: AgentAddress,
        reply_timeout_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.awaited_since_ms
            .get(&peer)
            .is_some_and(|since_ms| now_ms.saturating_sub(*since_ms) >= reply_timeout_ms)
    }

    /// Forgets agents that have been unresponsive for `silence_ms`, so that they are tried again.
    pub(super) fn expire(&mut self, silence_ms: u64, now_ms: u64) {
        self.awaited_since_ms
            .retain(|_, since_ms| now_ms.saturating_sub(*since_ms) < silence_ms);
        let awaited = &self.awaited_since_ms;
        self.reported.retain(|peer| awaited.contains_key(peer));
    }
}
