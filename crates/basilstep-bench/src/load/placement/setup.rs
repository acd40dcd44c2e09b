//! What a run is given and what it measures.

use super::policy::Policy;
use basilstep_core::membership::AgentPhase;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The weights of the targets.
    pub weights: Vec<u8>,
    /// The mean number of flows of a target.
    pub flows_per_target: u32,
    /// Which target a new flow goes to.
    pub policy: Policy,
    /// How often balancers hear of the targets' loads.
    pub report_interval_ms: u64,
    /// The target that reports half its flows.
    pub underreporting_target: Option<usize>,
    /// When targets leave and join.
    pub changes: Vec<Change>,
    /// How long the agent of a target that joins raises its own weight, if it does.
    pub ramp_s: Option<f64>,
    /// When a target crashes, if one does.
    pub crash: Option<Crash>,
    /// The time before the first sample.
    pub warm_up_s: f64,
    /// The time of sampling.
    pub sampled_s: f64,
    /// The seed of the random source.
    pub seed: u64,
}

/// A planned change of one target.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When it begins.
    pub at_s: f64,
    /// The number of the target.
    pub target: usize,
    /// Its new phase.
    pub phase: AgentPhase,
}

/// An unplanned end of one target and its agent.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// When it happens.
    pub at_s: f64,
    /// The number of the target.
    pub target: usize,
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The samples of the largest load over the mean.
    pub imbalance: Vec<f64>,
    /// The samples of the flows of the first target over the mean of the others.
    pub share_of_first: Vec<f64>,
    /// How long flows took to open that began between a crash and its detection.
    pub open_delays_ms: Vec<f64>,
    /// The flows that were opened.
    pub opened_flows: u64,
    /// The flows that no agent took.
    pub refused_flows: u64,
    /// The packets between agents.
    pub agent_messages: u64,
    /// The acknowledgements between agents, which carry no payload.
    pub acknowledgements: u64,
    /// The flows opened at a target that was leaving.
    pub opened_while_leaving: u64,
    /// The open flows whose packets went to another agent after a change.
    pub moved_flows: u64,
    /// The open flows that a plain hash without tokens would have moved.
    pub moved_by_hash: u64,
    /// The open flows that were checked after changes.
    pub checked_flows: u64,
}
