use serde::{Deserialize, Serialize};

/// Tunables of steering without tokens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowSettings {
    /// How often an agent reports to balancers, and balancers to each other.
    pub report_interval_ms: u64,
    /// How long after its last report an agent gets no new flows, if each report comes here.
    pub suspect_after_ms: u64,
    /// How long after its last report an agent's idempotent flows are reset, if each comes here.
    pub reset_after_ms: u64,
    /// How long after its last report an agent is forgotten.
    pub forget_after_ms: u64,
    /// How long an opening packet may stay unconfirmed before its next copy goes elsewhere.
    pub confirm_within_ms: u64,
    /// How long an agent that did not confirm an opening packet gets no new flows.
    pub doubt_ms: u64,
    /// How long a search for the holder of a flow counts each answer.
    pub search_ms: u64,
    /// How long a balancer must have been up before it resets idempotent flows that nobody holds.
    pub settle_ms: u64,
    /// The same for flows whose requests may not be repeated.
    pub settle_non_idempotent_ms: u64,
    /// How long a balancer that has just started waits for another one's count of agents.
    pub roster_wait_ms: u64,
    /// Up to how many agents of a service are all compared for a new flow.
    pub compare_all: usize,
    /// How many agents of the own domain, and of others, are compared if there are more.
    pub compare_drawn: usize,
    /// What a flow to another domain costs in placement, in requests at work.
    pub other_domain_cost: f64,
    /// What an open flow counts in placement, in requests at work.
    pub open_flow_load: f64,
    /// How much slower a cold target works.
    pub cold_slowdown: f64,
    /// The share of a request's latency goal that waiting and work at the target may take.
    pub goal_share: f64,
    /// The fewest requests at work before new flows are refused, as a multiple of the capacity.
    pub min_rounds: f64,
    /// The most requests at work before new flows are refused, as a multiple of the capacity.
    pub max_rounds: f64,
    /// The multiple while nothing is known about the target's speed.
    pub default_rounds: f64,
    /// How much of the permitted rate of a cold target is used.
    pub cold_rate_share: f64,
    /// How long a balancer keeps a hint after the flow's last packet here; flows that last longer may
    /// be discarded.
    pub hint_idle_ms: u64,
    /// The most hints that a balancer keeps.
    pub hint_limit: usize,
    /// How long a flow that its caller does not go on to open counts as work.
    pub opening_wait_ms: u64,
    /// How long a request without an answer counts as work.
    pub answer_wait_ms: u64,
    /// How long an agent keeps a flow after its last packet.
    pub flow_idle_ms: u64,
    /// How long an agent keeps a flow that both ends closed, or that its caller never opened.
    pub linger_ms: u64,
    /// Up to how many balancers are all told where each flow is.
    pub tell_all: usize,
    /// How many balancers of the caller's domain are told if there are more.
    pub told_balancers: usize,
    /// Up to how many balancers each get every report and beat.
    pub pace_all: usize,
    /// The most report intervals between two reports or beats to a balancer of another domain.
    pub slowest_pace: u16,
    /// How long before its agent a target may have started and still count as started with it.
    pub witness_ms: u64,
    /// How long an agent that was restarted may not know some flows: until idle ones are discarded.
    pub relearn_ms: u64,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            report_interval_ms: 250,
            suspect_after_ms: 800,
            reset_after_ms: 1_500,
            forget_after_ms: 20_000,
            confirm_within_ms: 150,
            doubt_ms: 500,
            search_ms: 1_000,
            settle_ms: 300,
            settle_non_idempotent_ms: 1_500,
            roster_wait_ms: 3_000,
            compare_all: 8,
            compare_drawn: 2,
            other_domain_cost: 3.0,
            open_flow_load: 0.1,
            cold_slowdown: 1.6,
            goal_share: 0.7,
            min_rounds: 1.5,
            max_rounds: 4.0,
            default_rounds: 2.0,
            cold_rate_share: 0.9,
            hint_idle_ms: 90_000,
            hint_limit: 131_072,
            opening_wait_ms: 300,
            answer_wait_ms: 3_000,
            flow_idle_ms: 30_000,
            linger_ms: 5_000,
            tell_all: 32,
            told_balancers: 8,
            pace_all: 32,
            slowest_pace: 4,
            witness_ms: 250,
            relearn_ms: 20_000,
        }
    }
}
