//! The comparison of agents by the expected wait of a new flow.

use super::{AgentState, AgentTable, PassedOver, PassedOverReason, PlacementContext, eligibility};
use crate::{
    address::DomainId,
    flows::{
        balancer::target_ranking::Standing,
        key::{FlowKey, ServiceTag, rendezvous},
        settings::{FlowPlacementSettings, FlowSettings},
    },
};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::BTreeSet, net::Ipv4Addr};

/// What the expected wait of a new flow at an agent is computed from.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WaitTerms {
    /// Requests that the target is processing or has queued.
    pub at_work: u16,
    /// New flows that this balancer has sent to the agent since its last report.
    pub offered_since: u16,
    /// Flows that the target holds.
    pub open_flows: u16,
    /// Whether the target started a short time ago.
    pub is_cold: bool,
    /// Whether the agent is in another failure domain than the balancer.
    pub is_other_domain: bool,
    /// How many times slower than others the target counts.
    pub slowdown: f64,
    /// How many requests the target processes at once.
    pub capacity: u16,
}

/// An agent that can be sent a new flow.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The expected requests at work per request that the target processes at once.
    pub expected_wait: f64,
    /// What the expected wait is computed from.
    pub terms: WaitTerms,
}

/// The agents of a service as they are seen when a new flow is placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementDetails {
    /// The agent whose target is to get the flow as a probe.
    pub probe: Option<Ipv4Addr>,
    /// The agents that are compared, and the one of `probe`; the lowest expected wait first.
    pub candidates: Vec<Candidate>,
    /// The other agents of the service, in the order of their addresses.
    pub passed_over: Vec<PassedOver>,
}

impl WaitTerms {
    /// Creates the terms for an agent, as seen from a balancer in `domain`.
    pub(super) fn new(state: &AgentState, slowdown: f64, domain: DomainId) -> Self {
        let report = &state.report;
        Self {
            at_work: report.at_work,
            offered_since: state.offered_since,
            open_flows: report.open_flows,
            is_cold: report.is_cold,
            is_other_domain: report.domain != domain,
            slowdown,
            capacity: report.capacity,
        }
    }

    /// Returns the expected requests at work per request that the target processes at once.
    ///
    /// A target that is `slowdown` times slower than others counts as if it had as many times the
    /// work, the new request included.
    pub fn expected_wait(&self, settings: &FlowPlacementSettings) -> f64 {
        let mut work = f64::from(self.at_work) + f64::from(self.offered_since);
        work += f64::from(self.open_flows) * settings.open_flow_load;
        if self.slowdown > 1.0 {
            work = (work + 1.0) * self.slowdown - 1.0;
        }
        if self.is_cold {
            work = (work + 1.0) * settings.cold_slowdown;
        }
        if self.is_other_domain {
            work += settings.other_domain_cost;
        }
        work / f64::from(self.capacity.max(1))
    }
}

impl AgentTable {
    /// Returns what [`Self::choose_agent`] takes into account for a new flow.
    pub fn placement_details(
        &self,
        flow: &FlowKey,
        service: ServiceTag,
        placement: &PlacementContext<'_>,
        settings: &FlowSettings,
    ) -> PlacementDetails {
        let open: Vec<(Ipv4Addr, &AgentState)> =
            self.open_agents(service, placement, settings).collect();
        let probe = self.due_probe(&open, placement);
        let mut compared: Vec<(Ipv4Addr, WaitTerms)> =
            self.compared(flow, open, placement, settings).collect();
        let avoided_probe = probe.filter(|probe| compared.iter().all(|(agent, _)| agent != probe));
        compared.extend(avoided_probe.and_then(|agent| {
            let state = self.agents.get(&agent)?;
            Some((agent, self.wait_terms(agent, state, placement)))
        }));
        let agents: BTreeSet<Ipv4Addr> = compared.iter().map(|(agent, _)| *agent).collect();
        let mut candidates: Vec<Candidate> = compared
            .into_iter()
            .map(|(agent, terms)| Candidate {
                agent,
                expected_wait: terms.expected_wait(&settings.placement),
                terms,
            })
            .collect();
        candidates.sort_by(|left, right| left.expected_wait.total_cmp(&right.expected_wait));
        let passed_over = self
            .of_service(service)
            .filter(|agent| !agents.contains(agent))
            .filter_map(|agent| self.passed_over(agent, placement, settings))
            .collect();
        PlacementDetails {
            probe,
            candidates,
            passed_over,
        }
    }

    /// Returns why an agent that is not compared does not get the new flow.
    fn passed_over(
        &self,
        agent: Ipv4Addr,
        placement: &PlacementContext<'_>,
        settings: &FlowSettings,
    ) -> Option<PassedOver> {
        let state = self.agents.get(&agent)?;
        let reason =
            if let Some(reason) = eligibility::ineligibility(agent, state, placement, settings) {
                reason
            } else if placement.refused_by.contains(&agent) {
                PassedOverReason::Refused
            } else if self.standing_of(agent) == Standing::Avoided {
                PassedOverReason::Avoided
            } else {
                PassedOverReason::NotCompared
            };
        Some(PassedOver { agent, reason })
    }
}

/// Returns the agents to compare: all if there are few, otherwise some of the own domain and some
/// of the others.
pub(super) fn candidates<'a>(
    flow: &FlowKey,
    mut open: Vec<(Ipv4Addr, &'a AgentState)>,
    domain: DomainId,
    settings: &FlowSettings,
) -> Vec<(Ipv4Addr, &'a AgentState)> {
    if open.len() <= settings.placement.compare_all {
        return open;
    }
    let flow_hash = flow.hash();
    open.sort_by_cached_key(|(agent, _)| Reverse(rendezvous(flow_hash, *agent)));
    let (own, others): (Vec<_>, Vec<_>) = open
        .into_iter()
        .partition(|(_, state)| state.report.domain == domain);
    let limit = settings.placement.compare_drawn;
    own.into_iter()
        .take(limit)
        .chain(others.into_iter().take(limit))
        .collect()
}
