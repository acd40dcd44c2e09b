use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::Ipv4Addr};

/// What the fabric has counted, at `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FabricCounts {
    /// By the listen address of each balancer.
    pub balancers: BTreeMap<Ipv4Addr, BalancerCounts>,
    /// Callers that are known.
    pub callers: usize,
    /// Packets that no balancer could be sent.
    pub without_balancer: u64,
    /// Packets lost by a fault that is switched on.
    pub lost_by_fault: u64,
    /// Packets of callers above the most that the fabric remembers.
    pub above_caller_limit: u64,
}

/// What the fabric has counted of one balancer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BalancerCounts {
    /// Packets sent to it.
    pub sent: u64,
    /// Packets that came back from it.
    pub answered: u64,
    /// Time of the last packet sent to it, in ms since the epoch.
    pub last_sent_ms: u64,
    /// Whether it says that it is ready; `None` before the first poll.
    pub ready: Option<bool>,
}
