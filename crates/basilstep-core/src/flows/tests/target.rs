use crate::flows::FlowKey;
use std::collections::VecDeque;

/// A target that processes some requests at once and queues the others.
pub struct Target {
    slots: usize,
    running: Vec<(FlowKey, u64)>,
    queued: VecDeque<(FlowKey, u64)>,
}

impl Target {
    pub fn new(slots: u16) -> Self {
        Self {
            slots: usize::from(slots),
            running: Vec::new(),
            queued: VecDeque::new(),
        }
    }

    /// Adds a request that takes `work_ms` once it has a slot.
    pub fn enqueue(&mut self, flow: FlowKey, work_ms: u64) {
        self.queued.push_back((flow, work_ms));
    }

    /// Ends a request that its caller has given up.
    pub fn cancel(&mut self, flow: FlowKey) {
        self.running.retain(|(running, _)| *running != flow);
        self.queued.retain(|(queued, _)| *queued != flow);
    }

    /// Returns the requests that have finished by `now_ms`.
    pub fn step(&mut self, now_ms: u64) -> Vec<FlowKey> {
        let done: Vec<FlowKey> = self
            .running
            .iter()
            .filter(|(_, until_ms)| *until_ms <= now_ms)
            .map(|(flow, _)| *flow)
            .collect();
        self.running.retain(|(_, until_ms)| *until_ms > now_ms);
        while self.running.len() < self.slots
            && let Some((flow, work_ms)) = self.queued.pop_front()
        {
            self.running.push((flow, now_ms + work_ms));
        }
        done
    }

    /// Returns whether a slot is free and no request waits for it.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() + self.queued.len() < self.slots
    }
}
