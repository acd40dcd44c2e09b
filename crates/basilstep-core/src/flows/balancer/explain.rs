//! What an operator is told about the placement of a new flow.

use super::agent_table::{Candidate, PassedOver, PassedOverReason, PlacementDetails};
use crate::{
    codes::ResultCode,
    flows::{
        key::{FlowKey, ServiceTag},
        routes::RequestKind,
    },
};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The maximum number of agents in an explanation; a service may have thousands.
pub const MAX_EXPLAINED_AGENTS: usize = 64;

/// The error of an explanation for a service address without a route to a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no route leads from {service_address} to a service, in version {version} of the settings")]
pub struct NoRoute {
    /// The address.
    pub service_address: SocketAddrV4,
    /// The version of the routes in force; 0 if none are known yet.
    pub version: u64,
}

impl NoRoute {
    /// Returns the result code of the error.
    pub const fn code(&self) -> ResultCode {
        ResultCode::ServiceUnknown
    }
}

/// Where the first SYN of a flow would go now, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The flow.
    pub flow: FlowKey,
    /// The version of the routes in force.
    pub version: u64,
    /// The service that the route leads to.
    pub service: ServiceTag,
    /// Whether the requests of the route may be repeated.
    pub request_kind: RequestKind,
    /// The rank of the route's priority; 0 is the highest.
    pub priority_level: u8,
    /// The number of different priorities among the routes to the service.
    pub priority_levels: u8,
    /// The latency goal of the route; 0 if operators have not set one.
    pub latency_goal_ms: u16,
    /// What the balancer knows of an earlier SYN of the flow.
    pub hint: Option<ExplainedHint>,
    /// Where the SYN would go.
    pub outcome: PlacementOutcome,
    /// The agents that are compared, the lowest expected wait first.
    pub candidates: Vec<Candidate>,
    /// The other agents of the service.
    pub passed_over: Vec<PassedOver>,
    /// How many agents are in neither list, which together hold at most [`MAX_EXPLAINED_AGENTS`].
    pub left_out: usize,
}

/// What a balancer knows of an earlier SYN of the flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainedHint {
    /// The agent that the SYN was sent to.
    pub agent: Ipv4Addr,
    /// Whether the agent has confirmed that it holds the flow.
    pub is_confirmed: bool,
}

/// Where a SYN would go.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// It goes to the agent in the hint of its flow.
    Hinted {
        /// The agent.
        agent: Ipv4Addr,
    },
    /// It goes to a slow or avoided target as a probe, which detects the target's recovery.
    Probe {
        /// The agent.
        agent: Ipv4Addr,
    },
    /// It goes to the agent with the lowest expected wait.
    Chosen {
        /// The agent.
        agent: Ipv4Addr,
    },
    /// It goes to no agent.
    Refused {
        /// The reason.
        code: ResultCode,
    },
}

impl PlacementOutcome {
    /// Returns the agent that the SYN would go to.
    pub const fn agent(self) -> Option<Ipv4Addr> {
        match self {
            Self::Hinted { agent } | Self::Probe { agent } | Self::Chosen { agent } => Some(agent),
            Self::Refused { .. } => None,
        }
    }
}

impl PlacementDetails {
    /// Removes agents until [`MAX_EXPLAINED_AGENTS`] are left, and returns how many it removed.
    ///
    /// The agent of the probe and those with a reason of their own are kept the longest.
    pub fn truncate(&mut self) -> usize {
        let total = self.candidates.len() + self.passed_over.len();
        let probe = self.probe;
        if self.candidates.len() > MAX_EXPLAINED_AGENTS {
            self.candidates
                .sort_by_key(|candidate| Some(candidate.agent) != probe);
            self.candidates.truncate(MAX_EXPLAINED_AGENTS);
        }
        self.passed_over
            .sort_by_key(|passed| passed.reason == PassedOverReason::NotCompared);
        self.passed_over
            .truncate(MAX_EXPLAINED_AGENTS - self.candidates.len());
        total - self.candidates.len() - self.passed_over.len()
    }
}
