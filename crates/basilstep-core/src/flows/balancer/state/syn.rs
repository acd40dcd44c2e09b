//! SYNs: which agent gets a new flow, and which SYNs wait for an agent.

use super::BalancerFlows;
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        balancer::{
            PlacedSyn, Verdict,
            agent_table::{AgentTable, PlacementContext},
            hints::Hint,
            search::Search,
        },
        frame::ForwardHeader,
        handshake::HANDSHAKE_TIMEOUT_MS,
        key::{FlowKey, ServiceTag},
        routes::{PriorityRank, RequestKind, Route},
        segment::Segment,
    },
};
use std::{collections::BTreeSet, net::Ipv4Addr};

/// The SYN of a flow that is not open yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewFlow<'a> {
    pub segment: &'a Segment,
    /// When this SYN arrived; it may have been pending since.
    pub arrived_ms: u64,
}

/// What becomes of a SYN of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) enum SynPlan {
    /// It goes to the agent that an earlier SYN of the flow was sent to.
    Follow(Hint),
    /// An agent is chosen for it.
    Place(NewPlacement),
}

/// What an earlier SYN of the flow means for the choice of an agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NewPlacement {
    /// The service of the earlier SYN.
    pub service: Option<ServiceTag>,
    /// The agent that has not confirmed the earlier SYN in time.
    pub doubted: Option<Ipv4Addr>,
    /// The flow does not go to agents that have refused it.
    pub keeps_refusals: bool,
}

/// The route of a new flow and its place among the routes to the same service.
#[derive(Clone, Copy, Debug)]
pub(super) struct MatchedRoute<'a> {
    pub route: &'a Route,
    pub service: ServiceTag,
    pub rank: PriorityRank,
}

impl NewFlow<'_> {
    const fn key(&self) -> FlowKey {
        self.segment.flow_of_caller()
    }

    /// Returns how long ago the caller sent the first SYN of the flow.
    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.arrived_ms) + self.segment.syn_age_ms()
    }
}

impl BalancerFlows {
    pub(super) fn on_syn(&mut self, new: NewFlow<'_>, ctx: &Context) -> Verdict {
        let flow = new.key();
        match self.plan_syn(&flow, new.arrived_ms, ctx) {
            SynPlan::Follow(known) => {
                if let Some(hint) = self.hints.get_mut(&flow) {
                    hint.used_ms = ctx.now_ms;
                    hint.syn_arrived_ms = new.arrived_ms;
                }
                self.forward_syn(known.agent, known.service, new, false, ctx)
            }
            SynPlan::Place(plan) => {
                self.hints.remove(&flow);
                if let Some(agent) = plan.doubted {
                    self.agents
                        .doubt_until(agent, ctx.now_ms + self.settings.syns.doubt_ms);
                }
                if !plan.keeps_refusals {
                    self.searches.end(&flow);
                }
                self.place_syn(new, plan.service, ResultCode::NoTarget, ctx)
            }
        }
    }

    /// Returns what becomes of a SYN of a caller, without any change of the state.
    pub(super) fn plan_syn(&self, flow: &FlowKey, arrived_ms: u64, ctx: &Context) -> SynPlan {
        // An outdated hint is that of an earlier flow with the same key, whose caller sends no more
        // SYNs; its agent may be gone by now.
        let hint = self.hints.get(flow).copied();
        let hint = hint.filter(|hint| arrived_ms < hint.syn_arrived_ms + HANDSHAKE_TIMEOUT_MS);
        let Some(hint) = hint else {
            // Agents that were full when they refused the previous SYN may accept this one.
            return SynPlan::Place(NewPlacement::default());
        };
        let is_overdue = ctx.now_ms >= hint.offered_ms + self.settings.syns.confirm_within_ms;
        if hint.is_confirmed || (!is_overdue && self.allows(flow, hint.service)) {
            return SynPlan::Follow(hint);
        }
        let route = self.fleet.table.routes.get(&flow.service_address);
        SynPlan::Place(NewPlacement {
            service: Some(hint.service),
            doubted: is_overdue.then_some(hint.agent),
            // Where offers are limited, those that were full may have room by now, and the last
            // offer counts as used up.
            keeps_refusals: !self.limits_offers(self.rank_of(route, hint.service)),
        })
    }

    /// Returns whether the configuration in force lets a new flow go to `service`.
    pub(super) fn allows(&self, flow: &FlowKey, service: ServiceTag) -> bool {
        let route = self.fleet.table.routes.get(&flow.service_address);
        route.is_some_and(|route| route.allows(service))
    }

    /// Sends a SYN to the best remaining agent; `code` is the reason of the last refusal.
    ///
    /// The flow stays with `service`, to which an earlier copy was sent, unless the configuration in
    /// force no longer allows it.
    pub(super) fn place_syn(
        &mut self,
        new: NewFlow<'_>,
        service: Option<ServiceTag>,
        code: ResultCode,
        ctx: &Context,
    ) -> Verdict {
        let flow = new.key();
        let Some(MatchedRoute {
            service,
            rank,
            route,
        }) = self.match_route(&flow, service)
        else {
            return self.reject_unknown_service(RequestKind::Idempotent, ctx);
        };
        let search = self.searches.get(&flow);
        let placement = self.placement_context(Search::refusals(search), service, route.kind, ctx);
        let offers_left = self.offers_left(search, rank);
        let Some(agent) = self.choose_agent(&self.agents, &flow, service, &placement, offers_left)
        else {
            return self.refuse(new.segment, service, code, ctx);
        };
        let has_waited = search.is_some_and(|search| search.has_waited);
        let may_wait = !has_waited
            && offers_left.is_some_and(|offers_left| {
                offers_left == 1
                    || !self
                        .agents
                        .has_other_agent(agent, service, &placement, &self.settings)
            });
        self.agents.record_offer(agent);
        self.record_packet_for(agent, ctx.now_ms);
        self.pending_syns.remove(&flow);
        let hint = Hint {
            agent,
            service,
            is_confirmed: false,
            may_wait,
            syn_arrived_ms: new.arrived_ms,
            offered_ms: ctx.now_ms,
            used_ms: ctx.now_ms,
        };
        self.hints.insert(flow, hint);
        self.forward_syn(agent, service, new, may_wait, ctx)
    }

    /// Chooses the agent for the next offer of a new flow; `agents` may be a changed copy of the
    /// table.
    ///
    /// A SYN that has been refused for load by as many agents as it is offered to still goes to
    /// agents that report a free slot: its caller is not refused while a target is idle.
    pub(super) fn choose_agent(
        &self,
        agents: &AgentTable,
        flow: &FlowKey,
        service: ServiceTag,
        placement: &PlacementContext<'_>,
        offers_left: Option<usize>,
    ) -> Option<Ipv4Addr> {
        if offers_left == Some(0) {
            agents.choose_idle_agent(service, placement, &self.settings)
        } else {
            agents.choose_agent(flow, service, placement, &self.settings)
        }
    }

    /// Returns the route of a new flow; its service is `service` if the route allows it.
    pub(super) fn match_route(
        &self,
        flow: &FlowKey,
        service: Option<ServiceTag>,
    ) -> Option<MatchedRoute<'_>> {
        let route = self.fleet.table.routes.get(&flow.service_address)?;
        let service = service
            .filter(|service| route.allows(*service))
            .or_else(|| route.service_for(flow))?;
        Some(MatchedRoute {
            route,
            service,
            rank: self.rank_of(Some(route), service),
        })
    }

    /// Returns the state that a placement depends on, for a flow that these agents have refused.
    ///
    /// Probe flows go to targets that fail requests, so those whose requests may be repeated are
    /// used where the service has such routes.
    pub(super) fn placement_context<'a>(
        &'a self,
        refused_by: &'a BTreeSet<Ipv4Addr>,
        service: ServiceTag,
        kind: RequestKind,
        ctx: &Context,
    ) -> PlacementContext<'a> {
        PlacementContext {
            domain: self.identity.domain,
            domains_out: &self.fleet.domains_out,
            held_domains: &self.held_domains,
            refused_by,
            liveness: &self.liveness,
            may_probe: kind == RequestKind::Idempotent
                || !self.idempotent_services.contains(&service),
            now_ms: ctx.now_ms,
        }
    }

    /// Returns whether a SYN that is refused for load is offered to a few agents only: where the
    /// routes to the service have one priority, no SYN waits at an agent, so that all are tried.
    const fn limits_offers(&self, rank: PriorityRank) -> bool {
        rank.levels > 1 && self.settings.admission_queue.is_enabled
    }

    /// Returns to how many more agents a SYN that is refused for load is offered, or `None` if that
    /// is not limited.
    pub(super) fn offers_left(&self, search: Option<&Search>, rank: PriorityRank) -> Option<usize> {
        if !self.limits_offers(rank) {
            return None;
        }
        let load_refusals = search.map_or(0, |search| search.load_refusals);
        let max_offers = self.settings.admission_queue.max_offers.max(1);
        Some(max_offers.saturating_sub(load_refusals))
    }

    /// Returns the rank of a flow's route among the routes that lead to `service`.
    fn rank_of(&self, route: Option<&Route>, service: ServiceTag) -> PriorityRank {
        route.map_or_else(PriorityRank::default, |route| {
            self.priority_ranks.rank(service, route.priority)
        })
    }

    /// Records the refusal of a first SYN for load; returns whether the overload has lasted for long
    /// and is not expected to end while the caller still waits.
    fn outlasts_callers(&mut self, segment: &Segment, service: ServiceTag, ctx: &Context) -> bool {
        let route = self.fleet.table.routes.get(&segment.destination);
        let level = self.rank_of(route, service).level;
        let time_limit_ms = route.map_or(0, |route| route.time_limit_ms);
        let refuse_after_ms = self.settings.syns.refuse_after_ms;
        let is_long = self
            .overloads
            .record_refusal(service, level, refuse_after_ms, ctx.now_ms);
        if is_long && self.warms_up_within(time_limit_ms, service, ctx.now_ms) {
            self.overloads.restart(service, level, ctx.now_ms);
            return false;
        }
        is_long
    }

    /// Returns whether most targets of a service are cold, for less than `time_limit_ms` from now.
    fn warms_up_within(&self, time_limit_ms: u32, service: ServiceTag, now_ms: u64) -> bool {
        let limits = self.fleet.table.services.get(&service);
        let warmup_ms = limits.map_or(0, |limits| limits.warmup_ms);
        let (mut agents, mut warming_up) = (0, 0);
        for agent in self.agents.of_service(service) {
            let state = self.agents.get(agent);
            let left_ms = state.and_then(|state| state.warmup_left_ms(warmup_ms, now_ms));
            agents += 1;
            warming_up +=
                usize::from(left_ms.is_some_and(|left_ms| left_ms < u64::from(time_limit_ms)));
        }
        warming_up * 2 > agents
    }

    /// Refuses a SYN that no agent accepts at the moment.
    ///
    /// In a lasting overload, the caller of a first SYN is refused at once. While targets warm up it
    /// is not: its tries would be used up within a fraction of its time limit.
    ///
    /// It is dropped if the caller's next SYN, within 400 ms, may find a free agent; otherwise the
    /// caller gets a reset at once. Callers of retransmissions have waited already: a late answer
    /// is of use to them, and once they are late they only take slots that are free.
    fn refuse(
        &mut self,
        segment: &Segment,
        service: ServiceTag,
        code: ResultCode,
        ctx: &Context,
    ) -> Verdict {
        let is_hopeless = code == ResultCode::Overloaded
            && segment.is_first_syn()
            && self.outlasts_callers(segment, service, ctx);
        if !is_hopeless && !segment.is_last_syn() {
            return Verdict::Drop { code };
        }
        self.pending_syns.remove(&segment.flow_of_caller());
        Verdict::Reset { code }
    }

    /// Forwards a SYN to an agent, with its priority and what is left of the latency goal of its
    /// request.
    pub(super) fn forward_syn(
        &self,
        agent: Ipv4Addr,
        service: ServiceTag,
        new: NewFlow<'_>,
        may_wait: bool,
        ctx: &Context,
    ) -> Verdict {
        let route = self.fleet.table.routes.get(&new.key().service_address);
        let goal_ms = route.map_or(0, |route| u64::from(route.latency_goal_ms));
        let rank = self.rank_of(route, service);
        let mut next_hop = self.next_hop(agent, service, false);
        next_hop.header.priority_level = rank.level;
        next_hop.header.priority_levels = rank.levels;
        next_hop.header.may_wait = may_wait;
        if goal_ms > 0 {
            let left_ms = goal_ms.saturating_sub(new.age_ms(ctx.now_ms));
            next_hop.header.latency_goal_ms =
                left_ms.max(u64::from(ForwardHeader::EXPIRED_GOAL_MS)) as u16;
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
            let new = NewFlow {
                segment: &syn.segment,
                arrived_ms: syn.since_ms,
            };
            match self.on_syn(new, ctx) {
                Verdict::Forward(next_hop) => placed.push(PlacedSyn { syn, next_hop }),
                Verdict::Drop { .. } => self.pending_syns.put_back(syn),
                Verdict::Search(_) | Verdict::Reset { .. } => {}
            }
        }
        placed
    }
}
