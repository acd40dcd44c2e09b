//! The end of an incarnation of the target that deregisters.

use super::AgentFlows;
use crate::{context::Context, flows::key::LostFlow};

impl AgentFlows {
    /// Records the instance id of the incarnation whose heartbeat was accepted last.
    pub fn set_target_instance(&mut self, instance: &str) {
        self.target.set_instance(instance);
    }

    /// Records that an instance of the target has left; returns the flows that were lost, or `None`
    /// if it is another one than the last.
    pub fn on_target_left(&mut self, instance: &str, ctx: &Context) -> Option<Vec<LostFlow>> {
        self.target
            .on_left(instance)
            .then(|| self.mark_flows_lost(ctx.now_ms, ctx))
    }
}
