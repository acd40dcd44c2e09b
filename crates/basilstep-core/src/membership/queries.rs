use super::{
    member::MemberRecord,
    messages::MembershipMessage,
    record::{AgentPhase, AgentRecord, BalancerRecord},
    state::{Membership, MembershipCounters},
    store_freshness::store_watcher_score,
};
use crate::address::{AgentAddress, DomainId, ServiceId};

impl Membership {
    /// Returns a number that is incremented with each change of the members in placement.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the record that this balancer announces.
    pub fn own_record(&self) -> &MemberRecord {
        self.announcer.own_record()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Returns how many members this balancer watches.
    pub fn watched_count(&self) -> usize {
        self.detector.len()
    }

    /// Returns how many members are known, live or not.
    pub fn member_count(&self) -> usize {
        self.table.members().len()
    }

    /// Returns whether the balancer has merged the view of a peer or is the only one, and may
    /// accept traffic.
    pub fn is_joined(&self) -> bool {
        !self.needs_snapshot
    }

    /// Returns the agents of a service that are in placement, including draining ones.
    ///
    /// If no live agent of the service is serving, suspicions are ignored and all agents that have
    /// not stopped are returned, so that a service never loses its last agents to suspicion.
    pub fn agents_of(&self, service: ServiceId, now_ms: u64) -> Vec<AgentRecord> {
        let running = || {
            let agents = self.table.agents_of(service);
            agents.filter(|member| member.record.phase != AgentPhase::Down)
        };
        let is_serving = |agent: &AgentRecord| agent.phase == AgentPhase::Serving;
        let live: Vec<AgentRecord> = running()
            .filter(|member| self.table.is_live(member, now_ms))
            .filter_map(|member| member.record.as_agent())
            .collect();
        if live.iter().any(is_serving) {
            return live;
        }
        running()
            .filter_map(|member| member.record.as_agent())
            .collect()
    }

    /// Returns the record of an agent and whether it is live.
    pub fn agent(&self, address: AgentAddress, now_ms: u64) -> Option<(AgentRecord, bool)> {
        let member = self.table.get(address.0)?;
        let record = member.record.as_agent()?;
        Some((record, self.table.is_live(member, now_ms)))
    }

    /// Returns the records of all known agents and whether each is live.
    pub fn agents(&self, now_ms: u64) -> impl Iterator<Item = (AgentRecord, bool)> {
        self.table.members().values().filter_map(move |member| {
            let record = member.record.as_agent()?;
            Some((record, self.table.is_live(member, now_ms)))
        })
    }

    /// Returns a request for the settings newer than those in force here.
    pub fn pull_settings(&self) -> MembershipMessage {
        self.announcer.pull_settings()
    }

    /// Returns the live balancers, including this one.
    pub fn balancers(&self, now_ms: u64) -> impl Iterator<Item = BalancerRecord> {
        self.table
            .balancers()
            .iter()
            .filter_map(|address| self.table.get(*address))
            .filter(move |member| self.table.is_live(member, now_ms))
            .filter_map(|member| member.record.as_balancer())
    }

    /// Returns whether a domain is suspected or known to be silent.
    pub fn is_domain_unresponsive(&self, domain: DomainId) -> bool {
        self.table.is_domain_unresponsive(domain)
    }

    /// Returns whether this balancer is one of those that watch the store.
    pub fn is_store_watcher(&self, now_ms: u64) -> bool {
        let own = store_watcher_score(self.own_record().address);
        let better = self
            .balancers(now_ms)
            .filter(|balancer| store_watcher_score(balancer.address.0) > own)
            .take(self.settings.store_watchers)
            .count();
        better < self.settings.store_watchers || self.store_freshness.is_stale(now_ms)
    }
}
