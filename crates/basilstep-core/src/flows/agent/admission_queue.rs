#[cfg(test)]
mod tests;

use super::state::CallerVerdict;
use crate::flows::{frame::ForwardHeader, key::FlowKey, segment::Segment, settings::FlowSettings};
use std::collections::BTreeMap;

/// How long before `syns.confirm_within_ms` a queued SYN is returned at the latest, so that its
/// balancer does not take it for lost while it, or the target's answer, is on its way.
const CONFIRM_MARGIN_MS: u64 = 10;

/// Why a SYN has left the admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOutcome {
    /// The target has capacity for it.
    Admitted,
    /// It has waited for as long as it may.
    Expired,
    /// The queue was full, and the others came before it.
    Evicted,
    /// The target or the agent takes no new flows any more.
    Withdrawn,
}

/// A SYN that has left the admission queue, and what to do with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleasedSyn {
    /// The header with which a balancer forwarded it.
    pub header: ForwardHeader,
    /// The packet as it was forwarded.
    pub packet: Vec<u8>,
    /// Whether it goes to the target or back to the balancer.
    pub verdict: CallerVerdict,
    /// Why it has left the queue.
    pub outcome: QueueOutcome,
    /// How long it was in the queue.
    pub waited_ms: u64,
}

/// A SYN in the admission queue.
#[derive(Clone, Debug)]
pub struct QueuedSyn {
    /// The flow that it opens.
    pub flow: FlowKey,
    /// The header with which a balancer forwarded its last copy.
    pub header: ForwardHeader,
    /// The last copy of the packet.
    pub packet: Vec<u8>,
    /// When the first copy was queued.
    pub queued_ms: u64,
    /// When it is returned if it has not been admitted.
    pub deadline_ms: u64,
}

impl QueuedSyn {
    /// Returns what becomes of the SYN now that it leaves the queue.
    pub fn release(
        self,
        verdict: CallerVerdict,
        outcome: QueueOutcome,
        now_ms: u64,
    ) -> ReleasedSyn {
        ReleasedSyn {
            header: self.header,
            packet: self.packet,
            verdict,
            outcome,
            waited_ms: now_ms.saturating_sub(self.queued_ms),
        }
    }
}

/// The place of a SYN in the queue: by level, then by deadline, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    level: u8,
    deadline_ms: u64,
    number: u64,
}

/// SYNs that wait at an agent until its target has capacity for them.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    syns: BTreeMap<Position, QueuedSyn>,
    positions: BTreeMap<FlowKey, Position>,
    next_number: u64,
}

impl AdmissionQueue {
    /// Returns how many SYNs wait.
    pub fn len(&self) -> usize {
        self.syns.len()
    }

    /// Returns whether no SYN waits.
    pub fn is_empty(&self) -> bool {
        self.syns.is_empty()
    }

    /// Returns whether a SYN of `flow` waits.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.positions.contains_key(flow)
    }

    /// Returns how many SYNs of `level` and higher levels wait.
    pub fn count_ahead(&self, level: u8) -> usize {
        self.syns
            .keys()
            .take_while(|position| position.level <= level)
            .count()
    }

    /// Adds a SYN; returns the one for which there is no place, which may be this one.
    ///
    /// A copy of a SYN that is queued replaces its packet and the balancer to which it is returned,
    /// but keeps its place, its age and its latency goal.
    pub fn insert(&mut self, syn: QueuedSyn, limit: usize) -> Option<QueuedSyn> {
        if let Some(position) = self.positions.get(&syn.flow)
            && let Some(queued) = self.syns.get_mut(position)
        {
            let latency_goal_ms = queued.header.latency_goal_ms;
            queued.packet = syn.packet;
            queued.header = ForwardHeader {
                latency_goal_ms,
                priority_level: queued.header.priority_level,
                priority_levels: queued.header.priority_levels,
                ..syn.header
            };
            return None;
        }
        let position = Position {
            level: syn.header.priority_level,
            deadline_ms: syn.deadline_ms,
            number: self.next_number,
        };
        self.next_number += 1;
        self.positions.insert(syn.flow, position);
        self.syns.insert(position, syn);
        if self.syns.len() <= limit {
            return None;
        }
        let (_, last) = self.syns.pop_last()?;
        self.positions.remove(&last.flow);
        Some(last)
    }

    /// Returns the places of all queued SYNs in their order.
    pub fn positions(&self) -> Vec<Position> {
        self.syns.keys().copied().collect()
    }

    /// Returns the SYN at a place.
    pub fn get(&self, position: Position) -> Option<&QueuedSyn> {
        self.syns.get(&position)
    }

    /// Removes the SYN at a place.
    pub fn take(&mut self, position: Position) -> Option<QueuedSyn> {
        let syn = self.syns.remove(&position)?;
        self.positions.remove(&syn.flow);
        Some(syn)
    }

    /// Removes the SYN of a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<QueuedSyn> {
        let position = *self.positions.get(flow)?;
        self.take(position)
    }

    /// Removes all SYNs, in their order.
    pub fn take_all(&mut self) -> Vec<QueuedSyn> {
        self.positions.clear();
        std::mem::take(&mut self.syns).into_values().collect()
    }
}

/// Returns how long a SYN may wait at an agent.
///
/// It is returned before its balancer takes it for lost, before its caller sends it again, and
/// early enough for another attempt to meet the latency goal.
pub fn max_wait_ms(header: &ForwardHeader, segment: &Segment, settings: &FlowSettings) -> u64 {
    let queue = &settings.admission_queue;
    let confirm_ms = settings
        .syns
        .confirm_within_ms
        .saturating_sub(CONFIRM_MARGIN_MS);
    let goal_share_ms = if header.latency_goal_ms == 0 {
        u64::MAX
    } else {
        (f64::from(header.latency_goal_ms) * queue.max_wait_goal_share) as u64
    };
    queue
        .max_wait_ms
        .min(confirm_ms)
        .min(segment.next_syn_after_ms())
        .min(goal_share_ms)
}
