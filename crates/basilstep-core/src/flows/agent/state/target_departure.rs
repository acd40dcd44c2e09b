//! The end of an incarnation of the target that deregisters.

use super::AgentFlows;
use crate::{
    context::Context,
    flows::key::{InstanceTag, LostFlow},
};

impl AgentFlows {
    /// Records that an instance of the target has left; returns the flows that were lost, or `None`
    /// if that cannot be the one that is running.
    pub fn on_target_left(
        &mut self,
        instance: InstanceTag,
        ctx: &Context,
    ) -> Option<Vec<LostFlow>> {
        self.target
            .on_left(instance, self.identity.drain_ms, ctx.now_ms)
            .then(|| self.mark_flows_lost(ctx.now_ms, ctx))
    }
}
