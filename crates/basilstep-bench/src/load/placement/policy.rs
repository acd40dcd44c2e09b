//! The compared policies for the placement of a new flow.

use super::fleet::{Fleet, Target};
use basilstep_core::{
    address::AgentAddress,
    context::Context,
    wire::{Candidates, MAX_CANDIDATES},
};
use rand::RngExt;
use serde::Serialize;

/// Selects the target of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The first candidate of weighted rendezvous hashing.
    PlainHash,
    /// The target with the lowest last report relative to its weight.
    LeastReported,
    /// The candidate of two with the lower last report relative to its weight.
    TwoReported,
    /// The less loaded of two candidates, as decided by their agents.
    TwoExact,
    /// The least loaded of three candidates, as decided by their agents; the product's policy.
    ThreeExact,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::PlainHash,
        Self::LeastReported,
        Self::TwoReported,
        Self::TwoExact,
        Self::ThreeExact,
    ];

    /// Returns the name in figures and plots.
    pub const fn name(self) -> &'static str {
        match self {
            Self::PlainHash => "plain hash",
            Self::LeastReported => "least reported load",
            Self::TwoReported => "two choices by reports",
            Self::TwoExact => "two choices at the agents",
            Self::ThreeExact => "three choices at the agents",
        }
    }

    /// Returns how many candidates a balancer draws.
    pub const fn candidates(self) -> usize {
        match self {
            Self::PlainHash | Self::LeastReported => 1,
            Self::TwoReported | Self::TwoExact => 2,
            Self::ThreeExact => MAX_CANDIDATES,
        }
    }

    /// Returns the agent that must take the flow, or `None` when the agents decide.
    pub fn choose(
        self,
        fleet: &Fleet,
        candidates: Candidates,
        context: &mut Context,
    ) -> Option<AgentAddress> {
        match self {
            Self::PlainHash => Some(candidates.first),
            Self::LeastReported => least_reported(fleet, context),
            Self::TwoReported => Some(less_reported(fleet, candidates)),
            Self::TwoExact | Self::ThreeExact => None,
        }
    }
}

fn least_reported(fleet: &Fleet, context: &mut Context) -> Option<AgentAddress> {
    let targets = &fleet.targets;
    let start = context.rng.random_range(0..targets.len());
    let rotated = targets[start..].iter().chain(&targets[..start]);
    rotated
        .filter(|target| target.is_serving())
        .min_by(|one, other| {
            let other = other.relative_reported_flows();
            one.relative_reported_flows().total_cmp(&other)
        })
        .map(|target| target.record.address)
}

fn less_reported(fleet: &Fleet, candidates: Candidates) -> AgentAddress {
    let Some(second) = candidates.second else {
        return candidates.first;
    };
    let reported = |agent| {
        let target: &Target = &fleet.targets[Fleet::number_of(agent)];
        target.relative_reported_flows()
    };
    if reported(second) < reported(candidates.first) {
        return second;
    }
    candidates.first
}
