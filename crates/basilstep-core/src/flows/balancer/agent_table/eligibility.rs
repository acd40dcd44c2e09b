//! Which agents can be sent a new flow, and why the others cannot.

use super::{AgentState, PlacementContext};
use crate::flows::{frame::TargetPhase, settings::FlowSettings};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Why an agent of the service does not get a new flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PassedOverReason {
    /// The agent is being shut down.
    Stopping,
    /// The target has announced its shutdown.
    Draining,
    /// The target has not started, does not answer, or has ended.
    TargetNotServing,
    /// Operators have taken the agent's failure domain out.
    DomainOut,
    /// The agent's failure domain is out by the record of an earlier era of the store.
    DomainHeld,
    /// The agent's reports are overdue.
    Silent,
    /// The agent has not confirmed a flow in time.
    Doubted,
    /// The agent has been sent as many new flows as it accepts until its next report.
    NoRoom,
    /// The agent has refused the flow.
    Refused,
    /// The target fails requests and gets probe flows only.
    Avoided,
    /// The service has more agents than are compared for one flow.
    NotCompared,
}

/// An agent of the service that does not get the flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PassedOver {
    /// The agent.
    pub agent: Ipv4Addr,
    /// Why it does not get the flow.
    pub reason: PassedOverReason,
}

pub(super) fn takes_new_flows(
    agent: Ipv4Addr,
    state: &AgentState,
    placement: &PlacementContext<'_>,
    settings: &FlowSettings,
) -> bool {
    ineligibility(agent, state, placement, settings).is_none()
}

/// Returns the first reason that keeps an agent from getting new flows.
///
/// Silence comes before the lack of room, because a silent agent uses up its room without a report.
pub(super) fn ineligibility(
    agent: Ipv4Addr,
    state: &AgentState,
    placement: &PlacementContext<'_>,
    settings: &FlowSettings,
) -> Option<PassedOverReason> {
    let report = &state.report;
    let limit_ms = settings.liveness.suspect_after_ms;
    if report.is_stopping {
        Some(PassedOverReason::Stopping)
    } else if report.phase == TargetPhase::Draining {
        Some(PassedOverReason::Draining)
    } else if report.phase != TargetPhase::Serving {
        Some(PassedOverReason::TargetNotServing)
    } else if placement.domains_out.contains(&report.domain) {
        Some(PassedOverReason::DomainOut)
    } else if placement.held_domains.contains(report.domain) {
        Some(PassedOverReason::DomainHeld)
    } else if placement
        .liveness
        .is_silent(agent, state, limit_ms, settings, placement.now_ms)
    {
        Some(PassedOverReason::Silent)
    } else if placement.now_ms < state.doubted_until_ms {
        Some(PassedOverReason::Doubted)
    } else if state.offered_since >= report.room {
        Some(PassedOverReason::NoRoom)
    } else {
        None
    }
}
