mod comparison;
mod eligibility;
mod ranking;

use super::{
    held_domains::HeldDomains,
    liveness::Liveness,
    target_ranking::{Standing, TargetRanking},
};
use crate::{
    address::DomainId,
    flows::{
        frame::{AgentReport, HeldFlows, TargetPhase},
        key::{FlowKey, ProcessIncarnation, ServiceTag},
        settings::FlowSettings,
    },
};
use comparison::candidates;
pub use comparison::{Candidate, PlacementDetails, WaitTerms};
use eligibility::takes_new_flows;
pub use eligibility::{PassedOver, PassedOverReason};
pub use ranking::RankingScope;
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

/// The state of an agent as a balancer knows it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AgentState {
    /// The agent's last report.
    pub report: AgentReport,
    /// When the report arrived.
    #[serde(rename = "heard_ms")]
    pub reported_ms: u64,
    /// When the last report of the agent's former incarnation arrived, if there was one.
    pub former_reported_ms: Option<u64>,
    /// The former incarnation of the agent, if there was one.
    pub former_incarnation: Option<ProcessIncarnation>,
    /// When the first of the reports arrived that say without a gap that the target is cold.
    pub cold_since_ms: Option<u64>,
    /// New flows that this balancer has sent to the agent since that report.
    pub offered_since: u16,
    /// How many flows the agent has advertised to this balancer without a gap.
    pub received: u32,
    /// At the last report this balancer knew all flows that the target held, and no advertisement
    /// has been lost since.
    #[serde(rename = "is_told_all")]
    pub has_all_advertisements: bool,
    /// Until when the agent gets no new flows, because it did not confirm one.
    pub doubted_until_ms: u64,
}

/// The agents that report to a balancer.
#[derive(Clone, Debug, Default)]
pub struct AgentTable {
    agents: BTreeMap<Ipv4Addr, AgentState>,
    by_service: BTreeMap<ServiceTag, BTreeSet<Ipv4Addr>>,
    ranking: TargetRanking,
}

/// How long silent agents are kept.
#[derive(Clone, Copy, Debug)]
pub struct AgentRetention {
    /// For agents that have announced their stop.
    pub stopping_ms: u64,
    /// For all others.
    pub others_ms: u64,
}

impl AgentState {
    /// Returns whether the agent has announced that its target has ended and that it stops itself:
    /// no flow is left there, and none can be opened.
    pub fn has_ended(&self) -> bool {
        self.report.is_stopping && self.report.phase == TargetPhase::Down
    }

    /// Returns whether the last report counts flows whose advertisement this balancer has not
    /// received.
    pub const fn has_advertisement_gap(&self) -> bool {
        self.report.advertised_total.is_some() && !self.has_all_advertisements
    }

    /// Returns whether no report is overdue by `limit_ms`.
    ///
    /// Unlike [`Self::has_reported_within`] this does not allow for the loss of several reports, which
    /// takes long at a slow pace.
    pub fn is_on_schedule(&self, limit_ms: u64, interval_ms: u64, now_ms: u64) -> bool {
        let period_ms = u64::from(self.report.slowness.saturating_sub(1)) * interval_ms;
        now_ms < self.reported_ms + period_ms + limit_ms
    }

    /// Returns whether the target processes fewer requests than it can at once, by the last report
    /// and the flows sent since.
    pub fn has_free_slot(&self) -> bool {
        let report = &self.report;
        u32::from(report.at_work) + u32::from(self.offered_since) < u32::from(report.capacity)
    }

    /// Returns how much longer the target is cold at most, or `None` if it is not cold; `warmup_ms` is
    /// how long targets are cold after their start.
    pub fn warmup_left_ms(&self, warmup_ms: u32, now_ms: u64) -> Option<u64> {
        let warm_from_ms = self.cold_since_ms? + u64::from(warmup_ms);
        Some(warm_from_ms.saturating_sub(now_ms))
    }

    /// Returns whether the last report is younger than `limit_ms`, the limit for an agent that
    /// sends every report here.
    pub fn has_reported_within(&self, limit_ms: u64, now_ms: u64) -> bool {
        now_ms < self.reported_ms + limit_ms * u64::from(self.report.slowness.max(1))
    }
}

/// The state of the balancer that a placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The balancer's own domain.
    pub domain: DomainId,
    /// The domains that operators have taken out.
    pub domains_out: &'a BTreeSet<DomainId>,
    /// The domains that are out by the record of an earlier era of the store.
    pub held_domains: &'a HeldDomains,
    /// The agents that have refused the flow.
    pub refused_by: &'a BTreeSet<Ipv4Addr>,
    /// Detects silent agents.
    pub liveness: &'a Liveness,
    /// The flow may be sent to a target only to detect its recovery.
    pub may_probe: bool,
    /// The current time.
    pub now_ms: u64,
}

impl AgentTable {
    /// Records that an agent is running; its last report stays as it is.
    pub fn record_contact(&mut self, agent: Ipv4Addr, now_ms: u64) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.reported_ms = state.reported_ms.max(now_ms);
        }
    }

    /// Stores a report; returns whether the agent's phase or incarnation changed.
    pub fn record_report(&mut self, agent: Ipv4Addr, report: AgentReport, now_ms: u64) -> bool {
        let before = self.agents.get(&agent).copied();
        let is_same_incarnation =
            before.is_some_and(|state| state.report.incarnation == report.incarnation);
        if let Some(before) = before
            && before.report.service != report.service
        {
            self.remove_from_service(agent, before.report.service);
        }
        self.by_service
            .entry(report.service)
            .or_default()
            .insert(agent);
        let doubted_until_ms = before
            .filter(|_| is_same_incarnation)
            .map_or(0, |state| state.doubted_until_ms);
        let received = before
            .filter(|_| is_same_incarnation)
            .map_or(0, |state| state.received);
        let former_reported_ms = before.and_then(|state| {
            if is_same_incarnation {
                state.former_reported_ms
            } else {
                Some(state.reported_ms)
            }
        });
        let former_incarnation = before.and_then(|state| {
            if is_same_incarnation {
                state.former_incarnation
            } else {
                Some(state.report.incarnation)
            }
        });
        let cold_since_ms = before
            .filter(|_| is_same_incarnation)
            .and_then(|state| state.cold_since_ms)
            .or(Some(now_ms))
            .filter(|_| report.is_cold);
        let state = AgentState {
            cold_since_ms,
            report,
            reported_ms: now_ms,
            former_reported_ms,
            former_incarnation,
            offered_since: 0,
            received,
            has_all_advertisements: report.advertised_total == Some(received),
            doubted_until_ms,
        };
        self.agents.insert(agent, state);
        !is_same_incarnation || before.is_some_and(|state| state.report.phase != report.phase)
    }

    /// Returns whether a report of an agent's former incarnation is late: another one has reported
    /// within `suspect_after_ms`.
    ///
    /// Incarnations have no order: after two restarts, a late report of the first incarnation makes
    /// the running one a former one. Without a limit it would be ignored until the agent is forgotten.
    pub fn is_late_report(
        &self,
        agent: Ipv4Addr,
        report: &AgentReport,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> bool {
        let limit_ms = settings.liveness.suspect_after_ms;
        self.get(agent).is_some_and(|state| {
            state.former_incarnation == Some(report.incarnation)
                && now_ms < state.reported_ms + limit_ms
        })
    }

    /// Returns the state of an agent.
    pub fn get(&self, agent: Ipv4Addr) -> Option<&AgentState> {
        self.agents.get(&agent)
    }

    /// Returns how many agents there are.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether there are no agents.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = (&Ipv4Addr, &AgentState)> {
        self.agents.iter()
    }

    /// Returns the agents of a service.
    pub fn of_service(&self, service: ServiceTag) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.by_service.get(&service).into_iter().flatten().copied()
    }

    /// Counts flows that an agent has advertised.
    ///
    /// After a lost frame the agent no longer counts as having advertised all its flows, and
    /// [`AgentState::has_advertisement_gap`] returns true from its next report on.
    pub fn record_held_flows(&mut self, agent: Ipv4Addr, held: &HeldFlows) {
        if let Some(state) = self.agents.get_mut(&agent) {
            let is_next = held.advertised_before == state.received;
            state.has_all_advertisements &= is_next;
            if is_next || held.advertised_before == 0 {
                state.received = held.advertised_before + held.flows.len() as u32;
            }
        }
    }

    /// Excludes an agent from new flows until `until_ms`.
    pub fn doubt_until(&mut self, agent: Ipv4Addr, until_ms: u64) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.doubted_until_ms = until_ms;
        }
    }

    /// Makes an agent eligible for new flows again, because it has just sent something.
    pub fn clear_doubt(&mut self, agent: Ipv4Addr) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.doubted_until_ms = 0;
        }
    }

    /// Records that a new flow was sent to an agent.
    pub fn record_offer(&mut self, agent: Ipv4Addr) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.offered_since = state.offered_since.saturating_add(1);
        }
        self.ranking.record_offer(agent);
    }

    /// Makes all reports older by `pause_ms`, after the process was paused for that long.
    pub fn age_reports(&mut self, pause_ms: u64) {
        for state in self.agents.values_mut() {
            state.reported_ms = state.reported_ms.saturating_sub(pause_ms);
        }
    }

    /// Removes agents that have not reported for longer than `retention`, and returns them.
    pub fn forget(&mut self, retention: &AgentRetention, now_ms: u64) -> Vec<Ipv4Addr> {
        let is_gone = |state: &AgentState| {
            let retention_ms = if state.report.is_stopping {
                retention.stopping_ms
            } else {
                retention.others_ms
            };
            state.reported_ms < now_ms.saturating_sub(retention_ms)
        };
        let gone: Vec<Ipv4Addr> = self
            .agents
            .iter()
            .filter(|(_, state)| is_gone(state))
            .map(|(agent, _)| *agent)
            .collect();
        for agent in &gone {
            self.ranking.forget(*agent);
            if let Some(state) = self.agents.remove(agent) {
                self.remove_from_service(*agent, state.report.service);
            }
        }
        gone
    }

    /// Chooses the agent for a new flow: the one with the least work relative to its capacity and
    /// speed.
    ///
    /// Targets that count as slow or avoided get a probe flow now and then; an avoided one gets no
    /// others.
    ///
    /// An agent of another domain has to be ahead by [`FlowSettings::other_domain_cost`]. If there
    /// are many agents, only a few are compared, chosen by the flow's hash: all balancers have the
    /// same reports and would otherwise all choose the same agent until the next reports.
    pub fn choose_agent(
        &self,
        flow: &FlowKey,
        service: ServiceTag,
        placement: &PlacementContext<'_>,
        settings: &FlowSettings,
    ) -> Option<Ipv4Addr> {
        let open: Vec<(Ipv4Addr, &AgentState)> =
            self.open_agents(service, placement, settings).collect();
        self.due_probe(&open, placement).or_else(|| {
            self.compared(flow, open, placement, settings)
                .map(|(agent, terms)| (agent, terms.expected_wait(&settings.placement)))
                .min_by(|(_, left), (_, right)| left.total_cmp(right))
                .map(|(agent, _)| agent)
        })
    }

    /// Chooses the agent with the lowest expected wait among those that report a free slot.
    pub fn choose_idle_agent(
        &self,
        service: ServiceTag,
        placement: &PlacementContext<'_>,
        settings: &FlowSettings,
    ) -> Option<Ipv4Addr> {
        self.open_agents(service, placement, settings)
            .filter(|(agent, state)| state.has_free_slot() && !self.is_avoided(*agent))
            .map(|(agent, state)| {
                let terms = self.wait_terms(agent, state, placement);
                (agent, terms.expected_wait(&settings.placement))
            })
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(agent, _)| agent)
    }

    /// Returns the agent of a target that is to get the new flow as a probe.
    fn due_probe(
        &self,
        open: &[(Ipv4Addr, &AgentState)],
        placement: &PlacementContext<'_>,
    ) -> Option<Ipv4Addr> {
        let may_probe = placement.may_probe && placement.refused_by.is_empty();
        open.iter()
            .find(|(agent, state)| may_probe && self.ranking.is_probe_due(*agent, state))
            .map(|(agent, _)| *agent)
    }

    /// Returns the agents whose expected waits are compared, with the terms of the waits.
    ///
    /// Targets that fail requests are compared only if there is no other one: most of their requests
    /// are answered. If others have refused the flow for load, its caller had better come back.
    fn compared(
        &self,
        flow: &FlowKey,
        open: Vec<(Ipv4Addr, &AgentState)>,
        placement: &PlacementContext<'_>,
        settings: &FlowSettings,
    ) -> impl Iterator<Item = (Ipv4Addr, WaitTerms)> {
        let is_only_choice = placement.refused_by.is_empty()
            && open.iter().all(|(agent, _)| self.is_avoided(*agent));
        let open = open
            .into_iter()
            .filter(|(agent, _)| is_only_choice || !self.is_avoided(*agent))
            .collect();
        candidates(flow, open, placement.domain, settings)
            .into_iter()
            .map(|(agent, state)| (agent, self.wait_terms(agent, state, placement)))
    }

    fn wait_terms(
        &self,
        agent: Ipv4Addr,
        state: &AgentState,
        placement: &PlacementContext<'_>,
    ) -> WaitTerms {
        WaitTerms::new(state, self.ranking.slowdown_of(agent), placement.domain)
    }

    fn is_avoided(&self, agent: Ipv4Addr) -> bool {
        self.ranking.standing_of(agent) == Standing::Avoided
    }

    /// Returns whether an agent other than `agent` can be sent the new flow, and not as a probe.
    pub fn has_other_agent(
        &self,
        agent: Ipv4Addr,
        service: ServiceTag,
        placement: &PlacementContext<'_>,
        settings: &FlowSettings,
    ) -> bool {
        self.open_agents(service, placement, settings)
            .any(|(other, _)| other != agent && !self.is_avoided(other))
    }

    /// Returns the agents of a service that can be sent the new flow.
    fn open_agents<'a>(
        &'a self,
        service: ServiceTag,
        placement: &'a PlacementContext<'_>,
        settings: &'a FlowSettings,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a AgentState)> {
        self.of_service(service)
            .filter(|agent| !placement.refused_by.contains(agent))
            .filter_map(|agent| Some((agent, self.agents.get(&agent)?)))
            .filter(|(agent, state)| takes_new_flows(*agent, state, placement, settings))
    }

    fn remove_from_service(&mut self, agent: Ipv4Addr, service: ServiceTag) {
        if let Some(agents) = self.by_service.get_mut(&service) {
            agents.remove(&agent);
            if agents.is_empty() {
                self.by_service.remove(&service);
            }
        }
    }
}
