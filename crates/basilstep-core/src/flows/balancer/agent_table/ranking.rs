//! The ranking of targets from the reports in the agent table.

use super::{AgentState, AgentTable};
use crate::{
    address::DomainId,
    flows::{
        balancer::{
            held_domains::HeldDomains,
            target_ranking::{
                Measurement, RankedTarget, ServiceMeasurements, Standing, StandingChange,
            },
        },
        frame::{AgentReport, TargetPhase},
        settings::FlowSettings,
    },
};
use std::{collections::BTreeSet, net::Ipv4Addr};

/// The state of the balancer that the ranking of targets depends on.
#[derive(Clone, Copy, Debug)]
pub struct RankingScope<'a> {
    /// The domains that operators have taken out.
    pub domains_out: &'a BTreeSet<DomainId>,
    /// The domains that are out by the record of an earlier era of the store.
    pub held_domains: &'a HeldDomains,
    /// The number of balancers, which share the probe flows.
    pub balancers: usize,
    /// Differs between balancers, so that they do not send their probe flows at the same time.
    pub probe_phase: u64,
}

impl AgentTable {
    /// Ranks the targets of each service by the health in fresh reports, if it is time to; returns
    /// the targets that count as something else than before.
    pub fn update_ranking(
        &mut self,
        scope: &RankingScope<'_>,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> Vec<StandingChange> {
        if !settings.target_health.is_enabled || !self.ranking.try_begin_update(now_ms) {
            return Vec::new();
        }
        let services: Vec<ServiceMeasurements> = self
            .by_service
            .values()
            .map(|agents| self.measurements(agents, scope, settings, now_ms))
            .collect();
        self.ranking
            .update(&services, scope, &settings.target_health)
    }

    /// Returns what placement makes of the health of an agent's target.
    pub fn standing_of(&self, agent: Ipv4Addr) -> Standing {
        self.ranking.standing_of(agent)
    }

    /// Returns the targets that count as slow or avoided.
    pub fn ranked_targets(&self) -> impl Iterator<Item = (&Ipv4Addr, &RankedTarget)> {
        self.ranking.iter()
    }

    fn measurements(
        &self,
        agents: &BTreeSet<Ipv4Addr>,
        scope: &RankingScope<'_>,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> ServiceMeasurements {
        agents
            .iter()
            .filter_map(|agent| Some((*agent, self.agents.get(agent)?)))
            .filter(|(_, state)| is_ranked(state, scope, settings, now_ms))
            .map(|(agent, state)| measurement(agent, &state.report, settings))
            .collect()
    }
}

/// Returns whether a target can get new flows and its agent has reported when it was due to.
fn is_ranked(
    state: &AgentState,
    scope: &RankingScope<'_>,
    settings: &FlowSettings,
    now_ms: u64,
) -> bool {
    let report = &state.report;
    let limit_ms = settings.liveness.suspect_after_ms;
    let interval_ms = settings.liveness.report_interval_ms;
    report.phase == TargetPhase::Serving
        && !report.is_stopping
        && !scope.domains_out.contains(&report.domain)
        && !scope.held_domains.contains(report.domain)
        && state.is_on_schedule(limit_ms, interval_ms, now_ms)
}

/// Returns the health that an agent has reported.
fn measurement(agent: Ipv4Addr, report: &AgentReport, settings: &FlowSettings) -> Measurement {
    let mut service_time_ms = f64::from(report.service_time_ms);
    if report.is_cold {
        // Placement takes the slowness of a cold target into account already.
        service_time_ms /= settings.placement.cold_slowdown;
    }
    Measurement {
        agent,
        service_time_ms,
        failure_permille: report.failure_permille,
    }
}
