//! The service that the experiments on flows without a token use: one service at one address.

use basilstep_core::flows::{
    FleetSettings, RequestKind, Route, ServiceLimits, ServiceShare, ServiceTag, StoreRevision,
    agent::ColdAllowance,
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The age from which on flows may be discarded.
pub const FLOW_MAX_AGE_MS: u64 = 60_000;

/// The load that a cold target of the service may take.
pub const COLD_ALLOWANCE: ColdAllowance = ColdAllowance {
    overage: 1.5,
    slack: 5.0,
};

/// Returns the tag of the service.
pub fn service() -> ServiceTag {
    ServiceTag::of("quotes")
}

/// Returns the address of the service.
pub const fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns fleet settings with a route to the service.
pub fn fleet_settings(kind: RequestKind, latency_goal_ms: u16) -> FleetSettings {
    let mut fleet = FleetSettings {
        revision: StoreRevision { era: 0, number: 1 },
        ..FleetSettings::default()
    };
    let shares = vec![ServiceShare {
        service: service(),
        weight: 1,
    }];
    let route = Route {
        kind,
        latency_goal_ms,
        priority: 0,
        time_limit_ms: 0,
        shares,
    };
    fleet.table.version = 1;
    fleet.table.routes.insert(service_address(), route);
    fleet
        .table
        .services
        .insert(service(), ServiceLimits::default());
    fleet
}
