//! One service at one address, as the experiments on flows without a token set it up.

use basilstep_core::flows::{
    FleetSettings, RequestKind, Route, ServiceLimits, ServiceShare, ServiceTag,
    agent::ColdAllowance,
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// What a cold target of the service may get.
pub const COLD_ALLOWANCE: ColdAllowance = ColdAllowance {
    overage: 1.5,
    slack: 5.0,
};

/// Returns the service.
pub fn service() -> ServiceTag {
    ServiceTag::of("quotes")
}

/// Returns its address.
pub const fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns settings with a route to it.
pub fn fleet_settings(kind: RequestKind, latency_goal_ms: u16) -> FleetSettings {
    let mut fleet = FleetSettings {
        revision: 1,
        ..FleetSettings::default()
    };
    let shares = vec![ServiceShare {
        service: service(),
        weight: 1,
    }];
    let route = Route {
        kind,
        latency_goal_ms,
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
