//! The settings of version 5, which have no time limits of routes; its frames are the latest ones.
//!
//! The time limit of a route is unknown.

use crate::{
    address::DomainId,
    flows::{
        key::ServiceTag,
        limits::ServiceLimits,
        routes::{self, RequestKind, ServiceShare},
        store_revision::StoreRevision,
        wire::WireVersion,
    },
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// The operators' settings.
#[derive(Debug, Deserialize, Serialize)]
pub struct FleetSettings {
    table: RouteTable,
    domains_out: BTreeSet<DomainId>,
    domains_back: BTreeSet<DomainId>,
    revision: StoreRevision,
}

/// The operators' routes.
#[derive(Debug, Deserialize, Serialize)]
pub struct RouteTable {
    version: u64,
    routes: BTreeMap<SocketAddrV4, Route>,
    services: BTreeMap<ServiceTag, ServiceLimits>,
    idle_timeout_ms: u32,
}

/// A route.
#[derive(Debug, Deserialize, Serialize)]
pub struct Route {
    kind: RequestKind,
    latency_goal_ms: u16,
    priority: u8,
    shares: Vec<ServiceShare>,
}

impl From<routes::FleetSettings> for FleetSettings {
    fn from(settings: routes::FleetSettings) -> Self {
        let table = settings.table;
        let to_route = |route: routes::Route| Route {
            kind: route.kind,
            latency_goal_ms: route.latency_goal_ms,
            priority: route.priority,
            shares: route.shares,
        };
        let routes = table.routes.into_iter();
        Self {
            table: RouteTable {
                version: table.version,
                routes: routes.map(|(at, route)| (at, to_route(route))).collect(),
                services: table.services,
                idle_timeout_ms: table.idle_timeout_ms,
            },
            domains_out: settings.domains_out,
            domains_back: settings.domains_back,
            revision: settings.revision,
        }
    }
}

impl From<FleetSettings> for routes::FleetSettings {
    fn from(settings: FleetSettings) -> Self {
        let table = settings.table;
        let to_route = |route: Route| routes::Route {
            kind: route.kind,
            latency_goal_ms: route.latency_goal_ms,
            priority: route.priority,
            time_limit_ms: 0,
            shares: route.shares,
        };
        let routes = table.routes.into_iter();
        Self {
            table: routes::RouteTable {
                version: table.version,
                routes: routes.map(|(at, route)| (at, to_route(route))).collect(),
                services: table.services,
                idle_timeout_ms: table.idle_timeout_ms,
                wire_version: WireVersion::V5,
            },
            domains_out: settings.domains_out,
            domains_back: settings.domains_back,
            revision: settings.revision,
        }
    }
}
