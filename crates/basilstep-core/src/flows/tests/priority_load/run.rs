//! A balancer, its agents and targets without a network, and callers that send their SYNs again.

use crate::{
    context::Context,
    flows::{
        AgentFlows, BalancerFlows, FleetSettings, FlowKey, ForwardHeader, RequestKind, Returned,
        Route, Segment,
        agent::{CallerVerdict, QueueOutcome, TargetHeartbeat},
        balancer::Verdict,
        tests::{
            accepted, agent_ip, balancer_ip, balancer_with, context, data, fleet_settings,
            from_target, new_agent, service, service_address, syn, target::Target,
            target_heartbeat,
        },
    },
};
use rand::RngExt;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

pub const SLOTS: u16 = 5;
const START_MS: u64 = 10_000;
const SYN_TIMES_MS: [u64; 4] = [0, 200, 600, 1_400];
const MAX_ATTEMPTS: u32 = 3;
const REPORT_MS: u64 = 250;
const TICK_MS: u64 = 50;
const CALLER_PORT: u16 = 1_000;

/// Requests of one route.
#[derive(Clone, Copy)]
pub struct Load {
    pub level: u8,
    per_s: f64,
    work_ms: u64,
    goal_ms: u16,
}

pub const QUERY: Load = Load {
    level: 0,
    per_s: 75.0,
    work_ms: 72,
    goal_ms: 400,
};

pub const FEED: Load = Load {
    level: 1,
    per_s: 262.0,
    work_ms: 55,
    goal_ms: 300,
};

impl Load {
    pub const fn times(self, factor: f64) -> Self {
        Self {
            per_s: self.per_s * factor,
            ..self
        }
    }

    pub const fn with_goal(self, goal_ms: u16) -> Self {
        Self { goal_ms, ..self }
    }

    fn service_address(self) -> SocketAddrV4 {
        let port = service_address().port() + u16::from(self.level);
        SocketAddrV4::new(*service_address().ip(), port)
    }
}

/// A request whose caller waits for its response.
struct Request {
    load: Load,
    started_ms: u64,
    /// When the flow of the present attempt sent its first SYN.
    attempt_ms: u64,
    attempts: u32,
    next_syn: u32,
    is_sent: bool,
}

/// What became of the requests of one level.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub offered: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    /// The duration of the work of the requests that were sent to targets.
    pub work_ms: u64,
}

impl Outcome {
    /// Returns the share of the requests that have ended, in thousandths, that were in time.
    pub fn in_time_permille(&self) -> usize {
        self.in_time * 1_000 / (self.in_time + self.late + self.refused).max(1)
    }
}

struct Machine {
    agent: AgentFlows,
    target: Target,
}

pub struct Run {
    ctx: Context,
    balancer: BalancerFlows,
    machines: BTreeMap<Ipv4Addr, Machine>,
    requests: BTreeMap<FlowKey, Request>,
    outcomes: BTreeMap<u8, Outcome>,
    next_flow: u32,
    /// How long each SYN was queued that has left the queue.
    pub queue_waits_ms: Vec<u64>,
    /// How many of them had waited for as long as they may.
    pub expired: usize,
    pub max_queued: usize,
    pub admitted_from_queue: usize,
}

impl Run {
    pub fn start(targets: u8, loads: &[Load]) -> Self {
        let (mut balancer, ctx) = balancer_with(targets, RequestKind::NonIdempotent);
        balancer.on_fleet_settings(routes(loads), &ctx);
        let machines = (1..=targets)
            .map(|number| (agent_ip(number), Machine::start()))
            .collect();
        Self {
            ctx: context(START_MS),
            balancer,
            machines,
            requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            next_flow: 0,
            queue_waits_ms: Vec::new(),
            expired: 0,
            max_queued: 0,
            admitted_from_queue: 0,
        }
    }

    /// Runs the loads for `duration_ms`; returns the outcomes of the requests that ended in it.
    pub fn run(&mut self, loads: &[Load], duration_ms: u64) -> BTreeMap<u8, Outcome> {
        self.outcomes.clear();
        for _ in 0..duration_ms {
            self.ctx.advance(1);
            self.step_targets();
            self.step_callers();
            for load in loads {
                if self.ctx.rng.random_bool(load.per_s / 1_000.0) {
                    self.outcomes.entry(load.level).or_default().offered += 1;
                    let started_ms = self.ctx.now_ms;
                    self.open_flow(*load, started_ms, 1);
                }
            }
            self.check_machines();
        }
        self.outcomes.clone()
    }

    fn open_flow(&mut self, load: Load, started_ms: u64, attempts: u32) {
        self.next_flow += 1;
        let caller = Ipv4Addr::from_bits(0x6440_0000 + self.next_flow);
        let flow = FlowKey {
            caller: SocketAddrV4::new(caller, CALLER_PORT),
            service_address: load.service_address(),
        };
        let request = Request {
            load,
            started_ms,
            attempt_ms: self.ctx.now_ms,
            attempts,
            next_syn: 1,
            is_sent: false,
        };
        self.requests.insert(flow, request);
        self.send_syn(flow, 0);
    }

    fn send_syn(&mut self, flow: FlowKey, retransmission: u32) {
        let packet = syn(flow, retransmission);
        let verdict = self.balancer.on_packet(&packet, &self.ctx);
        self.execute(&verdict, &packet);
    }

    fn execute(&mut self, verdict: &Verdict, packet: &Segment) {
        match verdict {
            Verdict::Forward(next_hop) => self.forward(next_hop.agent, &next_hop.header, packet),
            Verdict::Reset { .. } => self.end_attempt(packet.flow_of_caller()),
            Verdict::Drop { .. } | Verdict::Search(_) => {}
        }
    }

    fn forward(&mut self, ip: Ipv4Addr, header: &ForwardHeader, packet: &Segment) {
        let Some(machine) = self.machines.get_mut(&ip) else {
            return;
        };
        let verdict = machine.agent.on_packet(header, packet, &self.ctx);
        if verdict == CallerVerdict::Queue {
            let bytes = encode_syn(packet);
            machine.agent.queue_syn(header, packet, &bytes, &self.ctx);
        }
        self.conclude(ip, header, packet, verdict);
        self.release(ip);
    }

    /// Does with a SYN what its agent decided.
    fn conclude(
        &mut self,
        ip: Ipv4Addr,
        header: &ForwardHeader,
        packet: &Segment,
        verdict: CallerVerdict,
    ) {
        match verdict {
            CallerVerdict::Deliver { .. } => self.deliver(ip, header, packet.flow_of_caller()),
            CallerVerdict::Return { code } => {
                let returned = Returned {
                    code,
                    service: service(),
                };
                let verdict = self.balancer.on_returned(ip, returned, packet, &self.ctx);
                self.execute(&verdict, packet);
            }
            CallerVerdict::Queue => {}
        }
    }

    /// Opens a flow at a target, whose caller sends its request at once.
    fn deliver(&mut self, ip: Ipv4Addr, header: &ForwardHeader, flow: FlowKey) {
        let machine = self.machines.get_mut(&ip).unwrap();
        machine.agent.on_target_packet(&accepted(flow), &self.ctx);
        for (balancer, held) in machine.agent.take_advertisements() {
            assert_eq!(balancer, header.origin);
            self.balancer.on_held_flows(ip, &held, &self.ctx);
        }
        let Some(request) = self
            .requests
            .get_mut(&flow)
            .filter(|request| !request.is_sent)
        else {
            return;
        };
        request.is_sent = true;
        let variation = self.ctx.rng.random_range(50..=150);
        let work_ms = request.load.work_ms * variation / 100;
        let level = request.load.level;
        machine.agent.on_packet(header, &data(flow, 100), &self.ctx);
        machine.target.enqueue(flow, work_ms);
        self.outcomes.entry(level).or_default().work_ms += work_ms;
    }

    fn release(&mut self, ip: Ipv4Addr) {
        let machine = self.machines.get_mut(&ip).unwrap();
        self.max_queued = self.max_queued.max(machine.agent.queued());
        for released in machine.agent.take_released(&self.ctx) {
            self.queue_waits_ms.push(released.waited_ms);
            match released.outcome {
                QueueOutcome::Admitted => self.admitted_from_queue += 1,
                QueueOutcome::Expired => self.expired += 1,
                QueueOutcome::Evicted | QueueOutcome::Withdrawn => {}
            }
            let packet = decode_syn(&released.packet);
            self.conclude(ip, &released.header, &packet, released.verdict);
        }
    }

    fn step_targets(&mut self) {
        let now_ms = self.ctx.now_ms;
        let ips: Vec<Ipv4Addr> = self.machines.keys().copied().collect();
        for ip in ips {
            let machine = self.machines.get_mut(&ip).unwrap();
            for flow in machine.target.step(now_ms) {
                let response = from_target(data(flow, 50));
                machine.agent.on_target_packet(&response, &self.ctx);
                if let Some(request) = self.requests.remove(&flow) {
                    let outcome = self.outcomes.entry(request.load.level).or_default();
                    if now_ms - request.started_ms <= u64::from(request.load.goal_ms) {
                        outcome.in_time += 1;
                    } else {
                        outcome.late += 1;
                    }
                }
            }
            if now_ms.is_multiple_of(TICK_MS) {
                machine.agent.on_tick(&self.ctx);
            }
            if now_ms.is_multiple_of(REPORT_MS) {
                let report = machine.agent.report(balancer_ip(1), &self.ctx);
                self.balancer.on_report(ip, report, &self.ctx);
            }
            self.release(ip);
        }
        if now_ms.is_multiple_of(TICK_MS) {
            self.balancer.on_tick(&self.ctx);
        }
    }

    /// Sends the SYNs again that are due, and ends attempts that have waited for too long.
    fn step_callers(&mut self) {
        let now_ms = self.ctx.now_ms;
        let due: Vec<(FlowKey, u32)> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_sent)
            .filter(|(_, request)| {
                now_ms >= request.attempt_ms + SYN_TIMES_MS[request.next_syn as usize]
            })
            .map(|(flow, request)| (*flow, request.next_syn))
            .collect();
        for (flow, number) in due {
            if number as usize == SYN_TIMES_MS.len() - 1 {
                self.end_attempt(flow);
            } else if let Some(request) = self.requests.get_mut(&flow) {
                request.next_syn += 1;
                self.send_syn(flow, number);
            }
        }
    }

    fn end_attempt(&mut self, flow: FlowKey) {
        let Some(request) = self.requests.remove(&flow) else {
            return;
        };
        assert!(!request.is_sent, "a flow whose target runs was reset");
        if request.attempts < MAX_ATTEMPTS {
            self.open_flow(request.load, request.started_ms, request.attempts + 1);
        } else {
            self.outcomes.entry(request.load.level).or_default().refused += 1;
        }
    }

    /// Checks what holds at any time: no target has a free slot while a SYN waits for it.
    fn check_machines(&self) {
        for (ip, machine) in &self.machines {
            let is_idle = machine.agent.queued() > 0 && machine.target.has_free_slot();
            assert!(!is_idle, "{ip} at {}", self.ctx.now_ms);
        }
    }
}

impl Machine {
    fn start() -> Self {
        let mut agent = new_agent();
        let warm = TargetHeartbeat {
            capacity: SLOTS,
            ..target_heartbeat(1)
        };
        agent.on_target_heartbeat(&warm, &context(START_MS));
        Self {
            agent,
            target: Target::new(SLOTS),
        }
    }
}

/// Routes of two priorities to one service.
fn routes(loads: &[Load]) -> FleetSettings {
    let mut fleet = fleet_settings(RequestKind::NonIdempotent);
    let route = fleet.table.routes[&service_address()].clone();
    for load in loads {
        let route = Route {
            latency_goal_ms: load.goal_ms,
            priority: load.level,
            ..route.clone()
        };
        fleet.table.routes.insert(load.service_address(), route);
    }
    fleet.table.version = 2;
    fleet
}

fn encode_syn(packet: &Segment) -> Vec<u8> {
    let mut bytes = packet.source.ip().octets().to_vec();
    bytes.push((packet.destination.port() - service_address().port()) as u8);
    bytes.push(packet.acknowledged as u8);
    bytes
}

fn decode_syn(bytes: &[u8]) -> Segment {
    let caller = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    let load = if bytes[4] == 0 { QUERY } else { FEED };
    let flow = FlowKey {
        caller: SocketAddrV4::new(caller, CALLER_PORT),
        service_address: load.service_address(),
    };
    syn(flow, u32::from(bytes[5]))
}
