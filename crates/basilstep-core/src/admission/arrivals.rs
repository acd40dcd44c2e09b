//! Admission of arriving requests and connections: run, queued or refused.

use super::{
    Admission, AdmissionAction, CostClass, RequestId,
    in_flight::RunningRequest,
    queue::{DrainRate, QueuedRequest},
};
use crate::{codes::ResultCode, context::Context};

/// The assumed service time before the first answer.
const INITIAL_SERVICE_TIME_MS: f64 = 50.0;

impl Admission {
    pub(super) fn arrive(
        &mut self,
        id: RequestId,
        deadline_ms: u64,
        class: CostClass,
        context: &mut Context,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let now_ms = context.now_ms;
        let waiting = QueuedRequest {
            id,
            class,
            deadline_ms,
            expires_ms: now_ms + u64::from(self.settings.queue_wait_ms),
        };
        if self.draining {
            return self.refuse(id, ResultCode::Draining, context, actions);
        }
        if deadline_ms <= now_ms {
            return self.refuse(id, ResultCode::DeadlineBeforeRun, context, actions);
        }
        if self.queue.len() == 0 && self.may_send(now_ms) {
            return self.run(waiting, now_ms, actions);
        }
        let position = self.queue.position(&waiting);
        let has_space = self.queue.len() < self.settings.queue_limit as usize;
        let rate = self.drain_rate(now_ms);
        if !has_space || !rate.is_feasible_with_margin(position, &waiting, now_ms) {
            return self.refuse(id, self.refusal_code(), context, actions);
        }
        self.queue.push(waiting);
        actions.push(AdmissionAction::Queue { id });
    }

    pub(super) fn offer_connection(
        &mut self,
        context: &mut Context,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let code = if self.draining {
            ResultCode::Draining
        } else if self.free_connections() == 0 {
            ResultCode::ConnectionsFull
        } else {
            self.connections += 1;
            actions.push(AdmissionAction::AcceptConnection);
            return;
        };
        self.refused += 1;
        let retry_after_ms = self.retry_after_ms(context);
        actions.push(AdmissionAction::RefuseConnection {
            code,
            retry_after_ms,
        });
    }

    pub(super) fn dispatch(&mut self, context: &mut Context, actions: &mut Vec<AdmissionAction>) {
        let now_ms = context.now_ms;
        while self.may_send(now_ms) {
            let Some(waiting) = self.queue.pop() else {
                return;
            };
            if waiting.deadline_ms <= now_ms {
                self.refuse(waiting.id, ResultCode::DeadlineBeforeRun, context, actions);
            } else {
                self.run(waiting, now_ms, actions);
            }
        }
    }

    fn run(&mut self, waiting: QueuedRequest, now_ms: u64, actions: &mut Vec<AdmissionAction>) {
        let used = self.in_flight.len() as u32 + 1;
        let running = RunningRequest {
            class: waiting.class,
            sent_ms: now_ms,
            epoch: self.limit.epoch(),
        };
        if used >= self.limit.in_force() {
            self.last_full_ms = now_ms;
        }
        self.in_flight.insert(waiting.id, running);
        actions.push(AdmissionAction::Run { id: waiting.id });
    }

    /// Refuses queued requests that can no longer be answered in time.
    pub(super) fn shorten_queue(
        &mut self,
        context: &mut Context,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.queue.len() == 0 {
            return;
        }
        let now_ms = context.now_ms;
        let refused = if self.draining {
            self.queue.take_all()
        } else {
            let rate = self.drain_rate(now_ms);
            self.queue.take_infeasible(&rate, now_ms)
        };
        for waiting in refused {
            let code = if waiting.deadline_ms <= now_ms {
                ResultCode::DeadlineBeforeRun
            } else {
                self.refusal_code()
            };
            self.refuse(waiting.id, code, context, actions);
        }
    }

    fn refuse(
        &mut self,
        id: RequestId,
        code: ResultCode,
        context: &mut Context,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.refused += 1;
        let retry_after_ms = self.retry_after_ms(context);
        actions.push(AdmissionAction::Refuse {
            id,
            code,
            retry_after_ms,
        });
    }

    fn refusal_code(&self) -> ResultCode {
        if self.draining {
            ResultCode::Draining
        } else if self.reachability.is_unreachable() {
            ResultCode::TargetUnreachable
        } else {
            ResultCode::Overloaded
        }
    }

    /// Reserves a retry time, assuming the throughput at a limit halfway between the current and
    /// the full one.
    fn retry_after_ms(&mut self, context: &mut Context) -> u32 {
        let slots = f64::from(self.limit.in_force() + self.settings.full_limit()) / 2.0;
        let per_second = slots * 1_000.0 / self.service_ms();
        self.retry_schedule
            .reserve(&self.settings, per_second, context)
    }

    fn drain_rate(&self, now_ms: u64) -> DrainRate {
        DrainRate {
            starts_after_ms: self.pause_left_ms(now_ms),
            service_ms: self.service_ms(),
            slots: self.limit.in_force(),
        }
    }

    fn pause_left_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.reachability.paused_until_ms();
        until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms))
    }

    fn service_ms(&self) -> f64 {
        self.detector
            .mean_latency_ms()
            .unwrap_or(INITIAL_SERVICE_TIME_MS)
    }

    fn may_send(&self, now_ms: u64) -> bool {
        !self.draining
            && !self.is_unresponsive
            && self.pause_left_ms(now_ms) == 0
            && self.free_slots() > 0
    }
}
