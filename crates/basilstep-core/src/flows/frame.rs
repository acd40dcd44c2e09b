//! Datagrams between our own processes: a version byte, a `postcard` header, then at most one
//! packet as it was received.

use super::key::{FlowKey, Lifetime, ServiceTag};
use super::limits::ServiceLimits;
use crate::{address::DomainId, codes::ResultCode};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The first byte of each frame.
const FRAME_VERSION: u8 = 1;

/// A datagram that is no frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// It is empty or of another version.
    #[error("the datagram does not start with frame version {FRAME_VERSION}")]
    Version,
    /// Its header cannot be read.
    #[error("the header of the frame cannot be read")]
    Header,
}

/// What one process sends another.
///
/// `postcard` numbers the variants by their order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Balancer to agent; a packet follows.
    Forward(ForwardHeader),
    /// Agent to balancer: the packet that follows was not taken.
    Returned(Returned),
    /// Agent to balancer: the sender holds these flows.
    Held(HeldFlows),
    /// Agent to balancer.
    Report(AgentReport),
    /// Balancer to an agent that asked for it in its report.
    Reply(ReportReply),
    /// Balancer to balancer.
    Heartbeat(BalancerHeartbeat),
    /// Agent or balancer to balancer: asks for the list of balancers.
    ListBalancers,
    /// The balancers that the sender knows.
    Balancers(Vec<BalancerEntry>),
    /// Balancer to agent: asks for all flows once more, since some were lost on the way.
    Readvertise,
    /// Balancer to agent: asks for a report at once.
    Probe,
}

/// How a packet of a caller reaches an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHeader {
    /// The service that the flow was opened to.
    pub service: ServiceTag,
    /// The balancer that took the packet from the caller.
    pub origin: Ipv4Addr,
    /// The failure domain of that balancer.
    pub origin_domain: DomainId,
    /// The packet also goes to other agents: only the holder of the flow may answer.
    pub is_search: bool,
    /// Within how long the requests of a new flow are to be answered; 0 in all other packets.
    pub latency_goal_ms: u16,
}

/// Flows that an agent holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldFlows {
    /// How many flows this agent has told this balancer before; 0 begins anew.
    pub advertised_before: u32,
    /// The flows.
    pub flows: Vec<FlowKey>,
}

/// Why a packet comes back from an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Returned {
    /// The reason.
    pub code: ResultCode,
    /// The service that the packet was carried for.
    pub service: ServiceTag,
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target has not said anything since the agent started.
    #[default]
    Unknown,
    /// It takes new flows.
    Serving,
    /// It has announced that it leaves: it keeps its flows and takes no new ones.
    Draining,
    /// It does not answer, or its lifetime has ended.
    Down,
}

/// What an agent says about itself and its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// The run of the agent.
    pub lifetime: Lifetime,
    /// The service that its target serves.
    pub service: ServiceTag,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether the target takes new flows.
    pub phase: TargetPhase,
    /// The target started a short time ago and is slow.
    pub is_cold: bool,
    /// The agent has been stopped on purpose; its target goes on.
    pub is_stopping: bool,
    /// Requests that the target works on or has queued.
    pub at_work: u16,
    /// Flows that the target holds.
    pub open_flows: u16,
    /// Requests that the target works on at once.
    pub capacity: u16,
    /// New flows that the agent takes within the next second.
    pub room: u16,
    /// The receiver is asked for a [`ReportReply`].
    pub wants_reply: bool,
    /// How many flows the agent has told the receiver, or is about to, if these are all that its
    /// target holds.
    pub told: Option<u32>,
    /// How many report intervals later the receiver gets the next report.
    pub slowness: u16,
}

/// What a balancer tells the agents that chose it as their source of settings.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportReply {
    /// The run of the balancer.
    pub lifetime: Lifetime,
    /// The version of the routes.
    pub version: u64,
    /// The store's revision of the domains that are out.
    pub revision: u64,
    /// The agent's domain is out.
    pub is_domain_out: bool,
    /// The limits of the agent's service, if the routes name it.
    pub limits: Option<ServiceLimits>,
    /// A hash of the list of balancers.
    pub balancers_hash: u32,
}

/// A sign of life between balancers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerHeartbeat {
    /// The run of the balancer.
    pub lifetime: Lifetime,
    /// Its failure domain.
    pub domain: DomainId,
    /// The version of its routes.
    pub version: u64,
    /// The store's revision of its domains that are out.
    pub revision: u64,
    /// It stops now.
    pub is_stopping: bool,
    /// How many agents it has heard, and has not forgotten.
    pub agents: u16,
    /// How many of them it hears.
    pub live_agents: u16,
    /// A hash of the list of balancers.
    pub balancers_hash: u32,
}

/// One balancer in a list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerEntry {
    /// Its address; the port is the same on all machines.
    pub ip: Ipv4Addr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its run.
    pub lifetime: Lifetime,
    /// How long ago it was last heard, by anyone.
    pub age_ms: u32,
}

/// Appends `frame` and the packet that belongs to it to `buffer`, which is cleared first.
///
/// # Panics
///
/// Panics when `postcard` cannot encode a frame, which no frame causes.
pub fn encode_frame(frame: &Frame, packet: &[u8], buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.push(FRAME_VERSION);
    postcard::to_io(frame, &mut *buffer).expect("a frame is plain data and a vector always grows");
    buffer.extend_from_slice(packet);
}

/// Reads a frame and returns it with the packet behind it.
///
/// # Errors
///
/// Returns [`FrameError`] when the bytes are no frame of this version.
pub fn decode_frame(bytes: &[u8]) -> Result<(Frame, &[u8]), FrameError> {
    let Some((&FRAME_VERSION, rest)) = bytes.split_first() else {
        return Err(FrameError::Version);
    };
    postcard::take_from_bytes(rest).map_err(|_error| FrameError::Header)
}
