//! New flows at a target without capacity: which SYNs are refused, which wait, and when they go on.

use super::{AgentFlows, CallerVerdict, deliver};
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        agent::{
            admission::AdmissionInputs,
            admission_queue::{Position, QueueOutcome, QueuedSyn, ReleasedSyn, max_wait_ms},
            table::{Flow, FlowStage},
        },
        frame::ForwardHeader,
        key::FlowKey,
        segment::Segment,
    },
};
use std::mem;

/// The share of its longest wait that a SYN may be expected to wait when it is queued.
///
/// At 1, a sustained overload kept the queue so long that 28% of the SYNs expired in it.
const EXPECTED_WAIT_SHARE: f64 = 0.5;

impl AgentFlows {
    /// Queues a SYN for which [`Self::on_packet`] has returned [`CallerVerdict::Queue`]; returns
    /// whether it is not a copy of a SYN that is queued already.
    ///
    /// If the queue is full, the last SYN of the lowest level is returned to its balancer by the
    /// next [`Self::take_released`].
    pub fn queue_syn(
        &mut self,
        header: &ForwardHeader,
        segment: &Segment,
        packet: &[u8],
        ctx: &Context,
    ) -> bool {
        let syn = QueuedSyn {
            flow: segment.flow_of_caller(),
            header: *header,
            packet: packet.to_vec(),
            queued_ms: ctx.now_ms,
            deadline_ms: ctx.now_ms + max_wait_ms(header, segment, &self.settings),
        };
        let is_new = !self.queue.contains(&syn.flow);
        let limit = self.settings.admission_queue.limit;
        if let Some(evicted) = self.queue.insert(syn, limit) {
            let verdict = CallerVerdict::Return {
                code: ResultCode::Overloaded,
            };
            let released = evicted.release(verdict, QueueOutcome::Evicted, ctx.now_ms);
            self.released.push(released);
        }
        is_new
    }

    /// Takes the SYNs that leave the admission queue now, to be sent to the target or returned.
    ///
    /// To be called after each event that may change whether the target has capacity, and on ticks.
    pub fn take_released(&mut self, ctx: &Context) -> Vec<ReleasedSyn> {
        if !self.queue.is_empty() {
            for position in self.queue.positions() {
                self.release_if_due(position, ctx);
            }
        }
        mem::take(&mut self.released)
    }

    /// Returns how many SYNs are in the admission queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns all queued SYNs with `code` by the next [`Self::take_released`].
    pub(super) fn withdraw_queue(&mut self, code: ResultCode, now_ms: u64) {
        for syn in self.queue.take_all() {
            let verdict = CallerVerdict::Return { code };
            self.released
                .push(syn.release(verdict, QueueOutcome::Withdrawn, now_ms));
        }
    }

    /// Decides about the SYN of a flow that the target does not hold.
    pub(super) fn on_new_flow(
        &mut self,
        key: FlowKey,
        header: &ForwardHeader,
        segment: &Segment,
        ctx: &Context,
    ) -> CallerVerdict {
        if self.queue.contains(&key) {
            return CallerVerdict::Queue;
        }
        let level = header.priority_level;
        if header.priority_levels > 1 {
            let work_limit = self.work_limit(header.latency_goal_ms);
            self.priority_limit
                .record_asked(level, work_limit, ctx.now_ms);
        }
        let mut refusal = self.refusal(header, ctx);
        if refusal.is_none() && self.queue.count_ahead(level) > 0 {
            // It must not overtake those that have waited longer.
            refusal = Some(ResultCode::Overloaded);
        }
        match refusal {
            None => self.admit(key, header, ctx),
            Some(ResultCode::Overloaded) if self.may_queue(header, segment, ctx) => {
                CallerVerdict::Queue
            }
            Some(code) => CallerVerdict::Return { code },
        }
    }

    fn release_if_due(&mut self, position: Position, ctx: &Context) {
        let Some(syn) = self.queue.get(position) else {
            return;
        };
        let (key, header) = (syn.flow, syn.header);
        let is_expired = ctx.now_ms >= syn.deadline_ms;
        let (verdict, outcome) = match self.refusal(&header, ctx) {
            None if !is_expired => (self.admit(key, &header, ctx), QueueOutcome::Admitted),
            Some(ResultCode::Overloaded) if !is_expired => return,
            None | Some(ResultCode::Overloaded) => {
                let code = ResultCode::Overloaded;
                (CallerVerdict::Return { code }, QueueOutcome::Expired)
            }
            Some(code) => (CallerVerdict::Return { code }, QueueOutcome::Withdrawn),
        };
        if let Some(syn) = self.queue.take(position) {
            self.released
                .push(syn.release(verdict, outcome, ctx.now_ms));
        }
    }

    /// Returns the reason for refusing a new flow.
    ///
    /// For a queued SYN the latency goal is what was left when it was queued. If its wait counted
    /// too, it would be admitted only with fewer requests at work than a later one, which would
    /// overtake it until it expires; the share of the goal that it may wait leaves enough of it.
    fn refusal(&mut self, header: &ForwardHeader, ctx: &Context) -> Option<ResultCode> {
        let inputs = AdmissionInputs {
            at_work: self.table.at_work(),
            work_limit: self.level_limit(header, ctx),
            open_flows: self.table.live(),
            is_domain_out: self.is_domain_out,
            is_stopping: self.is_stopping,
        };
        self.admission.refusal(
            &self.target,
            self.limits.as_ref(),
            inputs,
            &self.settings,
            ctx.now_ms,
        )
    }

    fn admit(&mut self, key: FlowKey, header: &ForwardHeader, ctx: &Context) -> CallerVerdict {
        self.admission.record_admitted(ctx.now_ms);
        if header.priority_levels > 1 {
            self.priority_limit
                .record_admitted(header.priority_level, ctx.now_ms);
        }
        if self.table.get(&key).is_some_and(Flow::is_held) {
            // The target decides whether the earlier flow with this key has ended.
            self.table.update(&key, |flow| {
                flow.syn_arrived_ms = ctx.now_ms;
                flow.origin = header.origin;
                flow.origin_domain = header.origin_domain;
            });
            return deliver(header);
        }
        let flow = Flow::new(
            FlowStage::Offered,
            header.origin,
            header.origin_domain,
            ctx.now_ms,
        );
        self.table.insert(key, flow);
        deliver(header)
    }

    /// Returns whether a SYN that was refused for load may wait and can probably start in time.
    fn may_queue(&mut self, header: &ForwardHeader, segment: &Segment, ctx: &Context) -> bool {
        let is_allowed = header.may_wait
            && header.priority_levels > 1
            && self.settings.admission_queue.is_enabled;
        if !is_allowed {
            return false;
        }
        let max_wait_ms = max_wait_ms(header, segment, &self.settings);
        let expected_limit_ms = max_wait_ms as f64 * EXPECTED_WAIT_SHARE;
        max_wait_ms > 0 && self.expected_wait_ms(header, ctx) <= expected_limit_ms
    }

    /// Returns how long a new SYN would probably wait in the queue, while higher levels get what
    /// they ask for; infinite if that is all of the target's capacity.
    fn expected_wait_ms(&mut self, header: &ForwardHeader, ctx: &Context) -> f64 {
        let limit = self.level_limit(header, ctx);
        let surplus = (self.table.at_work() + 1).saturating_sub(limit);
        let ahead = self.queue.count_ahead(header.priority_level);
        let service_time_ms = self
            .service_time
            .expected_ms(header.latency_goal_ms, &self.settings);
        let higher_share = self
            .priority_limit
            .higher_share(header.priority_level, ctx.now_ms);
        let capacity = f64::from(self.target.capacity()) * (1.0 - higher_share);
        (surplus + ahead) as f64 * service_time_ms / capacity
    }

    /// Returns how many requests may be at work when a flow of the header's priority is admitted.
    fn level_limit(&mut self, header: &ForwardHeader, ctx: &Context) -> usize {
        let work_limit = self.work_limit(header.latency_goal_ms);
        if header.priority_levels <= 1 {
            return work_limit;
        }
        self.priority_limit.limit(
            header.priority_level,
            work_limit,
            self.target.capacity(),
            self.settings.priorities,
            ctx.now_ms,
        )
    }

    fn work_limit(&self, goal_ms: u16) -> usize {
        self.service_time
            .work_limit(&self.target, goal_ms, &self.settings)
    }
}
