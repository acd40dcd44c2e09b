use crate::address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};

/// The record that an agent announces about itself and its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentRecord {
    /// The address where the agent receives datagrams and relayed requests.
    pub address: AgentAddress,
    /// The service that its target belongs to.
    pub service: ServiceId,
    /// The failure domain of the process.
    pub domain: DomainId,
    /// The incarnation of the agent, which rises with each restart.
    pub incarnation: Incarnation,
    /// Incremented with each change of phase or weight within one incarnation.
    pub revision: u16,
    /// The capacity of the target relative to other targets of the service.
    pub weight: u8,
    /// Whether the agent accepts new flows.
    pub phase: AgentPhase,
}

/// The lifecycle phase of an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentPhase {
    /// Accepts new flows.
    Serving,
    /// Keeps its flows and accepts no new ones: it is about to stop, or has lost its target.
    Draining,
    /// Has stopped; its flows have ended.
    Down,
}

/// The record that a balancer announces about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerRecord {
    /// The address where the balancer receives packets in transit and membership datagrams.
    pub address: BalancerAddress,
    /// The failure domain of the process.
    pub domain: DomainId,
    /// The incarnation of the balancer, which rises with each restart.
    pub incarnation: Incarnation,
}
