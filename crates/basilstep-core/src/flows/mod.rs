//! Steering of flows whose packets contain no token.
//!
//! An agent runs on the same VM as its target and sees every packet to and from it, so it alone
//! decides which flows the target holds and which new ones it accepts; see [`AgentFlows`]. A
//! balancer keeps only hints about the holders of flows and a table of the agents that report to
//! it; see [`BalancerFlows`].
//! docs/design/platform.md describes the path of a packet.

pub mod agent;
pub mod balancer;
mod balancer_list;
mod flow_lifetime;
mod frame;
mod handshake;
mod key;
mod limits;
mod recent_keys;
mod routes;
mod segment;
mod send_schedule;
mod settings;
mod store_retry;
mod store_revision;
pub mod wire;

#[cfg(test)]
mod tests;

pub use agent::AgentFlows;
pub use balancer::BalancerFlows;
pub use balancer_list::BalancerList;
pub use frame::{
    AgentReport, BalancerEntry, BalancerHeartbeat, ForwardHeader, Frame, HeldFlows, ReportReply,
    Returned, TargetPhase,
};
pub use key::{FlowKey, InstanceTag, LostFlow, ProcessIncarnation, ServiceTag};
pub use limits::ServiceLimits;
pub use routes::{FleetSettings, PriorityRank, RequestKind, Route, RouteTable, ServiceShare};
pub use segment::{Flags, Segment};
pub use send_schedule::Recipients;
pub use settings::FlowSettings;
pub use store_retry::StoreRetry;
pub use store_revision::StoreRevision;
