//! What one draw of candidates costs; the only figures here that depend on the machine.

use super::fleet::SERVICE;
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation},
    membership::{AgentPhase, AgentRecord},
    placement::ServiceTargets,
    settings::DomainSet,
};
use serde::Serialize;
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Instant,
};

const SIZES: [u32; 6] = [3, 7, 30, 100, 1_000, 6_600];
const SCANNED_TARGETS: u32 = 5_000_000;

/// The cost of one draw among so many targets.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DrawCost {
    targets: u32,
    draw_ns: f64,
}

/// Measures the draw at several sizes.
pub fn measure(seed: u64) -> Vec<DrawCost> {
    SIZES.iter().map(|size| draw_cost(*size, seed)).collect()
}

fn draw_cost(targets: u32, seed: u64) -> DrawCost {
    let records: Vec<_> = (0..targets).map(record).collect();
    let placement = ServiceTargets::arrange(SERVICE, &records, &DomainSet::default());
    let caller = SocketAddr::from((Ipv4Addr::LOCALHOST, 50_000));
    let draws = SCANNED_TARGETS / targets;
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
