//! One agent with its target.

use super::{
    super::target_model::{FifoQueue, Harness, NoLimit, ServiceTimes, TargetModel, TargetSettings},
    admission::DomainAdmission,
    cases::{Policy, ServiceCase},
};
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    admission::{Admission, AdmissionSettings},
    codes::ResultCode,
    context::Context,
    domains::{OverflowRelays, OverflowSettings},
    membership::{AgentPhase, AgentRecord},
    placement::{
        OfferDecision, OfferedPacket, OwnLoad, PlacementSettings, RecentOffers, decide_offer,
    },
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// The service of all targets.
pub const SERVICE: ServiceId = ServiceId(1);
/// The domain that is taken out and brought back.
pub const REMOVED_DOMAIN: DomainId = DomainId(0);

/// The weight of each target, which is the agent's default.
const WEIGHT: u8 = 16;
/// The time that the target takes from cold to warm.
const WARM_UP_MS: f64 = 3_000.0;
/// How long the target withstands more than twice its current capacity.
const CRASH_AFTER_MS: u64 = 500;
/// How long the target refuses connections after a crash.
const DOWN_MS: u64 = 2_000;

/// One agent with its target.
pub struct Agent {
    /// The agent's membership record.
    pub record: AgentRecord,
    /// The target with its admission policy.
    pub harness: Harness<DomainAdmission>,
    /// The recent offers that the agent decided on.
    pub recent: RecentOffers,
    /// The peers to which the agent relays overflow.
    pub relays: OverflowRelays,
    /// The number of open flows.
    pub flows: u32,
    /// Whether the agent's settings in force take its domain out.
    pub is_out: bool,
    /// Whether the agent's machine is running.
    pub is_powered: bool,
    policy: Policy,
    slots: u32,
}

impl Agent {
    /// Creates an agent with a warm target.
    pub fn new(number: u8, case: &ServiceCase, policy: Policy, context: &mut Context) -> Self {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000);
        let record = AgentRecord {
            address: AgentAddress(address),
            service: SERVICE,
            domain: DomainId(case.domains[usize::from(number)]),
            incarnation: Incarnation(1),
            revision: 1,
            weight: WEIGHT,
            phase: AgentPhase::Serving,
        };
        Self {
            record,
            harness: new_harness(policy, case.slots, 1.0, context),
            recent: RecentOffers::new(PlacementSettings::default(), context),
            relays: OverflowRelays::new(OverflowSettings::default()),
            flows: 0,
            is_out: false,
            is_powered: true,
            policy,
            slots: case.slots,
        }
    }

    /// Returns the index of the agent with this address.
    pub fn number_of(address: AgentAddress) -> usize {
        usize::from(address.0.ip().octets()[3])
    }

    /// Returns whether the agent is in the domain that is taken out.
    pub fn is_in_removed_domain(&self) -> bool {
        self.record.domain == REMOVED_DOMAIN
    }

    /// Restarts the agent with a cold target.
    pub fn restart(&mut self, context: &mut Context) {
        self.record.incarnation.0 += 1;
        self.harness = new_harness(self.policy, self.slots, 0.0, context);
        self.recent = RecentOffers::new(PlacementSettings::default(), context);
        self.flows = 0;
        self.is_powered = true;
    }

    /// Decides on the first packet of a new flow.
    pub fn decide(&mut self, offered: &OfferedPacket<'_>, now_ms: u64) -> OfferDecision {
        let own = self.own_load();
        decide_offer(offered, &own, &mut self.recent, now_ms)
    }

    /// Records that the endpoint opened an offered flow.
    pub fn opened(&mut self, caller: &SocketAddr, connection_id: &[u8]) {
        self.flows += 1;
        self.recent.note_opened(caller, connection_id);
    }

    fn own_load(&self) -> OwnLoad {
        let admission = self.harness.admission();
        let weight = match self.policy {
            Policy::FullWeight => WEIGHT,
            _ => admission.ramped_weight(WEIGHT),
        };
        let out = self.is_out.then_some(ResultCode::DomainOut);
        OwnLoad {
            address: self.record.address,
            flows: self.flows,
            flow_limit: AdmissionSettings::default().connection_limit,
            weight,
            flow_refusal: out.or(admission.flow_refusal_code()),
        }
    }
}

fn new_harness(
    policy: Policy,
    slots: u32,
    warmth: f64,
    context: &mut Context,
) -> Harness<DomainAdmission> {
    let settings = TargetSettings {
        slots,
        warm_up_ms: WARM_UP_MS,
        crash_after_ms: Some(CRASH_AFTER_MS),
        down_ms: DOWN_MS,
        service_times: ServiceTimes::Even,
    };
    let admission = new_admission(policy, slots, context.now_ms);
    let seed = rand::Rng::next_u64(&mut context.rng);
    let mut harness = Harness::new(admission, TargetModel::new(settings, warmth), seed);
    harness.context.now_ms = context.now_ms;
    harness
}

fn new_admission(policy: Policy, slots: u32, now_ms: u64) -> DomainAdmission {
    let settings = AdmissionSettings {
        request_limit: slots,
        ..AdmissionSettings::default()
    };
    match policy {
        Policy::SilentDrop => DomainAdmission::Unlimited(NoLimit),
        Policy::FixedLimit => {
            let wait_ms = u64::from(settings.queue_wait_ms);
            DomainAdmission::Fixed(FifoQueue::new(slots, wait_ms))
        }
        _ => DomainAdmission::Limits(Box::new(Admission::new(settings, now_ms))),
    }
}
