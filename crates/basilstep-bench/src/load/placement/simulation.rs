//! Simulates flows with random arrivals and exponentially distributed lifetimes in virtual time.

mod crash;

use super::{
    fleet::{FLOW_KEYS, Fleet, SERVICE, Target},
    setup::{Outcome, Setup},
};
use basilstep_core::{
    address::AgentAddress,
    context::Context,
    membership::AgentPhase,
    placement::{OfferDecision, OfferedPacket, ServiceTargets, acknowledge_offer, decide_offer},
    settings::SettingsView,
    steering::{SteeringDecision, SteeringTable},
    token::TOKEN_BYTES,
    wire::{Candidates, CarrierPurpose},
};
use rand::{Rng, RngExt};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
};

/// The mean lifetime of a flow, from 3.9 million open flows at 56,000 new ones per second.
pub const MEAN_LIFE_S: f64 = 70.0;

const US_PER_S: f64 = 1_000_000.0;
const US_PER_MS: u64 = 1_000;
const HOP_US: u64 = 1_500;
const SAMPLE_INTERVAL_US: u64 = 500_000;
const VIEW_LAG_US: u64 = 1_000_000;

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Event {
    at_us: u64,
    sequence: u64,
    kind: EventKind,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Open,
    Arrive { flow: u64 },
    Close { flow: u64 },
    Report,
    Sample,
    Change { index: usize },
    RefreshViews,
    Ramp { index: usize },
    Crash { target: usize },
    Detect { target: usize },
    Retransmit { flow: u64, attempt: usize },
    Acknowledge { at: usize, by: usize },
}

/// A flow from its first packet on. `packet` is in transit until an agent accepts the flow.
struct Flow {
    caller: SocketAddr,
    connection_id: [u8; 8],
    packet: Packet,
    owner: Option<usize>,
    token: [u8; TOKEN_BYTES],
    first_sent_us: u64,
}

#[derive(Clone, Copy)]
struct Packet {
    to: AgentAddress,
    purpose: CarrierPurpose,
}

/// The state of one run.
pub struct Simulation {
    setup: Setup,
    fleet: Fleet,
    context: Context,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<Event>>,
    flows: BTreeMap<u64, Flow>,
    outcome: Outcome,
}

impl Simulation {
    /// Runs a setup to its end.
    pub fn run(setup: Setup) -> Outcome {
        let mut context = Context::new(setup.seed);
        let fleet = Fleet::new(&setup.weights, &mut context);
        let mut simulation = Self {
            setup,
            fleet,
            context,
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            flows: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        simulation.start();
        simulation.run_events();
        simulation.outcome
    }

    fn start(&mut self) {
        for index in 0..self.setup.changes.len() {
            let at_us = to_us(self.setup.changes[index].at_s);
            self.schedule(at_us, EventKind::Change { index });
        }
        if let Some(crash) = self.setup.crash {
            let target = crash.target;
            self.schedule(to_us(crash.at_s), EventKind::Crash { target });
        }
        self.schedule(0, EventKind::Open);
        self.schedule(0, EventKind::Report);
        self.schedule(to_us(self.setup.warm_up_s), EventKind::Sample);
    }

    fn run_events(&mut self) {
        let end_us = to_us(self.setup.warm_up_s + self.setup.sampled_s);
        while let Some(Reverse(event)) = self.events.pop() {
            if event.at_us > end_us {
                return;
            }
            self.now_us = event.at_us;
            match event.kind {
                EventKind::Open => self.open(),
                EventKind::Arrive { flow } => self.arrive(flow),
                EventKind::Close { flow } => self.close(flow),
                EventKind::Report => self.report(),
                EventKind::Sample => self.sample(),
                EventKind::Change { index } => self.change(index),
                EventKind::RefreshViews => self.refresh_views(),
                EventKind::Ramp { index } => self.ramp(index),
                EventKind::Crash { target } => self.crash(target),
                EventKind::Detect { target } => self.detect(target),
                EventKind::Acknowledge { at, by } => self.acknowledge(at, by),
                EventKind::Retransmit { flow, attempt } => self.retransmit(flow, attempt),
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, kind: EventKind) {
        self.sequence += 1;
        self.events.push(Reverse(Event {
            at_us: self.now_us + delay_us,
            sequence: self.sequence,
            kind,
        }));
    }

    fn open(&mut self) {
        let total = f64::from(self.setup.flows_per_target) * self.setup.weights.len() as f64;
        let next_us = to_us(self.random_exponential(MEAN_LIFE_S / total));
        self.schedule(next_us, EventKind::Open);
        let caller = self.random_caller();
        let connection_id: [u8; 8] = self.context.rng.random();
        let limit = self.setup.policy.candidates();
        let Some(candidates) = self.fleet.placement.draw(&caller, &connection_id, limit) else {
            self.outcome.refused_flows += 1;
            return;
        };
        let number = self.sequence;
        let flow = Flow {
            caller,
            connection_id,
            packet: self.first_packet(candidates),
            owner: None,
            token: [0; TOKEN_BYTES],
            first_sent_us: self.now_us,
        };
        self.flows.insert(number, flow);
        self.schedule_retransmission(number, 0);
        self.schedule(HOP_US, EventKind::Arrive { flow: number });
    }

    fn random_caller(&mut self) -> SocketAddr {
        let ip = Ipv4Addr::from_bits(self.context.rng.next_u32());
        let port: u16 = self.context.rng.random();
        SocketAddr::from((ip, port))
    }

    fn random_exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.context.rng.random();
        -(1.0 - uniform).ln() * mean
    }

    fn first_packet(&mut self, candidates: Candidates) -> Packet {
        match self
            .setup
            .policy
            .choose(&self.fleet, candidates, &mut self.context)
        {
            Some(to) => Packet {
                to,
                purpose: CarrierPurpose::Assign,
            },
            None => Packet {
                to: candidates.first,
                purpose: CarrierPurpose::Offer { candidates },
            },
        }
    }

    fn arrive(&mut self, number: u64) {
        let Some(flow) = self.flows.get(&number) else {
            return;
        };
        let packet = flow.packet;
        let receiver = Fleet::number_of(packet.to);
        let target = &mut self.fleet.targets[receiver];
        if target.has_crashed {
            return;
        }
        let offered = OfferedPacket {
            caller: flow.caller,
            connection_id: &flow.connection_id,
            purpose: packet.purpose,
        };
        let now_ms = self.now_us / US_PER_MS;
        let decision = decide_offer(&offered, &target.own_load(), &mut target.recent, now_ms);
        if let Some(acknowledged) = acknowledge_offer(&packet.purpose, packet.to) {
            let at = Fleet::number_of(acknowledged.to);
            self.schedule(HOP_US, EventKind::Acknowledge { at, by: receiver });
        }
        let Some(flow) = self.flows.get_mut(&number) else {
            return;
        };
        if let Some(next) = decision.next_hop(packet.to) {
            flow.packet = Packet {
                to: next.to,
                purpose: next.purpose,
            };
            self.outcome.agent_messages += 1;
            return self.schedule(HOP_US, EventKind::Arrive { flow: number });
        }
        if decision == OfferDecision::Accept {
            return self.accept(number, receiver);
        }
        self.flows.remove(&number);
        self.outcome.refused_flows += 1;
    }

    fn acknowledge(&mut self, at: usize, by: usize) {
        let by = self.fleet.targets[by].record.address;
        self.outcome.acknowledgements += 1;
        self.fleet.targets[at].recent.note_acknowledged(by);
    }

    fn accept(&mut self, number: u64, receiver: usize) {
        let life_us = to_us(self.random_exponential(MEAN_LIFE_S));
        self.schedule(life_us, EventKind::Close { flow: number });
        let target = &mut self.fleet.targets[receiver];
        let Some(flow) = self.flows.get_mut(&number) else {
            return;
        };
        let delay_ms = crash::delay_ms(self.setup.crash, flow.first_sent_us, self.now_us);
        flow.owner = Some(receiver);
        flow.token = target.issue_connection_id();
        target.flows += 1;
        target.recent.note_opened(&flow.caller, &flow.connection_id);
        self.outcome.opened_flows += 1;
        self.outcome.open_delays_ms.extend(delay_ms);
        self.outcome.opened_while_leaving += u64::from(!target.is_serving());
    }

    fn close(&mut self, number: u64) {
        let owner = self.flows.remove(&number).and_then(|flow| flow.owner);
        if let Some(owner) = owner {
            self.fleet.targets[owner].flows -= 1;
        }
    }

    fn report(&mut self) {
        for (number, target) in self.fleet.targets.iter_mut().enumerate() {
            let underreports = self.setup.underreporting_target == Some(number);
            target.reported_flows = if underreports {
                target.flows / 2
            } else {
                target.flows
            };
        }
        let interval_us = self.setup.report_interval_ms * US_PER_MS;
        self.schedule(interval_us, EventKind::Report);
    }

    fn sample(&mut self) {
        self.outcome.imbalance.push(self.fleet.imbalance());
        self.outcome.share_of_first.push(self.fleet.share_of(0));
        self.schedule(SAMPLE_INTERVAL_US, EventKind::Sample);
    }

    fn change(&mut self, index: usize) {
        let change = self.setup.changes[index];
        let record = &mut self.fleet.targets[change.target].record;
        record.phase = change.phase;
        record.revision += 1;
        self.schedule(VIEW_LAG_US, EventKind::RefreshViews);
        if change.phase == AgentPhase::Serving {
            self.schedule(0, EventKind::Ramp { index });
        }
    }

    /// Ramps up the weight by which the agent of a joined target compares its load.
    fn ramp(&mut self, index: usize) {
        let change = self.setup.changes[index];
        let elapsed_s = self.now_us as f64 / US_PER_S - change.at_s;
        let share = self.setup.ramp_s.map_or(1.0, |ramp_s| elapsed_s / ramp_s);
        let target = &mut self.fleet.targets[change.target];
        let full = target.record.weight;
        target.ramped_weight = ((f64::from(full) * share) as u8).clamp(1, full);
        if target.ramped_weight < full {
            self.schedule(SAMPLE_INTERVAL_US, EventKind::Ramp { index });
        }
    }

    /// Updates the balancers' view after a change and checks where packets of open flows go.
    fn refresh_views(&mut self) {
        let before = self.fleet.placement.clone();
        self.fleet.refresh_placement();
        let view = SettingsView {
            flow_keys: Some(FLOW_KEYS),
            ..SettingsView::default()
        };
        let table = SteeringTable::build(&view, &self.fleet.records(), &[]);
        for flow in self.flows.values() {
            let Some(owner) = flow.owner else {
                continue;
            };
            let owner = &self.fleet.targets[owner];
            self.outcome.checked_flows += 1;
            self.outcome.moved_flows += u64::from(!is_steered_to(&table, flow, owner));
            let first = |targets: &ServiceTargets| {
                let candidates = targets.draw(&flow.caller, &flow.connection_id, 1);
                candidates.map(|candidates| candidates.first)
            };
            let is_moved = first(&before) != first(&self.fleet.placement);
            self.outcome.moved_by_hash += u64::from(is_moved);
        }
    }
}

/// Returns whether packets of an open flow are steered to the agent that owns it.
fn is_steered_to(table: &SteeringTable, flow: &Flow, owner: &Target) -> bool {
    let mut datagram = [0; 64];
    datagram[0] = 0x40;
    datagram[1..=TOKEN_BYTES].copy_from_slice(&flow.token);
    let expected = SteeringDecision::Forward {
        agent: owner.record.address,
        purpose: CarrierPurpose::Established,
    };
    table.steer(SERVICE, &flow.caller, &datagram) == expected
}

fn to_us(seconds: f64) -> u64 {
    (seconds * US_PER_S) as u64
}
