use super::hedges::Offer;
use crate::flows::key::{FlowKey, ServiceTag};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// The agent that a balancer expects to hold a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hint {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The service that the flow was opened to.
    pub service: ServiceTag,
    /// The agent has confirmed that it holds the flow.
    pub is_confirmed: bool,
    /// The agent may have queued the SYN.
    pub may_wait: bool,
    /// When the caller's last SYN arrived.
    pub syn_arrived_ms: u64,
    /// When the SYN was last sent to the agent.
    pub offered_ms: u64,
    /// When the last packet of the flow passed.
    pub used_ms: u64,
}

impl Hint {
    /// Returns the hint after the first offer was returned and only a second one is outstanding.
    pub const fn offered_again(self, second: Offer) -> Self {
        Self {
            agent: second.agent,
            offered_ms: second.offered_ms,
            ..self
        }
    }
}

/// A bounded cache from flows to agents. A hint may be wrong or missing; only the agents know.
#[derive(Clone, Debug)]
pub struct Hints {
    by_flow: BTreeMap<FlowKey, Hint>,
    limit: usize,
    sweep_cursor: Option<FlowKey>,
    /// When a hint was last evicted for another one.
    last_evicted_ms: Option<u64>,
}

impl Hints {
    /// Creates an empty cache.
    pub const fn new(limit: usize) -> Self {
        Self {
            by_flow: BTreeMap::new(),
            limit,
            sweep_cursor: None,
            last_evicted_ms: None,
        }
    }

    /// Returns the hint of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&Hint> {
        self.by_flow.get(flow)
    }

    /// Returns the hint of a flow for modification.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut Hint> {
        self.by_flow.get_mut(flow)
    }

    /// Stores a hint; if the cache is full, the hint of another flow is evicted.
    pub fn insert(&mut self, flow: FlowKey, hint: Hint) {
        if self.by_flow.len() >= self.limit && !self.by_flow.contains_key(&flow) {
            self.by_flow.pop_first();
            self.last_evicted_ms = Some(hint.used_ms);
        }
        self.by_flow.insert(flow, hint);
    }

    /// Returns whether each flow that was advertised and used since `since_ms` still has its hint.
    pub fn is_complete_since(&self, since_ms: u64) -> bool {
        self.last_evicted_ms.is_none_or(|at_ms| at_ms < since_ms)
    }

    /// Removes the hint of a flow.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.by_flow.remove(flow);
    }

    /// Returns how many hints there are.
    pub fn len(&self) -> usize {
        self.by_flow.len()
    }

    /// Checks the next `budget` hints in cyclic order and removes those unused since `before_ms`.
    pub fn sweep(&mut self, budget: usize, before_ms: u64) {
        let start = self
            .sweep_cursor
            .map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let visited: Vec<(FlowKey, u64)> = self
            .by_flow
            .range((start, std::ops::Bound::Unbounded))
            .take(budget)
            .map(|(flow, hint)| (*flow, hint.used_ms))
            .collect();
        self.sweep_cursor = if visited.len() < budget {
            None
        } else {
            visited.last().map(|(flow, _)| *flow)
        };
        for (flow, used_ms) in visited {
            if used_ms < before_ms {
                self.by_flow.remove(&flow);
            }
        }
    }
}
