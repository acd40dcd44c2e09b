//! What one balancer steers by.

use super::{
    agent::{LEAVING, SERVICE},
    cases::Policy,
};
use basilstep_core::{
    admission::AdmissionSettings,
    crypto::ShortKey,
    membership::AgentRecord,
    requests::RequestSettings,
    settings::{ServiceRecord, ServiceView, SettingsView, WriteStamp},
    steering::{Steer, SteeringTable},
    token::{FlowKey, FlowKeys},
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// The keys of flow tokens.
pub const FLOW_KEYS: FlowKeys = FlowKeys {
    current: FlowKey {
        id: 1,
        secret: ShortKey([1; 16]),
    },
    previous: None,
};

/// The tables of one balancer: both are the same but where a policy still serves old tokens.
#[derive(Debug)]
pub struct Balancer {
    placement: SteeringTable,
    established: SteeringTable,
}

impl Balancer {
    /// Builds the tables from the records and the settings that are in force at this balancer.
    pub fn build(records: &[AgentRecord], is_out: bool, policy: Policy) -> Self {
        let refuses_tokens = is_out && policy != Policy::PlacementOnly;
        Self {
            placement: SteeringTable::build(&view(is_out), records, &[]),
            established: SteeringTable::build(&view(refuses_tokens), records, &[]),
        }
    }

    /// Decides where the first packet of a new flow goes.
    pub fn place(&self, caller: &SocketAddr, datagram: &[u8]) -> Steer {
        self.placement.steer(SERVICE, caller, datagram)
    }

    /// Decides where a packet of an open flow goes.
    pub fn steer(&self, caller: &SocketAddr, datagram: &[u8]) -> Steer {
        self.established.steer(SERVICE, caller, datagram)
    }
}

fn view(is_out: bool) -> SettingsView {
    let mut view = SettingsView {
        flow_keys: Some(FLOW_KEYS),
        ..SettingsView::default()
    };
    if is_out {
        view.out.insert(LEAVING);
    }
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
