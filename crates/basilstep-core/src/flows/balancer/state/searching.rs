//! Packets without a hint: which agents are asked for the flow, and when it counts as lost.

use super::BalancerFlows;
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        balancer::{AgentState, NextHop, SearchPacket, Verdict},
        key::{FlowKey, LostFlow, ServiceTag},
        routes::RequestKind,
        segment::Segment,
    },
};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
};

/// The agents that a search still has to ask.
#[derive(Clone, Debug)]
struct Unanswered {
    kind: RequestKind,
    next_hops: Vec<NextHop>,
}

impl BalancerFlows {
    /// Asks the agents that have not answered yet, or resets the flow if all have refused.
    pub(super) fn search(&mut self, flow: FlowKey, ctx: &Context) -> Verdict {
        let Some(unanswered) = self.unanswered(&flow, ctx.now_ms) else {
            return self.reject_without_route(&flow, ctx);
        };
        let search_ms = self.settings.searches.keep_ms;
        let search = self.searches.entry(flow, ctx.now_ms, search_ms);
        let is_settled = search.is_settled(ctx.now_ms);
        let may_send = search.try_send(ctx.now_ms);
        if may_send {
            for next_hop in &unanswered.next_hops {
                search.record_asked(next_hop.agent);
            }
        }
        let is_lost = unanswered.next_hops.is_empty() && self.may_conclude(unanswered.kind, ctx);
        if is_lost && is_settled {
            return Verdict::Reset {
                code: ResultCode::FlowLost,
            };
        }
        if unanswered.next_hops.is_empty() || !may_send {
            // A packet of the flow is already on its way to the agents that have not answered.
            return Verdict::Drop {
                code: ResultCode::FlowSearched,
            };
        }
        Verdict::Search(unanswered.next_hops)
    }

    /// Returns whether the agents that are known are all that may hold a flow, so that it is lost if
    /// none of them holds it.
    fn may_conclude(&self, kind: RequestKind, ctx: &Context) -> bool {
        self.fleet.is_known() && self.knows_route_history(ctx) && self.may_reset(kind, ctx)
    }

    /// Rejects a packet of an open flow to an address without a route.
    ///
    /// The flow may have been opened by another balancer on a route that has not reached this one
    /// yet; so it is reset only if the settings here were still the newest when the packet came.
    fn reject_without_route(&self, flow: &FlowKey, ctx: &Context) -> Verdict {
        let code = ResultCode::UnknownService;
        let confirmed_ms = self
            .settings_age_ms(ctx)
            .map(|age_ms| ctx.now_ms.saturating_sub(age_ms));
        let is_confirmed = self.searches.get(flow).is_some_and(|search| {
            confirmed_ms.is_some_and(|confirmed_ms| confirmed_ms >= search.started_ms())
        });
        if is_confirmed && self.may_reset(RequestKind::NonIdempotent, ctx) {
            return Verdict::Reset { code };
        }
        Verdict::Drop { code }
    }

    /// Returns the agents that may hold a flow and have not refused; `None` if its address has had
    /// no route for as long as an idle flow is remembered.
    ///
    /// A flow whose route was removed may still be open; whether its requests may be repeated is no
    /// longer known.
    fn unanswered(&self, flow: &FlowKey, now_ms: u64) -> Option<Unanswered> {
        if !self.fleet.is_known() {
            return self.unanswered_without_routes(flow, now_ms);
        }
        let services = self.services_of(flow);
        if services.is_empty() {
            return None;
        }
        let route = self.fleet.table.routes.get(&flow.service_address);
        let kind = route.map_or(RequestKind::NonIdempotent, |route| route.kind);
        let refused_by = self.searches.refused_by(flow);
        let trusts_advertisements = self.trusts_advertisements(flow, now_ms);
        let is_idempotent = kind == RequestKind::Idempotent;
        let next_hops = services
            .into_iter()
            .flat_map(|service| self.agents.of_service(service).map(move |a| (a, service)))
            .filter(|(agent, _)| !refused_by.contains(agent) && !self.has_ended(*agent))
            .filter(|(agent, _)| {
                !(is_idempotent && self.can_be_skipped(*agent, trusts_advertisements, now_ms))
            })
            .map(|(agent, service)| self.next_hop(agent, service, true))
            .collect();
        Some(Unanswered { kind, next_hops })
    }

    /// Returns all agents that have not refused, for a balancer that does not know any routes yet.
    ///
    /// If all processes are killed while the store does not answer, nobody knows the routes, but
    /// the targets still hold their flows, and only the holder accepts a packet. Ends when settings
    /// would be too old to rely on, because the flow's route may have been removed meanwhile.
    fn unanswered_without_routes(&self, flow: &FlowKey, now_ms: u64) -> Option<Unanswered> {
        if now_ms >= self.started_ms + self.identity.watch_times.max_age_ms {
            return None;
        }
        let refused_by = self.searches.refused_by(flow);
        let next_hops = self
            .agents
            .iter()
            .filter(|(agent, _)| !refused_by.contains(agent))
            .map(|(agent, state)| self.next_hop(*agent, state.report.service, true))
            .collect();
        Some(Unanswered {
            kind: RequestKind::NonIdempotent,
            next_hops,
        })
    }

    /// Returns the services that may hold a flow: those of its route, and those that earlier
    /// versions of the route named.
    fn services_of(&self, flow: &FlowKey) -> BTreeSet<ServiceTag> {
        let address = &flow.service_address;
        let route = self.fleet.table.routes.get(address);
        let former = self.route_history.former_services(*address);
        route
            .into_iter()
            .flat_map(|route| route.shares.iter().map(|share| share.service))
            .chain(former)
            .collect()
    }

    /// Keeps a packet that started a search, for agents that start during the search.
    pub fn keep_search_packet(&mut self, segment: &Segment, packet: &[u8]) {
        let flow = segment.flow_of_caller();
        if let Some(search) = self.searches.get_mut(&flow) {
            search.keep_packet(packet);
        }
    }

    /// Returns the packets that an agent has to be sent because it has started, or its state has
    /// changed, during the search for their flows.
    ///
    /// Its target may have been running before it, and the next packet of the caller may be
    /// seconds away.
    pub fn take_search_packets(&mut self, agent: Ipv4Addr) -> Vec<SearchPacket> {
        let Some(service) = self.agents.get(agent).map(|state| state.report.service) else {
            return Vec::new();
        };
        let addresses: BTreeSet<SocketAddrV4> = self
            .searches
            .pending()
            .filter(|(flow, _)| self.services_of(flow).contains(&service))
            .map(|(flow, _)| flow.service_address)
            .collect();
        let next_hop = self.next_hop(agent, service, true);
        self.searches
            .take_packets_for(agent, &addresses)
            .into_iter()
            .map(|packet| SearchPacket { next_hop, packet })
            .collect()
    }

    /// Returns whether an agent has announced the end of its target and of itself.
    fn has_ended(&self, agent: Ipv4Addr) -> bool {
        self.agents.get(agent).is_some_and(AgentState::has_ended)
    }

    /// Returns whether an agent does not hold a flow although it has not been asked: it has
    /// advertised all its flows, or counts as lost because it is silent without having stopped.
    ///
    /// If this is wrong, for example because an advertisement is delayed, callers of idempotent
    /// requests only repeat them. The silence of the target of a running agent is never evidence: a
    /// target that holds the flow need not answer a packet, one that does not returns it at once.
    fn can_be_skipped(&self, agent: Ipv4Addr, trusts_advertisements: bool, now_ms: u64) -> bool {
        let Some(state) = self.agents.get(agent) else {
            return true;
        };
        self.is_silent(agent, now_ms)
            || (trusts_advertisements && self.has_advertised_all(state, now_ms))
    }

    /// Returns whether a flow is at none of the agents that have advertised all their flows.
    ///
    /// This cannot be concluded if the agent in the hint has refused, because two targets may have
    /// answered the SYN and a retransmission of it, nor if a hint was evicted, because its flow was
    /// advertised and is unknown now.
    fn trusts_advertisements(&self, flow: &FlowKey, now_ms: u64) -> bool {
        let search = self.searches.get(flow);
        let is_hint_wrong = search.is_some_and(|search| search.is_hint_wrong);
        let since_ms = now_ms.saturating_sub(self.hint_retention_ms());
        !is_hint_wrong && self.hints.is_complete_since(since_ms)
    }

    fn has_advertised_all(&self, state: &AgentState, now_ms: u64) -> bool {
        state.has_all_advertisements
            && state.has_reported_within(self.settings.liveness.suspect_after_ms, now_ms)
    }

    /// Ends the searches in which all agents have refused, once these answers are conclusive.
    pub(super) fn finish_searches(&mut self, ctx: &Context) -> Vec<LostFlow> {
        let pending: Vec<LostFlow> = self
            .searches
            .pending()
            .filter(|(_, search)| search.is_settled(ctx.now_ms))
            .map(|(flow, search)| LostFlow {
                flow: *flow,
                sequence: search.caller_acknowledged,
            })
            .collect();
        let mut lost = Vec::new();
        for candidate in pending {
            let flow = candidate.flow;
            let Some(unanswered) = self.unanswered(&flow, ctx.now_ms) else {
                continue;
            };
            let is_held = self.hints.get_mut(&flow).is_some();
            let is_denied = unanswered.next_hops.is_empty();
            if !is_held && is_denied && self.may_conclude(unanswered.kind, ctx) {
                self.searches.end(&flow);
                lost.push(candidate);
            }
        }
        lost
    }

    /// Returns whether a flow counts as lost because its agent is silent.
    ///
    /// Only callers of idempotent requests benefit from a reset: they repeat the request elsewhere.
    pub(super) fn is_unreachable(&self, agent: Ipv4Addr, flow: &FlowKey, now_ms: u64) -> bool {
        self.is_idempotent(flow) && self.is_silent(agent, now_ms)
    }

    fn is_silent(&self, agent: Ipv4Addr, now_ms: u64) -> bool {
        if now_ms < self.settling_since_ms + self.settings.searches.settle_non_idempotent_ms {
            return false;
        }
        self.agents.get(agent).is_none_or(|state| {
            let limit_ms = self.settings.liveness.reset_after_ms;
            let is_silent = self
                .liveness
                .is_silent(agent, state, limit_ms, &self.settings, now_ms);
            !state.report.is_stopping && is_silent
        })
    }
}
