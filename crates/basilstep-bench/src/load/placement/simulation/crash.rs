//! A target that crashes with its agent, and callers that retransmit their first packet.

use super::{EventKind, HOP_US, Packet, Simulation, US_PER_MS, to_us};
use crate::load::placement::setup::Crash;
use basilstep_core::membership::AgentPhase;

/// The time from a crash until membership has removed the agent from placement.
const DETECTION_US: u64 = 3_000_000;

/// The waiting times of a caller before it retransmits its first packet.
const RETRANSMISSIONS_US: [u64; 4] = [1_000_000, 2_000_000, 4_000_000, 8_000_000];

impl Simulation {
    pub(super) fn crash(&mut self, target: usize) {
        self.fleet.targets[target].has_crashed = true;
        self.schedule(DETECTION_US, EventKind::Detect { target });
    }

    pub(super) fn detect(&mut self, target: usize) {
        self.fleet.targets[target].record.phase = AgentPhase::Down;
        self.fleet.refresh_placement();
    }

    pub(super) fn schedule_retransmission(&mut self, flow: u64, attempt: usize) {
        if self.setup.crash.is_none() {
            return;
        }
        if let Some(wait_us) = RETRANSMISSIONS_US.get(attempt) {
            self.schedule(*wait_us, EventKind::Retransmit { flow, attempt });
        }
    }

    pub(super) fn retransmit(&mut self, number: u64, attempt: usize) {
        let limit = self.setup.policy.candidates();
        let Some(flow) = self.flows.get(&number) else {
            return;
        };
        if flow.owner.is_some() {
            return;
        }
        let drawn = self
            .fleet
            .placement
            .draw(&flow.caller, &flow.connection_id, limit);
        let Some(candidates) = drawn else {
            return;
        };
        let packet: Packet = self.first_packet(candidates);
        if let Some(flow) = self.flows.get_mut(&number) {
            flow.packet = packet;
        }
        self.schedule(HOP_US, EventKind::Arrive { flow: number });
        self.schedule_retransmission(number, attempt + 1);
    }
}

/// Returns the opening time of a flow that began between a crash and its detection.
pub(super) fn delay_ms(crash: Option<Crash>, first_sent_us: u64, now_us: u64) -> Option<f64> {
    let crashed_us = to_us(crash?.at_s);
    let is_affected = (crashed_us..crashed_us + DETECTION_US).contains(&first_sent_us);
    is_affected.then(|| (now_us - first_sent_us) as f64 / US_PER_MS as f64)
}
