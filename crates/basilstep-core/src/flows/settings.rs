use super::{handshake::FIRST_SYN_INTERVAL_MS, wire::WireVersion};
use crate::hedging::HedgingSettings;
use serde::{Deserialize, Serialize};

/// The settings of steering without tokens, by duty.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowSettings {
    /// How agents and balancers show that they are running, and when one counts as silent.
    pub liveness: LivenessSettings,
    /// SYNs that no agent confirms or accepts.
    pub syns: SynSettings,
    /// Searches for the holder of a flow, and when their result may be trusted.
    pub searches: SearchSettings,
    /// Which agent a new flow is sent to.
    pub placement: FlowPlacementSettings,
    /// Which new flows an agent accepts.
    pub work_limit: WorkLimitSettings,
    /// SYNs that wait at an agent for room at its target.
    pub admission_queue: AdmissionQueueSettings,
    /// How the routes' priorities share the room at a target.
    pub priorities: PrioritySettings,
    /// How slow and failing targets are found and avoided.
    pub target_health: TargetHealthSettings,
    /// Second offers of SYNs that are confirmed late.
    pub hedging: HedgingSettings,
    /// What a balancer remembers of the holders of flows.
    pub hints: HintSettings,
    /// What an agent knows of the flows of its target.
    pub table: FlowTableSettings,
    /// Which balancers are told the holder of a flow.
    pub advertisements: AdvertisementSettings,
    /// Which balancers ask the store for the operators' settings.
    pub settings_watch: SettingsWatchSettings,
    /// Which versions of frames and settings are spoken.
    pub wire: WireSettings,
}

/// How agents and balancers show that they are running, and when one counts as silent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LivenessSettings {
    /// The interval between two reports of an agent, and between two heartbeats of a balancer.
    pub report_interval_ms: u64,
    /// The time since its last report after which an agent gets no new flows, if it sends every
    /// report here.
    pub suspect_after_ms: u64,
    /// The time since an agent's last report after which its idempotent flows are reset, if it
    /// sends every report here.
    pub reset_after_ms: u64,
    /// The time since its last report after which an agent is forgotten, unless its target may hold
    /// flows for longer.
    pub forget_after_ms: u64,
    /// The number of balancers up to which each gets every report and heartbeat.
    pub pace_all: usize,
    /// The maximum number of report intervals between two heartbeats to a balancer of another domain
    /// that relies on them.
    pub slowest_pace: u16,
    /// The number of balancers of other domains that get a report, or a heartbeat on which they do
    /// not rely, in one report interval.
    pub idle_per_interval: usize,
    /// The maximum number of report intervals between two of these.
    pub slowest_idle_pace: u16,
}

impl Default for LivenessSettings {
    fn default() -> Self {
        Self {
            report_interval_ms: 250,
            suspect_after_ms: 800,
            reset_after_ms: 1_500,
            forget_after_ms: 20_000,
            pace_all: 32,
            slowest_pace: 4,
            idle_per_interval: 8,
            slowest_idle_pace: 32,
        }
    }
}

/// SYNs that no agent confirms or accepts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SynSettings {
    /// How long a SYN may stay unconfirmed before its next retransmission goes to another agent.
    pub confirm_within_ms: u64,
    /// How long an agent that did not confirm a SYN gets no new flows.
    pub doubt_ms: u64,
    /// The maximum number of SYNs that wait at a balancer for a first agent or route.
    pub pending_limit: usize,
    /// How long all agents of a service must have refused new flows for load before callers are
    /// refused at once.
    pub refuse_after_ms: u64,
}

impl Default for SynSettings {
    fn default() -> Self {
        Self {
            confirm_within_ms: 150,
            doubt_ms: 500,
            pending_limit: 1_024,
            refuse_after_ms: FIRST_SYN_INTERVAL_MS,
        }
    }
}

/// Searches for the holder of a flow, and when their result may be trusted.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
pub struct SearchSettings {
    /// How long a search for the holder of a flow keeps the answers of agents.
    pub keep_ms: u64,
    /// How long a balancer must have been running before it resets idempotent flows that nobody
    /// holds.
    pub settle_ms: u64,
    /// How long a balancer must have heard from agents before it resets flows that nobody holds and
    /// whose requests may not be repeated.
    pub settle_non_idempotent_ms: u64,
    /// How long a balancer that has just started waits for another one's count of agents.
    pub roster_wait_ms: u64,
}

impl Default for SearchSettings {
    fn default() -> Self {
        Self {
            keep_ms: 1_000,
            settle_ms: 300,
            settle_non_idempotent_ms: 1_500,
            roster_wait_ms: 3_000,
        }
    }
}

/// Which agent a new flow is sent to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowPlacementSettings {
    /// The number of agents of a service up to which all are compared for a new flow.
    pub compare_all: usize,
    /// How many agents of the own domain, and of the others, are compared if there are more.
    pub compare_drawn: usize,
    /// The cost of a flow to another domain in placement, in requests at work.
    pub other_domain_cost: f64,
    /// The load of an open flow in placement, in requests at work.
    pub open_flow_load: f64,
    /// The factor by which a cold target is slower.
    pub cold_slowdown: f64,
}

impl Default for FlowPlacementSettings {
    fn default() -> Self {
        Self {
            compare_all: 8,
            compare_drawn: 2,
            other_domain_cost: 3.0,
            open_flow_load: 0.1,
            cold_slowdown: 1.6,
        }
    }
}

/// Which new flows an agent accepts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkLimitSettings {
    /// The share of a request's latency goal that queueing and processing at the target may take on
    /// average; single requests take several times as long.
    pub goal_share: f64,
    /// The lower bound of the requests at work at which new flows are refused, as a multiple of the
    /// capacity.
    pub min_rounds: f64,
    /// The upper bound of the requests at work at which new flows are refused, as a multiple of the
    /// capacity.
    pub max_rounds: f64,
    /// The multiple of the capacity while the target's service time or the latency goal is unknown.
    pub default_rounds: f64,
    /// The share of the permitted rate of a cold target that is used.
    pub cold_rate_share: f64,
    /// How long a flow counts as work if its caller does not complete the handshake.
    pub opening_wait_ms: u64,
    /// How long an unanswered request counts as work.
    pub answer_wait_ms: u64,
}

impl Default for WorkLimitSettings {
    fn default() -> Self {
        Self {
            goal_share: 0.4,
            min_rounds: 1.5,
            max_rounds: 4.0,
            default_rounds: 2.0,
            cold_rate_share: 0.9,
            opening_wait_ms: 300,
            answer_wait_ms: 3_000,
        }
    }
}

/// SYNs that wait at an agent for room at its target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionQueueSettings {
    /// Whether SYNs may wait at an agent, where routes to its service have different priorities.
    pub is_enabled: bool,
    /// The share of what is left of a request's latency goal that its SYN may wait.
    pub max_wait_goal_share: f64,
    /// How long a SYN may wait; shorter than `syns.confirm_within_ms`.
    pub max_wait_ms: u64,
    /// The maximum number of SYNs that wait at an agent.
    pub limit: usize,
    /// How many agents a SYN is offered to if they refuse it for load.
    pub max_offers: usize,
}

impl Default for AdmissionQueueSettings {
    fn default() -> Self {
        Self {
            is_enabled: true,
            max_wait_goal_share: 0.25,
            max_wait_ms: 140,
            limit: 64,
            max_offers: 8,
        }
    }
}

/// How the routes' priorities share the room at a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PrioritySettings {
    /// The share of the requests at work that may at most be reserved for higher priorities.
    pub max_reserved_share: f64,
}

impl Default for PrioritySettings {
    fn default() -> Self {
        Self {
            max_reserved_share: 0.5,
        }
    }
}

/// How slow and failing targets are found and avoided.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetHealthSettings {
    /// Whether placement takes the speed and the failures of targets into account.
    pub is_enabled: bool,
    /// The multiple of the service's median service time from which a target counts as slow.
    pub slow_factor: f64,
    /// The maximum slowdown that placement takes into account.
    pub max_slowdown: f64,
    /// The share of a service's agents that may at most count as slow or avoided.
    pub max_avoided_share: f64,
    /// The share of unanswered requests, in thousandths, from which a target is avoided.
    pub failure_permille: u16,
    /// The interval at which the balancers together send a new flow to a target that they avoid.
    pub probe_interval_ms: u64,
}

impl TargetHealthSettings {
    /// The difference of two service times below which neither is slower: reports carry whole
    /// milliseconds, and processes are scheduled late by a few.
    const MIN_DIFFERENCE_MS: f64 = 5.0;

    /// Returns whether a service time is slow compared to another one.
    pub(super) fn is_slower(&self, service_time_ms: f64, than_ms: f64) -> bool {
        service_time_ms >= than_ms * self.slow_factor
            && service_time_ms - than_ms >= Self::MIN_DIFFERENCE_MS
    }
}

impl Default for TargetHealthSettings {
    fn default() -> Self {
        Self {
            is_enabled: false,
            slow_factor: 2.0,
            max_slowdown: 8.0,
            max_avoided_share: 0.4,
            failure_permille: 200,
            probe_interval_ms: 500,
        }
    }
}

/// What a balancer remembers of the holders of flows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HintSettings {
    /// How long a balancer keeps a hint after the flow's last packet here, unless flows live for
    /// longer.
    pub idle_ms: u64,
    /// The maximum number of hints that a balancer keeps.
    pub limit: usize,
}

impl Default for HintSettings {
    fn default() -> Self {
        Self {
            idle_ms: 90_000,
            limit: 131_072,
        }
    }
}

/// What an agent knows of the flows of its target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowTableSettings {
    /// How long an agent keeps a flow that both ends closed, or whose caller never completed the
    /// handshake.
    pub linger_ms: u64,
    /// How long before its agent a target may have started and still count as started together with
    /// it.
    pub witness_ms: u64,
}

impl Default for FlowTableSettings {
    fn default() -> Self {
        Self {
            linger_ms: 5_000,
            witness_ms: 250,
        }
    }
}

/// Which balancers are told the holder of a flow.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvertisementSettings {
    /// The number of balancers up to which each flow is advertised to all of them.
    pub tell_all: usize,
    /// How many balancers of the caller's domain get the advertisement if there are more.
    pub told_balancers: usize,
}

impl Default for AdvertisementSettings {
    fn default() -> Self {
        Self {
            tell_all: 32,
            told_balancers: 8,
        }
    }
}

/// Which balancers ask the store for the operators' settings.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SettingsWatchSettings {
    /// How many balancers watch the store; the others rely on their heartbeats.
    pub watchers: usize,
}

impl Default for SettingsWatchSettings {
    fn default() -> Self {
        Self { watchers: 2 }
    }
}

/// Which versions of frames and settings are spoken.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WireSettings {
    /// The highest version that the process reads and writes.
    pub highest_version: WireVersion,
}
