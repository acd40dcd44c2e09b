mod agents;
mod balancers;

use super::{
    callers::Caller,
    cases::{Case, Fault, FaultKind, Policy},
    figures::Figures,
    target::Target,
};
use crate::load::one_service::{COLD_ALLOWANCE, FLOW_MAX_AGE_MS, fleet_settings, service};
use basilstep_core::{
    address::DomainId,
    context::Context,
    flows::{
        AgentFlows, BalancerFlows, FleetSettings, FlowSettings, Frame, ProcessIncarnation, Segment,
        agent::{AgentIdentity, SettingsSource},
        balancer::{BalancerIdentity, PastRoutes, WatchTimes},
        wire::{SpokenVersion, encode_frame},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::Ipv4Addr,
};

pub const BALANCERS: usize = 9;
pub const AGENTS: usize = 18;
pub const FLOWS: u32 = 500;
pub const DURATION_MS: u64 = 20_000;

const DOMAINS: usize = 3;
const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_000;

/// The latency of a datagram within a domain and to another domain.
const SAME_DOMAIN_MS: u64 = 1;
const CROSS_DOMAIN_MS: u64 = 3;

/// One of this many datagrams is lost.
const LOSS_ONE_IN: u32 = 500;

/// The headers of IP, UDP and the platform's packet.
const PACKET_BYTES: u64 = 28 + 32;
const DATAGRAM_BYTES: u64 = 28;

const LATENCY_GOAL_MS: u16 = 500;

/// When callers start, so that the members of the fleet know each other by then.
const CALLERS_FROM_MS: u64 = 1_500;

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    ToBalancer(usize, usize, Frame, Option<Segment>),
    ToAgent(usize, usize, Frame, Option<Segment>),
    FromCaller(usize, Segment),
    ToCaller(Segment),
    FromTarget(usize, ProcessIncarnation, Segment),
    CallerTimer(usize),
    Tick,
    Fault(FaultKind),
    PowerOn(usize),
    Resume(usize),
}

/// An agent and its target.
#[derive(Debug)]
struct Machine {
    agent: AgentFlows,
    source: SettingsSource,
    target: Target,
    incarnation: ProcessIncarnation,
    born_ms: u64,
    heartbeats: u64,
    is_powered: bool,
    /// The events that arrive while the agent is paused.
    backlog: Option<Vec<Event>>,
}

/// A fleet and its callers in virtual time.
#[derive(Debug)]
pub struct Simulation {
    now_ms: u64,
    settings: FlowSettings,
    fleet: FleetSettings,
    balancers: Vec<BalancerFlows>,
    machines: Vec<Machine>,
    callers: Vec<Caller>,
    figures: Figures,
    rng: ChaCha8Rng,
    incarnations_issued: u32,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
}

fn balancer_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 9, 0, number as u8)
}

fn agent_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, number as u8)
}

fn number_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3])
}

fn domain_of(number: usize) -> DomainId {
    DomainId((number % DOMAINS) as u8)
}

impl Simulation {
    /// Starts a fleet with the settings of a policy.
    pub fn start(case: &Case, policy: &Policy, seed: u64) -> Self {
        let mut settings = FlowSettings::default();
        (policy.settings)(&mut settings);
        let mut simulation = Self {
            now_ms: 0,
            settings,
            fleet: fleet_settings(case.kind, LATENCY_GOAL_MS),
            balancers: Vec::new(),
            machines: Vec::new(),
            callers: Vec::new(),
            figures: Figures::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            incarnations_issued: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
        };
        for number in 0..BALANCERS {
            let balancer = simulation.new_balancer(number);
            simulation.balancers.push(balancer);
        }
        for number in 0..AGENTS {
            let machine = simulation.new_machine(number);
            simulation.machines.push(machine);
        }
        for number in 0..FLOWS {
            let due_ms = CALLERS_FROM_MS + simulation.rng.random_range(0..1_000);
            simulation.callers.push(Caller::new(number, due_ms));
            simulation.schedule(due_ms, Event::CallerTimer(number as usize));
        }
        for Fault { at_ms, kind } in case.faults {
            simulation.schedule(*at_ms, Event::Fault(*kind));
        }
        simulation.schedule(TICK_MS, Event::Tick);
        simulation
    }

    /// Runs to the end and returns the counts.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at_ms, sequence))) = self.queue.pop() {
            if at_ms > DURATION_MS {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.figures
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_ms, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn context(&self) -> Context {
        let mut ctx = Context::new(1);
        ctx.now_ms = self.now_ms;
        ctx
    }

    fn next_incarnation(&mut self) -> ProcessIncarnation {
        self.incarnations_issued += 1;
        ProcessIncarnation(self.incarnations_issued)
    }

    fn new_balancer(&mut self, number: usize) -> BalancerFlows {
        let own = BalancerIdentity {
            ip: balancer_ip(number),
            domain: domain_of(number),
            incarnation: self.next_incarnation(),
            watch_times: WatchTimes::default(),
            flow_max_age_ms: FLOW_MAX_AGE_MS,
        };
        let ctx = self.context();
        let mut balancer = BalancerFlows::new(self.settings, own, &ctx);
        balancer.on_fleet_settings(self.fleet.clone(), &ctx);
        balancer.on_past_routes(&PastRoutes::NeverChanged, &ctx);
        balancer
    }

    fn new_machine(&mut self, number: usize) -> Machine {
        let incarnation = self.next_incarnation();
        let own = AgentIdentity {
            service: service(),
            domain: domain_of(number),
            incarnation,
            heartbeat_ms: HEARTBEAT_MS,
            drain_ms: 3_000,
            flow_max_age_ms: FLOW_MAX_AGE_MS,
            allowance: COLD_ALLOWANCE,
        };
        Machine {
            agent: AgentFlows::new(self.settings, own, &self.context()),
            source: SettingsSource::default(),
            target: Target::default(),
            incarnation,
            born_ms: self.now_ms,
            heartbeats: 0,
            is_powered: true,
            backlog: None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToBalancer(number, agent, frame, segment) => {
                self.on_balancer_frame(number, agent, frame, segment);
            }
            Event::ToAgent(number, ..) if self.machines[number].backlog.is_some() => {
                if let Some(backlog) = &mut self.machines[number].backlog {
                    backlog.push(event);
                }
            }
            Event::ToAgent(number, balancer, frame, segment) => {
                self.on_agent_frame(number, balancer, &frame, segment);
            }
            Event::FromCaller(number, segment) => {
                let ctx = self.context();
                let verdict = self.balancers[number].on_packet(&segment, &ctx);
                self.figures.packets += 1;
                self.apply_verdict(number, verdict, &segment);
            }
            Event::ToCaller(segment) => self.on_caller_packet(&segment),
            Event::FromTarget(number, incarnation, segment) => {
                self.on_target_packet(number, incarnation, &segment);
            }
            Event::CallerTimer(number) => self.run_caller(number),
            Event::Tick => self.tick(),
            Event::Fault(kind) => self.inject_fault(kind),
            Event::PowerOn(number) => self.machines[number] = self.new_machine(number),
            Event::Resume(number) => {
                for event in self.machines[number].backlog.take().unwrap_or_default() {
                    self.handle(event);
                }
            }
        }
    }

    fn inject_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::RestartBalancer(number) => {
                self.balancers[number] = self.new_balancer(number);
            }
            FaultKind::LosePower { agent, duration_ms } => {
                self.machines[agent].is_powered = false;
                self.machines[agent].target = Target::default();
                self.schedule(self.now_ms + duration_ms, Event::PowerOn(agent));
            }
            FaultKind::Pause { agent, duration_ms } => {
                self.machines[agent].backlog = Some(Vec::new());
                self.schedule(self.now_ms + duration_ms, Event::Resume(agent));
            }
        }
    }

    fn is_up(&self, number: usize) -> bool {
        let machine = &self.machines[number];
        machine.is_powered && machine.backlog.is_none()
    }

    fn run_caller(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        if self.now_ms < caller.due_ms {
            let due_ms = caller.due_ms;
            self.schedule(due_ms, Event::CallerTimer(number));
            return;
        }
        let segment = caller.on_timer(self.now_ms, &mut self.figures);
        let due_ms = caller.due_ms;
        self.schedule(due_ms, Event::CallerTimer(number));
        // A restart of a balancer changes the hash, so that all flows move to other balancers.
        let path_hash = segment
            .flow_of_caller()
            .hash()
            .wrapping_add(u64::from(self.incarnations_issued));
        let balancer = (path_hash % BALANCERS as u64) as usize;
        self.schedule(
            self.now_ms + SAME_DOMAIN_MS,
            Event::FromCaller(balancer, segment),
        );
    }

    fn on_caller_packet(&mut self, segment: &Segment) {
        let first_ip = Ipv4Addr::new(100, 64, 0, 0).to_bits();
        let number = (segment.destination.ip().to_bits() - first_ip) as usize;
        let caller = &mut self.callers[number];
        let flow = segment.flow_of_target();
        let is_open = self
            .machines
            .iter()
            .any(|machine| machine.is_powered && machine.target.open_flows.contains(&flow));
        if segment.flags.rst && !segment.flags.syn && is_open && caller.flow() == flow {
            self.figures.wrong_resets += 1;
        }
        caller.on_packet(segment, self.now_ms, &mut self.rng, &mut self.figures);
        let due_ms = self.callers[number].due_ms;
        self.schedule(due_ms.max(self.now_ms), Event::CallerTimer(number));
    }

    fn tick(&mut self) {
        let ctx = self.context();
        self.schedule(self.now_ms + TICK_MS, Event::Tick);
        for number in 0..BALANCERS {
            let due = self.balancers[number].on_tick(&ctx);
            for lost in due.lost {
                self.send_reset(&lost);
            }
            for placed in due.placed {
                self.forward_packet(number, &placed.next_hop, &placed.syn.segment);
            }
        }
        if self
            .now_ms
            .is_multiple_of(self.settings.liveness.report_interval_ms)
        {
            self.send_heartbeats();
        }
        for number in 0..AGENTS {
            if self.is_up(number) {
                self.tick_agent(number, &ctx);
            }
        }
    }

    fn send_to_balancer(
        &mut self,
        agent: usize,
        ip: Ipv4Addr,
        frame: Frame,
        segment: Option<Segment>,
    ) {
        self.count_control_frame(&frame);
        let number = number_of(ip);
        if let Some(at_ms) = self.delivery_ms(domain_of(agent), domain_of(number)) {
            self.schedule(at_ms, Event::ToBalancer(number, agent, frame, segment));
        }
    }

    fn send_to_agent(
        &mut self,
        balancer: usize,
        number: usize,
        frame: Frame,
        segment: Option<Segment>,
    ) {
        if segment.is_none() {
            self.count_control_frame(&frame);
        }
        if let Some(at_ms) = self.delivery_ms(domain_of(balancer), domain_of(number)) {
            self.schedule(at_ms, Event::ToAgent(number, balancer, frame, segment));
        }
    }

    /// Returns when a datagram arrives; `None` if it is lost.
    fn delivery_ms(&mut self, from: DomainId, to: DomainId) -> Option<u64> {
        if self.rng.random_range(0..LOSS_ONE_IN) == 0 {
            return None;
        }
        let latency_ms = if from == to {
            SAME_DOMAIN_MS
        } else {
            CROSS_DOMAIN_MS
        };
        Some(self.now_ms + latency_ms)
    }

    fn count_control_frame(&mut self, frame: &Frame) {
        let mut bytes = Vec::new();
        encode_frame(frame, &[], SpokenVersion::LATEST, &mut bytes);
        self.figures.control_frames += 1;
        self.figures.control_bytes += DATAGRAM_BYTES + bytes.len() as u64;
    }
}
