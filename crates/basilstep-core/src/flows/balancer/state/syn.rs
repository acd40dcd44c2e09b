//! SYNs: which agent gets a new flow, and which SYNs wait for an agent.

use super::BalancerFlows;
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        balancer::{PlacedSyn, Verdict, agent_table::PlacementContext, hints::Hint},
        key::{FlowKey, ServiceTag},
        segment::Segment,
    },
};
use std::net::Ipv4Addr;

/// The latency goal of a request that can no longer meet it; 0 means that there is no goal.
const EXPIRED_GOAL_MS: u64 = 1;

impl BalancerFlows {
    pub(super) fn on_syn(&mut self, flow: FlowKey, segment: &Segment, ctx: &Context) -> Verdict {
        let confirm_within_ms = self.settings.confirm_within_ms;
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.used_ms = ctx.now_ms;
            let (agent, service) = (hint.agent, hint.service);
            let is_overdue = ctx.now_ms >= hint.offered_ms + confirm_within_ms;
            if hint.is_confirmed || !is_overdue {
                return self.forward_syn(agent, service, segment);
            }
            self.agents
                .doubt_until(agent, ctx.now_ms + self.settings.doubt_ms);
            self.hints.remove(&flow);
            return self.place_syn(flow, Some(service), segment, ResultCode::NoTarget, ctx);
        }
        // Agents that were full when they refused the previous SYN may accept this one.
        self.searches.end(&flow);
        self.place_syn(flow, None, segment, ResultCode::NoTarget, ctx)
    }

    /// Sends a SYN to the best remaining agent; `code` is the reason of the last refusal.
    pub(super) fn place_syn(
        &mut self,
        flow: FlowKey,
        service: Option<ServiceTag>,
        segment: &Segment,
        code: ResultCode,
        ctx: &Context,
    ) -> Verdict {
        let Some(route) = self.fleet.table.routes.get(&flow.service_address) else {
            return self.reject_unknown_service(ctx);
        };
        let Some(service) = service.or_else(|| route.service_for(&flow)) else {
            return self.reject_unknown_service(ctx);
        };
        let placement = PlacementContext {
            domain: self.identity.domain,
            domains_out: &self.fleet.domains_out,
            refused_by: self.searches.refused_by(&flow),
            liveness: &self.liveness,
            now_ms: ctx.now_ms,
        };
        let Some(agent) = self
            .agents
            .choose_agent(&flow, service, &placement, &self.settings)
        else {
            return self.refuse(segment, code);
        };
        self.agents.record_offer(agent);
        self.record_packet_for(agent, ctx.now_ms);
        self.pending_syns.remove(&flow);
        let hint = Hint {
            agent,
            service,
            is_confirmed: false,
            offered_ms: ctx.now_ms,
            used_ms: ctx.now_ms,
        };
        self.hints.insert(flow, hint);
        self.forward_syn(agent, service, segment)
    }

    /// Refuses a SYN that no agent accepts at the moment.
    ///
    /// All but the last are dropped, because the caller sends a retransmission within 400 ms, which
    /// may find a free agent; after the last retransmission the caller gets a reset at once.
    pub(super) fn refuse(&mut self, segment: &Segment, code: ResultCode) -> Verdict {
        if !segment.is_last_syn() {
            return Verdict::Drop { code };
        }
        self.pending_syns.remove(&segment.flow_of_caller());
        Verdict::Reset { code }
    }

    /// Forwards a SYN to an agent, with what is left of the latency goal of its request.
    pub(super) fn forward_syn(
        &self,
        agent: Ipv4Addr,
        service: ServiceTag,
        segment: &Segment,
    ) -> Verdict {
        let flow = segment.flow_of_caller();
        let route = self.fleet.table.routes.get(&flow.service_address);
        let goal_ms = route.map_or(0, |route| u64::from(route.latency_goal_ms));
        let mut next_hop = self.next_hop(agent, service, false);
        if goal_ms > 0 {
            let left_ms = goal_ms.saturating_sub(segment.syn_age_ms());
            next_hop.header.latency_goal_ms = left_ms.max(EXPIRED_GOAL_MS) as u16;
        }
        Verdict::Forward(next_hop)
    }

    /// Keeps a SYN until its next retransmission comes, if it was dropped with `code` because no
    /// agent or no route is known yet.
    pub fn queue_syn(&mut self, segment: &Segment, packet: &[u8], code: ResultCode, ctx: &Context) {
        if matches!(code, ResultCode::NoTarget | ResultCode::UnknownService) {
            self.pending_syns.insert(segment, packet, ctx.now_ms);
        }
    }

    /// Tries to place the pending SYNs.
    pub fn place_pending_syns(&mut self, ctx: &Context) -> Vec<PlacedSyn> {
        let mut placed = Vec::new();
        for syn in self.pending_syns.take(ctx.now_ms) {
            match self.on_packet(&syn.segment, ctx) {
                Verdict::Forward(next_hop) => placed.push(PlacedSyn { syn, next_hop }),
                Verdict::Drop { .. } => self.pending_syns.put_back(syn),
                Verdict::Search(_) | Verdict::Reset { .. } => {}
            }
        }
        placed
    }
}
