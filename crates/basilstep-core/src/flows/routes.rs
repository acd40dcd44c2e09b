use super::{
    key::{FlowKey, ServiceTag},
    limits::ServiceLimits,
    store_revision::StoreRevision,
    wire::WireVersion,
};
use crate::address::DomainId;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// Whether the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Callers repeat a request after any failure.
    Idempotent,
    /// Callers repeat a request only if it certainly was not processed.
    #[default]
    NonIdempotent,
}

/// The share of a service in a route's new flows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceTag,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// The route of the flows to one service address.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// The latency goal of its requests; 0 if operators have not set one.
    pub latency_goal_ms: u16,
    /// The priority of its requests among those of other routes; 0 is the highest.
    pub priority: u8,
    /// How long its callers wait for an answer, new tries included; 0 if this is not known.
    pub time_limit_ms: u32,
    /// The services that share its new flows.
    pub shares: Vec<ServiceShare>,
}

impl Route {
    /// Returns whether the route names `service`, be it without new flows.
    pub fn names(&self, service: ServiceTag) -> bool {
        self.shares.iter().any(|share| share.service == service)
    }

    /// Returns whether new flows may go to `service`.
    pub fn allows(&self, service: ServiceTag) -> bool {
        self.shares
            .iter()
            .any(|share| share.service == service && share.weight > 0)
    }

    /// Returns the service of a new flow, which is the same for a SYN and all its retransmissions.
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
    /// The operators' version number.
    pub version: u64,
    /// The routes by service address.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// The limits of each service.
    pub services: BTreeMap<ServiceTag, ServiceLimits>,
    /// How long a flow may be idle before either end discards it.
    pub idle_timeout_ms: u32,
    /// The wire version in which the routes came; an older one does not say all of them.
    #[serde(skip)]
    pub wire_version: WireVersion,
}

/// The rank of a route's priority among the priorities of the routes that lead to one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PriorityRank {
    /// 0 for the highest priority.
    pub level: u8,
    /// How many different priorities there are, at least 1.
    pub levels: u8,
}

impl Default for PriorityRank {
    fn default() -> Self {
        Self {
            level: 0,
            levels: 1,
        }
    }
}

impl PriorityRank {
    fn among(priorities: &BTreeSet<u8>, priority: u8) -> Self {
        let level = priorities.range(..priority).count();
        let levels = priorities.len() + usize::from(!priorities.contains(&priority));
        Self {
            level: u8::try_from(level).unwrap_or(u8::MAX),
            levels: u8::try_from(levels).unwrap_or(u8::MAX),
        }
    }
}

impl RouteTable {
    /// Returns the rank of `priority` among the priorities of the routes that lead to `service`.
    pub fn priority_rank(&self, service: ServiceTag, priority: u8) -> PriorityRank {
        let priorities: BTreeSet<u8> = self
            .routes
            .values()
            .filter(|route| route.allows(service))
            .map(|route| route.priority)
            .collect();
        PriorityRank::among(&priorities, priority)
    }
}

impl RouteTable {
    /// Returns the services to which a route leads whose requests may be repeated.
    pub fn idempotent_services(&self) -> BTreeSet<ServiceTag> {
        self.routes
            .values()
            .filter(|route| route.kind == RequestKind::Idempotent)
            .flat_map(|route| route.shares.iter().filter(|share| share.weight > 0))
            .map(|share| share.service)
            .collect()
    }
}

/// The priorities of the routes that lead to each service, for lookups on the path of a packet.
#[derive(Clone, Debug, Default)]
pub struct PriorityRanks {
    /// Services whose routes have more than one priority.
    priorities: BTreeMap<ServiceTag, BTreeSet<u8>>,
}

impl PriorityRanks {
    /// Computes the ranks of all routes in one pass.
    pub fn new(table: &RouteTable) -> Self {
        let mut priorities: BTreeMap<ServiceTag, BTreeSet<u8>> = BTreeMap::new();
        for route in table.routes.values() {
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                priorities
                    .entry(share.service)
                    .or_default()
                    .insert(route.priority);
            }
        }
        priorities.retain(|_, priorities| priorities.len() > 1);
        Self { priorities }
    }

    /// Returns the rank of `priority` among the priorities of the routes that lead to `service`.
    pub fn rank(&self, service: ServiceTag, priority: u8) -> PriorityRank {
        self.priorities
            .get(&service)
            .map_or_else(PriorityRank::default, |priorities| {
                PriorityRank::among(priorities, priority)
            })
    }
}

/// The operators' settings as one process knows them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct FleetSettings {
    /// The routes in force.
    pub table: RouteTable,
    /// The domains that operators have taken out.
    pub domains_out: BTreeSet<DomainId>,
    /// The domains that operators have brought back in this era of the store.
    pub domains_back: BTreeSet<DomainId>,
    /// The store's revision at which these settings were read.
    pub revision: StoreRevision,
}

impl FleetSettings {
    /// Takes over the newer parts of `other`; returns whether anything changed.
    ///
    /// Routes are ordered by the operators' version and never go back, not even if the store does;
    /// domains are ordered by the store's era and revision.
    pub fn merge_newer(&mut self, other: Self) -> bool {
        let mut is_changed = false;
        let completes_table = other.table.version == self.table.version
            && other.table.wire_version > self.table.wire_version;
        if other.table.version > self.table.version || completes_table {
            self.table = other.table;
            is_changed = true;
        }
        if other.revision > self.revision {
            is_changed |= self.domains_out != other.domains_out;
            let mut domains_back = other.domains_back;
            if other.revision.era == self.revision.era {
                // A balancer that has just begun to watch does not know earlier returns.
                domains_back.append(&mut self.domains_back);
                domains_back.retain(|domain| !other.domains_out.contains(domain));
            }
            self.domains_out = other.domains_out;
            self.domains_back = domains_back;
            self.revision = other.revision;
        }
        is_changed
    }

    /// Returns whether routes have been read yet.
    pub fn is_known(&self) -> bool {
        self.table.version > 0
    }
}
