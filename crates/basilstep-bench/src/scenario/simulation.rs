use super::command::UnknownName;
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    codes::ResultCode,
    context::Context,
    crypto::SipHashKey,
    domains::{DomainSettings, DomainTracker},
    membership::{AgentPhase, AgentRecord},
    placement::{
        OfferDecision, OfferedPacket, OwnLoad, PlacementSettings, RecentOffers, decide_offer,
    },
    settings::{DomainSet, DomainState, ServiceRecord, ServiceView, SettingsView},
    steering::{DeadAgent, SteeringDecision, SteeringTable},
    token::{FlowKey, FlowKeys, FlowToken, TOKEN_BYTES},
    wire::CarrierPurpose,
};
use rand::Rng;
use std::{
    collections::BTreeMap,
    fmt,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

const SERVICE: ServiceId = ServiceId(1);
const INCARNATION: Incarnation = Incarnation(1);
const FLOW_LIMIT: u32 = 2_000;
const FIRST_PACKET_BYTES: usize = 1_200;
const LATER_PACKET_BYTES: usize = 100;
/// More hops than any offer can take; reached only through a defect of the core.
const MAX_HOPS: usize = 16;
const KEY: FlowKey = FlowKey {
    id: 1,
    secret: SipHashKey([7; 16]),
};

/// Balancers and agents of one service in one thread, connected without a network.
#[derive(Debug)]
pub struct Simulation {
    context: Context,
    domains: BTreeMap<String, DomainId>,
    balancers: BTreeMap<String, DomainTracker>,
    agents: BTreeMap<AgentAddress, Agent>,
    dead: Vec<DeadAgent>,
    flows: Vec<FlowToken>,
}

#[derive(Debug)]
struct Agent {
    name: String,
    record: AgentRecord,
    offers: RecentOffers,
    flows: u32,
    is_alive: bool,
}

/// How the flows of an `open` command ended.
#[derive(Debug, Default)]
pub struct OpenSummary {
    at: BTreeMap<String, u32>,
    waiting: u32,
    refused: BTreeMap<ResultCode, u32>,
}

/// How the packets of a `packets` command were steered.
#[derive(Debug, Default)]
pub struct PacketSummary {
    forwarded: u32,
    reset: BTreeMap<ResultCode, u32>,
    dropped: BTreeMap<ResultCode, u32>,
}

impl Simulation {
    /// Creates an empty simulation at time zero.
    pub fn new(seed: u64) -> Self {
        Self {
            context: Context::new(seed),
            domains: BTreeMap::new(),
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            dead: Vec::new(),
            flows: Vec::new(),
        }
    }

    pub(super) fn add_balancers(&mut self, count: u8) {
        for number in 1..=count {
            let tracker = DomainTracker::new(DomainSettings::default(), DomainSet::default());
            self.balancers.insert(format!("b{number}"), tracker);
        }
    }

    pub(super) fn add_agents(&mut self, count: u8, domain: &str, weight: u8) {
        let next = DomainId(self.domains.len() as u8 + 1);
        let id = *self.domains.entry(domain.to_owned()).or_insert(next);
        for number in 1..=count {
            let ip = Ipv4Addr::new(10, 0, id.0, number);
            let address = AgentAddress(SocketAddrV4::new(ip, 9_200));
            let record = AgentRecord {
                address,
                service: SERVICE,
                domain: id,
                incarnation: INCARNATION,
                revision: 0,
                weight,
                phase: AgentPhase::Serving,
            };
            let agent = Agent {
                name: format!("{domain}{number}"),
                record,
                offers: RecentOffers::new(PlacementSettings::default(), &mut self.context),
                flows: 0,
                is_alive: true,
            };
            self.agents.insert(address, agent);
        }
    }

    pub(super) fn advance(&mut self, length_ms: u64) {
        self.context.advance(length_ms);
    }

    pub(super) fn change_domain(
        &mut self,
        name: &str,
        state: DomainState,
        at: &str,
    ) -> Result<(), UnknownName> {
        let domain = *self.domains.get(name).ok_or_else(|| unknown_name(name))?;
        let tracker = self.balancers.get_mut(at).ok_or_else(|| unknown_name(at))?;
        let mut out = tracker.domains_out();
        match state {
            DomainState::Out => out.insert(domain),
            DomainState::In => out.remove(domain),
        }
        tracker.update(out, self.context.now_ms);
        Ok(())
    }

    pub(super) fn kill_agent(&mut self, name: &str) -> Result<(), UnknownName> {
        self.agent(name)?.is_alive = false;
        Ok(())
    }

    pub(super) fn detect_dead_agents(&mut self) {
        let dead = self.agents.values().filter(|agent| !agent.is_alive);
        self.dead = dead
            .map(|agent| DeadAgent {
                address: agent.record.address,
                incarnation: INCARNATION,
            })
            .collect();
    }

    pub(super) fn drain_agent(&mut self, name: &str) -> Result<(), UnknownName> {
        self.agent(name)?.record.phase = AgentPhase::Draining;
        Ok(())
    }

    pub(super) fn open_flows(&mut self, flows: u32) -> OpenSummary {
        let mut opened = OpenSummary::default();
        let balancers: Vec<String> = self.balancers.keys().cloned().collect();
        let tables: Vec<SteeringTable> = balancers
            .iter()
            .map(|name| self.steering_table(name))
            .collect();
        if tables.is_empty() {
            return opened;
        }
        for number in 0..flows {
            let table = &tables[number as usize % tables.len()];
            self.open_flow(table, number, &mut opened);
        }
        opened
    }

    pub(super) fn send_packets(&self, through: &str) -> Result<PacketSummary, UnknownName> {
        if !self.balancers.contains_key(through) {
            return Err(unknown_name(through));
        }
        let table = self.steering_table(through);
        let mut carried = PacketSummary::default();
        for token in &self.flows {
            let mut packet = [0; LATER_PACKET_BYTES];
            packet[0] = 0x40;
            packet[1..=TOKEN_BYTES].copy_from_slice(&token.encode(&KEY));
            match table.steer(SERVICE, &caller_address(0), &packet) {
                SteeringDecision::Forward { .. } => carried.forwarded += 1,
                SteeringDecision::Reset { code, .. } => {
                    *carried.reset.entry(code).or_default() += 1;
                }
                SteeringDecision::Drop(code) => *carried.dropped.entry(code).or_default() += 1,
            }
        }
        Ok(carried)
    }

    fn open_flow(&mut self, table: &SteeringTable, number: u32, opened: &mut OpenSummary) {
        let mut packet = [0; FIRST_PACKET_BYTES];
        packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, TOKEN_BYTES as u8]);
        self.context.rng.fill_bytes(&mut packet[6..6 + TOKEN_BYTES]);
        let caller = caller_address(number);
        let (mut at, mut purpose) = match table.steer(SERVICE, &caller, &packet) {
            SteeringDecision::Forward { agent, purpose } => (agent, purpose),
            SteeringDecision::Drop(code) | SteeringDecision::Reset { code, .. } => {
                *opened.refused.entry(code).or_default() += 1;
                return;
            }
        };
        for _ in 0..MAX_HOPS {
            let decision = self.decide(at, purpose, caller, &packet[6..6 + TOKEN_BYTES]);
            match decision {
                None => {
                    opened.waiting += 1;
                    return;
                }
                Some(OfferDecision::Accept) => return self.accept_flow(at, opened),
                Some(OfferDecision::Refuse(code) | OfferDecision::Drop(code)) => {
                    *opened.refused.entry(code).or_default() += 1;
                    return;
                }
                Some(decision) => {
                    let Some(next) = decision.next_hop(at) else {
                        return;
                    };
                    (at, purpose) = (next.to, next.purpose);
                }
            }
        }
    }

    /// Returns the decision of an agent, or `None` if it is dead and the offer is lost.
    fn decide(
        &mut self,
        at: AgentAddress,
        purpose: CarrierPurpose,
        caller: SocketAddr,
        connection_id: &[u8],
    ) -> Option<OfferDecision> {
        let agent = self.agents.get_mut(&at).filter(|agent| agent.is_alive)?;
        let is_draining = agent.record.phase != AgentPhase::Serving;
        let own = OwnLoad {
            address: at,
            flows: agent.flows,
            flow_limit: FLOW_LIMIT,
            weight: agent.record.weight,
            flow_refusal: is_draining.then_some(ResultCode::Draining),
        };
        let offered = OfferedPacket {
            caller,
            connection_id,
            purpose,
        };
        let decision = decide_offer(&offered, &own, &mut agent.offers, self.context.now_ms);
        if decision == OfferDecision::Accept {
            agent.offers.note_opened(&caller, connection_id);
        }
        Some(decision)
    }

    fn accept_flow(&mut self, at: AgentAddress, opened: &mut OpenSummary) {
        let Some(agent) = self.agents.get_mut(&at) else {
            return;
        };
        agent.flows += 1;
        *opened.at.entry(agent.name.clone()).or_default() += 1;
        let mut nonce = [0; 3];
        self.context.rng.fill_bytes(&mut nonce);
        self.flows.push(FlowToken {
            agent: at,
            service: SERVICE,
            domain: agent.record.domain,
            incarnation_low: INCARNATION.0 as u16,
            nonce,
        });
    }

    fn steering_table(&self, balancer: &str) -> SteeringTable {
        let records: Vec<AgentRecord> = self.agents.values().map(|agent| agent.record).collect();
        let phases = self
            .balancers
            .get(balancer)
            .map(|tracker| tracker.phases(self.context.now_ms))
            .unwrap_or_default();
        SteeringTable::build_with_domain_phases(&settings_view(), phases, &records, &self.dead)
    }

    fn agent(&mut self, name: &str) -> Result<&mut Agent, UnknownName> {
        let mut agents = self.agents.values_mut();
        agents
            .find(|agent| agent.name == name)
            .ok_or_else(|| unknown_name(name))
    }
}

impl fmt::Display for OpenSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u32 = self.at.values().sum();
        write!(f, "{total} opened")?;
        for (agent, flows) in &self.at {
            write!(f, ", {flows} at {agent}")?;
        }
        if self.waiting > 0 {
            write!(f, "; {} wait for a dead agent", self.waiting)?;
        }
        write_codes(f, "refused", &self.refused)
    }
}

impl fmt::Display for PacketSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} forwarded", self.forwarded)?;
        write_codes(f, "reset", &self.reset)?;
        write_codes(f, "dropped", &self.dropped)
    }
}

fn write_codes(
    f: &mut fmt::Formatter<'_>,
    what: &str,
    codes: &BTreeMap<ResultCode, u32>,
) -> fmt::Result {
    for (code, count) in codes {
        write!(f, "; {count} {what} ({code})")?;
    }
    Ok(())
}

fn settings_view() -> SettingsView {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443);
    let mut view = SettingsView {
        flow_keys: Some(FlowKeys {
            current: KEY,
            previous: None,
        }),
        ..SettingsView::default()
    };
    let record = serde_json::json!({"address": address, "id": SERVICE});
    if let Ok(record) = serde_json::from_value::<ServiceRecord>(record) {
        let path = "teams/a/services/b".to_owned();
        view.services.insert(SERVICE, ServiceView { path, record });
    }
    view
}

fn caller_address(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + (number % 40_000) as u16))
}

fn unknown_name(name: &str) -> UnknownName {
    UnknownName(name.to_owned())
}
