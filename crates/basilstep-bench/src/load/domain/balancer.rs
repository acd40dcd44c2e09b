//! The steering state of one balancer.

use super::{
    agent::{REMOVED_DOMAIN, SERVICE},
    cases::Policy,
};
use basilstep_core::{
    admission::AdmissionSettings,
    crypto::SipHashKey,
    domains::{DomainPhase, DomainPhases, DomainSettings, DomainTracker},
    membership::AgentRecord,
    requests::RequestSettings,
    settings::{DomainSet, ServiceRecord, ServiceView, SettingsView, WriteStamp},
    steering::{SteeringDecision, SteeringTable},
    token::{FlowKey, FlowKeys},
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// The keys that encode flow tokens.
pub const FLOW_KEYS: FlowKeys = FlowKeys {
    current: FlowKey {
        id: 1,
        secret: SipHashKey([1; 16]),
    },
    previous: None,
};

/// One balancer. Its two tables differ only under a policy that still serves the domain's tokens.
#[derive(Debug)]
pub struct Balancer {
    policy: Policy,
    domains: DomainTracker,
    placement: SteeringTable,
    established: SteeringTable,
}

impl Balancer {
    /// Creates a balancer that knows these agents, with no domain out.
    pub fn new(records: &[AgentRecord], policy: Policy) -> Self {
        let phases = DomainPhases::default();
        Self {
            policy,
            domains: DomainTracker::new(DomainSettings::default(), DomainSet::default()),
            placement: table(phases, records),
            established: table(phases, records),
        }
    }

    /// Takes the domain out or brings it back.
    pub fn set_domain_out(&mut self, is_out: bool, now_ms: u64) {
        let mut out = DomainSet::default();
        if is_out {
            out.insert(REMOVED_DOMAIN);
        }
        self.domains.update(out, now_ms);
    }

    /// Rebuilds the tables, which is due at a change and at the end of each phase.
    pub fn rebuild(&mut self, records: &[AgentRecord], now_ms: u64) {
        let phases = match self.policy {
            Policy::SilentDrop | Policy::FixedLimit => self.phases_without_notice(now_ms),
            _ => self.domains.phases(now_ms),
        };
        self.placement = table(phases, records);
        if self.policy != Policy::PlacementOnly {
            self.established = table(phases, records);
        }
    }

    /// Returns the end of each phase, counted from the change.
    pub fn phase_ends_ms() -> [u64; 3] {
        let settings = DomainSettings::default();
        [settings.close_ms, settings.reset_ms, settings.hold_ms]
    }

    /// Decides where the first packet of a new flow goes.
    pub fn place(&self, caller: &SocketAddr, datagram: &[u8]) -> SteeringDecision {
        self.placement.steer(SERVICE, caller, datagram)
    }

    /// Decides where a packet of an open flow goes.
    pub fn steer(&self, caller: &SocketAddr, datagram: &[u8]) -> SteeringDecision {
        self.established.steer(SERVICE, caller, datagram)
    }

    /// Returns the phases for a policy that drops packets of the domain without closing its flows:
    /// the domain counts as out as soon as it starts to close.
    fn phases_without_notice(&self, now_ms: u64) -> DomainPhases {
        let out = match self.domains.phases(now_ms).of(REMOVED_DOMAIN) {
            DomainPhase::Serving | DomainPhase::Held => DomainSet::default(),
            DomainPhase::Closing | DomainPhase::Resetting | DomainPhase::Out => {
                let mut out = DomainSet::default();
                out.insert(REMOVED_DOMAIN);
                out
            }
        };
        DomainTracker::new(DomainSettings::default(), out).phases(now_ms)
    }
}

fn table(phases: DomainPhases, records: &[AgentRecord]) -> SteeringTable {
    SteeringTable::build_with_domain_phases(&view(), phases, records, &[])
}

fn view() -> SettingsView {
    let mut view = SettingsView {
        flow_keys: Some(FLOW_KEYS),
        ..SettingsView::default()
    };
    let record = ServiceRecord {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443),
        id: SERVICE,
        admission: AdmissionSettings::default(),
        requests: RequestSettings::default(),
        stamp: WriteStamp::default(),
    };
    let service = ServiceView {
        path: "teams/a/services/s".to_owned(),
        record,
    };
    view.services.insert(SERVICE, service);
    view
}
