//! Version 4, which has no priorities, no admission queue and no health of targets.
//!
//! Requests have the highest of one priority, their SYNs do not wait at an agent, and the health of a
//! target is unknown.

use crate::{
    address::DomainId,
    flows::{
        frame::{self, BalancerEntry, BalancerHeartbeat, HeldFlows, ReportReply, Returned},
        key::{ProcessIncarnation, ServiceTag},
        limits::ServiceLimits,
        routes::{self, RequestKind, ServiceShare},
        store_revision::StoreRevision,
        wire::WireVersion,
    },
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

/// A frame.
#[derive(Debug, Deserialize, Serialize)]
pub enum Frame {
    Forward(ForwardHeader),
    Returned(Returned),
    Held(HeldFlows),
    Report(AgentReport),
    Reply(ReportReply),
    Heartbeat(BalancerHeartbeat),
    ListBalancers,
    Balancers(Vec<BalancerEntry>),
    Readvertise,
    Probe,
}

/// The header of a forwarded packet.
#[derive(Debug, Deserialize, Serialize)]
pub struct ForwardHeader {
    service: ServiceTag,
    origin: Ipv4Addr,
    origin_domain: DomainId,
    is_search: bool,
    latency_goal_ms: u16,
}

/// The report of an agent.
#[derive(Debug, Deserialize, Serialize)]
pub struct AgentReport {
    incarnation: ProcessIncarnation,
    service: ServiceTag,
    domain: DomainId,
    phase: frame::TargetPhase,
    is_cold: bool,
    is_stopping: bool,
    at_work: u16,
    open_flows: u16,
    capacity: u16,
    room: u16,
    wants_reply: bool,
    advertised_total: Option<u32>,
    slowness: u16,
}

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
    shares: Vec<ServiceShare>,
}

impl From<frame::Frame> for Frame {
    fn from(frame: frame::Frame) -> Self {
        match frame {
            frame::Frame::Forward(header) => Self::Forward(header.into()),
            frame::Frame::Returned(returned) => Self::Returned(returned),
            frame::Frame::Held(held) => Self::Held(held),
            frame::Frame::Report(report) => Self::Report(report.into()),
            frame::Frame::Reply(reply) => Self::Reply(reply),
            frame::Frame::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat),
            frame::Frame::ListBalancers => Self::ListBalancers,
            frame::Frame::Balancers(entries) => Self::Balancers(entries),
            frame::Frame::Readvertise => Self::Readvertise,
            frame::Frame::Probe => Self::Probe,
        }
    }
}

impl From<Frame> for frame::Frame {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Forward(header) => Self::Forward(header.into()),
            Frame::Returned(returned) => Self::Returned(returned),
            Frame::Held(held) => Self::Held(held),
            Frame::Report(report) => Self::Report(report.into()),
            Frame::Reply(reply) => Self::Reply(reply),
            Frame::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat),
            Frame::ListBalancers => Self::ListBalancers,
            Frame::Balancers(entries) => Self::Balancers(entries),
            Frame::Readvertise => Self::Readvertise,
            Frame::Probe => Self::Probe,
        }
    }
}

impl From<frame::ForwardHeader> for ForwardHeader {
    fn from(header: frame::ForwardHeader) -> Self {
        Self {
            service: header.service,
            origin: header.origin,
            origin_domain: header.origin_domain,
            is_search: header.is_search,
            latency_goal_ms: header.latency_goal_ms,
        }
    }
}

impl From<ForwardHeader> for frame::ForwardHeader {
    fn from(header: ForwardHeader) -> Self {
        Self {
            service: header.service,
            origin: header.origin,
            origin_domain: header.origin_domain,
            is_search: header.is_search,
            latency_goal_ms: header.latency_goal_ms,
            priority_level: 0,
            priority_levels: 1,
            may_wait: false,
        }
    }
}

impl From<frame::AgentReport> for AgentReport {
    fn from(report: frame::AgentReport) -> Self {
        Self {
            incarnation: report.incarnation,
            service: report.service,
            domain: report.domain,
            phase: report.phase,
            is_cold: report.is_cold,
            is_stopping: report.is_stopping,
            at_work: report.at_work,
            open_flows: report.open_flows,
            capacity: report.capacity,
            room: report.room,
            wants_reply: report.wants_reply,
            advertised_total: report.advertised_total,
            slowness: report.slowness,
        }
    }
}

impl From<AgentReport> for frame::AgentReport {
    fn from(report: AgentReport) -> Self {
        Self {
            incarnation: report.incarnation,
            service: report.service,
            domain: report.domain,
            phase: report.phase,
            is_cold: report.is_cold,
            is_stopping: report.is_stopping,
            at_work: report.at_work,
            open_flows: report.open_flows,
            capacity: report.capacity,
            room: report.room,
            wants_reply: report.wants_reply,
            advertised_total: report.advertised_total,
            slowness: report.slowness,
            service_time_ms: 0,
            failure_permille: 0,
            queued: 0,
        }
    }
}

impl From<routes::FleetSettings> for FleetSettings {
    fn from(settings: routes::FleetSettings) -> Self {
        let table = settings.table;
        let to_route = |route: routes::Route| Route {
            kind: route.kind,
            latency_goal_ms: route.latency_goal_ms,
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
            priority: 0,
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
                wire_version: WireVersion::V4,
            },
            domains_out: settings.domains_out,
            domains_back: settings.domains_back,
            revision: settings.revision,
        }
    }
}
