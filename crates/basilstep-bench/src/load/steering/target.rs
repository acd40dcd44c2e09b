use basilstep_core::flows::{FlowKey, Segment};
use std::collections::BTreeSet;

/// The number of requests that a target processes at once.
pub const CAPACITY: usize = 2;
const SERVICE_MS: u64 = 20;

/// A target: a few workers and its open flows.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The open flows.
    pub open_flows: BTreeSet<FlowKey>,
    free_at_ms: [u64; CAPACITY],
}

impl Target {
    /// Returns whether the flow of a caller's packet is open.
    pub fn holds_flow(&self, segment: &Segment) -> bool {
        self.open_flows.contains(&segment.flow_of_caller())
    }

    /// Queues a request and returns when its answer is ready.
    pub fn serve(&mut self, now_ms: u64) -> u64 {
        let worker = self
            .free_at_ms
            .iter_mut()
            .min()
            .expect("a target has workers");
        *worker = now_ms.max(*worker) + SERVICE_MS;
        *worker
    }
}
