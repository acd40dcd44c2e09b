//! What this balancer tells the others, and which of them.

use super::BalancerFlows;
use crate::{
    context::Context,
    flows::{
        frame::{BalancerEntry, BalancerHeartbeat},
        send_schedule::{Pace, Recipients},
    },
};
use std::net::Ipv4Addr;

/// The minimum time between two requests for lists of balancers.
const LIST_INTERVAL_MS: u64 = 50;

impl BalancerFlows {
    /// Returns this balancer's heartbeat.
    pub fn heartbeat(&self, ctx: &Context) -> BalancerHeartbeat {
        BalancerHeartbeat {
            incarnation: self.identity.incarnation,
            domain: self.identity.domain,
            version: self.fleet.table.version,
            revision: self.fleet.revision,
            is_stopping: false,
            agents: self.known_agents(),
            live_agents: saturate(self.live_agents(ctx.now_ms).count()),
            balancers_hash: self.balancers.hash(),
            settings_age_ms: self
                .settings_watch
                .own_age_ms(ctx.now_ms)
                .and_then(|age_ms| u32::try_from(age_ms).ok()),
        }
    }

    /// Returns how many agents have reported, are not forgotten and have not ended.
    pub fn known_agents(&self) -> u16 {
        saturate(self.agents_that_may_hold_flows().count())
    }

    /// Returns the agents that have reported, are not forgotten and have not ended.
    pub(super) fn agents_that_may_hold_flows(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.agents
            .iter()
            .filter(|(_, state)| !state.has_ended())
            .map(|(agent, _)| *agent)
    }

    /// Returns the balancers that get a heartbeat in this interval.
    ///
    /// Others rely on the heartbeats of balancers that watch the store.
    pub fn due_heartbeats(&mut self, recipients: Recipients, ctx: &Context) -> Vec<Ipv4Addr> {
        let max_age_ms = self.identity.watch_times.max_age_ms;
        let is_relied_on = self
            .settings_watch
            .own_age_ms(ctx.now_ms)
            .is_some_and(|age_ms| age_ms < max_age_ms);
        let pace = if is_relied_on {
            Pace::Active
        } else {
            Pace::Idle
        };
        let mut receivers = self.send_schedule.next_interval(
            recipients,
            None,
            &self.balancers,
            self.identity.domain,
            pace,
            &self.settings,
        );
        receivers.retain(|peer| *peer != self.identity.ip);
        receivers
    }

    /// Merges a list of balancers; returns those that have to hear of this one at once.
    ///
    /// A balancer that has just started introduces itself to all that it finds; its next scheduled
    /// heartbeat to them may be seconds away.
    pub fn on_balancers(&mut self, entries: &[BalancerEntry], ctx: &Context) -> Vec<Ipv4Addr> {
        let own_ip = self.identity.ip;
        let new: Vec<Ipv4Addr> = entries
            .iter()
            .filter(|entry| entry.ip != own_ip && self.balancers.merge_entry(entry, ctx.now_ms))
            .map(|entry| entry.ip)
            .collect();
        let introduces_itself =
            ctx.now_ms < self.started_ms + self.settings.searches.roster_wait_ms;
        if introduces_itself { new } else { Vec::new() }
    }

    /// Returns whether to request the list of balancers of a peer whose list may differ.
    ///
    /// When many balancers start, the lists of all differ for a moment, and each one contains all
    /// balancers: one list in [`LIST_INTERVAL_MS`] is requested.
    pub const fn try_list_balancers(&mut self, may_differ: bool, ctx: &Context) -> bool {
        if !may_differ || ctx.now_ms < self.next_list_ms {
            return false;
        }
        self.next_list_ms = ctx.now_ms + LIST_INTERVAL_MS;
        true
    }

    /// Returns this balancer's last heartbeat, which says that it is shutting down.
    pub fn final_heartbeat(&self, ctx: &Context) -> BalancerHeartbeat {
        BalancerHeartbeat {
            is_stopping: true,
            ..self.heartbeat(ctx)
        }
    }
}

fn saturate(agents: usize) -> u16 {
    u16::try_from(agents).unwrap_or(u16::MAX)
}
