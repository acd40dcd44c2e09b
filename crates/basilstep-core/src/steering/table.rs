use crate::{
    address::{AgentAddress, Incarnation, ServiceId},
    domains::DomainPhases,
    membership::AgentRecord,
    placement::ServiceTargets,
    settings::{DomainSet, SettingsView},
    token::{FlowKeys, FlowToken},
};
use serde::Serialize;
use std::collections::BTreeMap;

/// An immutable snapshot of the settings and the membership view, by which a balancer steers.
///
/// Its size depends on the number of services and agents, not on the number of flows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SteeringTable {
    #[serde(skip)]
    pub(super) flow_keys: Option<FlowKeys>,
    pub(super) domains: DomainPhases,
    pub(super) services: BTreeMap<ServiceId, ServiceTargets>,
    dead: BTreeMap<AgentAddress, Incarnation>,
}

/// A run of an agent that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DeadAgent {
    /// The address of the agent.
    pub address: AgentAddress,
    /// The run that has ended.
    pub incarnation: Incarnation,
}

impl SteeringTable {
    /// Builds a snapshot in which all domains that are out are in the resetting phase.
    pub fn build(view: &SettingsView, records: &[AgentRecord], dead: &[DeadAgent]) -> Self {
        Self::build_with_domain_phases(
            view,
            DomainPhases::resetting(view.domains_out),
            records,
            dead,
        )
    }

    /// Builds a snapshot from the settings in force, the phases of the failure domains, the
    /// records of the agents and the runs of agents that have ended.
    pub fn build_with_domain_phases(
        view: &SettingsView,
        domains: DomainPhases,
        records: &[AgentRecord],
        dead: &[DeadAgent],
    ) -> Self {
        let dead: BTreeMap<_, _> = dead
            .iter()
            .map(|agent| (agent.address, agent.incarnation))
            .collect();
        Self {
            flow_keys: view.flow_keys,
            domains,
            services: services_from_records(
                view,
                &domains.without_new_flows(),
                &group_live_agents(records, &dead),
            ),
            dead,
        }
    }

    /// Returns the targets of a service that take new flows.
    pub fn targets(&self, service: ServiceId) -> Option<&ServiceTargets> {
        self.services.get(&service)
    }

    /// Returns whether the run of the agent that issued the token is known to have ended.
    ///
    /// An unknown agent or run counts as live, because this view may be incomplete.
    pub(super) fn is_dead(&self, token: &FlowToken) -> bool {
        self.dead
            .get(&token.agent)
            .is_some_and(|incarnation| token.matches_incarnation(*incarnation))
    }
}

fn group_live_agents(
    records: &[AgentRecord],
    dead: &BTreeMap<AgentAddress, Incarnation>,
) -> BTreeMap<ServiceId, Vec<AgentRecord>> {
    let mut by_service: BTreeMap<ServiceId, Vec<AgentRecord>> = BTreeMap::new();
    for record in records {
        let ended = dead.get(&record.address);
        if ended.is_none_or(|ended| record.incarnation > *ended) {
            by_service.entry(record.service).or_default().push(*record);
        }
    }
    by_service
}

fn services_from_records(
    view: &SettingsView,
    without_new_flows: &DomainSet,
    agents: &BTreeMap<ServiceId, Vec<AgentRecord>>,
) -> BTreeMap<ServiceId, ServiceTargets> {
    view.services
        .keys()
        .map(|service| {
            let records = agents.get(service).map_or(&[][..], Vec::as_slice);
            let targets = ServiceTargets::from_records(*service, records, without_new_flows);
            (*service, targets)
        })
        .collect()
}
