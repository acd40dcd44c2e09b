use crate::address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};

/// What an agent announces about itself and its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentRecord {
    /// Where the agent takes datagrams and relayed requests.
    pub address: AgentAddress,
    /// The service that its target serves.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// Rises with each change of phase or weight within one incarnation.
    pub revision: u16,
    /// The capacity of the target relative to others of its service.
    pub weight: u8,
    /// Whether it takes new flows.
    pub phase: AgentPhase,
}

/// Where an agent is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentPhase {
    /// Takes new flows.
    Serving,
    /// Keeps its flows and takes no new ones: it is about to stop, or its target is lost.
    Draining,
    /// Has stopped; its flows have ended.
    Down,
}

/// What a balancer announces about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerRecord {
    /// Where the balancer takes datagrams of the carrier and of membership.
    pub address: BalancerAddress,
    /// Its failure domain.
    pub domain: DomainId,
    /// The run of the balancer.
    pub incarnation: Incarnation,
}
