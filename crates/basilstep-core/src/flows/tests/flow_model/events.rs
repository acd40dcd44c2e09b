//! What happens to the fleet of the model.

use super::world::{Planned, World};
use crate::flows::InstanceTag;
use rand::RngExt;

/// The share of steps in which each kind of event begins.
const EVENT_SHARE: f64 = 0.02;

#[derive(Clone, Copy, Debug)]
enum Event {
    RollAgent,
    RollBalancer,
    RollAllAgents,
    RollAllBalancers,
    EndTarget,
    BusyTarget,
    CutMachine,
    MoveRoute,
    ChangeIdleTimeout,
    ForeignDeregistration,
}

const EVENTS: [Event; 10] = [
    Event::RollAgent,
    Event::RollBalancer,
    Event::RollAllAgents,
    Event::RollAllBalancers,
    Event::EndTarget,
    Event::BusyTarget,
    Event::CutMachine,
    Event::MoveRoute,
    Event::ChangeIdleTimeout,
    Event::ForeignDeregistration,
];

impl World {
    /// Begins the events of this step; they may overlap.
    pub fn draw_events(&mut self) {
        for event in EVENTS {
            if self.rng.random_bool(EVENT_SHARE) {
                self.begin(event);
            }
        }
        if self.rng.random_bool(0.5) {
            self.open_flow();
        }
        for _ in 0..2 {
            self.send_random_request();
        }
    }

    fn begin(&mut self, event: Event) {
        let now_ms = self.now_ms();
        let machine = self.rng.random_range(0..self.machines.len());
        let balancer = self.rng.random_range(0..self.balancers.len());
        match event {
            Event::RollAgent => self.plan(now_ms, Planned::StopAgent(machine)),
            Event::RollBalancer => self.plan(now_ms, Planned::StopBalancer(balancer)),
            Event::RollAllAgents => {
                if self.rng.random_bool(0.2) {
                    let gap_ms = self.rng.random_range(0..1_500);
                    for index in 0..self.machines.len() {
                        self.plan(now_ms + gap_ms * index as u64, Planned::StopAgent(index));
                    }
                }
            }
            Event::RollAllBalancers => {
                if self.rng.random_bool(0.2) {
                    let gap_ms = self.rng.random_range(0..3_000);
                    for index in 0..self.balancers.len() {
                        self.plan(now_ms + gap_ms * index as u64, Planned::StopBalancer(index));
                    }
                }
            }
            Event::EndTarget => {
                if self.rng.random_bool(0.3) {
                    self.end_target(machine);
                }
            }
            Event::BusyTarget => {
                let busy_ms = self.rng.random_range(200..3_000);
                if let Some(target) = &mut self.machines[machine].target {
                    target.busy_until_ms = now_ms + busy_ms;
                }
            }
            Event::CutMachine => {
                let cut_ms = self.rng.random_range(200..4_000);
                self.machines[machine].cut_until_ms = now_ms + cut_ms;
            }
            Event::MoveRoute => {
                if self.rng.random_bool(0.3) {
                    self.move_route();
                }
            }
            Event::ChangeIdleTimeout => {
                if self.rng.random_bool(0.3) {
                    self.change_idle_timeout();
                }
            }
            Event::ForeignDeregistration => {
                let ctx = self.context();
                if let Some(agent) = &mut self.machines[machine].agent {
                    assert_eq!(
                        agent.flows.on_target_left(InstanceTag::of("another"), &ctx),
                        None
                    );
                }
            }
        }
    }
}
