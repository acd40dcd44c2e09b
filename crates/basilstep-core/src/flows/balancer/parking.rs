use crate::flows::{key::FlowKey, segment::Segment};
use std::collections::BTreeMap;

/// How long an opening packet waits; the caller's next copy comes within 400 ms.
const PARKED_MS: u64 = 400;

/// The most opening packets that wait; a tenth of a second at the target rate of one balancer.
const PARKED_LIMIT: usize = 1_024;

/// An opening packet that no agent takes at the moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Parked {
    /// Its header.
    pub segment: Segment,
    /// The packet as it was received.
    pub packet: Vec<u8>,
    /// When it was first turned down.
    since_ms: u64,
}

/// Opening packets that wait for an agent, such as while the fleet comes back.
#[derive(Clone, Debug, Default)]
pub struct Parking {
    parked: BTreeMap<FlowKey, Parked>,
}

impl Parking {
    /// Lets a packet wait, in place of an earlier copy.
    pub fn park(&mut self, segment: &Segment, packet: &[u8], now_ms: u64) {
        let flow = segment.flow_of_caller();
        if self.parked.len() >= PARKED_LIMIT && !self.parked.contains_key(&flow) {
            return;
        }
        let parked = Parked {
            segment: *segment,
            packet: packet.to_vec(),
            since_ms: now_ms,
        };
        self.parked.insert(flow, parked);
    }

    /// Takes out all packets that still matter.
    pub fn take(&mut self, now_ms: u64) -> Vec<Parked> {
        std::mem::take(&mut self.parked)
            .into_values()
            .filter(|parked| now_ms < parked.since_ms + PARKED_MS)
            .collect()
    }

    /// Puts back a packet that still nobody takes.
    pub fn put_back(&mut self, parked: Parked) {
        self.parked.insert(parked.segment.flow_of_caller(), parked);
    }

    /// Forgets the packet of a flow that an agent was found for.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.parked.remove(flow);
    }
}
