use super::pending_openings::PendingOpening;
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        frame::{BalancerEntry, ForwardHeader},
        key::{Lifetime, LostFlow},
    },
};
use std::net::Ipv4Addr;

/// Who a balancer is.
#[derive(Clone, Copy, Debug)]
pub struct BalancerIdentity {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its run.
    pub lifetime: Lifetime,
}

impl BalancerIdentity {
    /// Returns the balancer as it stands in a list.
    pub fn entry(&self) -> BalancerEntry {
        BalancerEntry {
            ip: self.ip,
            domain: self.domain,
            lifetime: self.lifetime,
            age_ms: 0,
        }
    }
}

/// One way of a packet to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextHop {
    /// The agent.
    pub agent: Ipv4Addr,
    /// What goes before the packet.
    pub header: ForwardHeader,
}

/// What happens to a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It goes to one agent.
    Forward(NextHop),
    /// It goes to all agents that may hold its flow.
    Search(Vec<NextHop>),
    /// The caller's end of the flow is reset.
    Reset {
        /// Why.
        code: ResultCode,
    },
    /// It is dropped; the caller sends it again if it still matters.
    Drop {
        /// Why.
        code: ResultCode,
    },
}

/// An opening packet that waited and goes to an agent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedOpening {
    /// The packet.
    pub opening: PendingOpening,
    /// Where it goes.
    pub next_hop: NextHop,
}

/// What a tick brings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TickOutcome {
    /// Agents that were forgotten.
    pub forgotten: Vec<Ipv4Addr>,
    /// Flows that are reset because all agents have said that they do not hold them.
    pub lost: Vec<LostFlow>,
    /// Opening packets that waited for an agent.
    pub placed: Vec<PlacedOpening>,
}
