use super::{pending_syns::PendingSyn, settings_watch::WatchTimes, target_ranking::StandingChange};
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        frame::{BalancerEntry, ForwardHeader},
        key::{LostFlow, ProcessIncarnation},
    },
};
use std::{collections::BTreeSet, net::Ipv4Addr};

/// The identity and fixed parameters of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerIdentity {
    /// The balancer's address.
    pub ip: Ipv4Addr,
    /// The balancer's failure domain.
    pub domain: DomainId,
    /// The incarnation of the balancer.
    pub incarnation: ProcessIncarnation,
    /// The bounds on the age of its settings.
    pub watch_times: WatchTimes,
    /// The age from which on a flow may be discarded.
    pub flow_max_age_ms: u64,
}

impl BalancerIdentity {
    /// Returns the entry of this balancer in a list of balancers.
    pub fn entry(&self) -> BalancerEntry {
        BalancerEntry {
            ip: self.ip,
            domain: self.domain,
            incarnation: self.incarnation,
            age_ms: 0,
        }
    }
}

/// An agent to which a packet is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextHop {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The header that is put before the packet.
    pub header: ForwardHeader,
}

/// The decision about a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The packet goes to one agent.
    Forward(NextHop),
    /// The packet goes to all agents that may hold its flow.
    Search(Vec<NextHop>),
    /// The flow is reset towards the caller.
    Reset {
        /// The reason.
        code: ResultCode,
    },
    /// The packet is dropped; the caller retransmits it if it is still needed.
    Drop {
        /// The reason.
        code: ResultCode,
    },
}

/// A pending SYN for which an agent was found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedSyn {
    /// The SYN.
    pub syn: PendingSyn,
    /// Where the SYN goes.
    pub next_hop: NextHop,
}

/// A packet for an agent that has started during the search for the packet's flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchPacket {
    /// The agent to ask.
    pub next_hop: NextHop,
    /// The packet as it arrived.
    pub packet: Vec<u8>,
}

/// The results of a tick.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TickOutcome {
    /// Agents that were forgotten.
    pub forgotten: Vec<Ipv4Addr>,
    /// Flows that are reset because all agents have answered that they do not hold them.
    pub lost: Vec<LostFlow>,
    /// Domains that are back because the restored store has no record of them.
    pub released_domains: BTreeSet<DomainId>,
    /// Targets that begin or cease to count as slow or avoided.
    pub standings: Vec<StandingChange>,
    /// Pending SYNs for which an agent was found.
    pub placed: Vec<PlacedSyn>,
}
