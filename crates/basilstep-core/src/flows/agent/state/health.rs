//! What an agent measures of its target from the packets of its flows.

use super::AgentFlows;
use crate::{
    context::Context,
    flows::{
        agent::{
            table::{CallerWait, Flow, FlowStage},
            target_health::{HealthChange, HealthReading, TargetHealth, UnansweredEnd},
        },
        key::FlowKey,
    },
};

impl AgentFlows {
    /// Returns the health of the target, which is unknown unless it is measured.
    pub fn health_reading(&self, ctx: &Context) -> HealthReading {
        if !self.settings.target_health.is_enabled {
            return HealthReading::default();
        }
        self.health.reading(&self.service_time, ctx.now_ms)
    }

    /// Takes a change of the target's health that is to be reported to all balancers at once, for
    /// example when the target has become slow or has recovered.
    ///
    /// There is at most one in a second, and fewer if there are many balancers.
    pub fn take_health_change(&mut self, ctx: &Context) -> Option<HealthChange> {
        let reading = self.health_reading(ctx);
        let group_size = self.settings.liveness.pace_all.max(1);
        let balancer_groups = self.balancers.len().div_ceil(group_size) as u64;
        self.health.take_change(
            reading,
            balancer_groups,
            &self.settings.target_health,
            ctx.now_ms,
        )
    }

    /// Records a packet of a caller that went to the target, by the new state of its flow.
    pub(super) fn track_request(&mut self, key: FlowKey, flow: &Flow, now_ms: u64) {
        if !self.settings.target_health.is_enabled {
            return;
        }
        if flow.wait == CallerWait::Answer && flow.requested_ms == now_ms {
            self.health.on_request(key, self.target.capacity(), now_ms);
        }
        self.track_close(&key, flow, false, now_ms);
    }

    /// Records the answer to the last request of a flow.
    pub(super) fn record_answer(&mut self, key: &FlowKey, flow: &Flow, now_ms: u64) {
        let capacity = self.target.capacity();
        if self.settings.target_health.is_enabled {
            self.health
                .on_answer(key, capacity, &mut self.service_time, now_ms);
            return;
        }
        let had_to_wait = self.table.at_work() > usize::from(capacity);
        if !had_to_wait {
            self.service_time.record(now_ms - flow.requested_ms);
        }
    }

    /// Records the end of a request whose flow was closed before the answer.
    pub(super) fn track_close(
        &mut self,
        key: &FlowKey,
        flow: &Flow,
        is_target_reset: bool,
        now_ms: u64,
    ) {
        if flow.stage != FlowStage::Closed || !self.settings.target_health.is_enabled {
            return;
        }
        let end = if is_target_reset {
            UnansweredEnd::TargetReset
        } else {
            UnansweredEnd::Closed
        };
        self.health.on_unanswered(
            key,
            end,
            self.target.capacity(),
            &self.service_time,
            &self.settings.target_health,
            now_ms,
        );
    }

    /// Discards what was measured of an earlier incarnation of the target.
    pub(super) fn reset_health(&mut self) {
        self.service_time.reset();
        self.health = TargetHealth::default();
    }

    /// Updates the measurements from the flows whose callers still wait.
    pub(super) fn update_health(&mut self, now_ms: u64) {
        if !self.settings.target_health.is_enabled {
            return;
        }
        let table = &self.table;
        self.health.on_tick(
            |key| table.get(key).and_then(wait_for_target),
            self.target.capacity(),
            &mut self.service_time,
            &self.settings.target_health,
            now_ms,
        );
    }
}

/// Returns what the caller of a flow waits for, or `None` if that says nothing about the target.
///
/// A caller gives up a flow that is not open after a much shorter time, and it may be open at another
/// target.
fn wait_for_target(flow: &Flow) -> Option<CallerWait> {
    let is_relevant = match flow.stage {
        FlowStage::Open | FlowStage::Doubted => true,
        FlowStage::Lost => false,
        _ => flow.wait == CallerWait::Answer,
    };
    is_relevant.then_some(flow.wait)
}
