//! Whether this balancer knows enough agents to place new flows and to reset lost ones.

use super::BalancerFlows;
use crate::{context::Context, flows::routes::RequestKind};
use std::{collections::BTreeSet, net::Ipv4Addr};

impl BalancerFlows {
    /// Returns whether the balancer can place new flows.
    pub fn is_ready(&self, ctx: &Context) -> bool {
        self.fleet.is_known() && !self.is_stopping && self.has_enough_live_agents(ctx)
    }

    /// Returns whether at least as many agents are live here as at any other balancer.
    ///
    /// After `roster_wait_ms` one agent is enough: a network partition may hide the others.
    fn has_enough_live_agents(&self, ctx: &Context) -> bool {
        let required = self.required_agents(self.balancers.max_live_agents(), ctx);
        required
            .is_some_and(|required| self.live_agents(ctx.now_ms).take(required).count() == required)
    }

    /// Returns whether this balancer knows all agents of the record in the store, and at least as many
    /// as any other balancer, including agents that are silent or being restarted.
    ///
    /// Their silence says nothing about their targets. A balancer that has been running for the
    /// lifetime of a flow knows all agents that can hold one; one that has nothing to compare with
    /// waits for as long.
    pub(super) fn knows_enough_agents(&self, ctx: &Context) -> bool {
        let retention = self.agent_retention(ctx);
        if ctx.now_ms >= self.started_ms + retention.others_ms {
            return true;
        }
        let stated = self.agent_counts.max();
        let is_registration_recent = ctx.now_ms < self.started_ms + retention.stopping_ms;
        let most = match &self.recorded_agents {
            Some(recorded) if !self.knows_all_of(recorded) => return false,
            Some(_) => stated.or(Some(0)),
            None if is_registration_recent && self.registered_agents > 0 => {
                stated.max(Some(self.registered_agents))
            }
            None => stated,
        };
        most.is_some_and(|most| self.agents.len() >= usize::from(most))
    }

    fn knows_all_of(&self, agents: &BTreeSet<Ipv4Addr>) -> bool {
        agents.iter().all(|agent| self.agents.get(*agent).is_some())
    }

    /// Returns whether all agents have probably reported to this balancer.
    ///
    /// In a fleet that has just started, the counts in heartbeats are those of balancers that do not
    /// know all agents either. They are no evidence before they have stopped growing for as long as
    /// agents take to find all balancers, unless an earlier count in the store is reached.
    fn has_complete_roster(&self, ctx: &Context) -> bool {
        let searches = &self.settings.searches;
        let registered = usize::from(self.registered_agents);
        let recorded = self.recorded_agents.as_ref();
        ctx.now_ms >= self.started_ms + searches.roster_wait_ms
            || ctx.now_ms >= self.agents_grew_ms + searches.settle_ms
            || recorded.is_some_and(|recorded| self.knows_all_of(recorded))
            || (registered > 0 && self.agents.len() >= registered)
    }

    /// Returns whether the answers of all known agents are the answers of all agents.
    ///
    /// A wrong reset costs callers of idempotent requests only a short delay, so that less time is
    /// left for reports that are late.
    pub(super) fn may_reset(&self, kind: RequestKind, ctx: &Context) -> bool {
        let searches = &self.settings.searches;
        let is_settled = match kind {
            RequestKind::Idempotent => {
                let settled_ms = self.settling_since_ms + searches.settle_ms;
                ctx.now_ms >= settled_ms && self.has_complete_roster(ctx)
            }
            RequestKind::NonIdempotent => {
                let since_ms = self.settling_since_ms.max(self.first_agent_ms);
                ctx.now_ms >= since_ms + searches.settle_non_idempotent_ms
            }
        };
        is_settled && !self.agents.is_empty() && self.knows_enough_agents(ctx)
    }

    /// Returns whether the store has confirmed the settings recently enough, so that a route that is
    /// missing here does not exist.
    ///
    /// A balancer that has just started or was paused waits until it has read what was queued.
    pub(super) fn has_confirmed_settings(&self, ctx: &Context) -> bool {
        let settled_ms = self.settling_since_ms + self.settings.searches.settle_ms;
        let max_age_ms = self.identity.watch_times.max_age_ms;
        ctx.now_ms >= settled_ms
            && self
                .settings_age_ms(ctx)
                .is_some_and(|age_ms| age_ms < max_age_ms)
    }

    /// Returns how many agents are enough if another balancer has `most`; `None` if no other
    /// balancer has sent a heartbeat yet.
    fn required_agents(&self, most: Option<u16>, ctx: &Context) -> Option<usize> {
        if ctx.now_ms >= self.started_ms + self.settings.searches.roster_wait_ms {
            return Some(1);
        }
        most.map(|most| usize::from(most).max(1))
    }

    /// Returns the agents that are certainly running.
    ///
    /// Balancers that have just started wait until they have heard from as many, so an agent that has
    /// ended must not be counted for long.
    pub(super) fn live_agents(&self, now_ms: u64) -> impl Iterator<Item = Ipv4Addr> {
        let limit_ms = self.settings.liveness.suspect_after_ms;
        let interval_ms = self.settings.liveness.report_interval_ms;
        self.agents
            .iter()
            .filter(move |(_, state)| state.is_on_schedule(limit_ms, interval_ms, now_ms))
            .filter(move |(agent, state)| {
                let liveness = &self.liveness;
                !liveness.is_silent(**agent, state, limit_ms, &self.settings, now_ms)
            })
            .map(|(agent, _)| *agent)
    }
}
