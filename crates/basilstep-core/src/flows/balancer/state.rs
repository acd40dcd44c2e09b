mod explaining;
mod heartbeats;
mod hedging;
mod readiness;
mod searching;
mod settings;
mod syn;

use super::{
    agent_counts::AgentCounts,
    agent_table::{AgentRetention, AgentState, AgentTable, RankingScope},
    hedges::Hedges,
    held_domains::HeldDomains,
    hints::{Hint, Hints},
    liveness::Liveness,
    overload::Overloads,
    pending_syns::PendingSyns,
    route_history::RouteHistory,
    search::Searches,
    settings_watch::SettingsWatch,
    target_ranking::StandingChange,
    verdict::{BalancerIdentity, NextHop, TickOutcome, Verdict},
};
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        balancer_list::BalancerList,
        flow_lifetime::FlowLifetime,
        frame::{AgentReport, BalancerHeartbeat, ForwardHeader, HeldFlows, Returned},
        handshake::HANDSHAKE_TIMEOUT_MS,
        key::{FlowKey, ServiceTag},
        routes::{FleetSettings, PriorityRanks, RequestKind},
        segment::Segment,
        send_schedule::SendSchedule,
        settings::FlowSettings,
    },
};
use std::{collections::BTreeSet, net::Ipv4Addr};
use syn::NewFlow;

/// How many hints are checked in one tick.
const HINTS_SWEPT_PER_TICK: usize = 256;

/// The steering state of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerFlows {
    settings: FlowSettings,
    identity: BalancerIdentity,
    fleet: FleetSettings,
    /// Computed when routes are applied, because a service may have thousands of them.
    priority_ranks: PriorityRanks,
    flow_lifetime: FlowLifetime,
    /// Services to which a route leads whose requests may be repeated.
    idempotent_services: BTreeSet<ServiceTag>,
    held_domains: HeldDomains,
    route_history: RouteHistory,
    agents: AgentTable,
    balancers: BalancerList,
    hints: Hints,
    searches: Searches,
    pending_syns: PendingSyns,
    hedges: Hedges,
    liveness: Liveness,
    overloads: Overloads,
    /// How many agents other balancers know, by their heartbeats.
    agent_counts: AgentCounts,
    /// The agents by the record in the store, which is kept up to date, unlike the numbers in the
    /// balancers' entries.
    recorded_agents: Option<BTreeSet<Ipv4Addr>>,
    /// The highest number of agents that a balancer has registered in the store.
    registered_agents: u16,
    /// When this balancer last learned of more live agents than any balancer had stated before.
    agents_grew_ms: u64,
    started_ms: u64,
    /// When the balancer started, or when its last pause ended.
    settling_since_ms: u64,
    /// When the first agent reported that is not forgotten.
    first_agent_ms: u64,
    is_stopping: bool,
    is_backlog_stale: bool,
    send_schedule: SendSchedule,
    settings_watch: SettingsWatch,
    /// When the list of balancers may be requested from another balancer again.
    next_list_ms: u64,
}

impl BalancerFlows {
    /// Creates the state of a balancer that has just started.
    pub fn new(settings: FlowSettings, identity: BalancerIdentity, ctx: &Context) -> Self {
        let mut balancers = BalancerList::default();
        balancers.merge_entry(&identity.entry(), ctx.now_ms);
        Self {
            settings,
            identity,
            fleet: FleetSettings::default(),
            priority_ranks: PriorityRanks::default(),
            flow_lifetime: FlowLifetime::new(identity.flow_max_age_ms),
            idempotent_services: BTreeSet::new(),
            held_domains: HeldDomains::default(),
            route_history: RouteHistory::default(),
            agents: AgentTable::default(),
            balancers,
            hints: Hints::new(settings.hints.limit),
            searches: Searches::default(),
            pending_syns: PendingSyns::new(settings.syns.pending_limit),
            hedges: Hedges::new(&settings),
            liveness: Liveness::default(),
            overloads: Overloads::default(),
            agent_counts: AgentCounts::default(),
            recorded_agents: None,
            registered_agents: 0,
            agents_grew_ms: ctx.now_ms,
            started_ms: ctx.now_ms,
            settling_since_ms: ctx.now_ms,
            first_agent_ms: ctx.now_ms,
            is_stopping: false,
            is_backlog_stale: false,
            send_schedule: SendSchedule::new(identity.incarnation),
            settings_watch: SettingsWatch::default(),
            next_list_ms: 0,
        }
    }

    /// Decides about a packet that a caller sent.
    pub fn on_packet(&mut self, segment: &Segment, ctx: &Context) -> Verdict {
        let flow = segment.flow_of_caller();
        if segment.is_syn() {
            if !segment.is_first_syn() {
                self.hedges.forget(&flow);
            }
            if self.is_backlog_stale {
                // The caller may have opened the flow through another balancer during the pause.
                return Verdict::Drop {
                    code: ResultCode::Recovering,
                };
            }
            let new = NewFlow {
                segment,
                arrived_ms: ctx.now_ms,
            };
            return self.on_syn(new, ctx);
        }
        if let Some(verdict) = self.send_to_both_offered(&flow, ctx) {
            return verdict;
        }
        self.discard_hint_of_ended_agent(&flow);
        let Some(hint) = self.hints.get_mut(&flow) else {
            let search_ms = self.settings.searches.keep_ms;
            let search = self.searches.entry(flow, ctx.now_ms, search_ms);
            search.caller_acknowledged = segment.acknowledged;
            return self.search(flow, ctx);
        };
        hint.used_ms = ctx.now_ms;
        let (agent, service) = (hint.agent, hint.service);
        self.record_packet_for(agent, ctx.now_ms);
        if self.is_unreachable(agent, &flow, ctx.now_ms) {
            self.hints.remove(&flow);
            return Verdict::Reset {
                code: ResultCode::FlowUnreachable,
            };
        }
        self.forward(agent, service)
    }

    /// Removes the hint of a flow whose agent has announced that its target and itself have ended.
    fn discard_hint_of_ended_agent(&mut self, flow: &FlowKey) {
        let agent = self.hints.get(flow).map(|hint| hint.agent);
        let state = agent.and_then(|agent| self.agents.get(agent));
        if state.is_some_and(AgentState::has_ended) {
            self.hints.remove(flow);
        }
    }

    /// Decides about a packet that an agent returned.
    pub fn on_returned(
        &mut self,
        agent: Ipv4Addr,
        returned: Returned,
        segment: &Segment,
        ctx: &Context,
    ) -> Verdict {
        let flow = segment.flow_of_caller();
        self.clear_doubt(agent);
        let hint = self.hints.get_mut(&flow).copied();
        let other_offer = self
            .hedges
            .on_returned(segment, agent, returned, ctx.now_ms);
        let is_from_holder = hint.is_some_and(|hint| hint.agent == agent);
        let is_caller_waiting =
            hint.is_some_and(|hint| ctx.now_ms < hint.syn_arrived_ms + HANDSHAKE_TIMEOUT_MS);
        if segment.is_syn() && !(is_from_holder && is_caller_waiting) {
            // A retransmission has been placed since, no agent accepted one, or the caller has
            // given up.
            return Verdict::Drop {
                code: returned.code,
            };
        }
        if is_from_holder {
            self.hints.remove(&flow);
        }
        let search_ms = self.settings.searches.keep_ms;
        let search = self.searches.entry(flow, ctx.now_ms, search_ms);
        // An agent with another flow of that key in use does not refuse this one.
        let is_undecided = returned.code == ResultCode::FlowSearched;
        if !is_undecided
            && search.refused_by.insert(agent)
            && returned.code == ResultCode::Overloaded
        {
            search.load_refusals += 1;
        }
        search.is_hint_wrong |= is_from_holder || is_undecided;
        search.has_waited |= hint.is_some_and(|hint| hint.may_wait);
        if !segment.is_syn() {
            search.caller_acknowledged = segment.acknowledged;
        }
        if let Some((hint, other)) = hint.zip(other_offer)
            && !hint.is_confirmed
        {
            if is_from_holder {
                self.hints.insert(flow, hint.offered_again(other));
            }
            return Verdict::Drop {
                code: returned.code,
            };
        }
        if segment.is_syn() {
            let new = NewFlow {
                segment,
                arrived_ms: hint.map_or(ctx.now_ms, |hint| hint.syn_arrived_ms),
            };
            return self.place_syn(new, Some(returned.service), returned.code, ctx);
        }
        let is_held_elsewhere = hint.is_some_and(|hint| hint.is_confirmed && !is_from_holder);
        if returned.code == ResultCode::FlowLost && !is_held_elsewhere {
            return Verdict::Reset {
                code: ResultCode::FlowLost,
            };
        }
        match self.hints.get_mut(&flow) {
            Some(hint) if hint.is_confirmed => Verdict::Drop {
                code: ResultCode::FlowNotHeld,
            },
            _ => self.search(flow, ctx),
        }
    }

    /// Takes the agents that are to be asked for a report now.
    pub fn take_probes(&mut self, ctx: &Context) -> Vec<Ipv4Addr> {
        self.liveness.take_probes(&self.settings, ctx.now_ms)
    }

    /// Records a packet for an agent.
    fn record_packet_for(&mut self, agent: Ipv4Addr, now_ms: u64) {
        if let Some(state) = self.agents.get(agent) {
            self.liveness
                .record_packet(agent, state, &self.settings, now_ms);
        }
    }

    /// Makes an agent eligible for new flows again, because it has just sent something.
    fn clear_doubt(&mut self, agent: Ipv4Addr) {
        self.agents.clear_doubt(agent);
        self.liveness.end_probe(agent);
    }

    /// Handles advertisements of flows that an agent holds.
    pub fn on_held_flows(&mut self, agent: Ipv4Addr, held: &HeldFlows, ctx: &Context) {
        self.clear_doubt(agent);
        self.agents.record_held_flows(agent, held);
        for flow in &held.flows {
            self.record_holder(agent, *flow, ctx);
        }
    }

    /// Returns whether an agent has to advertise its flows again; to be called after its report.
    pub fn has_advertisement_gap(&self, agent: Ipv4Addr) -> bool {
        self.agents
            .get(agent)
            .is_some_and(AgentState::has_advertisement_gap)
    }

    fn record_holder(&mut self, agent: Ipv4Addr, flow: FlowKey, ctx: &Context) {
        let known = self.hints.get_mut(&flow).copied();
        let is_first_holder = known.is_none_or(|hint| !hint.is_confirmed);
        self.hedges
            .on_confirmed(&flow, agent, is_first_holder, ctx.now_ms);
        if known.is_some_and(|hint| hint.is_confirmed && hint.agent != agent) {
            // A late SYN retransmission has reached a second target. The first one holds the flow,
            // or will return its next packet.
            return;
        }
        self.searches.end(&flow);
        let Some(service) = self.agents.get(agent).map(|state| state.report.service) else {
            return;
        };
        let hint = Hint {
            agent,
            service,
            is_confirmed: true,
            may_wait: false,
            syn_arrived_ms: known.map_or(ctx.now_ms, |hint| hint.syn_arrived_ms),
            offered_ms: ctx.now_ms,
            used_ms: ctx.now_ms,
        };
        self.hints.insert(flow, hint);
    }

    /// Handles a report; returns whether the agent's phase or incarnation changed.
    pub fn on_report(&mut self, agent: Ipv4Addr, report: AgentReport, ctx: &Context) -> bool {
        if self
            .agents
            .is_late_report(agent, &report, &self.settings, ctx.now_ms)
        {
            return false;
        }
        if self.agents.is_empty() {
            self.first_agent_ms = ctx.now_ms;
        }
        self.liveness
            .record_activity(agent, report.domain, ctx.now_ms);
        let is_new = self.agents.get(agent).is_none();
        let is_changed = self.agents.record_report(agent, report, ctx.now_ms);
        if is_changed {
            self.searches.on_agent_changed(agent);
        }
        let most = self.balancers.max_live_agents();
        if is_new && most.is_some_and(|most| self.agents.len() > usize::from(most)) {
            self.agents_grew_ms = ctx.now_ms;
        }
        is_changed
    }

    /// Records a frame that cannot be read because a newer build has sent it: its sender is running.
    pub fn on_unreadable_frame(&mut self, peer: Ipv4Addr, ctx: &Context) {
        self.balancers.refresh(peer, ctx.now_ms);
        self.clear_doubt(peer);
        self.agents.record_contact(peer, ctx.now_ms);
    }

    /// Handles a heartbeat of another balancer; returns whether the balancer or its incarnation was
    /// unknown.
    pub fn on_heartbeat(
        &mut self,
        peer: Ipv4Addr,
        heartbeat: &BalancerHeartbeat,
        ctx: &Context,
    ) -> bool {
        if !heartbeat.is_stopping {
            self.agent_counts.record(heartbeat.agents, ctx.now_ms);
            let most = self.balancers.max_live_agents();
            if most.is_some_and(|most| heartbeat.live_agents > most) {
                self.agents_grew_ms = ctx.now_ms;
            }
            self.liveness
                .record_activity(peer, heartbeat.domain, ctx.now_ms);
        }
        self.balancers.record_heartbeat(peer, heartbeat, ctx.now_ms)
    }

    /// Records how many agents a balancer knew when it last updated its registration.
    pub fn on_registered_agents(&mut self, agents: u16) {
        self.registered_agents = self.registered_agents.max(agents);
    }

    /// Records that the process was paused for `pause_ms`, which its clock did not count.
    pub fn on_pause(&mut self, pause_ms: u64, ctx: &Context) {
        self.agents.age_reports(pause_ms);
        self.liveness.restart_timers(ctx.now_ms);
        self.hedges.clear();
        self.is_backlog_stale = true;
        self.settling_since_ms = ctx.now_ms;
        self.settings_watch.on_pause(ctx.now_ms);
        self.balancers.discard_confirmations();
    }

    /// Records that the process did not run for `stalled_ms`, which its clock counted.
    ///
    /// From `suspect_after_ms` on, agents look silent only because their reports have not been read.
    pub fn on_stall(&mut self, stalled_ms: u64, ctx: &Context) {
        if stalled_ms >= self.settings.liveness.suspect_after_ms {
            self.on_pause(0, ctx);
        }
    }

    /// Records that all packets that were queued during a pause have been read.
    pub const fn on_backlog_read(&mut self) {
        self.is_backlog_stale = false;
    }

    /// Makes the balancer report that it is not ready, so that routers withdraw it; packets that
    /// still arrive are forwarded as before.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Performs periodic work.
    pub fn on_tick(&mut self, ctx: &Context) -> TickOutcome {
        let settings = self.settings;
        self.hints.sweep(
            HINTS_SWEPT_PER_TICK,
            ctx.now_ms.saturating_sub(self.hint_retention_ms()),
        );
        self.discard_undecided_hints(ctx);
        self.route_history.expire(
            ctx.now_ms
                .saturating_sub(self.former_service_retention_ms()),
        );
        let lost = self.finish_searches(ctx);
        self.searches
            .forget(ctx.now_ms.saturating_sub(settings.searches.keep_ms));
        let before_ms = ctx.now_ms.saturating_sub(settings.liveness.forget_after_ms);
        self.balancers
            .merge_entry(&self.identity.entry(), ctx.now_ms);
        self.balancers.forget(before_ms);
        self.liveness.forget(before_ms);
        let retention = self.agent_retention(ctx);
        self.agent_counts
            .expire(ctx.now_ms.saturating_sub(retention.stopping_ms));
        let forgotten = self.agents.forget(&retention, ctx.now_ms);
        for agent in &forgotten {
            self.liveness.end_probe(*agent);
        }
        TickOutcome {
            forgotten,
            lost,
            released_domains: self.held_domains.release(ctx.now_ms),
            standings: self.rank_targets(ctx),
            placed: self.place_pending_syns(ctx),
        }
    }

    /// Returns how long a hint is kept after the last packet of its flow here: flows that are not
    /// too old still have their hints.
    fn hint_retention_ms(&self) -> u64 {
        let hints = &self.settings.hints;
        hints.idle_ms.max(self.identity.flow_max_age_ms)
    }

    /// Returns for how long after the change of a route its former services may hold flows that are
    /// not too old: other balancers may have opened flows there until they applied the change.
    fn former_service_retention_ms(&self) -> u64 {
        let identity = &self.identity;
        self.hint_retention_ms()
            .max(identity.flow_max_age_ms + identity.watch_times.max_age_ms)
    }

    /// Returns how long a silent agent is kept: until the flows that its target may hold are too old,
    /// or, if it has announced its stop and so forwards nothing, until they are idle for too long.
    fn agent_retention(&self, ctx: &Context) -> AgentRetention {
        let forget_after_ms = self.settings.liveness.forget_after_ms;
        let idle_retention_ms = self.flow_lifetime.idle_retention_ms(ctx.now_ms);
        AgentRetention {
            stopping_ms: forget_after_ms.max(idle_retention_ms),
            others_ms: forget_after_ms.max(self.identity.flow_max_age_ms),
        }
    }

    fn rank_targets(&mut self, ctx: &Context) -> Vec<StandingChange> {
        let scope = RankingScope {
            domains_out: &self.fleet.domains_out,
            held_domains: &self.held_domains,
            balancers: self.balancers.len(),
            probe_phase: u64::from(self.identity.incarnation.0),
        };
        self.agents
            .update_ranking(&scope, &self.settings, ctx.now_ms)
    }

    /// Returns the settings in force.
    pub const fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// Returns the agents that report to this balancer.
    pub const fn agents(&self) -> &AgentTable {
        &self.agents
    }

    /// Returns the known balancers, including this one.
    pub const fn balancers(&self) -> &BalancerList {
        &self.balancers
    }

    /// Returns the known balancers, including this one, for modification.
    pub const fn balancers_mut(&mut self) -> &mut BalancerList {
        &mut self.balancers
    }

    /// Returns how many hints there are.
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Rejects a packet to an address without a route; `kind` says what the caller may do after a
    /// reset, which is to try again if its flow is not open yet.
    fn reject_unknown_service(&self, kind: RequestKind, ctx: &Context) -> Verdict {
        let code = ResultCode::UnknownService;
        let may_reset = self.may_reset(kind, ctx)
            || (kind == RequestKind::Idempotent && self.has_confirmed_settings(ctx));
        if self.fleet.is_known() && may_reset {
            return Verdict::Reset { code };
        }
        Verdict::Drop { code }
    }

    const fn forward(&self, agent: Ipv4Addr, service: ServiceTag) -> Verdict {
        Verdict::Forward(self.next_hop(agent, service, false))
    }

    const fn next_hop(&self, agent: Ipv4Addr, service: ServiceTag, is_search: bool) -> NextHop {
        NextHop {
            agent,
            header: ForwardHeader {
                service,
                origin: self.identity.ip,
                origin_domain: self.identity.domain,
                is_search,
                latency_goal_ms: 0,
                priority_level: 0,
                priority_levels: 1,
                may_wait: false,
            },
        }
    }
}
