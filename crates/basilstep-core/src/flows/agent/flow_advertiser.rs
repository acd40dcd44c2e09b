use crate::flows::{frame::HeldFlows, key::FlowKey};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// The maximum number of flows in one frame; each takes at most 14 bytes.
const FLOWS_PER_FRAME: usize = 80;

/// The flows that were advertised to one balancer, and those that are still pending.
#[derive(Clone, Debug, Default)]
struct AdvertisementQueue {
    advertised: u32,
    pending: Vec<FlowKey>,
    /// The next frame resets the count of the balancer, even if no flow is pending.
    is_restarting: bool,
}

/// Queues flow advertisements for balancers and numbers them, so that balancers detect a lost
/// frame.
#[derive(Clone, Debug, Default)]
pub struct FlowAdvertiser {
    queues: BTreeMap<Ipv4Addr, AdvertisementQueue>,
}

impl FlowAdvertiser {
    /// Resets the count of a balancer and queues all of `flows`.
    pub fn restart(&mut self, balancer: Ipv4Addr, flows: Vec<FlowKey>) {
        let queue = AdvertisementQueue {
            advertised: 0,
            pending: flows,
            is_restarting: true,
        };
        self.queues.insert(balancer, queue);
    }

    /// Queues the advertisement of a flow to a balancer.
    pub fn enqueue(&mut self, balancer: Ipv4Addr, flow: FlowKey) {
        self.queues.entry(balancer).or_default().pending.push(flow);
    }

    /// Returns the number of flows advertised to a balancer, including those that are still
    /// pending.
    pub fn total_for(&self, balancer: Ipv4Addr) -> u32 {
        self.queues
            .get(&balancer)
            .map_or(0, |queue| queue.advertised + queue.pending.len() as u32)
    }

    /// Removes balancers that are no longer known and have no pending flows.
    pub fn retain(&mut self, is_known: impl Fn(Ipv4Addr) -> bool) {
        self.queues
            .retain(|balancer, queue| !queue.pending.is_empty() || is_known(*balancer));
    }

    /// Takes the frames with all pending advertisements, by balancer.
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
