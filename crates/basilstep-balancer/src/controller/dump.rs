//! The control-plane state of a balancer as written to a dump.

use super::{CollectDump, Controller};
use basilstep_core::{
    address::{AgentAddress, BalancerAddress, DomainId, ServiceId},
    membership::{AgentPhase, MembershipCounters},
    settings::{DomainRecord, Rejection},
};
use serde::Serialize;
use std::collections::BTreeMap;
use xtra::{Context, Handler};

/// The control-plane state of a balancer as written to a dump.
#[derive(Clone, Debug, Serialize)]
pub struct ControlDump {
    settings_version: u64,
    store_is_behind: bool,
    rejections: BTreeMap<String, Rejection>,
    unserved: BTreeMap<String, Rejection>,
    domains: BTreeMap<String, DomainRecord>,
    watches_store: bool,
    carrying: ForwardingState,
    members_known: usize,
    members_watched: usize,
    membership: MembershipCounters,
    agents: Vec<AgentDump>,
    balancers: Vec<BalancerAddress>,
}

/// Whether a balancer forwards packets.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum ForwardingState {
    /// The balancer has no membership view yet.
    Joining,
    /// The process was paused and forwards nothing until its membership view and settings are
    /// confirmed.
    Recovering,
    /// The balancer forwards packets.
    Normal,
}

#[derive(Clone, Debug, Serialize)]
struct AgentDump {
    address: AgentAddress,
    service: ServiceId,
    domain: DomainId,
    phase: AgentPhase,
}

impl Handler<CollectDump> for Controller {
    type Return = ControlDump;

    async fn handle(&mut self, _: CollectDump, _: &mut Context<Self>) -> ControlDump {
        let now_ms = self.shared.clock.now_ms();
        let agents = self
            .settings
            .view()
            .services
            .keys()
            .flat_map(|service| self.membership.agents_of(*service, now_ms))
            .map(|agent| AgentDump {
                address: agent.address,
                service: agent.service,
                domain: agent.domain,
                phase: agent.phase,
            })
            .collect();
        ControlDump {
            settings_version: self.settings.version(),
            store_is_behind: self.store_is_behind,
            rejections: self.settings.rejections().clone(),
            unserved: self.settings.unserved(),
            domains: self.settings.view().domains.clone(),
            watches_store: self.membership.is_store_watcher(now_ms),
            carrying: self.forwarding_state(),
            members_known: self.membership.member_count(),
            members_watched: self.membership.watched_count(),
            membership: self.membership.counters(),
            agents,
            balancers: self
                .membership
                .balancers(now_ms)
                .map(|balancer| balancer.address)
                .collect(),
        }
    }
}

impl Controller {
    fn forwarding_state(&self) -> ForwardingState {
        if self.pause_guard.is_recovering() {
            ForwardingState::Recovering
        } else if self.membership.is_joined() {
            ForwardingState::Normal
        } else {
            ForwardingState::Joining
        }
    }
}
