use super::fleet::{AgentDump, BalancerDump, DumpResults, Fleet, ProcessDump};
use crate::{error::CtlError, output::Report, settings::CtlContext};
use basilstep_core::settings::DomainState;
use serde::Serialize;
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// The state of a failure domain across the fleet.
#[derive(Debug, Default, Serialize)]
struct DomainStatus {
    balancers: Vec<BalancerView>,
    /// The flows that agents still hold, for a failure domain that is out of service.
    open_flows: Option<u64>,
    #[serde(skip)]
    agents: BTreeSet<SocketAddrV4>,
}

/// The state of a failure domain at one balancer.
#[derive(Debug, Serialize)]
struct BalancerView {
    balancer: SocketAddrV4,
    state: DomainState,
    agents_known: usize,
    settings_version: u64,
}

/// Reports each failure domain, its state at each balancer, and the flows that are still open when
/// it is out of service.
pub async fn run(context: &CtlContext, at: Option<SocketAddrV4>) -> Result<Report, CtlError> {
    let fleet = Fleet::open(context)?;
    let balancers = fleet.dump_balancers(context, at).await?;
    let mut domains = BTreeMap::new();
    for balancer in &balancers.dumps {
        add_balancer(&mut domains, balancer);
    }
    let mut unreachable = balancers.unreachable;
    for domain in domains.values_mut().filter(|domain| domain.is_out()) {
        let agents: DumpResults<AgentDump> = fleet.dump_all(domain.agents.clone()).await;
        let dumps = agents.dumps.iter();
        domain.open_flows = Some(dumps.map(|agent| agent.dump.open_flows).sum());
        unreachable.extend(agents.unreachable);
    }
    let mut lines: Vec<String> = domains.iter().flat_map(lines_of).collect();
    let failed = unreachable.iter();
    lines.extend(failed.map(|(address, error)| format!("{address} did not answer: {error}")));
    let result = json!({ "domains": domains, "unreachable": unreachable });
    Ok(Report::with_lines(lines, result))
}

fn add_balancer(domains: &mut BTreeMap<String, DomainStatus>, process: &ProcessDump<BalancerDump>) {
    for (name, record) in &process.dump.control.domains {
        let domain = domains.entry(name.clone()).or_default();
        let agents: Vec<SocketAddrV4> = process
            .dump
            .control
            .agents
            .iter()
            .filter(|agent| agent.domain == record.id)
            .map(|agent| agent.address)
            .collect();
        domain.balancers.push(BalancerView {
            balancer: process.address,
            state: record.state,
            agents_known: agents.len(),
            settings_version: process.dump.settings_version,
        });
        domain.agents.extend(agents);
    }
}

impl DomainStatus {
    fn is_out(&self) -> bool {
        let mut views = self.balancers.iter();
        views.any(|view| view.state == DomainState::Out)
    }
}

fn lines_of((name, domain): (&String, &DomainStatus)) -> Vec<String> {
    let mut lines = vec![format!("{name}:")];
    lines.extend(domain.balancers.iter().map(|view| {
        let state = match view.state {
            DomainState::In => "in",
            DomainState::Out => "out",
        };
        format!(
            "  {state} at {} (version {}, {} agents known)",
            view.balancer, view.settings_version, view.agents_known
        )
    }));
    if let Some(open_flows) = domain.open_flows {
        lines.push(format!("  its agents hold {open_flows} flows"));
    }
    lines
}
