use crate::address::AgentAddress;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The least time between two reports of agents that have gone silent.
const REPORT_INTERVAL_MS: u64 = 500;

/// The most agents that one report names; the others wait for the next.
const REPORTED_AT_ONCE: usize = 2;

/// Which other agents have not acknowledged an offer that was shown to them.
///
/// An agent that dies or freezes is noticed within the reply time-out by those that show offers to
/// it, long before membership removes it.
#[derive(Debug, Default, Serialize)]
pub(super) struct PeerAcks {
    awaited_since_ms: BTreeMap<AgentAddress, u64>,
    reported: BTreeSet<AgentAddress>,
    next_report_ms: u64,
}

impl PeerAcks {
    /// Notes that an offer goes to an agent.
    pub(super) fn note_sent(&mut self, peer: AgentAddress, now_ms: u64) {
        self.awaited_since_ms.entry(peer).or_insert(now_ms);
    }

    /// Notes a sign of life of an agent.
    pub(super) fn note_heard(&mut self, peer: AgentAddress) {
        self.awaited_since_ms.remove(&peer);
        self.reported.remove(&peer);
    }

    /// Returns some agents that have gone silent, each once in a silence.
    pub(super) fn take_silent(&mut self, reply_timeout_ms: u64, now_ms: u64) -> Vec<AgentAddress> {
        if now_ms < self.next_report_ms {
            return Vec::new();
        }
        let silent: Vec<AgentAddress> = self
            .awaited_since_ms
            .keys()
            .copied()
            .filter(|peer| self.is_silent(*peer, reply_timeout_ms, now_ms))
            .filter(|peer| !self.reported.contains(peer))
            .take(REPORTED_AT_ONCE)
            .collect();
        if !silent.is_empty() {
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            self.reported.extend(&silent);
        }
        silent
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
        let awaited = &self.awaited_since_ms;
        self.reported.retain(|peer| awaited.contains_key(peer));
    }
}
