//! The life of flows: opened, lost and ended.

use super::{
    agent::Agent,
    callers::{Caller, FirstPacket, Flow},
    run::{BALANCERS, OUT_MS, RETURN_MS, Run, ScheduledEvent},
};
use basilstep_core::{
    address::AgentAddress,
    placement::{OfferDecision, OfferedPacket},
    steering::SteeringDecision,
    wire::CarrierPurpose,
};
use rand::RngExt;

/// The time from the first packet of a flow to its first request.
const OPENING_MS: u64 = 10;
/// The mean pause of a caller whose flow was refused.
const REFUSED_PAUSE_MS: u64 = 100;
/// The mean pause before a caller without an answer sends its first packet again.
const RESEND_PAUSE_MS: u64 = 1_000;

/// The next hop of a first packet that agents pass on.
#[derive(Clone, Copy, Debug)]
struct Hop {
    to: AgentAddress,
    purpose: CarrierPurpose,
}

impl Run {
    pub(super) fn open(&mut self, caller: usize) {
        let first = FirstPacket::new(&mut self.context);
        let balancer = self.random_balancer();
        let address = self.callers[caller].address;
        let steer = self.balancers[balancer].place(&address, &first.datagram);
        let SteeringDecision::Forward { agent, purpose } = steer else {
            return self.open_later(caller, RESEND_PAUSE_MS);
        };
        let mut hop = Hop { to: agent, purpose };
        loop {
            let number = Agent::number_of(hop.to);
            self.record_packet(number);
            if !self.agents[number].is_powered {
                return self.open_later(caller, RESEND_PAUSE_MS);
            }
            let offered = OfferedPacket {
                caller: address,
                connection_id: &first.id,
                purpose: hop.purpose,
            };
            let now_ms = self.context.now_ms;
            let decision = self.agents[number].decide(&offered, now_ms);
            if let Some(next) = decision.next_hop(hop.to) {
                hop = Hop {
                    to: next.to,
                    purpose: next.purpose,
                };
                continue;
            }
            if decision != OfferDecision::Accept {
                return self.open_later(caller, REFUSED_PAUSE_MS);
            }
            self.agents[number].opened(&address, &first.id);
            let agent = number;
            return self.schedule_in(OPENING_MS, ScheduledEvent::Opened { caller, agent });
        }
    }

    fn open_later(&mut self, caller: usize, pause_ms: u64) {
        let jittered_ms = self
            .context
            .rng
            .random_range(pause_ms / 2..=pause_ms * 3 / 2);
        self.schedule_in(jittered_ms, ScheduledEvent::Open { caller });
    }

    /// Completes an opening. An agent that was taken out in the meantime closes the flow at its
    /// first packet.
    pub(super) fn opened(&mut self, caller: usize, agent: usize) {
        let now_ms = self.context.now_ms;
        let record = self.agents[agent].record;
        let state = &mut self.callers[caller];
        state.flow = Some(Flow::new(agent, &record));
        state.generation += 1;
        let generation = state.generation;
        if let Some(lost_ms) = state.lost_ms.take() {
            let after_ms = now_ms - lost_ms;
            self.figures.reopened_after_ms = self.figures.reopened_after_ms.max(after_ms);
        }
        let waiting = std::mem::take(&mut state.waiting);
        let uniform: f64 = self.context.rng.random();
        let life_ms = -(1.0 - uniform).ln() * self.case.flow_life_s * 1_000.0;
        let end = ScheduledEvent::End { caller, generation };
        self.schedule_in((life_ms as u64).max(1), end);
        if self.agents[agent].is_out && self.policy.closes_flows() {
            self.lose_flow(caller, self.context.now_ms);
        }
        for request in waiting {
            self.send(request);
        }
    }

    /// Ends a flow normally and replaces its caller by a new one.
    pub(super) fn end_flow(&mut self, caller: usize, generation: u32) {
        if self.callers[caller].generation != generation || self.callers[caller].flow.is_none() {
            return;
        }
        self.remove_flow(caller);
        let mut next = Caller::new(&mut self.context);
        next.generation = generation;
        self.callers[caller] = next;
        self.open(caller);
    }

    /// Marks a caller's flow as lost since `since_ms`; the caller opens another one at once.
    pub(super) fn lose_flow(&mut self, caller: usize, since_ms: u64) {
        let Some(flow) = self.remove_flow(caller) else {
            return;
        };
        if self.agents[flow.agent].is_in_removed_domain() && self.context.now_ms >= OUT_MS {
            self.figures.flows_lost_with_domain += 1;
        } else {
            self.figures.broken_flows += 1;
        }
        self.callers[caller].lost_ms = Some(since_ms);
        self.open(caller);
    }

    fn remove_flow(&mut self, caller: usize) -> Option<Flow> {
        let flow = self.callers[caller].flow.take()?;
        let agent = &mut self.agents[flow.agent];
        if agent.record.incarnation == flow.incarnation {
            agent.flows -= 1;
        }
        Some(flow)
    }

    /// Closes all flows of an agent with a result code.
    pub(super) fn close_flows(&mut self, number: usize) {
        self.fail_requests(number);
        for caller in 0..self.callers.len() {
            let flow = self.callers[caller].flow;
            if flow.is_some_and(|flow| flow.agent == number) {
                self.lose_flow(caller, self.context.now_ms);
            }
        }
    }

    pub(super) fn random_balancer(&mut self) -> usize {
        self.context.rng.random_range(0..BALANCERS)
    }

    pub(super) fn record_packet(&mut self, number: usize) {
        let is_out_time = (OUT_MS..RETURN_MS).contains(&self.context.now_ms);
        if is_out_time && self.agents[number].is_in_removed_domain() {
            self.figures.last_packet_ms = self.context.now_ms - OUT_MS;
        }
    }
}
