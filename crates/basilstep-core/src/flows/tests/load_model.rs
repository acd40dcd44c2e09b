//! Balancers, agents and targets under load, in virtual time and without a network.

use super::{
    HEARTBEAT_MS, accepted, agent_ip, balancer_ip, balancer_with_settings, context, data,
    fleet_settings, flow, forward_header, from_target, new_agent_with_settings, reset, syn,
    target::Target, target_heartbeat,
};
use crate::{
    address::DomainId,
    flows::{
        AgentFlows, BalancerEntry, BalancerFlows, FlowKey, FlowSettings, ProcessIncarnation,
        RequestKind, Returned,
        agent::{CallerVerdict, TargetHeartbeat},
        balancer::Verdict,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

pub const AGENTS: u8 = 20;
const BALANCERS: u8 = 3;
const CAPACITY: u16 = 2;
/// The mean work of a request, of which 3% take seven times as long.
const WORK_MS: u64 = 20;
const GOAL_MS: u64 = 250;
const LIMIT_MS: u64 = 1_500;
const REPORT_MS: u64 = 250;

/// What is wrong with a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// It takes this many times as long.
    Slow(u64),
    /// It does not answer this share of the requests.
    Hang(f64),
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub offered: usize,
    pub in_time: usize,
    pub late: usize,
    pub unanswered: usize,
    pub refused: usize,
}

impl Tally {
    /// Returns the requests that were answered late or not at all.
    pub const fn missed(&self) -> usize {
        self.late + self.unanswered
    }
}

struct Machine {
    agent: AgentFlows,
    target: Target,
    fault: Fault,
}

struct OpenRequest {
    machine: usize,
    requested_ms: u64,
}

/// Callers that send one request on each flow, spread over the balancers.
pub struct LoadModel {
    pub now_ms: u64,
    pub tally: Tally,
    /// The new flows of each target.
    pub placed: [usize; AGENTS as usize],
    /// The new flows that each agent has refused.
    pub refused_by: [usize; AGENTS as usize],
    machines: Vec<Machine>,
    balancers: Vec<BalancerFlows>,
    open: BTreeMap<FlowKey, OpenRequest>,
    rng: ChaCha8Rng,
    next_port: u16,
}

impl LoadModel {
    pub fn new(settings: &FlowSettings, seed: u64) -> Self {
        let (mut balancer, ctx) =
            balancer_with_settings(settings, AGENTS, RequestKind::NonIdempotent);
        let mut fleet = fleet_settings(RequestKind::NonIdempotent);
        fleet.table.version += 1;
        for route in fleet.table.routes.values_mut() {
            route.latency_goal_ms = GOAL_MS as u16;
        }
        balancer.on_fleet_settings(fleet, &ctx);
        let machine = |number: u8| Machine {
            agent: new_agent_with_settings(settings, ProcessIncarnation(u32::from(number))),
            target: Target::new(CAPACITY),
            fault: Fault::None,
        };
        Self {
            now_ms: ctx.now_ms,
            tally: Tally::default(),
            placed: [0; AGENTS as usize],
            refused_by: [0; AGENTS as usize],
            machines: (1..=AGENTS).map(machine).collect(),
            balancers: (0..BALANCERS).map(|_| balancer.clone()).collect(),
            open: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_port: 1,
        }
    }

    pub fn set_fault(&mut self, targets: Range<usize>, fault: Fault) {
        for machine in &mut self.machines[targets] {
            machine.fault = fault;
        }
    }

    /// Runs the model with `load` of the capacity of healthy targets, and returns what became of the
    /// requests of this time.
    pub fn run(&mut self, duration_ms: u64, load: f64) -> Tally {
        self.tally = Tally::default();
        self.placed = [0; AGENTS as usize];
        self.refused_by = [0; AGENTS as usize];
        let mean_work_ms = WORK_MS as f64 * (0.97 + 0.03 * 7.0);
        let per_ms = load * f64::from(AGENTS) * f64::from(CAPACITY) / mean_work_ms;
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.step_targets();
            self.exchange_messages();
            let mut arrivals = per_ms;
            while arrivals > 0.0 {
                if self.rng.random::<f64>() < arrivals.min(0.1) {
                    self.open_flow();
                }
                arrivals -= 0.1;
            }
        }
        self.tally
    }

    /// Returns the targets that count as slow or avoided at the first balancer.
    pub fn ranked(&self) -> BTreeSet<usize> {
        self.balancers[0]
            .agents()
            .ranked_targets()
            .map(|(agent, _)| usize::from(agent.octets()[3]) - 1)
            .collect()
    }

    fn step_targets(&mut self) {
        let ctx = context(self.now_ms);
        for machine in &mut self.machines {
            for flow in machine.target.step(self.now_ms) {
                let answer = from_target(data(flow, 50));
                machine.agent.on_target_packet(&answer, &ctx);
                let Some(request) = self.open.remove(&flow) else {
                    continue;
                };
                if self.now_ms - request.requested_ms <= GOAL_MS {
                    self.tally.in_time += 1;
                } else {
                    self.tally.late += 1;
                }
            }
        }
        self.end_overdue_requests();
    }

    /// Resets the flows of requests that have reached the callers' limit.
    fn end_overdue_requests(&mut self) {
        let ctx = context(self.now_ms);
        let before_ms = self.now_ms.saturating_sub(LIMIT_MS);
        let is_overdue = |_: &FlowKey, request: &mut OpenRequest| request.requested_ms < before_ms;
        for (flow, request) in self.open.extract_if(.., is_overdue) {
            let machine = &mut self.machines[request.machine];
            let header = forward_header(balancer_ip(1));
            machine.agent.on_packet(&header, &reset(flow), &ctx);
            machine.target.cancel(flow);
            self.tally.unanswered += 1;
        }
    }

    fn exchange_messages(&mut self) {
        let ctx = context(self.now_ms);
        for (number, machine) in self.machines.iter_mut().enumerate() {
            let phase_ms = self.now_ms + 11 * number as u64;
            if phase_ms.is_multiple_of(HEARTBEAT_MS) || self.now_ms == 10_001 {
                let heartbeat = TargetHeartbeat {
                    capacity: CAPACITY,
                    ..target_heartbeat(self.now_ms)
                };
                machine.agent.on_target_heartbeat(&heartbeat, &ctx);
            }
            let mut is_due = phase_ms.is_multiple_of(REPORT_MS);
            if phase_ms.is_multiple_of(50) {
                machine.agent.on_tick(&ctx);
                is_due |= machine.agent.take_health_change(&ctx).is_some();
            }
            if is_due {
                for balancer in &mut self.balancers {
                    let report = machine.agent.report(balancer_ip(1), &ctx);
                    balancer.on_report(agent_ip(number as u8 + 1), report, &ctx);
                }
            }
        }
        if self.now_ms.is_multiple_of(50) {
            for balancer in &mut self.balancers {
                balancer.on_balancers(&balancer_entries(), &ctx);
                balancer.on_tick(&ctx);
            }
        }
    }

    fn open_flow(&mut self) {
        let flow = flow(self.next_port);
        self.next_port += 1;
        self.tally.offered += 1;
        let ctx = context(self.now_ms);
        let balancer = usize::from(self.next_port % u16::from(BALANCERS));
        let mut verdict = self.balancers[balancer].on_packet(&syn(flow, 0), &ctx);
        while let Verdict::Forward(next_hop) = verdict {
            let number = usize::from(next_hop.agent.octets()[3]) - 1;
            let agent = &mut self.machines[number].agent;
            let CallerVerdict::Return { code } =
                agent.on_packet(&next_hop.header, &syn(flow, 0), &ctx)
            else {
                self.begin_request(flow, number);
                return;
            };
            self.refused_by[number] += 1;
            let returned = Returned {
                code,
                service: next_hop.header.service,
            };
            verdict =
                self.balancers[balancer].on_returned(next_hop.agent, returned, &syn(flow, 0), &ctx);
        }
        self.tally.refused += 1;
    }

    fn begin_request(&mut self, flow: FlowKey, number: usize) {
        let ctx = context(self.now_ms);
        let is_long = self.rng.random::<f64>() < 0.03;
        let machine = &mut self.machines[number];
        machine.agent.on_target_packet(&accepted(flow), &ctx);
        let header = forward_header(balancer_ip(1));
        machine.agent.on_packet(&header, &data(flow, 100), &ctx);
        let work_ms = WORK_MS * if is_long { 7 } else { 1 };
        let work_ms = match machine.fault {
            Fault::Hang(share) if self.rng.random::<f64>() < share => u64::from(u32::MAX),
            Fault::Slow(factor) => work_ms * factor,
            Fault::None | Fault::Hang(_) => work_ms,
        };
        machine.target.enqueue(flow, work_ms);
        self.placed[number] += 1;
        let request = OpenRequest {
            machine: number,
            requested_ms: self.now_ms,
        };
        self.open.insert(flow, request);
    }
}

/// The balancers, which share the probe flows.
pub fn balancer_entries() -> Vec<BalancerEntry> {
    let entry = |number: u8| BalancerEntry {
        ip: balancer_ip(number),
        domain: DomainId(0),
        incarnation: ProcessIncarnation(u32::from(number)),
        age_ms: 0,
    };
    (1..=BALANCERS).map(entry).collect()
}
