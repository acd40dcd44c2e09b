use super::{key::FlowKey, key::ServiceTag, limits::ServiceLimits};
use crate::address::DomainId;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// How the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Callers repeat a request after any failure.
    Idempotent,
    /// Callers repeat a request only if it certainly did not run.
    #[default]
    NonIdempotent,
}

/// A service with its share of a route's new flows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceTag,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// Where the flows to one service address go.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// How its requests may be repeated.
    pub kind: RequestKind,
    /// Within how long its requests are to be answered; 0 if operators have not said.
    pub latency_goal_ms: u16,
    /// The services that share its new flows.
    pub shares: Vec<ServiceShare>,
}

impl Route {
    /// Returns the service of a new flow; all copies of an opening packet get the same.
    pub fn service_for(&self, flow: &FlowKey) -> Option<ServiceTag> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut point = flow.hash() % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(share.service);
            }
            point -= weight;
        }
        None
    }
}

/// One version of the operators' routes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RouteTable {
    /// The operators' version.
    pub version: u64,
    /// The routes by the address that callers write to.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// The limits of each service.
    pub services: BTreeMap<ServiceTag, ServiceLimits>,
    /// How long a flow may be idle before either end forgets it.
    pub idle_timeout_ms: u32,
}

/// All that operators have set, as one process knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetSettings {
    /// The routes in force.
    pub table: RouteTable,
    /// The domains that operators have taken out.
    pub domains_out: BTreeSet<DomainId>,
    /// The store's revision at which this was read.
    pub revision: u64,
}

impl FleetSettings {
    /// Takes over what is newer in `other`, and tells whether anything changed.
    ///
    /// Routes follow the operators' version and never go back; domains follow the store's revision.
    pub fn merge_newer(&mut self, other: Self) -> bool {
        let mut is_changed = false;
        if other.table.version > self.table.version {
            self.table = other.table;
            is_changed = true;
        }
        if other.revision > self.revision {
            is_changed |= self.domains_out != other.domains_out;
            self.domains_out = other.domains_out;
            self.revision = other.revision;
        }
        is_changed
    }

    /// Tells whether routes have ever been read.
    pub fn is_known(&self) -> bool {
        self.table.version > 0
    }
}
