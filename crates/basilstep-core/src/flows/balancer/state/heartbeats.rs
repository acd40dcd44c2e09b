//! What this balancer tells the others, and which of them.

use super::BalancerFlows;
use crate::{
    context::Context,
    flows::{frame::BalancerHeartbeat, send_schedule::Recipients},
};
use std::net::Ipv4Addr;

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

    /// Returns how many agents have reported and are not forgotten.
    pub fn known_agents(&self) -> u16 {
        saturate(self.agents.len())
    }

    /// Returns the balancers that get a heartbeat in this interval.
    pub fn due_heartbeats(&mut self, recipients: Recipients) -> Vec<Ipv4Addr> {
        let mut receivers = self.send_schedule.next_interval(
            recipients,
            None,
            &self.balancers,
            self.identity.domain,
            &self.settings,
        );
        receivers.retain(|peer| *peer != self.identity.ip);
        receivers
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
