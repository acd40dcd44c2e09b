//! Admission, or none.

use super::super::target_model::{FifoQueue, Gate, NoLimit};
use basilstep_core::{
    admission::{Action, Admission, Event},
    codes::ResultCode,
    context::Context,
};

/// What stands before the targets of one run.
#[derive(Debug)]
pub enum DomainGate {
    /// The limits of the agent.
    Limits(Box<Admission>),
    /// A fixed limit.
    Fixed(FifoQueue),
    /// No limit.
    Open(NoLimit),
}

impl DomainGate {
    /// Returns the weight in proportion to the limit in force.
    pub fn ramped_weight(&self, weight: u8) -> u8 {
        match self {
            Self::Limits(admission) => admission.ramped_weight(weight),
            Self::Fixed(_) | Self::Open(_) => weight,
        }
    }

    /// Returns why the target takes no new flow, if so; one that is cold and used up takes some.
    pub fn closed(&self) -> Option<ResultCode> {
        match self {
            Self::Limits(admission) => admission
                .flow_refusal()
                .filter(|code| *code != ResultCode::Overloaded),
            Self::Fixed(_) | Self::Open(_) => None,
        }
    }
}

impl Gate for DomainGate {
    fn handle(&mut self, event: Event, context: &mut Context) -> Vec<Action> {
        match self {
            Self::Limits(admission) => admission.handle(event, context),
            Self::Fixed(gate) => gate.handle(event, context),
            Self::Open(gate) => gate.handle(event, context),
        }
    }

    fn wake_at_ms(&self) -> Option<u64> {
        match self {
            Self::Limits(admission) => admission.wake_at_ms(),
            Self::Fixed(gate) => gate.wake_at_ms(),
            Self::Open(gate) => gate.wake_at_ms(),
        }
    }

    fn is_impaired(&self) -> bool {
        match self {
            Self::Limits(admission) => admission.is_impaired(),
            Self::Fixed(gate) => gate.is_impaired(),
            Self::Open(gate) => gate.is_impaired(),
        }
    }
}
