//! Summarizes runs to rows of figures.

use super::{policy::Policy, setup::Outcome};
use serde::Serialize;

/// The figures of one policy in one case, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The weights of the targets.
    pub weights: Vec<u8>,
    /// The mean number of flows of a target.
    pub flows_per_target: u32,
    /// The placement policy.
    pub policy: Policy,
    /// The mean over all samples of the largest load over the mean load.
    pub mean: f64,
    /// The 99th percentile of the largest load over the mean load.
    pub p99: f64,
    /// The maximum of the largest load over the mean load.
    pub worst: f64,
    /// The packets between agents per new flow.
    pub agent_messages_per_flow: f64,
    /// The acknowledgements between agents per new flow, which carry no payload.
    pub acknowledgements_per_flow: f64,
}

impl Row {
    /// Returns whether the row belongs to a case.
    pub fn matches_case(&self, weights: &[u8], flows_per_target: u32, policy: Policy) -> bool {
        let is_same_size = self.weights == weights && self.flows_per_target == flows_per_target;
        is_same_size && self.policy == policy
    }
}

/// Summarizes the runs of one policy in one case.
pub fn summarize(
    weights: &[u8],
    flows_per_target: u32,
    policy: Policy,
    outcomes: &[Outcome],
) -> Row {
    let samples: Vec<f64> = outcomes
        .iter()
        .flat_map(|outcome| outcome.imbalance.iter().copied())
        .collect();
    let messages: u64 = outcomes.iter().map(|outcome| outcome.agent_messages).sum();
    let acknowledgements: u64 = outcomes
        .iter()
        .map(|outcome| outcome.acknowledgements)
        .sum();
    let flows: u64 = outcomes.iter().map(|outcome| outcome.opened_flows).sum();
    Row {
        weights: weights.to_vec(),
        flows_per_target,
        policy,
        mean: round(samples.iter().sum::<f64>() / samples.len() as f64),
        p99: round(percentile(&samples, 0.99)),
        worst: round(percentile(&samples, 1.0)),
        agent_messages_per_flow: round(messages as f64 / flows as f64),
        acknowledgements_per_flow: round(acknowledgements as f64 / flows as f64),
    }
}

/// Returns a percentile of the samples; `share` is 0.99 for the 99th.
pub fn percentile(samples: &[f64], share: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let place = (share * last as f64).ceil() as usize;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

/// Rounds to thousandths.
pub fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
