use crate::{address::AgentAddress, codes::ResultCode};
use serde::{Deserialize, Serialize};

const UNITS_PER_FLOW: u64 = 1_000;

/// The flows of a target per unit of its weight, in thousandths.
///
/// A new flow goes to the lower load. The scale is fine enough that one more flow changes the load
/// at every weight.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Load(pub u32);

impl Load {
    /// The load of a target that accepts no new flows.
    pub const NO_NEW_FLOWS: Self = Self(u32::MAX);

    /// Returns the load of a target with this number of flows and this weight.
    pub fn of(flows: u32, weight: u8) -> Self {
        let units = u64::from(flows) * UNITS_PER_FLOW;
        units
            .checked_div(u64::from(weight))
            .map_or(Self::NO_NEW_FLOWS, |load| {
                Self(load.min(u64::from(u32::MAX) - 1) as u32)
            })
    }

    /// Returns whether the target accepts new flows.
    pub fn accepts_flows(self) -> bool {
        self != Self::NO_NEW_FLOWS
    }
}

/// The state of an agent that its decision on an offer depends on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnLoad {
    /// The agent's own carrier address.
    pub address: AgentAddress,
    /// The number of flows at its endpoint, including those in their handshake.
    pub flows: u32,
    /// The maximum number of flows.
    pub flow_limit: u32,
    /// The capacity of its target relative to others of the service, ramped up after a cold start.
    pub weight: u8,
    /// The reason why it accepts no new flow whatever its load, such as [`ResultCode::Draining`].
    pub flow_refusal: Option<ResultCode>,
}

impl OwnLoad {
    /// Returns the reason why the agent accepts no new flow, if there is one.
    pub fn refusal(&self, pending_flows: u32) -> Option<ResultCode> {
        let is_full = self.flows.saturating_add(pending_flows) >= self.flow_limit;
        let full = is_full.then_some(ResultCode::ConnectionsFull);
        let without_weight = (self.weight == 0).then_some(ResultCode::TargetUnreachable);
        self.flow_refusal.or(full).or(without_weight)
    }

    /// Returns the load that the target would have with one more flow.
    ///
    /// Including the new flow makes the comparison of targets with unequal weights exact: the load
    /// of a small target rises by more than that of a large one.
    pub fn with_next_flow(&self, pending_flows: u32) -> Load {
        if self.refusal(pending_flows).is_some() {
            return Load::NO_NEW_FLOWS;
        }
        let flows = self.flows.saturating_add(pending_flows).saturating_add(1);
        Load::of(flows, self.weight)
    }
}
