//! Which services may hold open flows of an address: those that its route names, and those that it
//! has named within the lifetime of a flow.

use crate::flows::{key::ServiceTag, recent_keys::RecentKeys, routes::RouteTable};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

/// The maximum number of services that are remembered for routes that no longer name them: several
/// times the routes of a large fleet (2,000), in about 1 MB.
const MAX_FORMER_SERVICES: usize = 8_192;

/// A service that a route no longer names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerService {
    /// The service address of the route.
    pub address: SocketAddrV4,
    /// The service.
    pub service: ServiceTag,
    /// How long ago the route named it.
    pub age_ms: u64,
}

/// What balancers that start later have to know of the routes of the past and of the agents.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteHistoryRecord {
    /// The operators' version at which this was recorded.
    pub version: u64,
    /// The agents that may hold flows; `None` if not all of them are known.
    pub agents: Option<BTreeSet<Ipv4Addr>>,
    /// The services that the routes of that version name.
    pub services: BTreeMap<SocketAddrV4, BTreeSet<ServiceTag>>,
    /// The services that routes have named before.
    pub former: Vec<FormerService>,
}

impl RouteHistoryRecord {
    /// Returns whether nothing is lost if this record takes the place of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        let former = self.former_keys();
        let has_agents = other.agents.is_none() || self.agents == other.agents;
        has_agents
            && self.version >= other.version
            && other
                .former
                .iter()
                .all(|other| former.contains(&(other.address, other.service)))
    }

    /// Adds what this record lacks and `other` has.
    pub fn add_missing(&mut self, other: &Self) {
        if self.agents.is_none() {
            self.agents.clone_from(&other.agents);
        }
        let known = self.former_keys();
        let missing = other.former.iter();
        let missing = missing.filter(|former| !known.contains(&(former.address, former.service)));
        self.former.extend(missing);
    }

    fn former_keys(&self) -> BTreeSet<(SocketAddrV4, ServiceTag)> {
        let former = self.former.iter();
        former
            .map(|former| (former.address, former.service))
            .collect()
    }

    /// Makes what is recorded older by `age_ms`.
    pub fn add_age(&mut self, age_ms: u64) {
        for former in &mut self.former {
            former.age_ms = former.age_ms.saturating_add(age_ms);
        }
    }
}

/// What the store says of the routes before the start of this balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PastRoutes {
    /// Operators have never changed the first configuration.
    NeverChanged,
    /// The routes as another balancer has recorded them.
    Recorded(RouteHistoryRecord),
}

/// The services that routes have named, as far as this balancer knows.
#[derive(Clone, Debug)]
pub struct RouteHistory {
    /// The services that routes no longer name, with the time of their removal.
    former: RecentKeys<(SocketAddrV4, ServiceTag)>,
    /// When this balancer began to know the routes.
    known_since_ms: Option<u64>,
    /// The past before that time is known.
    is_past_known: bool,
}

impl Default for RouteHistory {
    fn default() -> Self {
        Self {
            former: RecentKeys::new(MAX_FORMER_SERVICES),
            known_since_ms: None,
            is_past_known: false,
        }
    }
}

impl RouteHistory {
    /// Records that the routes `after` take the place of `before`.
    pub fn on_routes(&mut self, before: &RouteTable, after: &RouteTable, now_ms: u64) {
        self.known_since_ms.get_or_insert(now_ms);
        for (address, route) in &before.routes {
            let now = after.routes.get(address);
            for share in &route.shares {
                if !now.is_some_and(|now| now.names(share.service)) {
                    self.former.insert((*address, share.service), now_ms);
                }
            }
        }
    }

    /// Records what the store says of the time before the start; `routes` are those in force.
    pub fn on_past(&mut self, past: &PastRoutes, routes: &RouteTable, now_ms: u64) {
        self.is_past_known = true;
        let PastRoutes::Recorded(record) = past else {
            return;
        };
        for former in &record.former {
            let removed_ms = now_ms.saturating_sub(former.age_ms);
            self.remember((former.address, former.service), removed_ms);
        }
        for (address, services) in &record.services {
            let route = routes.routes.get(address);
            for service in services {
                if !route.is_some_and(|route| route.names(*service)) {
                    self.remember((*address, *service), now_ms);
                }
            }
        }
    }

    fn remember(&mut self, key: (SocketAddrV4, ServiceTag), removed_ms: u64) {
        let known_ms = self.former.recorded_ms(&key);
        self.former.insert(
            key,
            known_ms.map_or(removed_ms, |at_ms| at_ms.max(removed_ms)),
        );
    }

    /// Returns whether no other service than the known ones can hold a flow of the last
    /// `flow_lifetime_ms`.
    pub fn is_complete(&self, flow_lifetime_ms: u64, now_ms: u64) -> bool {
        let has_seen_all = self
            .known_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + flow_lifetime_ms);
        self.is_past_known || has_seen_all
    }

    /// Returns the services that routes to `address` have named.
    pub fn former_services(&self, address: SocketAddrV4) -> impl Iterator<Item = ServiceTag> {
        self.former
            .keys_from((address, ServiceTag::MIN))
            .take_while(move |(former, _)| *former == address)
            .map(|(_, service)| service)
    }

    /// Removes services that routes have not named since `before_ms`.
    pub fn expire(&mut self, before_ms: u64) {
        self.former.expire(before_ms);
    }

    /// Returns what balancers that start later have to know; flows of routes that were removed need
    /// not be found by them.
    pub fn record(&self, routes: &RouteTable, now_ms: u64) -> RouteHistoryRecord {
        let services = routes
            .routes
            .iter()
            .map(|(address, route)| {
                let named = route.shares.iter().map(|share| share.service);
                (*address, named.collect())
            })
            .collect();
        let former = self
            .former
            .iter()
            .filter(|((address, _), _)| routes.routes.contains_key(address))
            .map(|((address, service), removed_ms)| FormerService {
                address,
                service,
                age_ms: now_ms.saturating_sub(removed_ms),
            })
            .collect();
        RouteHistoryRecord {
            version: routes.version,
            agents: None,
            services,
            former,
        }
    }
}
