//! Second offers of SYNs that are confirmed late.

use super::{BalancerFlows, syn::NewFlow};
use crate::{
    context::Context,
    flows::{
        balancer::{DueHedge, Verdict, hedges::WatchedSyn, target_ranking::Standing},
        key::FlowKey,
        routes::RequestKind,
        segment::Segment,
    },
    hedging::{HedgeCounts, HedgeRefusal},
};
use std::{collections::BTreeSet, net::Ipv4Addr};

impl BalancerFlows {
    /// Counts and watches a SYN that has just been forwarded, if it is the first offer of a flow
    /// whose requests may be repeated.
    pub fn watch_syn(&mut self, segment: &Segment, packet: &[u8], ctx: &Context) {
        let flow = segment.flow_of_caller();
        if !self.hedges.is_active() || !segment.is_first_syn() || !self.is_idempotent(&flow) {
            return;
        }
        let is_returned = !self.searches.refused_by(&flow).is_empty();
        if let Some(hint) = self.hints.get_mut(&flow)
            && !hint.is_confirmed
            && !is_returned
            && hint.offered_ms == ctx.now_ms
        {
            self.hedges.watch(segment, packet, hint, ctx.now_ms);
        }
    }

    /// Returns whether there is a second offer to decide about.
    pub fn has_due_hedge(&self, ctx: &Context) -> bool {
        self.hedges.has_due(ctx.now_ms)
    }

    /// Decides about the second offers that are due.
    pub fn take_due_hedges(&mut self, ctx: &Context) -> Vec<DueHedge> {
        let due = self.hedges.take_due(ctx.now_ms);
        due.into_iter()
            .filter_map(|syn| self.decide_hedge(syn, ctx))
            .collect()
    }

    /// Returns how many second offers were sent and refused since the start.
    pub const fn hedge_counts(&self) -> HedgeCounts {
        self.hedges.counts()
    }

    /// Returns how many SYNs may still get a second offer.
    pub fn watched_syns(&self) -> usize {
        self.hedges.watched_count()
    }

    /// Returns the decision about a SYN; `None` if it needs no second offer any more.
    fn decide_hedge(&mut self, syn: WatchedSyn, ctx: &Context) -> Option<DueHedge> {
        let flow = syn.segment.flow_of_caller();
        let hint = self.hints.get_mut(&flow).copied()?;
        let next_syn_ms = hint.syn_arrived_ms + syn.segment.next_syn_after_ms();
        let is_open = !hint.is_confirmed && hint.agent == syn.first && ctx.now_ms < next_syn_ms;
        if !is_open || !self.is_idempotent(&flow) || !self.allows(&flow, syn.service) {
            return None;
        }
        // Under overload many SYNs are late, and a comparison of all agents for each would add work.
        let agent = if self.hedges.may_hedge(syn.service, ctx.now_ms) {
            self.choose_second_agent(&syn, ctx)
        } else {
            None
        };
        let decided = self.hedges.decide(&syn, agent, ctx.now_ms);
        let new = NewFlow {
            segment: &syn.segment,
            arrived_ms: hint.syn_arrived_ms,
        };
        let result = decided.and_then(|agent| {
            self.agents.record_offer(agent);
            self.record_packet_for(agent, ctx.now_ms);
            match self.forward_syn(agent, syn.service, new, false, ctx) {
                Verdict::Forward(next_hop) => Ok(next_hop),
                _ => Err(HedgeRefusal::NoCandidate),
            }
        });
        Some(DueHedge {
            segment: syn.segment,
            packet: syn.packet,
            first_agent: syn.first,
            waited_ms: ctx.now_ms.saturating_sub(syn.offered_ms),
            result,
        })
    }

    fn choose_second_agent(&self, syn: &WatchedSyn, ctx: &Context) -> Option<Ipv4Addr> {
        let flow = syn.segment.flow_of_caller();
        let mut excluded: BTreeSet<Ipv4Addr> = self
            .agents
            .of_service(syn.service)
            .filter(|agent| self.is_unfit(*agent))
            .collect();
        excluded.insert(syn.first);
        excluded.extend(self.searches.refused_by(&flow));
        let placement =
            self.placement_context(&excluded, syn.service, RequestKind::Idempotent, ctx);
        self.agents
            .choose_agent(&flow, syn.service, &placement, &self.settings)
    }

    /// Returns whether the target of an agent is cold, slow, or leaves requests unanswered.
    fn is_unfit(&self, agent: Ipv4Addr) -> bool {
        let Some(state) = self.agents.get(agent) else {
            return true;
        };
        state.report.is_cold
            || state.report.failure_permille >= self.settings.target_health.failure_permille
            || self.agents.standing_of(agent) != Standing::Normal
    }

    /// Sends a packet of a flow to both agents that may hold it, because neither has confirmed it;
    /// `None` if there is only one, or if it was returned.
    pub(super) fn send_to_both_offered(
        &mut self,
        flow: &FlowKey,
        ctx: &Context,
    ) -> Option<Verdict> {
        let offers = self.hedges.on_caller_packet(flow)?;
        let hint = self.hints.get_mut(flow)?;
        if !offers.are_of(hint) {
            return None;
        }
        hint.used_ms = ctx.now_ms;
        let agents = [offers.first.agent, offers.second.agent];
        for agent in agents {
            self.record_packet_for(agent, ctx.now_ms);
        }
        let next_hops = agents.map(|agent| self.next_hop(agent, offers.service, true));
        Some(Verdict::Search(next_hops.to_vec()))
    }

    /// Discards the hints of flows whose first or second agent should have confirmed them by now, so
    /// that they are searched for: the advertisement of the holder may be lost.
    pub(super) fn discard_undecided_hints(&mut self, ctx: &Context) {
        let search_ms = self.settings.searches.keep_ms;
        for offers in self.hedges.on_tick(ctx.now_ms) {
            let hint = self.hints.get_mut(&offers.flow);
            if hint.is_some_and(|hint| offers.are_of(hint)) {
                self.hints.remove(&offers.flow);
                let search = self.searches.entry(offers.flow, ctx.now_ms, search_ms);
                search.is_hint_wrong = true;
            }
        }
    }

    pub(super) fn is_idempotent(&self, flow: &FlowKey) -> bool {
        let route = self.fleet.table.routes.get(&flow.service_address);
        route.is_some_and(|route| route.kind == RequestKind::Idempotent)
    }
}
