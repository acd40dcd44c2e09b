use super::target::TargetState;
use crate::{
    codes::ResultCode,
    flows::{frame::TargetPhase, limits::ServiceLimits, settings::FlowSettings},
};
use std::collections::VecDeque;

/// The sliding window over which the rate of a cold target is limited.
const RATE_WINDOW_MS: u64 = 1_000;

/// The tolerance that the operators' limits grant on top of the request rate of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// The factor on the configured rate.
    pub overage: f64,
    /// Additional requests on top of the scaled rate.
    pub slack: f64,
}

/// The inputs of an admission decision, apart from the target and its limits.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Requests that the target is processing or has queued.
    pub at_work: usize,
    /// How many requests may be at work, the new one included, for it to meet its latency goal.
    pub work_limit: usize,
    /// Flows that the target holds.
    pub open_flows: usize,
    /// Operators have taken the agent's domain out.
    pub is_domain_out: bool,
    /// The agent is shutting down.
    pub is_stopping: bool,
}

/// Decides whether a new flow is admitted to the target.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    allowance: ColdAllowance,
    admitted_ms: VecDeque<u64>,
}

impl AdmissionControl {
    /// Creates the state of a target that has not been sent any flow.
    pub const fn new(allowance: ColdAllowance) -> Self {
        Self {
            allowance,
            admitted_ms: VecDeque::new(),
        }
    }

    /// Returns the reason for refusing a new flow, or `None` if it is admitted.
    pub fn refusal(
        &mut self,
        target: &TargetState,
        limits: Option<&ServiceLimits>,
        inputs: AdmissionInputs,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> Option<ResultCode> {
        if inputs.is_stopping {
            return Some(ResultCode::Draining);
        }
        match target.phase() {
            TargetPhase::Draining => return Some(ResultCode::Draining),
            TargetPhase::Unknown | TargetPhase::Down => return Some(ResultCode::TargetUnreachable),
            TargetPhase::Serving => {}
        }
        if inputs.is_domain_out {
            return Some(ResultCode::DomainOut);
        }
        let limits = limits.copied().unwrap_or_default();
        if limits.max_flows > 0 && inputs.open_flows >= limits.max_flows as usize {
            return Some(ResultCode::ConnectionsFull);
        }
        if inputs.at_work >= inputs.work_limit {
            return Some(ResultCode::Overloaded);
        }
        if self.room(target, Some(&limits), settings, now_ms) == 0 {
            return Some(ResultCode::TargetCold);
        }
        None
    }

    /// Records that a new flow was sent to the target.
    pub fn record_admitted(&mut self, now_ms: u64) {
        self.admitted_ms.push_back(now_ms);
    }

    /// Returns how many more new flows the target may get within the current window.
    pub fn room(
        &mut self,
        target: &TargetState,
        limits: Option<&ServiceLimits>,
        settings: &FlowSettings,
        now_ms: u64,
    ) -> u16 {
        while self
            .admitted_ms
            .front()
            .is_some_and(|admitted| admitted + RATE_WINDOW_MS < now_ms)
        {
            self.admitted_ms.pop_front();
        }
        let Some(limits) = limits.filter(|limits| limits.warmup_per_s > 0.0) else {
            return u16::MAX;
        };
        if !target.is_cold(now_ms) {
            return u16::MAX;
        }
        let allowed = limits.warmup_per_s * self.allowance.overage + self.allowance.slack;
        let used = (allowed * settings.work_limit.cold_rate_share).floor();
        (used as usize)
            .saturating_sub(self.admitted_ms.len())
            .min(usize::from(u16::MAX)) as u16
    }
}
