use crate::flows::{frame::HeldFlows, key::FlowKey};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// The most flows that one frame tells of; each takes at most 14 bytes.
const FLOWS_PER_FRAME: usize = 80;

/// What one balancer has been told, and what it is still to be told.
#[derive(Clone, Debug, Default)]
struct AdvertisementQueue {
    advertised: u32,
    pending: Vec<FlowKey>,
    /// The next frame begins anew, even if there is no flow to tell of.
    is_restarting: bool,
}

/// Keeps count of the flows that balancers are told about, so that they notice a lost frame.
#[derive(Clone, Debug, Default)]
pub struct FlowAdvertiser {
    queues: BTreeMap<Ipv4Addr, AdvertisementQueue>,
}

impl FlowAdvertiser {
    /// Begins anew with a balancer.
    pub fn restart(&mut self, balancer: Ipv4Addr, flows: Vec<FlowKey>) {
        let queue = AdvertisementQueue {
            advertised: 0,
            pending: flows,
            is_restarting: true,
        };
        self.queues.insert(balancer, queue);
    }

    /// Notes that a balancer is to be told of a flow.
    pub fn enqueue(&mut self, balancer: Ipv4Addr, flow: FlowKey) {
        self.queues.entry(balancer).or_default().pending.push(flow);
    }

    /// Returns how many flows a balancer is to know, those included that it is still to be told.
    pub fn total_for(&self, balancer: Ipv4Addr) -> u32 {
        self.queues
            .get(&balancer)
            .map_or(0, |queue| queue.advertised + queue.pending.len() as u32)
    }

    /// Forgets balancers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(Ipv4Addr) -> bool) {
        self.queues
            .retain(|balancer, queue| !queue.pending.is_empty() || is_known(*balancer));
    }

    /// Takes what balancers are to be told now.
    pub fn take_frames(&mut self) -> Vec<(Ipv4Addr, HeldFlows)> {
        let mut frames = Vec::new();
        for (balancer, queue) in &mut self.queues {
            let pending = std::mem::take(&mut queue.pending);
            if std::mem::take(&mut queue.is_restarting) && pending.is_empty() {
                frames.push((*balancer, HeldFlows::default()));
            }
            for flows in pending.chunks(FLOWS_PER_FRAME) {
                let held = HeldFlows {
                    advertised_before: queue.advertised,
                    flows: flows.to_vec(),
                };
                queue.advertised += flows.len() as u32;
                frames.push((*balancer, held));
            }
        }
        frames
    }
}
