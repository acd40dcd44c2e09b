//! The targets of one service with their agents, and the balancers' view of them.

use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    codes::ResultCode,
    context::Context,
    crypto::SipHashKey,
    membership::{AgentPhase, AgentRecord},
    placement::{OwnLoad, PlacementSettings, RecentOffers, ServiceTargets},
    settings::DomainSet,
    token::{FlowKey, FlowKeys, FlowToken, TOKEN_BYTES},
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The service of all targets.
pub const SERVICE: ServiceId = ServiceId(1);

/// The keys that encode flow tokens.
pub const FLOW_KEYS: FlowKeys = FlowKeys {
    current: FlowKey {
        id: 1,
        secret: SipHashKey([1; 16]),
    },
    previous: None,
};

const FLOW_LIMIT: u32 = 2_000;
const DOMAINS: u8 = 3;

/// One target with its agent.
pub struct Target {
    /// The agent's membership record.
    pub record: AgentRecord,
    /// The number of open flows.
    pub flows: u32,
    /// The number of flows in the last report to the balancers.
    pub reported_flows: u32,
    /// The weight by which the agent compares its load; it ramps up after the target joins.
    pub ramped_weight: u8,
    /// Whether the target and its agent have crashed.
    pub has_crashed: bool,
    /// The recent offers that the agent decided on.
    pub recent: RecentOffers,
}

impl Target {
    fn new(number: u8, weight: u8, context: &mut Context) -> Self {
        let record = AgentRecord {
            address: agent_address(number),
            service: SERVICE,
            domain: DomainId(number % DOMAINS),
            incarnation: Incarnation(1),
            revision: 1,
            weight,
            phase: AgentPhase::Serving,
        };
        Self {
            record,
            flows: 0,
            reported_flows: 0,
            ramped_weight: weight,
            has_crashed: false,
            recent: RecentOffers::new(PlacementSettings::default(), context),
        }
    }

    /// Returns whether the target takes new flows.
    pub fn is_serving(&self) -> bool {
        self.record.phase == AgentPhase::Serving
    }

    /// Returns the flows per unit of weight.
    pub fn relative_flows(&self) -> f64 {
        f64::from(self.flows) / f64::from(self.record.weight)
    }

    /// Returns the reported flows per unit of weight.
    pub fn relative_reported_flows(&self) -> f64 {
        f64::from(self.reported_flows) / f64::from(self.record.weight)
    }

    /// Returns the agent's own load, as it enters its decisions.
    pub fn own_load(&self) -> OwnLoad {
        OwnLoad {
            address: self.record.address,
            flows: self.flows,
            flow_limit: FLOW_LIMIT,
            weight: self.ramped_weight,
            flow_refusal: (!self.is_serving()).then_some(ResultCode::Draining),
        }
    }

    /// Issues the connection ID of a flow of this target.
    pub fn issue_connection_id(&self) -> [u8; TOKEN_BYTES] {
        let token = FlowToken {
            agent: self.record.address,
            service: SERVICE,
            domain: self.record.domain,
            incarnation_low: self.record.incarnation.0 as u16,
            nonce: [0; 3],
        };
        token.encode(&FLOW_KEYS.current)
    }
}

/// The targets of one service.
pub struct Fleet {
    /// The targets; the index of a target is its number.
    pub targets: Vec<Target>,
    /// The targets among which balancers place new flows.
    pub placement: ServiceTargets,
}

impl Fleet {
    /// Creates a fleet of targets with these weights.
    pub fn new(weights: &[u8], context: &mut Context) -> Self {
        let targets = (0_u8..)
            .zip(weights)
            .map(|(number, weight)| Target::new(number, *weight, context))
            .collect();
        let mut fleet = Self {
            targets,
            placement: ServiceTargets::default(),
        };
        fleet.refresh_placement();
        fleet
    }

    /// Updates the balancers' view with the agents' current records.
    pub fn refresh_placement(&mut self) {
        self.placement =
            ServiceTargets::from_records(SERVICE, &self.records(), &DomainSet::default());
    }

    /// Returns the agents' current records.
    pub fn records(&self) -> Vec<AgentRecord> {
        self.targets.iter().map(|target| target.record).collect()
    }

    /// Returns the number of the target whose agent has this address.
    pub fn number_of(address: AgentAddress) -> usize {
        usize::from(address.0.ip().octets()[3])
    }

    /// Returns the flows of one target over the mean of the other serving targets.
    pub fn share_of(&self, number: usize) -> f64 {
        let others = || {
            let numbered = self.targets.iter().enumerate();
            numbered.filter(|(other, target)| *other != number && target.is_serving())
        };
        let flows: u32 = others().map(|(_, target)| target.flows).sum();
        let mean = f64::from(flows) / others().count() as f64;
        f64::from(self.targets[number].flows) / mean
    }

    /// Returns the largest number of flows per unit of weight over the mean, among serving targets.
    pub fn imbalance(&self) -> f64 {
        let serving = || self.targets.iter().filter(|target| target.is_serving());
        let largest = serving().map(Target::relative_flows).fold(0.0, f64::max);
        let flows: u32 = serving().map(|target| target.flows).sum();
        let weight: u32 = serving()
            .map(|target| u32::from(target.record.weight))
            .sum();
        if flows == 0 {
            return 1.0;
        }
        largest / (f64::from(flows) / f64::from(weight))
    }
}

fn agent_address(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000))
}
