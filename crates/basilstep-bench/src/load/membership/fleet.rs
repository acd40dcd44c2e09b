//! A simulated fleet: the decision core of each member, driven by one event queue in virtual time.

use super::traffic::{MessagePurpose, Traffic};
use basilstep_core::{
    address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId},
    context::Context,
    membership::{
        AgentPhase, AgentRecord, Announcer, BalancerRecord, MemberRecord, Membership,
        MembershipAction, MembershipMessage, MembershipSettings, MembershipSnapshot, SettingsDelta,
        SnapshotMember,
    },
    settings::SettingsEntry,
};
use rand::RngExt;
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddrV4},
};

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// The number of balancers.
    pub balancers: usize,
    /// The number of agents.
    pub agents: usize,
    /// The number of agents that serve each service.
    pub agents_per_service: usize,
    /// The number of failure domains; the first half of them forms one region.
    pub domains: usize,
}

/// The target size that the users gave.
pub const TARGET_SIZE: FleetSize = FleetSize {
    balancers: 640,
    agents: 6_600,
    agents_per_service: 3,
    domains: 8,
};

/// The share of datagrams that the network loses, in thousandths.
const LOSS_PERMILLE: u32 = 1;

const TICK_MS: u64 = 100;
const TICK_PHASES: u64 = 10;
const START_MS: u64 = 1_000_000;
const BALANCER_PORT: u16 = 9_000;
const AGENT_PORT: u16 = 9_100;

/// The process at a member's address.
#[derive(Clone, Debug)]
pub enum Node {
    /// A balancer.
    Balancer(Box<Membership>),
    /// An agent.
    Agent(Box<Announcer>),
    /// No process.
    Stopped,
}

/// An event in the queue.
#[derive(Clone, Debug)]
enum Event {
    Tick {
        phase: u64,
    },
    Deliver {
        from: usize,
        to: usize,
        message: MembershipMessage,
    },
    MergeSnapshot {
        member: usize,
        snapshot: Box<MembershipSnapshot>,
    },
}

#[derive(Clone, Debug)]
struct QueuedEvent {
    at: Reverse<(u64, u64)>,
    event: Event,
}

/// A change of the agents of one service in one balancer's view.
#[derive(Clone, Copy, Debug)]
pub struct ViewChange {
    /// The index of the balancer.
    pub balancer: usize,
    /// The service.
    pub service: ServiceId,
}

/// All members, the messages in transit and the traffic counters.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The size of the fleet.
    pub size: FleetSize,
    /// The virtual time and the random source.
    pub ctx: Context,
    /// The members: first the balancers, then the agents.
    pub nodes: Vec<Node>,
    /// The current incarnation of each member.
    pub incarnations: Vec<u32>,
    /// The settings version in force at each member.
    pub versions: Vec<u64>,
    /// The counters of sent and received bytes.
    pub traffic: Traffic,
    /// The view changes since they were last processed.
    pub view_changes: Vec<ViewChange>,
    /// Whether the network is partitioned between the regions.
    pub is_partitioned: bool,
    settings: MembershipSettings,
    queue: BinaryHeap<QueuedEvent>,
    sequence: u64,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

impl Fleet {
    /// Creates a fleet in which no member runs.
    pub fn new(size: FleetSize, settings: MembershipSettings, seed: u64) -> Self {
        let count = size.balancers + size.agents;
        let mut ctx = Context::new(seed);
        ctx.now_ms = START_MS;
        let mut fleet = Self {
            size,
            ctx,
            nodes: vec![Node::Stopped; count],
            incarnations: vec![1; count],
            versions: vec![0; count],
            traffic: Traffic::new(size.balancers, size.agents, START_MS),
            view_changes: Vec::new(),
            is_partitioned: false,
            settings,
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        for phase in 0..TICK_PHASES {
            let at_ms = START_MS + phase * TICK_MS / TICK_PHASES;
            fleet.push(at_ms, Event::Tick { phase });
        }
        fleet
    }

    /// Creates a fleet in which all members run and know each other.
    pub fn with_full_views(size: FleetSize, settings: MembershipSettings, seed: u64) -> Self {
        let mut fleet = Self::new(size, settings, seed);
        let members = (0..fleet.nodes.len()).map(|index| SnapshotMember {
            record: fleet.record(index),
            silent_ms: None,
        });
        let snapshot = MembershipSnapshot {
            members: members.collect(),
            domains: Vec::new(),
            settings_version: 0,
        };
        for index in 0..fleet.nodes.len() {
            fleet.start(index);
            if let Node::Balancer(balancer) = &mut fleet.nodes[index] {
                balancer.merge_snapshot(&snapshot, &mut fleet.ctx);
            }
        }
        fleet
    }

    /// Returns the virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.ctx.now_ms
    }

    /// Starts a member, which gets the list of balancers from the store.
    pub fn start(&mut self, index: usize) {
        let listed: Vec<BalancerRecord> = (0..self.size.balancers)
            .filter_map(|balancer| self.record(balancer).as_balancer())
            .collect();
        let record = self.record(index);
        let Some(own) = record.as_balancer() else {
            let mut announcer = Announcer::new(self.settings, record);
            announcer.add_balancers(&listed);
            self.nodes[index] = Node::Agent(Box::new(announcer));
            return;
        };
        let mut membership = Membership::new(self.settings, own, &mut self.ctx);
        membership.on_balancer_list(&listed, &mut self.ctx);
        self.nodes[index] = Node::Balancer(Box::new(membership));
    }

    /// Stops a member without an announcement.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = Node::Stopped;
    }

    /// Restarts a member with the next incarnation.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.start(index);
    }

    /// Sets the phase of a member, which announces it.
    pub fn set_phase(&mut self, index: usize, phase: AgentPhase) {
        let actions = match &mut self.nodes[index] {
            Node::Balancer(balancer) => balancer.set_phase(phase, &mut self.ctx),
            Node::Agent(agent) => agent.set_phase(phase, &self.ctx),
            Node::Stopped => Vec::new(),
        };
        self.execute_actions(index, actions);
    }

    /// Lets the live agents of the affected services report the dead agents as unresponsive.
    pub fn report_dead_agents(&mut self, dead: &[usize]) {
        let first_agent = self.size.balancers;
        let size = self.size.agents_per_service;
        for index in dead.iter().filter(|index| **index >= first_agent) {
            let reported = AgentAddress(self.address(*index));
            let first = *index - (*index - first_agent) % size;
            for member in first..(first + size).min(self.nodes.len()) {
                let actions = match &self.nodes[member] {
                    Node::Agent(agent) => agent.report_unresponsive(reported),
                    _ => continue,
                };
                self.execute_actions(member, actions);
            }
        }
    }

    /// Processes events up to a time.
    pub fn run_until(&mut self, end_ms: u64) {
        while self
            .queue
            .peek()
            .is_some_and(|queued| queued.at.0.0 <= end_ms)
        {
            let Some(queued) = self.queue.pop() else {
                return;
            };
            self.ctx.now_ms = queued.at.0.0;
            self.traffic.close_windows(self.ctx.now_ms);
            self.handle(queued.event);
        }
        self.ctx.now_ms = end_ms;
    }

    /// Returns the domain of a member. A rack is a run of consecutive members of a domain.
    pub fn domain_of(&self, index: usize) -> usize {
        if index < self.size.balancers {
            index * self.size.domains / self.size.balancers
        } else {
            (index - self.size.balancers) % self.size.domains
        }
    }

    /// Returns the region of a member.
    pub fn region_of(&self, index: usize) -> usize {
        self.domain_of(index) * 2 / self.size.domains
    }

    /// Returns the members of a domain, ordered by rack.
    pub fn members_of_domain(&self, domain: usize) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.domain_of(*index) == domain)
            .collect()
    }

    /// Returns whether a member runs.
    pub fn is_running(&self, index: usize) -> bool {
        !matches!(self.nodes[index], Node::Stopped)
    }

    /// Returns the indices of all agents.
    pub fn agent_indices(&self) -> std::ops::Range<usize> {
        self.size.balancers..self.nodes.len()
    }

    /// Returns the running balancers.
    pub fn balancers(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(index, node)| match node {
                Node::Balancer(balancer) => Some((index, balancer.as_ref())),
                _ => None,
            })
    }

    /// Returns the membership record of a member's current incarnation.
    pub fn record(&self, index: usize) -> MemberRecord {
        let address = self.address(index);
        let domain = DomainId(self.domain_of(index) as u8);
        let incarnation = Incarnation(1_800_000_000 + self.incarnations[index]);
        if index < self.size.balancers {
            return MemberRecord::from(BalancerRecord {
                address: BalancerAddress(address),
                domain,
                incarnation,
            });
        }
        let number = index - self.size.balancers;
        MemberRecord::from(AgentRecord {
            address: AgentAddress(address),
            service: ServiceId((number / self.size.agents_per_service) as u16),
            domain,
            incarnation,
            revision: 0,
            weight: 1,
            phase: AgentPhase::Serving,
        })
    }

    /// Returns the address of a member.
    pub fn address(&self, index: usize) -> SocketAddrV4 {
        let is_balancer = index < self.size.balancers;
        let port = if is_balancer {
            BALANCER_PORT
        } else {
            AGENT_PORT
        };
        let ip = Ipv4Addr::from_bits(0x0a00_0000 | index as u32);
        SocketAddrV4::new(ip, port)
    }

    /// Returns the index of the member with this address.
    pub fn index_of(address: SocketAddrV4) -> usize {
        (address.ip().to_bits() & 0x00ff_ffff) as usize
    }

    /// Returns whether datagrams pass between two members.
    pub fn is_reachable(&self, one: usize, other: usize) -> bool {
        !self.is_partitioned || self.region_of(one) == self.region_of(other)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        let at = Reverse((at_ms, self.sequence));
        self.queue.push(QueuedEvent { at, event });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { phase } => self.tick(phase),
            Event::Deliver { from, to, message } => self.deliver(from, to, &message),
            Event::MergeSnapshot { member, snapshot } => {
                if let Node::Balancer(balancer) = &mut self.nodes[member] {
                    let actions = balancer.merge_snapshot(&snapshot, &mut self.ctx);
                    self.execute_actions(member, actions);
                }
            }
        }
    }

    fn tick(&mut self, phase: u64) {
        for index in (phase as usize..self.nodes.len()).step_by(TICK_PHASES as usize) {
            let actions = match &mut self.nodes[index] {
                Node::Balancer(balancer) => balancer.on_tick(&mut self.ctx),
                Node::Agent(agent) => agent.on_tick(&mut self.ctx),
                Node::Stopped => continue,
            };
            self.execute_actions(index, actions);
        }
        self.push(self.ctx.now_ms + TICK_MS, Event::Tick { phase });
    }

    fn deliver(&mut self, from: usize, to: usize, message: &MembershipMessage) {
        if !self.is_running(to) || !self.is_reachable(from, to) {
            return;
        }
        self.traffic.count_received(to, message.network_bytes());
        let from = self.address(from);
        let actions = match &mut self.nodes[to] {
            Node::Balancer(balancer) => balancer.on_datagram(from, message, &mut self.ctx),
            Node::Agent(agent) => agent.on_datagram(from, message, &self.ctx),
            Node::Stopped => return,
        };
        self.execute_actions(to, actions);
    }

    fn execute_actions(&mut self, member: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.send(member, Self::index_of(to), message);
                }
                MembershipAction::FetchSnapshot { from } => {
                    self.fetch_snapshot(member, Self::index_of(from.0));
                }
                MembershipAction::AgentsChanged { service } => self.view_changes.push(ViewChange {
                    balancer: member,
                    service,
                }),
                MembershipAction::FetchSettings { from, .. } => {
                    let request = self.settings_request(member);
                    self.send(member, Self::index_of(from), request);
                }
                MembershipAction::ServeSettings {
                    to, above_version, ..
                } => {
                    let delta = self.settings_delta(member, above_version);
                    self.send(
                        member,
                        Self::index_of(to),
                        MembershipMessage::Settings(delta),
                    );
                }
                MembershipAction::ApplySettings { delta } => {
                    self.apply_settings(member, delta.version);
                }
                MembershipAction::BalancersChanged
                | MembershipAction::FetchSettingsOverTcp { .. } => {}
            }
        }
    }

    fn settings_request(&self, member: usize) -> MembershipMessage {
        MembershipMessage::PullSettings {
            above_version: self.versions[member],
            service: self.record(member).service(),
        }
    }

    fn settings_delta(&self, member: usize, above_version: u64) -> SettingsDelta {
        let entry = SettingsEntry {
            path: "teams/hanbit/services/quotes".to_owned(),
            version: self.versions[member],
            value: Some("x".repeat(SERVICE_RECORD_BYTES)),
        };
        SettingsDelta {
            base_version: above_version,
            version: self.versions[member],
            entries: vec![entry],
        }
    }

    /// Puts a settings version in force at a member.
    pub fn apply_settings(&mut self, member: usize, version: u64) {
        self.versions[member] = version;
        match &mut self.nodes[member] {
            Node::Balancer(balancer) => balancer.set_settings_version(version),
            Node::Agent(agent) => agent.set_settings_version(version),
            Node::Stopped => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: MembershipMessage) {
        self.traffic
            .count_sent(from, message.network_bytes(), MessagePurpose::of(&message));
        if self.ctx.rng.random_ratio(LOSS_PERMILLE, 1_000) {
            return;
        }
        let at_ms = self.ctx.now_ms + self.latency_ms(from, to);
        self.push(at_ms, Event::Deliver { from, to, message });
    }

    fn fetch_snapshot(&mut self, member: usize, from: usize) {
        let Node::Balancer(peer) = &self.nodes[from] else {
            return;
        };
        if !self.is_reachable(member, from) {
            return;
        }
        let Some(snapshot) = peer.snapshot(self.ctx.now_ms).map(Box::new) else {
            return;
        };
        let bytes = snapshot.members.len() * SNAPSHOT_MEMBER_BYTES;
        self.traffic.count_transfer(from, member, bytes);
        let at_ms = self.ctx.now_ms + 2 * self.latency_ms(member, from) + TRANSFER_MS;
        self.push(at_ms, Event::MergeSnapshot { member, snapshot });
    }

    fn latency_ms(&self, from: usize, to: usize) -> u64 {
        if self.region_of(from) != self.region_of(to) {
            5
        } else if self.domain_of(from) != self.domain_of(to) {
            2
        } else {
            1
        }
    }
}

/// The size of a service record.
const SERVICE_RECORD_BYTES: usize = 300;

/// The encoded size of a member in a snapshot.
const SNAPSHOT_MEMBER_BYTES: usize = 20;

/// The time that the transfer of a snapshot takes.
const TRANSFER_MS: u64 = 50;
