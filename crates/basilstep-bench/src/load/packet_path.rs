//! The processing cost of each packet of an open flow without a token, in the balancer and in the
//! agent: decode, decide, encode. Sockets are excluded; the benchmark of the users' platform
//! measures those.

use super::{
    one_service::{COLD_ALLOWANCE, FLOW_MAX_AGE_MS, fleet_settings, service, service_address},
    packets::median,
    processes::own_resident_bytes,
};
use basilstep_core::{
    address::DomainId,
    context::Context,
    flows::{
        AgentFlows, AgentReport, BalancerFlows, Flags, FlowKey, FlowSettings, ForwardHeader, Frame,
        HeldFlows, InstanceTag, ProcessIncarnation, RequestKind, Segment, TargetPhase,
        agent::{AgentIdentity, CallerVerdict, HeartbeatState, TargetHeartbeat},
        balancer::{BalancerIdentity, PastRoutes, Verdict, WatchTimes},
        wire::{ReceivedFrame, SpokenVersion, WireVersion, decode_frame, encode_frame},
    },
};
use basilstep_platform::header;
use serde_json::{Value, json};
use std::{
    error::Error,
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 1);
const AGENT: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const DATA_BYTES: u16 = 1_200;
const ROUNDS: usize = 9;

/// The number of flows of a target: ten times the largest number at the users' sites.
const AGENT_FLOWS: u32 = 5_000;

const GOAL_NS_PER_PACKET: f64 = 10_000.0;
const GOAL_BALANCER_BYTES: usize = 40_000_000;
const GOAL_AGENT_BYTES: usize = 20_000_000;

/// Measures both processes.
///
/// # Errors
///
/// Returns an error when a packet is not forwarded as expected.
pub fn measure() -> Result<Value, Box<dyn Error>> {
    let limit = FlowSettings::default().hints.limit as u32;
    let before_bytes = own_resident_bytes();
    let mut agent = agent_with_flows(AGENT_FLOWS);
    let agent_bytes = own_resident_bytes().saturating_sub(before_bytes);
    let before_bytes = own_resident_bytes();
    let mut balancer = balancer_with_hints(limit);
    let balancer_bytes = own_resident_bytes().saturating_sub(before_bytes);
    let balancer_ns = balancer_ns_per_packet(&mut balancer, limit)?;
    let agent_ns = agent_ns_per_packet(&mut agent, AGENT_FLOWS)?;
    Ok(json!({
        "hints": limit,
        "balancer_ns_per_packet": balancer_ns.round(),
        "balancer_state_bytes": balancer_bytes,
        "agent_flows": AGENT_FLOWS,
        "agent_ns_per_packet": agent_ns.round(),
        "agent_state_bytes": agent_bytes,
        "goal_ns_per_packet": GOAL_NS_PER_PACKET,
        "goal_met": balancer_ns <= GOAL_NS_PER_PACKET
            && balancer_bytes <= GOAL_BALANCER_BYTES
            && agent_bytes <= GOAL_AGENT_BYTES,
    }))
}

fn balancer_ns_per_packet(balancer: &mut BalancerFlows, flows: u32) -> Result<f64, Box<dyn Error>> {
    let ctx = context();
    let packets: Vec<Vec<u8>> = (0..flows).map(|flow| packet(flow, data_flags())).collect();
    let mut frame = Vec::new();
    median_ns_per_packet(flows, || {
        for packet in &packets {
            let segment = header::decode(packet)?;
            let Verdict::Forward(next_hop) = balancer.on_packet(&segment, &ctx) else {
                return Err("a balancer did not know an open flow".into());
            };
            let forward = Frame::Forward(next_hop.header);
            encode_frame(&forward, packet, SpokenVersion::LATEST, &mut frame);
            black_box(&frame);
        }
        Ok(())
    })
}

fn agent_ns_per_packet(agent: &mut AgentFlows, flows: u32) -> Result<f64, Box<dyn Error>> {
    let ctx = context();
    let frames: Vec<Vec<u8>> = (0..flows)
        .map(|flow| {
            let mut frame = Vec::new();
            encode_frame(
                &Frame::Forward(forward_header()),
                &packet(flow, data_flags()),
                SpokenVersion::LATEST,
                &mut frame,
            );
            frame
        })
        .collect();
    median_ns_per_packet(flows, || {
        for frame in &frames {
            let ReceivedFrame {
                frame: Frame::Forward(forward_header),
                packet,
                ..
            } = decode_frame(frame, WireVersion::LATEST)?
            else {
                return Err("a frame was read as another one".into());
            };
            let segment = header::decode(packet)?;
            match black_box(agent.on_packet(&forward_header, &segment, &ctx)) {
                CallerVerdict::Deliver { .. } => {}
                CallerVerdict::Return { code } => {
                    return Err(format!("an agent did not take a packet: {code}").into());
                }
                CallerVerdict::Queue => return Err("an agent queued a packet".into()),
            }
        }
        Ok(())
    })
}

/// Returns the median time per packet over several rounds.
fn median_ns_per_packet(
    packets: u32,
    mut round: impl FnMut() -> Result<(), Box<dyn Error>>,
) -> Result<f64, Box<dyn Error>> {
    let mut ns_per_packet = Vec::new();
    for _ in 0..ROUNDS {
        let began = Instant::now();
        round()?;
        ns_per_packet.push(began.elapsed().as_nanos() as f64 / f64::from(packets));
    }
    Ok(median(&ns_per_packet))
}

fn balancer_with_hints(hints: u32) -> BalancerFlows {
    let own = BalancerIdentity {
        ip: BALANCER,
        domain: DomainId(0),
        incarnation: ProcessIncarnation(1),
        watch_times: WatchTimes::default(),
        flow_max_age_ms: FLOW_MAX_AGE_MS,
    };
    let started = Context::new(1);
    let mut balancer = BalancerFlows::new(FlowSettings::default(), own, &started);
    balancer.on_fleet_settings(fleet_settings(RequestKind::NonIdempotent, 0), &started);
    balancer.on_past_routes(&PastRoutes::NeverChanged, &started);
    balancer.on_report(AGENT, report(), &context());
    let held = HeldFlows {
        advertised_before: 0,
        flows: (0..hints).map(flow_key).collect(),
    };
    balancer.on_held_flows(AGENT, &held, &context());
    balancer
}

fn agent_with_flows(flows: u32) -> AgentFlows {
    let own = AgentIdentity {
        service: service(),
        domain: DomainId(0),
        incarnation: ProcessIncarnation(1),
        heartbeat_ms: 1_000,
        drain_ms: 3_000,
        flow_max_age_ms: FLOW_MAX_AGE_MS,
        allowance: COLD_ALLOWANCE,
    };
    let ctx = context();
    let mut agent = AgentFlows::new(FlowSettings::default(), own, &ctx);
    let heartbeat = TargetHeartbeat {
        instance: InstanceTag::default(),
        born_ms: 1,
        sequence: 1,
        state: HeartbeatState::Ready,
        capacity: u16::MAX,
        warmup_left_ms: 0,
        age_ms: None,
    };
    agent.on_target_heartbeat(&heartbeat, &ctx);
    for flow in 0..flows {
        agent.on_packet(&forward_header(), &segment(flow, syn_flags()), &ctx);
        let answer = Segment {
            source: service_address(),
            destination: flow_key(flow).caller,
            flags: Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            },
            ..segment(flow, syn_flags())
        };
        agent.on_target_packet(&answer, &ctx);
    }
    agent
}

fn flow_key(flow: u32) -> FlowKey {
    const FIRST_CALLER: u32 = Ipv4Addr::new(100, 64, 0, 0).to_bits();
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::from_bits(FIRST_CALLER + flow), 40_001),
        service_address: service_address(),
    }
}

fn syn_flags() -> Flags {
    Flags {
        syn: true,
        ..Flags::default()
    }
}

fn data_flags() -> Flags {
    Flags {
        ack: true,
        ..Flags::default()
    }
}

fn segment(flow: u32, flags: Flags) -> Segment {
    Segment {
        source: flow_key(flow).caller,
        destination: service_address(),
        flags,
        sequence: 0,
        acknowledged: 0,
        data_bytes: if flags.syn { 0 } else { DATA_BYTES },
        cookie: 0,
    }
}

fn packet(flow: u32, flags: Flags) -> Vec<u8> {
    let segment = segment(flow, flags);
    let mut packet = header::encode(&segment).to_vec();
    packet.resize(header::HEADER_BYTES + usize::from(segment.data_bytes), 0);
    packet
}

fn forward_header() -> ForwardHeader {
    ForwardHeader {
        service: service(),
        origin: BALANCER,
        origin_domain: DomainId(0),
        is_search: false,
        latency_goal_ms: 0,
        priority_level: 0,
        priority_levels: 1,
        may_wait: false,
    }
}

fn report() -> AgentReport {
    AgentReport {
        incarnation: ProcessIncarnation(1),
        service: service(),
        domain: DomainId(0),
        phase: TargetPhase::Serving,
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

fn context() -> Context {
    let mut ctx = Context::new(1);
    ctx.now_ms = 10_000;
    ctx
}
