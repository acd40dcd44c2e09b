//! The messages between balancers and agents; [`wire`](super::wire) encodes them.

use super::{
    key::{FlowKey, ProcessIncarnation, ServiceTag},
    limits::ServiceLimits,
    store_revision::StoreRevision,
};
use crate::{address::DomainId, codes::ResultCode};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A message from one process to another.
///
/// These types are the layout of the latest wire version. A change of a field or of the order of the
/// variants needs a new version, and a copy of the former types beside `wire/v4.rs`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Balancer to agent; a packet follows.
    Forward(ForwardHeader),
    /// Agent to balancer: the packet that follows was not accepted.
    Returned(Returned),
    /// Agent to balancer: the sender holds these flows.
    Held(HeldFlows),
    /// Agent to balancer: a periodic report about the agent and its target.
    Report(AgentReport),
    /// Balancer to an agent that asked for it in its report.
    Reply(ReportReply),
    /// Balancer to balancer: a periodic heartbeat.
    Heartbeat(BalancerHeartbeat),
    /// Agent or balancer to balancer: requests the list of balancers.
    ListBalancers,
    /// The balancers that the sender knows.
    Balancers(Vec<BalancerEntry>),
    /// Balancer to agent: requests the advertisement of all flows again, because some were lost.
    Readvertise,
    /// Balancer to agent: requests a report at once.
    Probe,
}

/// The header of a caller's packet on its way from a balancer to an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHeader {
    /// The service that the flow was opened to.
    pub service: ServiceTag,
    /// The balancer that received the packet from the caller.
    pub origin: Ipv4Addr,
    /// The failure domain of that balancer.
    pub origin_domain: DomainId,
    /// The packet also goes to other agents: only the holder of the flow may answer.
    pub is_search: bool,
    /// What is left of the latency goal of the request of a new flow, at least 1; 0 if there is no
    /// goal, and in all other packets.
    pub latency_goal_ms: u16,
    /// The priority of the route among those that lead to the service: 0 is the highest.
    pub priority_level: u8,
    /// How many priorities the routes to the service have, at least 1.
    pub priority_levels: u8,
    /// The agent may queue the SYN for a moment instead of returning it for load.
    pub may_wait: bool,
}

impl ForwardHeader {
    /// The latency goal of a request that can no longer meet it.
    pub const EXPIRED_GOAL_MS: u16 = 1;
}

/// An advertisement of flows that an agent holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldFlows {
    /// How many flows this agent has advertised to this balancer before; 0 restarts the count.
    pub advertised_before: u32,
    /// The flows.
    pub flows: Vec<FlowKey>,
}

/// Why an agent returns a packet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Returned {
    /// The reason.
    pub code: ResultCode,
    /// The service that the packet was forwarded for.
    pub service: ServiceTag,
}

/// Whether a target accepts new flows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target has not sent a heartbeat since the agent started.
    #[default]
    Unknown,
    /// The target accepts new flows.
    Serving,
    /// The target has announced its shutdown: it keeps its flows and accepts no new ones.
    Draining,
    /// The target does not answer, or its incarnation has ended.
    Down,
}

/// An agent's report about itself and its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// The incarnation of the agent.
    #[serde(rename = "lifetime")]
    pub incarnation: ProcessIncarnation,
    /// The service that its target serves.
    pub service: ServiceTag,
    /// The agent's failure domain.
    pub domain: DomainId,
    /// Whether the target accepts new flows.
    pub phase: TargetPhase,
    /// The target started a short time ago and is slow.
    pub is_cold: bool,
    /// The agent is being shut down on purpose; its target keeps running.
    pub is_stopping: bool,
    /// Requests that the target is processing or has queued.
    pub at_work: u16,
    /// Flows that the target holds.
    pub open_flows: u16,
    /// How many requests the target processes at once.
    pub capacity: u16,
    /// New flows that the agent accepts within the next second.
    pub room: u16,
    /// The agent asks the receiver for a [`ReportReply`].
    pub wants_reply: bool,
    /// How many flows the agent has advertised to the receiver or has queued for it, if these are
    /// all flows that its target holds.
    #[serde(rename = "told")]
    pub advertised_total: Option<u32>,
    /// How many report intervals later the receiver gets the next report.
    pub slowness: u16,
    /// How long the target takes for a request that was not queued; 0 if unknown.
    pub service_time_ms: u16,
    /// The share of the requests of the last seconds that ended without an answer, in thousandths.
    pub failure_permille: u16,
    /// SYNs in the agent's admission queue.
    pub queued: u16,
}

/// The settings that a balancer sends to the agents that chose it as their source.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportReply {
    /// The incarnation of the balancer.
    pub incarnation: ProcessIncarnation,
    /// The version of the routes.
    pub version: u64,
    /// The store's revision of the domains that are out.
    pub revision: StoreRevision,
    /// The agent's domain is out.
    pub is_domain_out: bool,
    /// The limits of the agent's service, if the routes name it.
    pub limits: Option<ServiceLimits>,
    /// A hash of the list of balancers.
    pub balancers_hash: u32,
    /// How long ago the agent's former incarnation may last have run, by its last report and the
    /// time until the next one, less one report interval; `None` if the balancer knows of none.
    pub former_report_age_ms: Option<u32>,
}

/// A heartbeat between balancers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerHeartbeat {
    /// The incarnation of the balancer.
    pub incarnation: ProcessIncarnation,
    /// The balancer's failure domain.
    pub domain: DomainId,
    /// The version of its routes.
    pub version: u64,
    /// The store's revision of its domains that are out.
    pub revision: StoreRevision,
    /// The balancer is shutting down.
    pub is_stopping: bool,
    /// How many agents have reported to it and are not forgotten.
    pub agents: u16,
    /// How many of them are not silent.
    pub live_agents: u16,
    /// A hash of the list of balancers.
    pub balancers_hash: u32,
    /// How long ago the store confirmed to the sender that these settings are the newest.
    pub settings_age_ms: Option<u32>,
}

/// An entry in a list of balancers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerEntry {
    /// The balancer's address; the port is the same on all machines.
    pub ip: Ipv4Addr,
    /// The balancer's failure domain.
    pub domain: DomainId,
    /// The incarnation of the balancer.
    #[serde(rename = "lifetime")]
    pub incarnation: ProcessIncarnation,
    /// How long ago any process last received a message from it.
    pub age_ms: u32,
}
