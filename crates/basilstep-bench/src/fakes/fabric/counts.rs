use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// The counts of the fabric, at `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FabricCounts {
    /// The counts of each balancer by its listen address.
    pub balancers: BTreeMap<Ipv4Addr, BalancerCounts>,
    /// Known callers.
    pub callers: usize,
    /// Packets dropped because no balancer was ready.
    pub without_balancer: u64,
    /// Packets lost because of a fault that is switched on.
    pub lost_by_fault: u64,
    /// Packets dropped because the fabric already tracked its maximum number of callers.
    pub above_caller_limit: u64,
}

/// The counts of one balancer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BalancerCounts {
    /// Packets sent to it.
    pub sent: u64,
    /// Packets received from it.
    pub answered: u64,
    /// Time of the last packet sent to it, in ms since the epoch.
    pub last_sent_ms: u64,
    /// Its last reported readiness; `None` before the first poll.
    pub ready: Option<bool>,
}
