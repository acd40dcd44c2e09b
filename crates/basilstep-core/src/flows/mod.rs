//! Steering of flows whose packets carry no token of ours.
//!
//! The agent beside a target sees every packet to and from it, so it alone decides which flows the
//! target holds and which new ones it takes; see [`AgentFlows`]. A balancer keeps only hints about
//! where flows are and a roster of what agents report; see [`BalancerFlows`].
//! docs/design/platform.md describes the life of a packet.

pub mod agent;
pub mod balancer;
mod frame;
mod key;
mod limits;
mod pace;
mod peers;
mod routes;
mod segment;
mod settings;

#[cfg(test)]
mod tests;

pub use agent::AgentFlows;
pub use balancer::BalancerFlows;
pub use frame::{
    AgentReport, BalancerBeat, BalancerEntry, Carry, Frame, FrameError, HeldFlows, ReportReply,
    Returned, TargetPhase, decode_frame, encode_frame,
};
pub use key::{FlowKey, Lifetime, LostFlow, ServiceTag};
pub use limits::ServiceLimits;
pub use pace::Round;
pub use peers::Peers;
pub use routes::{FleetSettings, RequestKind, Route, RouteTable, ServiceShare};
pub use segment::{Flags, Segment};
pub use settings::FlowSettings;
