//! The admission policies of the `domain` experiment.

use super::super::target_model::{AdmissionControl, FifoQueue, NoLimit};
use basilstep_core::{
    admission::{Admission, AdmissionAction, AdmissionEvent},
    codes::ResultCode,
    context::Context,
};

/// The admission policy in front of each target of a run.
#[derive(Debug)]
pub enum DomainAdmission {
    /// The product's adaptive limits.
    Limits(Box<Admission>),
    /// A fixed limit.
    Fixed(FifoQueue),
    /// No limit at all.
    Unlimited(NoLimit),
}

impl DomainAdmission {
    /// Returns the weight scaled by the limit in force.
    pub fn ramped_weight(&self, weight: u8) -> u8 {
        match self {
            Self::Limits(admission) => admission.ramped_weight(weight),
            Self::Fixed(_) | Self::Unlimited(_) => weight,
        }
    }

    /// Returns the reason why the target takes no new flows, if there is one. A cold target whose
    /// limit is used up still takes some.
    pub fn flow_refusal_code(&self) -> Option<ResultCode> {
        match self {
            Self::Limits(admission) => admission
                .flow_refusal()
                .filter(|code| *code != ResultCode::Overloaded),
            Self::Fixed(_) | Self::Unlimited(_) => None,
        }
    }
}

impl AdmissionControl for DomainAdmission {
    fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction> {
        match self {
            Self::Limits(admission) => admission.handle(event, context),
            Self::Fixed(admission) => admission.handle(event, context),
            Self::Unlimited(admission) => admission.handle(event, context),
        }
    }

    fn wake_at_ms(&self) -> Option<u64> {
        match self {
            Self::Limits(admission) => admission.wake_at_ms(),
            Self::Fixed(admission) => admission.wake_at_ms(),
            Self::Unlimited(admission) => admission.wake_at_ms(),
        }
    }

    fn is_impaired(&self) -> bool {
        match self {
            Self::Limits(admission) => admission.is_impaired(),
            Self::Fixed(admission) => admission.is_impaired(),
            Self::Unlimited(admission) => admission.is_impaired(),
        }
    }
}
