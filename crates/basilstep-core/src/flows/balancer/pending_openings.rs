use crate::flows::{key::FlowKey, segment::Segment};
use std::collections::BTreeMap;

/// How long an opening packet waits; the caller's next copy comes within 400 ms.
const PENDING_MS: u64 = 400;

/// The most opening packets that wait; a tenth of a second at the target rate of one balancer.
const PENDING_LIMIT: usize = 1_024;

/// An opening packet that no agent takes at the moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingOpening {
    /// Its header.
    pub segment: Segment,
    /// The packet as it was received.
    pub packet: Vec<u8>,
    /// When it was first turned down.
    since_ms: u64,
}

/// Opening packets that wait for an agent, such as while the fleet comes back.
#[derive(Clone, Debug, Default)]
pub struct PendingOpenings {
    by_flow: BTreeMap<FlowKey, PendingOpening>,
}

impl PendingOpenings {
    /// Lets a packet wait, in place of an earlier copy.
    pub fn insert(&mut self, segment: &Segment, packet: &[u8], now_ms: u64) {
        let flow = segment.flow_of_caller();
        if self.by_flow.len() >= PENDING_LIMIT && !self.by_flow.contains_key(&flow) {
            return;
        }
        let opening = PendingOpening {
            segment: *segment,
            packet: packet.to_vec(),
            since_ms: now_ms,
        };
        self.by_flow.insert(flow, opening);
    }

    /// Takes out all packets that still matter.
    pub fn take(&mut self, now_ms: u64) -> Vec<PendingOpening> {
        std::mem::take(&mut self.by_flow)
            .into_values()
            .filter(|opening| now_ms < opening.since_ms + PENDING_MS)
            .collect()
    }

    /// Puts back a packet that still nobody takes.
    pub fn put_back(&mut self, opening: PendingOpening) {
        self.by_flow
            .insert(opening.segment.flow_of_caller(), opening);
    }

    /// Forgets the packet of a flow that an agent was found for.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.by_flow.remove(flow);
    }
}
