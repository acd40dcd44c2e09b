use crate::flows::{key::FlowKey, segment::Segment};
use std::collections::BTreeMap;

/// A SYN that no agent accepts at the moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingSyn {
    /// The header of the packet.
    pub segment: Segment,
    /// The packet as it was received.
    pub packet: Vec<u8>,
    /// When the packet arrived.
    pub since_ms: u64,
}

/// SYNs that wait for an agent, for example while the fleet restarts.
#[derive(Clone, Debug)]
pub struct PendingSyns {
    by_flow: BTreeMap<FlowKey, PendingSyn>,
    limit: usize,
}

impl PendingSyns {
    /// Creates an empty queue for at most `limit` SYNs.
    pub const fn new(limit: usize) -> Self {
        Self {
            by_flow: BTreeMap::new(),
            limit,
        }
    }

    /// Stores a SYN and replaces the one that it retransmits.
    pub fn insert(&mut self, segment: &Segment, packet: &[u8], now_ms: u64) {
        let flow = segment.flow_of_caller();
        if self.by_flow.len() >= self.limit && !self.by_flow.contains_key(&flow) {
            return;
        }
        let syn = PendingSyn {
            segment: *segment,
            packet: packet.to_vec(),
            since_ms: now_ms,
        };
        self.by_flow.insert(flow, syn);
    }

    /// Takes all SYNs whose callers have neither sent the next one nor given up.
    pub fn take(&mut self, now_ms: u64) -> Vec<PendingSyn> {
        std::mem::take(&mut self.by_flow)
            .into_values()
            .filter(|syn| now_ms < syn.since_ms + syn.segment.next_syn_after_ms())
            .collect()
    }

    /// Puts back a SYN that is still not accepted, with its original time.
    pub fn put_back(&mut self, syn: PendingSyn) {
        self.by_flow.insert(syn.segment.flow_of_caller(), syn);
    }

    /// Removes the SYN of a flow for which an agent was found.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.by_flow.remove(flow);
    }
}
