use super::target::TargetState;
use crate::{
    codes::ResultCode,
    flows::{frame::TargetPhase, limits::ServiceLimits, settings::FlowSettings},
};
use std::collections::VecDeque;

/// The span over which the rate of a cold target is limited.
const RATE_WINDOW_MS: u64 = 1_000;

/// How much the operators' bounds allow beyond the rate that a cold target bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// The factor on the rate.
    pub overage: f64,
    /// Requests on top of it.
    pub slack: f64,
}

/// What the gate looks at besides the target.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Requests that the target works on or has queued.
    pub at_work: usize,
    /// The most requests at work with which a new one is still answered in time.
    pub work_limit: usize,
    /// Flows that the target holds.
    pub open_flows: usize,
    /// Operators have taken the agent's domain out.
    pub is_domain_out: bool,
    /// The agent is stopping.
    pub is_stopping: bool,
}

/// Decides whether a new flow reaches the target.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    allowance: ColdAllowance,
    admitted_ms: VecDeque<u64>,
}

impl AdmissionControl {
    /// Creates a gate that has let nothing through.
    pub const fn new(allowance: ColdAllowance) -> Self {
        Self {
            allowance,
            admitted_ms: VecDeque::new(),
        }
    }

    /// Tells why a new flow is refused, if it is.
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

    /// Notes that a new flow went to the target.
    pub fn record_admitted(&mut self, now_ms: u64) {
        self.admitted_ms.push_back(now_ms);
    }

    /// Returns how many more new flows the target bears within this second.
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
        let used = (allowed * settings.cold_rate_share).floor();
        (used as usize)
            .saturating_sub(self.admitted_ms.len())
            .min(usize::from(u16::MAX)) as u16
    }
}
