use crate::flows::{frame::HeldFlows, key::FlowKey};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// The most flows that one frame tells of; each takes at most 14 bytes.
const FLOWS_PER_FRAME: usize = 80;

/// What one balancer has been told, and what it is still to be told.
#[derive(Clone, Debug, Default)]
struct Listener {
    told: u32,
    untold: Vec<FlowKey>,
    /// The next frame begins anew, even if there is no flow to tell of.
    is_beginning: bool,
}

/// Keeps count of the flows that balancers are told about, so that they notice a lost frame.
#[derive(Clone, Debug, Default)]
pub struct FlowAdvertiser {
    listeners: BTreeMap<Ipv4Addr, Listener>,
}

impl FlowAdvertiser {
    /// Begins anew with a balancer.
    pub fn begin(&mut self, balancer: Ipv4Addr, flows: Vec<FlowKey>) {
        let listener = Listener {
            told: 0,
            untold: flows,
            is_beginning: true,
        };
        self.listeners.insert(balancer, listener);
    }

    /// Notes that a balancer is to be told of a flow.
    pub fn add(&mut self, balancer: Ipv4Addr, flow: FlowKey) {
        self.listeners
            .entry(balancer)
            .or_default()
            .untold
            .push(flow);
    }

    /// Returns how many flows a balancer is to know, those included that it is still to be told.
    pub fn total(&self, balancer: Ipv4Addr) -> u32 {
        self.listeners
            .get(&balancer)
            .map_or(0, |listener| listener.told + listener.untold.len() as u32)
    }

    /// Forgets balancers that are gone.
    pub fn retain(&mut self, is_there: impl Fn(Ipv4Addr) -> bool) {
        self.listeners
            .retain(|balancer, listener| !listener.untold.is_empty() || is_there(*balancer));
    }

    /// Takes what balancers are to be told now.
    pub fn take(&mut self) -> Vec<(Ipv4Addr, HeldFlows)> {
        let mut frames = Vec::new();
        for (balancer, listener) in &mut self.listeners {
            let untold = std::mem::take(&mut listener.untold);
            if std::mem::take(&mut listener.is_beginning) && untold.is_empty() {
                frames.push((*balancer, HeldFlows::default()));
            }
            for flows in untold.chunks(FLOWS_PER_FRAME) {
                let held = HeldFlows {
                    advertised_before: listener.told,
                    flows: flows.to_vec(),
                };
                listener.told += flows.len() as u32;
                frames.push((*balancer, held));
            }
        }
        frames
    }
}
