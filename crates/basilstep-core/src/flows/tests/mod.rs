//! Tests of steering without tokens, and their shared helpers.

mod admission_queue;
mod agent;
mod agent_restarts;
mod balancer;
mod balancer_list;
mod cold_start;
mod configuration;
mod discovery;
mod explain;
mod fleet;
mod flow_evidence;
mod flow_limits;
mod flow_model;
mod frames;
mod hedging;
mod hedging_tail;
mod load_model;
mod long_flows;
mod offers;
mod overload;
mod priority_load;
mod recent_keys;
mod refusals;
mod restart;
mod reused_keys;
mod route_history;
mod routes;
mod send_schedule;
mod settings_spread;
mod settings_watch;
mod stale_state;
mod store_era;
mod store_outage;
mod target;
mod target_health;
mod target_incarnations;
mod target_ranking;
mod target_speed;
mod versions;
mod young_balancer;

use super::{
    AgentFlows, AgentReport, BalancerFlows, BalancerHeartbeat, Flags, FleetSettings, FlowKey,
    FlowSettings, ForwardHeader, HeldFlows, InstanceTag, ProcessIncarnation, RequestKind, Route,
    RouteTable, Segment, ServiceLimits, ServiceShare, ServiceTag, StoreRevision, TargetPhase,
    agent::{AgentIdentity, ColdAllowance, HeartbeatState, TargetHeartbeat},
    balancer::{BalancerIdentity, PastRoutes, WatchTimes},
};
use crate::{address::DomainId, context::Context};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEARTBEAT_MS: u64 = 1_200;

/// The age from which on flows may be discarded.
pub const FLOW_MAX_AGE_MS: u64 = 60_000;

/// The limit on idle flows in the first configuration.
pub const IDLE_TIMEOUT_MS: u32 = 15_000;

/// The heartbeats that a target has sent before its agent started.
const EARLIER_HEARTBEATS: u64 = 100;

/// How long a target goes on after it has announced its stop.
pub const DRAIN_MS: u64 = 3_000;

pub fn service() -> ServiceTag {
    ServiceTag::of("quotes")
}

/// A revision of the store's first era.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

pub fn agent_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, number)
}

pub fn balancer_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 9, 0, number)
}

pub fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        service_address: service_address(),
    }
}

pub fn context(now_ms: u64) -> Context {
    let mut ctx = Context::new(1);
    ctx.now_ms = now_ms;
    ctx
}

fn segment(flow: FlowKey, flags: Flags) -> Segment {
    Segment {
        source: flow.caller,
        destination: flow.service_address,
        flags,
        sequence: 1_000,
        acknowledged: 0,
        data_bytes: 0,
        cookie: 0,
    }
}

/// The advertisement of one flow.
pub fn held(advertised_before: u32, flow: FlowKey) -> HeldFlows {
    HeldFlows {
        advertised_before,
        flows: vec![flow],
    }
}

/// The SYN of a flow, or its retransmission with the given number.
pub fn syn(flow: FlowKey, retransmission: u32) -> Segment {
    let flags = Flags {
        syn: true,
        ..Flags::default()
    };
    Segment {
        acknowledged: retransmission,
        ..segment(flow, flags)
    }
}

/// A packet of a caller with data.
pub fn data(flow: FlowKey, bytes: u16) -> Segment {
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    Segment {
        data_bytes: bytes,
        acknowledged: 501,
        ..segment(flow, flags)
    }
}

/// A reset of a caller.
pub fn reset(flow: FlowKey) -> Segment {
    let flags = Flags {
        rst: true,
        ..Flags::default()
    };
    segment(flow, flags)
}

/// A packet with its endpoints swapped, as the target sends it.
pub fn from_target(segment: Segment) -> Segment {
    Segment {
        source: segment.destination,
        destination: segment.source,
        ..segment
    }
}

/// The target's answer to a SYN.
pub fn accepted(flow: FlowKey) -> Segment {
    let flags = Flags {
        syn: true,
        ack: true,
        ..Flags::default()
    };
    Segment {
        sequence: 500,
        ..from_target(segment(flow, flags))
    }
}

/// A packet as the target returns it.
pub fn bounced(segment: Segment, origin: Ipv4Addr) -> Segment {
    Segment {
        flags: Flags {
            bounced: true,
            ..segment.flags
        },
        cookie: origin.to_bits(),
        ..segment
    }
}

pub fn forward_header(origin: Ipv4Addr) -> ForwardHeader {
    ForwardHeader {
        service: service(),
        origin,
        origin_domain: DomainId(0),
        is_search: false,
        latency_goal_ms: 0,
        priority_level: 0,
        priority_levels: 1,
        may_wait: false,
    }
}

/// A heartbeat of a target that has been running for longer than its agent.
pub fn target_heartbeat(sequence: u64) -> TargetHeartbeat {
    TargetHeartbeat {
        instance: InstanceTag::of("a"),
        born_ms: 10_000,
        sequence: EARLIER_HEARTBEATS + sequence,
        state: HeartbeatState::Ready,
        capacity: 4,
        warmup_left_ms: 0,
        age_ms: None,
    }
}

/// The first heartbeat of the incarnation of the target that comes next.
pub fn first_heartbeat() -> TargetHeartbeat {
    TargetHeartbeat {
        instance: InstanceTag::of("b"),
        born_ms: 20_000,
        sequence: 1,
        ..target_heartbeat(0)
    }
}

/// Ends the target shortly before `at_ms`, when its next incarnation sends its first heartbeat.
pub fn restart_target(agent: &mut AgentFlows, at_ms: u64) {
    agent.on_target_ended(&context(at_ms - 50));
    agent.on_target_heartbeat(&first_heartbeat(), &context(at_ms));
}

/// Sends the heartbeats of a target that the agent has heard since 5,000 ms, until it has been heard
/// for so long that none of an earlier incarnation can arrive any more; returns the time of the last.
pub fn hear_target_for_long(agent: &mut AgentFlows) -> u64 {
    let mut now_ms = 5_000;
    for number in 2..16 {
        now_ms += HEARTBEAT_MS;
        agent.on_target_heartbeat(&target_heartbeat(number), &context(now_ms));
    }
    now_ms
}

pub fn report(phase: TargetPhase) -> AgentReport {
    AgentReport {
        incarnation: ProcessIncarnation(1),
        service: service(),
        domain: DomainId(0),
        phase,
        is_cold: false,
        is_stopping: false,
        at_work: 0,
        open_flows: 0,
        capacity: 4,
        room: u16::MAX,
        wants_reply: false,
        advertised_total: None,
        slowness: 1,
        service_time_ms: 0,
        failure_permille: 0,
        queued: 0,
    }
}

pub fn heartbeat(agents: u16) -> BalancerHeartbeat {
    BalancerHeartbeat {
        incarnation: ProcessIncarnation(77),
        domain: DomainId(0),
        version: 1,
        revision: revision(1),
        is_stopping: false,
        agents,
        live_agents: agents,
        balancers_hash: 0,
        settings_age_ms: None,
    }
}

pub fn fleet_settings(kind: RequestKind) -> FleetSettings {
    let route = Route {
        kind,
        latency_goal_ms: 100,
        priority: 0,
        time_limit_ms: 0,
        shares: vec![ServiceShare {
            service: service(),
            weight: 1,
        }],
    };
    let mut table = RouteTable {
        version: 1,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        ..RouteTable::default()
    };
    table.routes.insert(service_address(), route);
    table.services.insert(service(), ServiceLimits::default());
    FleetSettings {
        table,
        revision: revision(1),
        ..FleetSettings::default()
    }
}

/// The identity of the first balancer.
pub fn balancer_identity() -> BalancerIdentity {
    BalancerIdentity {
        ip: balancer_ip(1),
        domain: DomainId(0),
        incarnation: ProcessIncarnation(9),
        watch_times: WatchTimes::default(),
        flow_max_age_ms: FLOW_MAX_AGE_MS,
    }
}

/// A balancer that has been running for a while and has known agents 1 to `agents` from the start.
pub fn balancer_with(agents: u8, kind: RequestKind) -> (BalancerFlows, Context) {
    balancer_with_settings(&FlowSettings::default(), agents, kind)
}

/// A balancer with the given settings that has been running for a while and has known agents 1 to
/// `agents` from the start.
pub fn balancer_with_settings(
    settings: &FlowSettings,
    agents: u8,
    kind: RequestKind,
) -> (BalancerFlows, Context) {
    let mut balancer = BalancerFlows::new(*settings, balancer_identity(), &context(0));
    balancer.on_fleet_settings(fleet_settings(kind), &context(0));
    balancer.on_past_routes(&PastRoutes::NeverChanged, &context(0));
    let ctx = context(10_000);
    if agents > 0 {
        balancer.on_registered_agents(u16::from(agents));
    }
    for now_ms in [0, ctx.now_ms] {
        for number in 1..=agents {
            let serving = report(TargetPhase::Serving);
            balancer.on_report(agent_ip(number), serving, &context(now_ms));
        }
    }
    (balancer, ctx)
}

/// An agent that has received no heartbeat from its target.
pub fn new_agent() -> AgentFlows {
    new_agent_with(ProcessIncarnation(1))
}

/// An agent of the given incarnation that has received no heartbeat from its target.
pub fn new_agent_with(incarnation: ProcessIncarnation) -> AgentFlows {
    new_agent_with_settings(&FlowSettings::default(), incarnation)
}

/// The settings with the health of targets taken into account.
pub fn health_settings() -> FlowSettings {
    let mut settings = FlowSettings::default();
    settings.target_health.is_enabled = true;
    settings
}

/// An agent with the given settings that has received no heartbeat from its target.
pub fn new_agent_with_settings(
    settings: &FlowSettings,
    incarnation: ProcessIncarnation,
) -> AgentFlows {
    AgentFlows::new(*settings, agent_identity(incarnation), &context(0))
}

/// The identity of an agent whose target has started before it.
pub fn agent_identity(incarnation: ProcessIncarnation) -> AgentIdentity {
    AgentIdentity {
        service: service(),
        domain: DomainId(0),
        incarnation,
        heartbeat_ms: HEARTBEAT_MS,
        drain_ms: DRAIN_MS,
        flow_max_age_ms: FLOW_MAX_AGE_MS,
        allowance: ColdAllowance {
            overage: 1.5,
            slack: 5.0,
        },
    }
}

/// An agent whose target is serving.
pub fn serving_agent() -> (AgentFlows, Context) {
    let mut agent = new_agent();
    let ctx = context(5_000);
    agent.on_target_heartbeat(&target_heartbeat(1), &ctx);
    (agent, ctx)
}
