use super::{
    failure_reports::ReportedAgent, messages::MembershipAction, probes::probe, record::AgentPhase,
    state::Membership,
};
use crate::{
    address::{AgentAddress, DomainId},
    context::Context,
};
use std::net::SocketAddrV4;

/// The maximum number of reported agents probed at the same time; further reports are ignored.
const MAX_OPEN_REPORTS: usize = 16;

impl Membership {
    /// Probes an agent that another agent reported as unresponsive.
    ///
    /// A report alone is no evidence; only an unanswered probe of this balancer is.
    pub(super) fn on_unresponsive_agent(
        &mut self,
        agent: AgentAddress,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(agent.0).copied() else {
            return;
        };
        let domain = member.record.domain;
        let is_agent = member.record.service().is_some();
        let is_out = member.silent || member.record.phase == AgentPhase::Down;
        if !is_agent || is_out || self.table.is_domain_unresponsive(domain) {
            return;
        }
        let is_full = self.reports.open.len() >= MAX_OPEN_REPORTS;
        let is_probed = self.reports.open.contains_key(&agent.0);
        if is_full || is_probed || !self.trusts_ages(ctx.now_ms) {
            return;
        }
        let witness = self.find_witness(agent.0, domain, ctx.now_ms);
        let reported = ReportedAgent {
            domain,
            probed_ms: ctx.now_ms,
            has_domain_responded: witness.is_none(),
        };
        self.reports.open.insert(agent.0, reported);
        actions.push(probe(agent.0));
        actions.extend(witness.map(probe));
    }

    /// Suspects the reported agents that did not answer their probe, earlier than their watchers
    /// would.
    ///
    /// If no other member of the domain answers either, it is left to the watchers to suspect the
    /// domain as a whole.
    pub(super) fn suspect_reported_agents(
        &mut self,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        for agent in self.reports.take_unresponsive(ctx.now_ms) {
            self.suspect(agent, ctx, actions);
        }
    }

    /// Returns another member of a domain whose answer would show that the domain has not failed,
    /// if one is needed and known.
    fn find_witness(
        &self,
        agent: SocketAddrV4,
        domain: DomainId,
        now_ms: u64,
    ) -> Option<SocketAddrV4> {
        if domain == self.own_record().domain {
            return None;
        }
        let watched = self.detector.last_heard_in_except(domain, agent);
        watched.or_else(|| {
            let mut balancers = self.balancers(now_ms);
            let known = balancers.find(|balancer| balancer.domain == domain);
            known.map(|balancer| balancer.address.0)
        })
    }
}
