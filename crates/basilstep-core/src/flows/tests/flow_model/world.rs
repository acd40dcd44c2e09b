//! A fleet without a network: balancers, agents, targets, callers and the store in one thread.

use super::super::{
    HEARTBEAT_MS, accepted, agent_identity, agent_ip, balancer_identity, balancer_ip, bounced,
    context, data, from_target, revision, syn,
};
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        AgentFlows, BalancerFlows, FleetSettings, FlowKey, FlowSettings, ForwardHeader,
        InstanceTag, LostFlow, ProcessIncarnation, RequestKind, Returned, Route, RouteTable,
        Segment, ServiceLimits, ServiceShare, ServiceTag,
        agent::{
            AgentIdentity, CallerVerdict, HeartbeatState, SettingsSource, TargetHeartbeat,
            TargetVerdict,
        },
        balancer::{BalancerIdentity, PastRoutes, RouteHistoryRecord, Verdict},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

const STEP_MS: u64 = 50;
const REPORT_MS: u64 = 250;
const CONFIRMATION_MS: u64 = 1_000;
const BALANCERS: u8 = 3;
const SERVICES: [&str; 3] = ["a", "b", "c"];
const MACHINES_PER_SERVICE: usize = 2;

/// How long a balancer goes on after the beginning of its stop, and routers use it.
const BALANCER_STOP_MS: u64 = 1_800;
const ROUTERS_NOTICE_MS: u64 = 1_000;

/// How long an agent goes on if its target is at work.
const AGENT_STOP_MS: u64 = 1_000;

/// How long after a machine was cut off flows may be reset whose requests are repeated.
const CONTACT_MS: u64 = 4_000;

/// How long after a change others read what was recorded.
const RECORDING_MS: u64 = 1_500;

const REGISTRATION_MS: u64 = 10_000;
const REGISTRATION_TTL_MS: u64 = 30_000;

/// The wall clock at the start of the model.
const WALL_CLOCK_MS: u64 = 1_700_000_000_000;

const REPORT_LOSS: f64 = 0.05;

/// What happens at a set time.
#[derive(Clone, Copy, Debug)]
pub enum Planned {
    StopAgent(usize),
    EndAgent(usize),
    StartAgent(usize),
    StartTarget(usize),
    StopBalancer(usize),
    EndBalancer(usize),
    StartBalancer(usize),
    ReadStore(usize),
    ApplySettings(usize),
}

struct Held {
    opened_ms: u64,
    used_ms: u64,
}

pub struct Target {
    held: BTreeMap<FlowKey, Held>,
    instance: InstanceTag,
    born_unix_ms: u64,
    heartbeats: u64,
    pub busy_until_ms: u64,
    /// Requests whose answers are due when the target is no longer busy.
    waiting: BTreeSet<FlowKey>,
}

pub struct Agent {
    pub flows: AgentFlows,
    source: SettingsSource,
    is_stopping: bool,
}

pub struct Machine {
    ip: Ipv4Addr,
    service: ServiceTag,
    pub agent: Option<Agent>,
    pub target: Option<Target>,
    pub cut_until_ms: u64,
}

pub struct Balancer {
    ip: Ipv4Addr,
    flows: Option<BalancerFlows>,
    started_ms: u64,
    stopping_since_ms: Option<u64>,
    registered: Option<(u16, u64)>,
}

/// A flow as its caller sees it.
struct CallerFlow {
    resend_ms: Option<u64>,
    tries: u32,
    is_reset: bool,
}

pub struct World {
    now_ms: u64,
    incarnations: u32,
    pub rng: ChaCha8Rng,
    pub balancers: Vec<Balancer>,
    pub machines: Vec<Machine>,
    planned: Vec<(u64, Planned)>,
    callers: BTreeMap<FlowKey, CallerFlow>,
    next_port: u16,
    settings: FleetSettings,
    is_first_version: bool,
    record: Option<(RouteHistoryRecord, u64)>,
    flow_max_age_ms: u64,
    violations: Vec<String>,
}

fn addresses() -> [(SocketAddrV4, RequestKind); 2] {
    let at = |port| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port);
    [
        (at(443), RequestKind::Idempotent),
        (at(444), RequestKind::NonIdempotent),
    ]
}

fn kind_of(flow: &FlowKey) -> RequestKind {
    let known = addresses();
    let route = known
        .iter()
        .find(|(address, _)| *address == flow.service_address);
    route.map_or(RequestKind::NonIdempotent, |(_, kind)| *kind)
}

impl World {
    /// Starts a fleet with limits drawn from the seed and runs it until its processes know each
    /// other.
    pub fn start(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let flow_max_age_ms = [8_000, 20_000, 60_000][rng.random_range(0..3)];
        let mut world = Self {
            now_ms: STEP_MS,
            incarnations: 0,
            rng,
            balancers: Vec::new(),
            machines: Vec::new(),
            planned: Vec::new(),
            callers: BTreeMap::new(),
            next_port: 1_000,
            settings: FleetSettings::default(),
            is_first_version: true,
            record: None,
            flow_max_age_ms,
            violations: Vec::new(),
        };
        world.write_first_settings();
        for number in 1..=BALANCERS {
            world.balancers.push(Balancer {
                ip: balancer_ip(number),
                flows: None,
                started_ms: 0,
                stopping_since_ms: None,
                registered: None,
            });
            world.execute_planned(Planned::StartBalancer(usize::from(number) - 1));
        }
        for index in 0..SERVICES.len() * MACHINES_PER_SERVICE {
            world.machines.push(Machine {
                ip: agent_ip(index as u8 + 1),
                service: ServiceTag::of(SERVICES[index % SERVICES.len()]),
                agent: None,
                target: None,
                cut_until_ms: 0,
            });
            let agent_delay_ms = world.rng.random_range(0..300);
            let target_delay_ms = world.rng.random_range(0..300);
            let now_ms = world.now_ms;
            world.plan(now_ms + agent_delay_ms, Planned::StartAgent(index));
            world.plan(now_ms + target_delay_ms, Planned::StartTarget(index));
        }
        world.run(3_000);
        world
    }

    pub const fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub const fn flow_lifetime_ms(&self) -> u64 {
        self.flow_max_age_ms
    }

    pub fn into_violations(self) -> Vec<String> {
        self.violations
    }

    pub fn context(&self) -> Context {
        context(self.now_ms)
    }

    pub fn plan(&mut self, at_ms: u64, planned: Planned) {
        self.planned.push((at_ms, planned));
    }

    pub fn run(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.planned = later;
        for (_, planned) in due {
            self.execute_planned(planned);
        }
        if now_ms.is_multiple_of(REPORT_MS) {
            self.exchange_heartbeats();
            self.send_reports(REPORT_LOSS);
        }
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            for index in 0..self.machines.len() {
                self.send_target_heartbeat(index);
            }
        }
        self.answer_waiting();
        self.tick();
        self.resend();
    }

    fn tick(&mut self) {
        let ctx = self.context();
        for machine in &mut self.machines {
            if let Some(agent) = &mut machine.agent {
                agent.flows.on_tick(&ctx);
            }
        }
        self.deliver_advertisements();
        for index in 0..self.balancers.len() {
            let Some(flows) = &mut self.balancers[index].flows else {
                continue;
            };
            if ctx.now_ms.is_multiple_of(CONFIRMATION_MS) {
                flows.on_settings_confirmed(ctx.now_ms);
            }
            let lost = flows.on_tick(&ctx).lost;
            let own = flows.route_history_record(&ctx);
            self.record_routes(own);
            self.register(index);
            for lost in lost {
                self.reset(lost.flow, "a balancer's tick");
            }
        }
    }

    fn record_routes(&mut self, own: Option<RouteHistoryRecord>) {
        let Some(mut own) = own else {
            return;
        };
        if let Some(known) = self.stored_record() {
            if known.covers(&own) {
                return;
            }
            own.add_missing(&known);
        }
        self.record = Some((own, self.now_ms));
    }

    fn stored_record(&self) -> Option<RouteHistoryRecord> {
        let (record, written_ms) = self.record.as_ref()?;
        let mut record = record.clone();
        record.add_age(self.now_ms - written_ms);
        Some(record)
    }

    fn register(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let balancer = &mut self.balancers[index];
        let Some(flows) = &balancer.flows else {
            return;
        };
        let is_due = now_ms == balancer.started_ms + 1_000
            || (now_ms - balancer.started_ms).is_multiple_of(REGISTRATION_MS);
        if !is_due {
            return;
        }
        let is_first = now_ms < balancer.started_ms + REGISTRATION_MS;
        let former = balancer.registered.filter(|_| is_first);
        let agents = flows
            .known_agents()
            .max(former.map_or(0, |(agents, _)| agents));
        balancer.registered = Some((agents, now_ms));
    }

    fn execute_planned(&mut self, planned: Planned) {
        let now_ms = self.now_ms;
        match planned {
            Planned::StopAgent(index) => {
                let stops = match &mut self.machines[index].agent {
                    Some(agent) if !agent.is_stopping => {
                        agent.is_stopping = true;
                        agent.flows.stop();
                        true
                    }
                    _ => false,
                };
                if stops {
                    let is_idle = self.machines[index]
                        .agent
                        .as_ref()
                        .is_some_and(|agent| agent.flows.table().at_work() == 0);
                    let stop_ms = if is_idle { STEP_MS } else { AGENT_STOP_MS };
                    self.send_reports(0.0);
                    self.plan(now_ms + stop_ms, Planned::EndAgent(index));
                }
            }
            Planned::EndAgent(index) => {
                self.send_reports(0.0);
                self.machines[index].agent = None;
                let down_ms = self.rng.random_range(100..4_000);
                self.plan(now_ms + down_ms, Planned::StartAgent(index));
            }
            Planned::StartAgent(index) => self.start_agent(index),
            Planned::StartTarget(index) => {
                self.machines[index].target = Some(Target {
                    held: BTreeMap::new(),
                    instance: InstanceTag::of(&now_ms.to_string()),
                    born_unix_ms: WALL_CLOCK_MS + now_ms,
                    heartbeats: 0,
                    busy_until_ms: 0,
                    waiting: BTreeSet::new(),
                });
                self.send_target_heartbeat(index);
            }
            Planned::StopBalancer(index) => {
                let balancer = &mut self.balancers[index];
                let Some(flows) = &mut balancer.flows else {
                    return;
                };
                if balancer.stopping_since_ms.is_none() {
                    flows.stop();
                    balancer.stopping_since_ms = Some(now_ms);
                    self.plan(now_ms + BALANCER_STOP_MS, Planned::EndBalancer(index));
                }
            }
            Planned::EndBalancer(index) => {
                self.exchange_heartbeats();
                self.balancers[index].flows = None;
                let down_ms = self.rng.random_range(100..2_000);
                self.plan(now_ms + down_ms, Planned::StartBalancer(index));
            }
            Planned::StartBalancer(index) => self.start_balancer(index),
            Planned::ReadStore(index) => self.read_store(index),
            Planned::ApplySettings(index) => self.apply_settings(index),
        }
    }

    fn start_agent(&mut self, index: usize) {
        self.incarnations += 1;
        let ctx = self.context();
        let machine = &mut self.machines[index];
        let own = AgentIdentity {
            service: machine.service,
            flow_max_age_ms: self.flow_max_age_ms,
            ..agent_identity(ProcessIncarnation(self.incarnations))
        };
        machine.agent = Some(Agent {
            flows: AgentFlows::new(FlowSettings::default(), own, &ctx),
            source: SettingsSource::default(),
            is_stopping: false,
        });
        self.send_reports(0.0);
    }

    fn start_balancer(&mut self, index: usize) {
        self.incarnations += 1;
        let ctx = self.context();
        let balancer = &mut self.balancers[index];
        let own = BalancerIdentity {
            ip: balancer.ip,
            incarnation: ProcessIncarnation(self.incarnations),
            flow_max_age_ms: self.flow_max_age_ms,
            ..balancer_identity()
        };
        balancer.flows = Some(BalancerFlows::new(FlowSettings::default(), own, &ctx));
        balancer.started_ms = ctx.now_ms;
        balancer.stopping_since_ms = None;
        self.exchange_heartbeats();
        for planned in [Planned::ReadStore(index), Planned::ApplySettings(index)] {
            let delay_ms = self.rng.random_range(0..400);
            self.plan(ctx.now_ms + delay_ms, planned);
        }
    }

    fn read_store(&mut self, index: usize) {
        let ctx = self.context();
        let past = match self.stored_record() {
            Some(record) => Some(PastRoutes::Recorded(record)),
            None if self.is_first_version => Some(PastRoutes::NeverChanged),
            None => None,
        };
        let registered: Vec<u16> = self
            .balancers
            .iter()
            .filter_map(|balancer| balancer.registered)
            .filter(|(_, at_ms)| ctx.now_ms < at_ms + REGISTRATION_TTL_MS)
            .map(|(agents, _)| agents)
            .collect();
        if let Some(flows) = &mut self.balancers[index].flows {
            for agents in registered {
                flows.on_registered_agents(agents);
            }
            if let Some(past) = past {
                flows.on_past_routes(&past, &ctx);
            }
        }
    }

    fn apply_settings(&mut self, index: usize) {
        let ctx = self.context();
        let settings = self.settings.clone();
        if let Some(flows) = &mut self.balancers[index].flows {
            flows.on_fleet_settings(settings, &ctx);
        }
    }

    fn write_first_settings(&mut self) {
        let mut table = RouteTable {
            version: 1,
            idle_timeout_ms: 15_000,
            ..RouteTable::default()
        };
        for (index, (address, kind)) in addresses().into_iter().enumerate() {
            let route = Route {
                kind,
                shares: vec![ServiceShare {
                    service: ServiceTag::of(SERVICES[index]),
                    weight: 1,
                }],
                ..Route::default()
            };
            table.routes.insert(address, route);
        }
        for service in SERVICES {
            table
                .services
                .insert(ServiceTag::of(service), ServiceLimits::default());
        }
        self.settings = FleetSettings {
            table,
            revision: revision(1),
            ..FleetSettings::default()
        };
    }

    pub fn move_route(&mut self) {
        let (address, _) = addresses()[self.rng.random_range(0..2)];
        let service = ServiceTag::of(SERVICES[self.rng.random_range(0..SERVICES.len())]);
        if let Some(route) = self.settings.table.routes.get_mut(&address) {
            route.shares[0].service = service;
        }
        self.write_settings();
    }

    pub fn change_idle_timeout(&mut self) {
        self.settings.table.idle_timeout_ms = self.rng.random_range(2_000..40_000);
        self.write_settings();
    }

    fn write_settings(&mut self) {
        self.settings.table.version += 3;
        self.settings.revision = revision(self.settings.table.version);
        self.is_first_version = false;
        let ctx = self.context();
        for index in 0..self.balancers.len() {
            let flows = self.balancers[index].flows.as_ref();
            // Those that watch the store miss no version; others may pull a later one.
            if flows.is_some_and(|flows| flows.watches_settings(&ctx)) {
                self.apply_settings(index);
            } else {
                let delay_ms = self.rng.random_range(0..500);
                self.plan(ctx.now_ms + delay_ms, Planned::ApplySettings(index));
            }
            self.plan(ctx.now_ms + RECORDING_MS, Planned::ReadStore(index));
        }
    }

    pub fn end_target(&mut self, index: usize) {
        if self.machines[index].target.take().is_some() {
            let down_ms = self.rng.random_range(100..3_000);
            let now_ms = self.now_ms;
            self.plan(now_ms + down_ms, Planned::StartTarget(index));
        }
    }

    fn send_target_heartbeat(&mut self, index: usize) {
        let ctx = self.context();
        let machine = &mut self.machines[index];
        let (Some(target), Some(agent)) = (&mut machine.target, &mut machine.agent) else {
            return;
        };
        target.heartbeats += 1;
        let heartbeat = TargetHeartbeat {
            instance: target.instance,
            born_ms: target.born_unix_ms,
            sequence: target.heartbeats,
            state: HeartbeatState::Ready,
            capacity: 9,
            warmup_left_ms: 0,
            age_ms: None,
        }
        .arrived_at(WALL_CLOCK_MS + ctx.now_ms);
        let (_, lost) = agent.flows.on_target_heartbeat(&heartbeat, &ctx);
        self.reset_all(lost, "a new incarnation");
        self.send_reports(0.0);
    }

    fn reset_all(&mut self, lost: Vec<LostFlow>, by: &str) {
        for lost in lost {
            self.reset(lost.flow, by);
        }
    }

    fn exchange_heartbeats(&mut self) {
        let ctx = self.context();
        let heartbeats: Vec<_> = self
            .balancers
            .iter()
            .filter_map(|balancer| Some((balancer.ip, balancer.flows.as_ref()?.heartbeat(&ctx))))
            .collect();
        for balancer in &mut self.balancers {
            let ip = balancer.ip;
            if let Some(flows) = &mut balancer.flows {
                for (peer, heartbeat) in heartbeats.iter().filter(|(peer, _)| *peer != ip) {
                    flows.on_heartbeat(*peer, heartbeat, &ctx);
                }
            }
        }
    }

    /// Sends a report of each agent to each balancer, of which a share is lost.
    fn send_reports(&mut self, loss: f64) {
        let ctx = self.context();
        self.deliver_advertisements();
        let mut searched = Vec::new();
        for machine in &mut self.machines {
            let Some(agent) = &mut machine.agent else {
                continue;
            };
            let source = agent
                .source
                .next(agent.flows.balancers(), balancer_identity().domain);
            for balancer in &mut self.balancers {
                let Some(flows) = &mut balancer.flows else {
                    continue;
                };
                if ctx.now_ms < machine.cut_until_ms || self.rng.random_bool(loss) {
                    continue;
                }
                let mut report = agent.flows.report(balancer.ip, &ctx);
                report.wants_reply = source.is_none() || source == Some(balancer.ip);
                if flows.on_report(machine.ip, report, &ctx) {
                    for asked in flows.take_search_packets(machine.ip) {
                        searched.push((balancer.ip, asked));
                    }
                }
                if flows.has_advertisement_gap(machine.ip) {
                    agent.flows.readvertise_all(balancer.ip, &ctx);
                }
                if report.wants_reply {
                    agent.source.on_reply(ctx.now_ms);
                    let reply = flows.reply_to(machine.ip, &report, &ctx);
                    agent.flows.on_reply(&reply, &ctx);
                    let entries = flows.balancers().entries(ctx.now_ms);
                    agent.flows.on_balancers(&entries, &ctx);
                }
            }
        }
        for (balancer, asked) in searched {
            let (port, address) = decode_packet(&asked.packet);
            let flow = FlowKey {
                service_address: address,
                ..super::super::flow(port)
            };
            let next_hop = asked.next_hop;
            self.forward(balancer, next_hop.agent, &next_hop.header, &data(flow, 100));
        }
    }

    fn deliver_advertisements(&mut self) {
        let ctx = self.context();
        for machine in &mut self.machines {
            let Some(agent) = &mut machine.agent else {
                continue;
            };
            for (ip, held) in agent.flows.take_advertisements() {
                let balancer = self
                    .balancers
                    .iter_mut()
                    .find(|balancer| balancer.ip == ip)
                    .and_then(|balancer| balancer.flows.as_mut());
                if let Some(flows) = balancer
                    && ctx.now_ms >= machine.cut_until_ms
                {
                    flows.on_held_flows(machine.ip, &held, &ctx);
                }
            }
        }
    }

    pub fn open_flow(&mut self) {
        let (address, _) = addresses()[self.rng.random_range(0..2)];
        self.next_port += 1;
        let flow = FlowKey {
            service_address: address,
            ..super::super::flow(self.next_port)
        };
        self.route_packet(&syn(flow, 0));
        if self.holder_of(&flow).is_some() {
            self.callers.insert(
                flow,
                CallerFlow {
                    resend_ms: None,
                    tries: 0,
                    is_reset: false,
                },
            );
            self.route_packet(&data(flow, 0));
        }
    }

    pub fn send_random_request(&mut self) {
        let open: Vec<FlowKey> = self
            .callers
            .iter()
            .filter(|(_, caller)| !caller.is_reset)
            .map(|(flow, _)| *flow)
            .collect();
        if !open.is_empty() {
            let flow = open[self.rng.random_range(0..open.len())];
            self.send_request(flow);
        }
    }

    fn send_request(&mut self, flow: FlowKey) {
        let now_ms = self.now_ms;
        if let Some(caller) = self.callers.get_mut(&flow) {
            caller.resend_ms = Some(now_ms + 200);
            caller.tries = 0;
        }
        self.route_packet(&data(flow, 100));
    }

    fn resend(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (flow, caller) in &mut self.callers {
            if caller.resend_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                caller.tries += 1;
                let interval_ms = (200 << caller.tries.min(3)).min(1_600);
                caller.resend_ms = (caller.tries < 6).then_some(now_ms + interval_ms);
                due.push(*flow);
            }
        }
        for flow in due {
            self.route_packet(&data(flow, 100));
        }
    }

    /// Routes a packet like the network: by a hash over the balancers in rotation.
    fn route_packet(&mut self, segment: &Segment) {
        let ctx = self.context();
        let running = |balancer: &&Balancer| balancer.flows.is_some();
        let in_rotation = |balancer: &&Balancer| {
            let notices = |since_ms| ctx.now_ms < since_ms + ROUTERS_NOTICE_MS;
            let is_ready = balancer
                .flows
                .as_ref()
                .is_some_and(|flows| flows.is_ready(&ctx));
            is_ready || balancer.stopping_since_ms.is_some_and(notices)
        };
        let mut used: Vec<Ipv4Addr> = self
            .balancers
            .iter()
            .filter(in_rotation)
            .map(|balancer| balancer.ip)
            .collect();
        if used.is_empty() {
            used = self
                .balancers
                .iter()
                .filter(running)
                .map(|balancer| balancer.ip)
                .collect();
        }
        if used.is_empty() {
            return;
        }
        let ip = used[segment.flow_of_caller().hash() as usize % used.len()];
        let Some(flows) = self.balancer(ip) else {
            return;
        };
        let verdict = flows.on_packet(segment, &ctx);
        if matches!(verdict, Verdict::Search(_)) {
            flows.keep_search_packet(segment, &encode_packet(segment));
        }
        self.execute(ip, verdict, segment);
        self.deliver_advertisements();
    }

    fn balancer(&mut self, ip: Ipv4Addr) -> Option<&mut BalancerFlows> {
        self.balancers
            .iter_mut()
            .find(|balancer| balancer.ip == ip)
            .and_then(|balancer| balancer.flows.as_mut())
    }

    fn execute(&mut self, balancer: Ipv4Addr, verdict: Verdict, segment: &Segment) {
        match verdict {
            Verdict::Forward(next_hop) => {
                self.forward(balancer, next_hop.agent, &next_hop.header, segment);
            }
            Verdict::Search(next_hops) => {
                for next_hop in next_hops {
                    self.forward(balancer, next_hop.agent, &next_hop.header, segment);
                }
            }
            Verdict::Reset { code } if !segment.is_syn() => {
                self.reset(segment.flow_of_caller(), code.name());
            }
            Verdict::Reset { .. } | Verdict::Drop { .. } => {}
        }
    }

    fn forward(
        &mut self,
        balancer: Ipv4Addr,
        agent: Ipv4Addr,
        header: &ForwardHeader,
        segment: &Segment,
    ) {
        let ctx = self.context();
        let Some(index) = self.machines.iter().position(|machine| machine.ip == agent) else {
            return;
        };
        let machine = &mut self.machines[index];
        let Some(agent) = &mut machine.agent else {
            return;
        };
        if ctx.now_ms < machine.cut_until_ms {
            return;
        }
        let returned = match agent.flows.on_packet(header, segment, &ctx) {
            CallerVerdict::Return { code } => Some((balancer, code)),
            CallerVerdict::Deliver { cookie } => self.deliver(index, segment, cookie),
            CallerVerdict::Queue => unreachable!("all routes have one priority"),
        };
        self.deliver_advertisements();
        if let Some((origin, code)) = returned {
            let returned = Returned {
                code,
                service: header.service,
            };
            let ip = self.machines[index].ip;
            let Some(flows) = self.balancer(origin) else {
                return;
            };
            let verdict = flows.on_returned(ip, returned, segment, &ctx);
            self.execute(origin, verdict, segment);
        }
    }

    /// Handles a packet like a target; returns where the agent returns it.
    fn deliver(
        &mut self,
        index: usize,
        segment: &Segment,
        cookie: u32,
    ) -> Option<(Ipv4Addr, ResultCode)> {
        let ctx = self.context();
        let flow = segment.flow_of_caller();
        let machine = &mut self.machines[index];
        let agent = machine.agent.as_mut()?;
        let Some(target) = &mut machine.target else {
            let lost = agent.flows.on_target_ended(&ctx);
            self.reset_all(lost, "a target that does not listen");
            self.send_reports(0.0);
            return None;
        };
        let answer = if segment.is_syn() {
            target.held.insert(
                flow,
                Held {
                    opened_ms: ctx.now_ms,
                    used_ms: ctx.now_ms,
                },
            );
            accepted(flow)
        } else if let Some(held) = target.held.get_mut(&flow) {
            held.used_ms = ctx.now_ms;
            if segment.data_bytes == 0 {
                return None;
            }
            if ctx.now_ms < target.busy_until_ms {
                target.waiting.insert(flow);
                return None;
            }
            from_target(data(flow, 200))
        } else {
            bounced(*segment, Ipv4Addr::from_bits(cookie))
        };
        match agent.flows.on_target_packet(&answer, &ctx) {
            TargetVerdict::Return { origin, code } => Some((origin, code)),
            TargetVerdict::ToCaller { .. } => {
                self.record_answer(&flow);
                None
            }
            TargetVerdict::Drop => None,
        }
    }

    fn answer_waiting(&mut self) {
        let ctx = self.context();
        let mut answered = Vec::new();
        for machine in &mut self.machines {
            let (Some(target), Some(agent)) = (&mut machine.target, &mut machine.agent) else {
                continue;
            };
            if ctx.now_ms < target.busy_until_ms {
                continue;
            }
            for flow in std::mem::take(&mut target.waiting) {
                agent
                    .flows
                    .on_target_packet(&from_target(data(flow, 200)), &ctx);
                answered.push(flow);
            }
        }
        for flow in answered {
            self.record_answer(&flow);
        }
    }

    fn record_answer(&mut self, flow: &FlowKey) {
        if let Some(caller) = self.callers.get_mut(flow) {
            caller.resend_ms = None;
        }
    }

    fn holder_of(&self, flow: &FlowKey) -> Option<(&Machine, &Held)> {
        self.machines.iter().find_map(|machine| {
            let held = machine.target.as_ref()?.held.get(flow)?;
            Some((machine, held))
        })
    }

    /// Records a reset that a caller receives, and checks that it is right.
    fn reset(&mut self, flow: FlowKey, by: &str) {
        let now_ms = self.now_ms;
        if let Some((machine, held)) = self.holder_of(&flow) {
            let idle_ms = now_ms - held.used_ms;
            let age_ms = now_ms - held.opened_ms;
            let is_within = age_ms < self.flow_max_age_ms
                && idle_ms < u64::from(self.settings.table.idle_timeout_ms);
            let is_presumed_lost = kind_of(&flow) == RequestKind::Idempotent
                && now_ms < machine.cut_until_ms + CONTACT_MS;
            if is_within && !is_presumed_lost {
                self.violations.push(format!(
                    "{now_ms} ms: {by} reset {} ({:?}), held by {}, {age_ms} ms old, idle for {idle_ms} ms",
                    flow.caller,
                    kind_of(&flow),
                    machine.ip
                ));
            }
        }
        if let Some(caller) = self.callers.get_mut(&flow) {
            caller.is_reset = true;
            caller.resend_ms = None;
        }
    }

    /// Checks that lost flows are reset when their callers use them, in a fleet that is calm.
    pub fn check_lost_flows(&mut self, limit_ms: u64) {
        let lost: Vec<FlowKey> = self
            .callers
            .iter()
            .filter(|(flow, caller)| !caller.is_reset && self.holder_of(flow).is_none())
            .map(|(flow, _)| *flow)
            .collect();
        let until_ms = self.now_ms + limit_ms;
        while self.now_ms < until_ms {
            for flow in &lost {
                if !self.callers[flow].is_reset && self.callers[flow].resend_ms.is_none() {
                    self.send_request(*flow);
                }
            }
            self.step();
        }
        for flow in lost {
            if !self.callers[&flow].is_reset {
                self.violations
                    .push(format!("{flow:?} is lost and was not reset"));
            }
        }
    }

    /// Checks that the flows that targets hold are answered.
    pub fn check_open_flows(&mut self, limit_ms: u64) {
        let open: Vec<FlowKey> = self
            .callers
            .iter()
            .filter(|(flow, caller)| !caller.is_reset && self.holder_of(flow).is_some())
            .map(|(flow, _)| *flow)
            .collect();
        for flow in &open {
            self.send_request(*flow);
        }
        self.run(limit_ms);
        for flow in open {
            let caller = &self.callers[&flow];
            if !caller.is_reset && caller.resend_ms.is_some() {
                self.violations
                    .push(format!("{flow:?} is open and was not answered"));
            }
        }
    }
}

/// Encodes what the model needs of a caller's packet.
fn encode_packet(segment: &Segment) -> Vec<u8> {
    let mut bytes = segment.source.port().to_be_bytes().to_vec();
    bytes.extend(segment.destination.port().to_be_bytes());
    bytes
}

fn decode_packet(bytes: &[u8]) -> (u16, SocketAddrV4) {
    let port = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    (
        port(0),
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port(2)),
    )
}
