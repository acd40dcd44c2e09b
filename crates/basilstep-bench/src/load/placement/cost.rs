//! The cost of one decision of a balancer. Only these figures depend on the machine.

use super::fleet::{FLOW_KEYS, SERVICE};
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation},
    membership::{AgentPhase, AgentRecord},
    placement::ServiceTargets,
    settings::{DomainSet, SettingsView},
    steering::SteeringTable,
    token::{FlowToken, TOKEN_BYTES},
};
use serde::Serialize;
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Instant,
};

const TARGET_COUNTS: [u32; 6] = [3, 7, 30, 100, 1_000, 6_600];
const SCORED_TARGETS: u32 = 5_000_000;
const STEERED_PACKETS: u32 = 2_000_000;
const DATAGRAM_BYTES: usize = 1_200;

/// The cost of drawing candidates among a number of targets.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DrawCost {
    targets: u32,
    draw_ns: f64,
}

/// Measures the draw among several numbers of targets.
pub fn measure_draws(seed: u64) -> Vec<DrawCost> {
    TARGET_COUNTS
        .iter()
        .map(|size| draw_cost(*size, seed))
        .collect()
}

/// The cost of steering one datagram.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SteerCost {
    packet: &'static str,
    steer_ns: f64,
}

/// Measures the steering of packets with a valid token and with a forged one.
pub fn measure_steering() -> Vec<SteerCost> {
    let token = FlowToken {
        agent: record(1).address,
        service: SERVICE,
        domain: DomainId(1),
        incarnation_low: 1,
        nonce: [0; 3],
    };
    let packets = [
        ("established", token.encode(&FLOW_KEYS.current)),
        ("forged", [FLOW_KEYS.current.id; TOKEN_BYTES]),
    ];
    packets.into_iter().map(steer_cost).collect()
}

fn steer_cost((packet, connection_id): (&'static str, [u8; TOKEN_BYTES])) -> SteerCost {
    let view = SettingsView {
        flow_keys: Some(FLOW_KEYS),
        ..SettingsView::default()
    };
    let table = SteeringTable::build(&view, &[], &[]);
    let caller = SocketAddr::from((Ipv4Addr::LOCALHOST, 50_000));
    let mut datagram = [0x40; DATAGRAM_BYTES];
    datagram[1..=TOKEN_BYTES].copy_from_slice(&connection_id);
    let start = Instant::now();
    for _ in 0..STEERED_PACKETS {
        black_box(table.steer(SERVICE, &caller, black_box(&datagram)));
    }
    SteerCost {
        packet,
        steer_ns: (start.elapsed().as_nanos() as f64 / f64::from(STEERED_PACKETS)).round(),
    }
}

fn draw_cost(targets: u32, seed: u64) -> DrawCost {
    let records: Vec<_> = (0..targets).map(record).collect();
    let placement = ServiceTargets::from_records(SERVICE, &records, &DomainSet::default());
    let caller = SocketAddr::from((Ipv4Addr::LOCALHOST, 50_000));
    let draws = SCORED_TARGETS / targets;
    let start = Instant::now();
    for number in 0..u64::from(draws) {
        let connection_id = (seed ^ number).to_be_bytes();
        black_box(placement.candidates(&caller, black_box(&connection_id)));
    }
    DrawCost {
        targets,
        draw_ns: (start.elapsed().as_nanos() as f64 / f64::from(draws)).round(),
    }
}

fn record(number: u32) -> AgentRecord {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + number);
    AgentRecord {
        address: AgentAddress(SocketAddrV4::new(ip, 7_000)),
        service: SERVICE,
        domain: DomainId(0),
        incarnation: Incarnation(1),
        revision: 1,
        weight: 1,
        phase: AgentPhase::Serving,
    }
}
