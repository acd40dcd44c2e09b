//! The input and the result of a run.

use super::policy::Policy;
use basilstep_core::membership::AgentPhase;

/// The input of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The weights of the targets.
    pub weights: Vec<u8>,
    /// The mean number of flows of a target.
    pub flows_per_target: u32,
    /// The placement policy.
    pub policy: Policy,
    /// The interval of the targets' load reports to the balancers.
    pub report_interval_ms: u64,
    /// The target that reports half its flows, if any.
    pub underreporting_target: Option<usize>,
    /// The planned changes of targets.
    pub changes: Vec<Change>,
    /// How long the agent of a joined target ramps up its own weight, if it does.
    pub ramp_s: Option<f64>,
    /// The crash of a target, if any.
    pub crash: Option<Crash>,
    /// The time before the first sample.
    pub warm_up_s: f64,
    /// The time during which samples are taken.
    pub sampled_s: f64,
    /// The seed of the random source.
    pub seed: u64,
}

/// A planned change of one target's phase.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When the change begins.
    pub at_s: f64,
    /// The number of the target.
    pub target: usize,
    /// The new phase.
    pub phase: AgentPhase,
}

/// The crash of one target and its agent.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// When the crash happens.
    pub at_s: f64,
    /// The number of the target.
    pub target: usize,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The samples of the largest load over the mean load.
    pub imbalance: Vec<f64>,
    /// The samples of the first target's flows over the mean of the others.
    pub share_of_first: Vec<f64>,
    /// The opening times of flows that began between a crash and its detection.
    pub open_delays_ms: Vec<f64>,
    /// The number of opened flows.
    pub opened_flows: u64,
    /// The number of flows that no agent accepted.
    pub refused_flows: u64,
    /// The number of packets between agents.
    pub agent_messages: u64,
    /// The number of acknowledgements between agents, which carry no payload.
    pub acknowledgements: u64,
    /// The number of flows opened at a draining target.
    pub opened_while_leaving: u64,
    /// The number of open flows whose packets were steered to another agent after a change.
    pub moved_flows: u64,
    /// The number of open flows that a plain hash without tokens would have moved.
    pub moved_by_hash: u64,
    /// The number of open flows that were checked after changes.
    pub checked_flows: u64,
}
