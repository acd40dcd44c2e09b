use super::{
    load::{Load, OwnLoad},
    offers::{OfferKey, OfferState, RecentOffer, RecentOffers},
};
use crate::{
    address::AgentAddress,
    codes::ResultCode,
    wire::{Candidates, Leg},
};
use serde::Serialize;
use std::net::SocketAddr;

/// The most times that an offer is shown to another agent.
///
/// One is enough while balancers agree on the targets; more happen only while their views differ.
pub const MAX_COMPARE_HOPS: u8 = 3;

/// A first packet of a new flow that has reached an agent.
#[derive(Clone, Copy, Debug)]
pub struct Offered<'a> {
    /// The caller.
    pub caller: SocketAddr,
    /// The connection ID that the caller chose.
    pub connection_id: &'a [u8],
    /// How the packet came here.
    pub leg: Leg,
}

/// What an agent does with a first packet of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferDecision {
    /// Hands the packet to its own endpoint.
    Take,
    /// Sends the packet to another agent with [`Leg::Compare`].
    CompareWith {
        /// The other agent.
        other: AgentAddress,
        /// The load of this agent with the flow.
        load: Load,
        /// How often the offer has then been shown to another agent.
        hops: u8,
    },
    /// Sends the packet to another agent with [`Leg::Take`].
    HandBack {
        /// The other agent.
        to: AgentAddress,
    },
    /// Lets its own endpoint refuse the flow at once.
    Refuse(ResultCode),
    /// Drops the packet and counts it under the code.
    Drop(ResultCode),
}

impl OfferDecision {
    /// Returns the leg to the other agent, if the packet goes to one.
    pub fn next_leg(&self, own: AgentAddress) -> Option<NextLeg> {
        match *self {
            Self::CompareWith { other, load, hops } => Some(NextLeg {
                to: other,
                leg: Leg::Compare {
                    from: own,
                    load,
                    hops,
                },
            }),
            Self::HandBack { to } => Some(NextLeg { to, leg: Leg::Take }),
            Self::Take | Self::Refuse(_) | Self::Drop(_) => None,
        }
    }
}

/// Where a packet goes from one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextLeg {
    /// The agent that it goes to.
    pub to: AgentAddress,
    /// The leg in its header.
    pub leg: Leg,
}

/// Decides what this agent does with a first packet of a new flow.
///
/// All packets of one first flight get decisions that lead to the same agent. An offer ends after
/// at most [`MAX_COMPARE_HOPS`] comparisons, whatever the other agents answer.
pub fn decide(
    offered: &Offered<'_>,
    own: &OwnLoad,
    recent: &mut RecentOffers,
    now_ms: u64,
) -> OfferDecision {
    recent.expire(now_ms);
    let key = recent.key_of(&offered.caller, offered.connection_id);
    let mut step = Step {
        key,
        known: recent.find(key),
        own,
        recent,
        now_ms,
    };
    match offered.leg {
        Leg::Offer { candidates } => step.offer(candidates),
        Leg::Compare { from, load, hops } => step.compare(Comparison { from, load, hops }),
        Leg::Take => step.take(),
        Leg::Established | Leg::Answer { .. } => OfferDecision::Drop(ResultCode::Malformed),
    }
}

/// What another agent said about itself when it showed an offer to this one.
#[derive(Clone, Copy)]
struct Comparison {
    from: AgentAddress,
    load: Load,
    hops: u8,
}

/// One decision in the making.
struct Step<'a> {
    key: OfferKey,
    known: Option<RecentOffer>,
    own: &'a OwnLoad,
    recent: &'a mut RecentOffers,
    now_ms: u64,
}

impl Step<'_> {
    fn offer(&mut self, candidates: Candidates) -> OfferDecision {
        match self.known {
            None => self.new_offer(candidates),
            Some(known) if self.recent.is_timed_out(&known, self.now_ms) => {
                self.repeated_offer(known.state, candidates)
            }
            Some(known) => repeat(known.state, 1),
        }
    }

    fn new_offer(&mut self, candidates: Candidates) -> OfferDecision {
        match other_candidate(candidates, self.own.address) {
            Some(other) => self.ask(other),
            None => self.take_or_refuse(),
        }
    }

    /// Handles the retransmission of a caller that got no answer to its first flight.
    fn repeated_offer(&mut self, state: OfferState, candidates: Candidates) -> OfferDecision {
        match state {
            OfferState::Taken => OfferDecision::Take,
            // The other agent did not reply: it is dead or the packet was lost.
            OfferState::Asked { .. } => self.take_or_refuse(),
            // The agent that had to take the flow may be dead; if it lives, it holds the flow.
            OfferState::HandedBack { to } => self.ask(to),
            OfferState::Refused { .. } => self.new_offer(candidates),
        }
    }

    /// Handles an offer that another agent shows to this one.
    ///
    /// What was decided before stands even when it is old: a late packet must not lead to another
    /// agent than the packets before it.
    fn compare(&mut self, comparison: Comparison) -> OfferDecision {
        match self.known.map(|known| known.state) {
            None | Some(OfferState::Refused { .. }) => self.new_comparison(comparison),
            Some(OfferState::Asked { other, own_load }) if other == comparison.from => {
                self.crossed_comparison(comparison, own_load)
            }
            Some(state) => repeat(state, comparison.hops.saturating_add(1)),
        }
    }

    fn new_comparison(&mut self, comparison: Comparison) -> OfferDecision {
        let own_load = self.own.with_next_flow(self.recent.pending_flows());
        if own_load < comparison.load {
            return self.keep_taken();
        }
        if comparison.load.is_willing() {
            return self.hand_back(comparison.from);
        }
        self.take_or_refuse()
    }

    /// Settles two agents that have shown the same offer to each other: both know both loads and
    /// order them in the same way.
    fn crossed_comparison(&mut self, comparison: Comparison, own_load: Load) -> OfferDecision {
        if !own_load.is_willing() && !comparison.load.is_willing() {
            return self.take_or_refuse();
        }
        if (own_load, self.own.address) < (comparison.load, comparison.from) {
            return self.keep_taken();
        }
        self.hand_back(comparison.from)
    }

    /// Handles the last leg: the agent that gets it takes the flow whatever its load.
    fn take(&mut self) -> OfferDecision {
        match self.known.map(|known| known.state) {
            Some(OfferState::Taken) => OfferDecision::Take,
            _ => self.keep_taken(),
        }
    }

    fn ask(&mut self, other: AgentAddress) -> OfferDecision {
        let load = self.own.with_next_flow(self.recent.pending_flows());
        let state = OfferState::Asked {
            other,
            own_load: load,
        };
        self.recent.keep(self.key, state, self.now_ms);
        OfferDecision::CompareWith {
            other,
            load,
            hops: 1,
        }
    }

    fn hand_back(&mut self, to: AgentAddress) -> OfferDecision {
        let state = OfferState::HandedBack { to };
        self.recent.keep(self.key, state, self.now_ms);
        OfferDecision::HandBack { to }
    }

    fn take_or_refuse(&mut self) -> OfferDecision {
        let Some(code) = self.own.refusal(self.recent.pending_flows()) else {
            return self.keep_taken();
        };
        let state = OfferState::Refused { code };
        self.recent.keep(self.key, state, self.now_ms);
        OfferDecision::Refuse(code)
    }

    fn keep_taken(&mut self) -> OfferDecision {
        self.recent.keep(self.key, OfferState::Taken, self.now_ms);
        OfferDecision::Take
    }
}

/// Returns the candidate that is not this agent; a balancer with an old view may name this agent
/// in any place, or twice.
fn other_candidate(candidates: Candidates, own: AgentAddress) -> Option<AgentAddress> {
    candidates.second.filter(|second| *second != own)
}

/// Gives another packet of the same first flight the same decision.
fn repeat(state: OfferState, hops: u8) -> OfferDecision {
    match state {
        OfferState::Taken => OfferDecision::Take,
        OfferState::HandedBack { to } => OfferDecision::HandBack { to },
        OfferState::Refused { code } => OfferDecision::Refuse(code),
        OfferState::Asked { .. } if hops > MAX_COMPARE_HOPS => {
            OfferDecision::Drop(ResultCode::HopLimit)
        }
        OfferState::Asked { other, own_load } => OfferDecision::CompareWith {
            other,
            load: own_load,
            hops,
        },
    }
}
