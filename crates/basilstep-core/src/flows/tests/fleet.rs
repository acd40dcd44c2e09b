//! Balancers, agents and targets connected in one thread, and the restarts that a fleet has to
//! survive.

use super::{
    DRAIN_MS, FLOW_MAX_AGE_MS, HEARTBEAT_MS, accepted, agent_ip, balancer_ip, bounced, context,
    data, fleet_settings, flow, from_target, service, syn,
};
use crate::{
    address::DomainId,
    context::Context,
    flows::{
        AgentFlows, BalancerFlows, FlowKey, FlowSettings, ForwardHeader, InstanceTag,
        ProcessIncarnation, RequestKind, Returned, Segment,
        agent::{
            AgentIdentity, CallerVerdict, ColdAllowance, HeartbeatState, SettingsSource,
            TargetHeartbeat, TargetVerdict,
        },
        balancer::{BalancerIdentity, PastRoutes, Verdict, WatchTimes},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

const STEP_MS: u64 = 50;
const REPORT_MS: u64 = 250;

struct Machine {
    agent: AgentFlows,
    source: SettingsSource,
    held: BTreeSet<FlowKey>,
    born_ms: u64,
    heartbeats: u64,
}

/// A fleet without a network: each packet is handled at once.
pub struct Fleet {
    now_ms: u64,
    runs: u32,
    balancers: BTreeMap<Ipv4Addr, BalancerFlows>,
    machines: BTreeMap<Ipv4Addr, Machine>,
    resets: BTreeSet<FlowKey>,
    /// The flows on which a target has answered a request.
    answered: BTreeSet<FlowKey>,
    wrong_resets: usize,
}

impl Fleet {
    /// Starts a fleet and runs it until its processes know each other.
    pub fn start(balancers: u8, agents: u8) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            runs: 0,
            balancers: BTreeMap::new(),
            machines: BTreeMap::new(),
            resets: BTreeSet::new(),
            answered: BTreeSet::new(),
            wrong_resets: 0,
        };
        for number in 1..=balancers {
            fleet.start_balancer(balancer_ip(number));
        }
        for number in 1..=agents {
            fleet.start_machine(agent_ip(number));
        }
        fleet.run(2_000);
        fleet
    }

    pub const fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Opens `count` flows, spread over the balancers.
    pub fn open_flows(&mut self, count: u16) -> Vec<FlowKey> {
        let first = (self.now_ms % 10_000) as u16;
        let flows: Vec<FlowKey> = (0..count).map(|number| flow(first + number)).collect();
        for flow in &flows {
            self.route_packet(&syn(*flow, 0));
            self.route_packet(&data(*flow, 0));
        }
        flows
    }

    /// Sends a request on an open flow.
    pub fn send_request(&mut self, flow: FlowKey) {
        self.route_packet(&data(flow, 100));
    }

    /// Sends a request on each flow `times` times, 100 ms apart.
    pub fn send_requests(&mut self, flows: &[FlowKey], times: usize) {
        for _ in 0..times {
            for flow in flows {
                self.send_request(*flow);
            }
            self.run(100);
        }
    }

    /// Restarts all processes at once; no earlier state remains.
    pub fn lose_power(&mut self) {
        self.now_ms += 500;
        let balancers: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
        let machines: Vec<Ipv4Addr> = self.machines.keys().copied().collect();
        for balancer in balancers {
            self.start_balancer(balancer);
        }
        for machine in machines {
            self.start_machine(machine);
        }
    }

    /// Restarts all balancers and agents while the targets keep running and nobody has the settings.
    fn restart_processes_without_settings(&mut self) {
        let balancers: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
        for balancer in balancers {
            self.start_balancer_without_settings(balancer);
        }
        let agents: Vec<Ipv4Addr> = self.machines.keys().copied().collect();
        for agent in agents {
            self.restart_agent(agent);
        }
    }

    pub fn count_reset(&self, flows: &[FlowKey]) -> usize {
        flows
            .iter()
            .filter(|flow| self.resets.contains(flow))
            .count()
    }

    pub fn count_held(&self, flows: &[FlowKey]) -> usize {
        flows
            .iter()
            .filter(|flow| {
                self.machines
                    .values()
                    .any(|machine| machine.held.contains(flow))
            })
            .count()
    }

    /// Advances the time.
    pub fn run(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(REPORT_MS) {
                self.exchange_heartbeats();
                self.exchange_reports();
            }
            if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
                self.send_heartbeats();
            }
            let ctx = self.context();
            for balancer in self.balancers.values_mut() {
                let lost = balancer.on_tick(&ctx).lost;
                self.resets.extend(lost.iter().map(|lost| lost.flow));
            }
            self.deliver_advertisements();
        }
    }

    fn context(&self) -> Context {
        context(self.now_ms)
    }

    fn next_incarnation(&mut self) -> ProcessIncarnation {
        self.runs += 1;
        ProcessIncarnation(self.runs)
    }

    fn start_balancer(&mut self, ip: Ipv4Addr) {
        self.start_balancer_without_settings(ip);
        let ctx = self.context();
        if let Some(balancer) = self.balancers.get_mut(&ip) {
            balancer.on_fleet_settings(fleet_settings(RequestKind::Idempotent), &ctx);
            balancer.on_past_routes(&PastRoutes::NeverChanged, &ctx);
        }
    }

    /// Starts a balancer that neither the store nor another balancer gives the settings to.
    fn start_balancer_without_settings(&mut self, ip: Ipv4Addr) {
        let own = BalancerIdentity {
            ip,
            domain: DomainId(0),
            incarnation: self.next_incarnation(),
            watch_times: WatchTimes::default(),
            flow_max_age_ms: FLOW_MAX_AGE_MS,
        };
        let ctx = self.context();
        let balancer = BalancerFlows::new(FlowSettings::default(), own, &ctx);
        self.balancers.insert(ip, balancer);
    }

    fn start_machine(&mut self, ip: Ipv4Addr) {
        let incarnation = self.next_incarnation();
        let machine = Machine {
            agent: self.new_agent(incarnation),
            source: SettingsSource::default(),
            held: BTreeSet::new(),
            born_ms: self.now_ms,
            heartbeats: 0,
        };
        self.machines.insert(ip, machine);
        self.send_target_heartbeat(ip);
    }

    fn new_agent(&self, incarnation: ProcessIncarnation) -> AgentFlows {
        let own = AgentIdentity {
            service: service(),
            domain: DomainId(0),
            incarnation,
            heartbeat_ms: HEARTBEAT_MS,
            drain_ms: DRAIN_MS,
            flow_max_age_ms: FLOW_MAX_AGE_MS,
            allowance: ColdAllowance {
                overage: 1.5,
                slack: 5.0,
            },
        };
        AgentFlows::new(FlowSettings::default(), own, &self.context())
    }

    /// Restarts an agent whose target keeps running.
    fn restart_agent(&mut self, ip: Ipv4Addr) {
        let incarnation = self.next_incarnation();
        let agent = self.new_agent(incarnation);
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.agent = agent;
            machine.source = SettingsSource::default();
        }
    }

    fn send_target_heartbeat(&mut self, ip: Ipv4Addr) {
        let ctx = self.context();
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.heartbeats += 1;
            let heartbeat = TargetHeartbeat {
                instance: InstanceTag::default(),
                born_ms: machine.born_ms,
                sequence: machine.heartbeats,
                state: HeartbeatState::Ready,
                capacity: 9,
                warmup_left_ms: 0,
                age_ms: None,
            }
            .arrived_at(ctx.now_ms);
            machine.agent.on_target_heartbeat(&heartbeat, &ctx);
        }
    }

    fn send_heartbeats(&mut self) {
        let ips: Vec<Ipv4Addr> = self.machines.keys().copied().collect();
        for ip in ips {
            self.send_target_heartbeat(ip);
        }
    }

    fn exchange_heartbeats(&mut self) {
        let ctx = self.context();
        let heartbeats: Vec<_> = self
            .balancers
            .iter()
            .map(|(ip, balancer)| (*ip, balancer.heartbeat(&ctx)))
            .collect();
        for (ip, balancer) in &mut self.balancers {
            for (peer, heartbeat) in heartbeats.iter().filter(|(peer, _)| peer != ip) {
                balancer.on_heartbeat(*peer, heartbeat, &ctx);
            }
        }
    }

    fn exchange_reports(&mut self) {
        let ctx = self.context();
        for (ip, machine) in &mut self.machines {
            let source = machine.source.next(machine.agent.balancers(), DomainId(0));
            for (peer, balancer) in &mut self.balancers {
                let mut report = machine.agent.report(*peer, &ctx);
                report.wants_reply = source.is_none() || source == Some(*peer);
                balancer.on_report(*ip, report, &ctx);
                if report.wants_reply {
                    machine.source.on_reply(ctx.now_ms);
                    let reply = balancer.reply_to(*ip, &report, &ctx);
                    machine.agent.on_reply(&reply, &ctx);
                    let entries = balancer.balancers().entries(ctx.now_ms);
                    machine.agent.on_balancers(&entries, &ctx);
                }
            }
        }
    }

    fn deliver_advertisements(&mut self) {
        let ctx = self.context();
        for (ip, machine) in &mut self.machines {
            for (balancer, held) in machine.agent.take_advertisements() {
                if let Some(balancer) = self.balancers.get_mut(&balancer) {
                    balancer.on_held_flows(*ip, &held, &ctx);
                }
            }
        }
    }

    /// Routes a packet like the network: by a hash over the running balancers.
    fn route_packet(&mut self, segment: &Segment) {
        let flow = segment.flow_of_caller();
        let place = flow.hash() as usize % self.balancers.len();
        let ips: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
        let ctx = self.context();
        let Some(balancer) = self.balancers.get_mut(&ips[place]) else {
            return;
        };
        let verdict = balancer.on_packet(segment, &ctx);
        self.execute(ips[place], verdict, segment);
        self.deliver_advertisements();
    }

    fn execute(&mut self, balancer: Ipv4Addr, verdict: Verdict, segment: &Segment) {
        match verdict {
            Verdict::Forward(next_hop) => {
                self.forward_to_agent(balancer, next_hop.agent, &next_hop.header, segment);
            }
            Verdict::Search(next_hops) => {
                for next_hop in next_hops {
                    self.forward_to_agent(balancer, next_hop.agent, &next_hop.header, segment);
                }
            }
            Verdict::Reset { .. } => {
                let flow = segment.flow_of_caller();
                if self.count_held(&[flow]) > 0 {
                    self.wrong_resets += 1;
                }
                self.resets.insert(flow);
            }
            Verdict::Drop { .. } => {}
        }
    }

    fn forward_to_agent(
        &mut self,
        balancer: Ipv4Addr,
        ip: Ipv4Addr,
        header: &ForwardHeader,
        segment: &Segment,
    ) {
        let ctx = self.context();
        let Some(machine) = self.machines.get_mut(&ip) else {
            return;
        };
        if segment.data_bytes > 0 && machine.held.contains(&segment.flow_of_caller()) {
            self.answered.insert(segment.flow_of_caller());
        }
        let returned = match machine.agent.on_packet(header, segment, &ctx) {
            CallerVerdict::Return { code } => Some((balancer, code)),
            CallerVerdict::Deliver { cookie } => machine.deliver(segment, cookie, &ctx),
            CallerVerdict::Queue => unreachable!("all routes have one priority"),
        };
        self.deliver_advertisements();
        if let Some((origin, code)) = returned {
            let returned = Returned {
                code,
                service: header.service,
            };
            let Some(state) = self.balancers.get_mut(&origin) else {
                return;
            };
            let verdict = state.on_returned(ip, returned, segment, &ctx);
            self.execute(origin, verdict, segment);
        }
    }
}

impl Machine {
    /// Handles a packet like a target.
    fn deliver(
        &mut self,
        segment: &Segment,
        cookie: u32,
        ctx: &Context,
    ) -> Option<(Ipv4Addr, crate::codes::ResultCode)> {
        let flow = segment.flow_of_caller();
        let answer = if segment.is_syn() {
            self.held.insert(flow);
            accepted(flow)
        } else if self.held.contains(&flow) {
            from_target(data(flow, 200))
        } else {
            bounced(*segment, Ipv4Addr::from_bits(cookie))
        };
        match self.agent.on_target_packet(&answer, ctx) {
            TargetVerdict::Return { origin, code } => Some((origin, code)),
            TargetVerdict::ToCaller { .. } | TargetVerdict::Drop => None,
        }
    }
}

/// Balancers are restarted in turn, and each time nearly all flows move to another one.
#[test]
fn rolling_restart_of_balancers_breaks_no_flow() {
    let mut fleet = Fleet::start(4, 6);
    let flows = fleet.open_flows(200);
    assert_eq!(fleet.count_held(&flows), flows.len());
    for number in 1..=4 {
        fleet.balancers.remove(&balancer_ip(number));
        for flow in &flows {
            fleet.send_request(*flow);
        }
        fleet.run(500);
        fleet.start_balancer(balancer_ip(number));
        fleet.send_requests(&flows, 20);
    }
    assert_eq!(fleet.count_reset(&flows), 0);
    assert_eq!(fleet.wrong_resets, 0);
}

/// Agents are restarted in turn while their targets keep serving.
#[test]
fn rolling_restart_of_agents_breaks_no_flow() {
    let mut fleet = Fleet::start(3, 4);
    let flows = fleet.open_flows(100);
    for number in 1..=4 {
        fleet.restart_agent(agent_ip(number));
        fleet.send_requests(&flows, 10);
    }
    assert_eq!(fleet.count_reset(&flows), 0);
}

/// One target ends and starts again at the same address.
#[test]
fn flows_of_an_ended_target_are_reset_and_no_others() {
    let mut fleet = Fleet::start(3, 4);
    let flows = fleet.open_flows(100);
    let lost: Vec<FlowKey> = fleet.machines[&agent_ip(1)].held.iter().copied().collect();
    fleet.start_machine(agent_ip(1));
    fleet.send_requests(&flows, 10);
    assert_eq!(fleet.count_reset(&flows), lost.len());
    assert_eq!(fleet.count_reset(&lost), lost.len());
}

/// All balancers are lost at once; agents and targets keep running.
#[test]
fn restart_of_all_balancers_breaks_no_flow() {
    let mut fleet = Fleet::start(3, 6);
    let flows = fleet.open_flows(150);
    for number in 1..=3 {
        fleet.start_balancer(balancer_ip(number));
    }
    fleet.send_requests(&flows, 20);
    assert_eq!(fleet.count_reset(&flows), 0);
}

/// All processes are killed while the store does not answer, and the targets keep running: nobody
/// knows the routes for a while, but the open flows are still at their targets.
#[test]
fn open_flows_are_served_before_the_routes_are_known() {
    let mut fleet = Fleet::start(3, 6);
    let flows = fleet.open_flows(60);
    fleet.restart_processes_without_settings();
    fleet.run(500);
    fleet.answered.clear();
    fleet.send_requests(&flows, 1);
    assert_eq!(fleet.answered.len(), flows.len());
    fleet.send_requests(&flows, 20);
    assert_eq!(fleet.count_reset(&flows), 0);
}

/// The same, but the store stays away: a route may have been removed meanwhile.
#[test]
fn flows_are_not_searched_without_routes_for_longer_than_settings_may_be_old() {
    let mut fleet = Fleet::start(3, 6);
    let flows = fleet.open_flows(60);
    fleet.restart_processes_without_settings();
    fleet.run(WatchTimes::default().max_age_ms + STEP_MS);
    fleet.answered.clear();
    fleet.send_requests(&flows, 1);
    assert_eq!(fleet.answered.len(), 0);
    assert_eq!(fleet.count_reset(&flows), 0);
}
