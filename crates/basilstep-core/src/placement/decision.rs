use super::{
    load::{Load, OwnLoad},
    offers::{OfferKey, OfferState, OutgoingComparison, RecentOffer, RecentOffers},
};
use crate::{
    address::AgentAddress,
    codes::ResultCode,
    wire::{Candidates, CarrierPurpose},
};
use serde::Serialize;
use std::net::SocketAddr;

/// The maximum number of times that an offer is forwarded for comparison.
///
/// Two are enough while balancers agree on the targets; more occur only while their views differ.
pub const MAX_COMPARE_HOPS: u8 = 4;

/// A first packet of a new flow as an agent receives it.
#[derive(Clone, Copy, Debug)]
pub struct OfferedPacket<'a> {
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The connection ID that the caller chose.
    pub connection_id: &'a [u8],
    /// The purpose in the header of the packet.
    pub purpose: CarrierPurpose,
}

/// The action that an agent takes on a first packet of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferDecision {
    /// Pass the packet to its own endpoint.
    Accept,
    /// Forward the packet to the next candidate with [`CarrierPurpose::Compare`].
    Compare {
        /// The next candidate.
        to: AgentAddress,
        /// The best candidate so far.
        best: AgentAddress,
        /// The load of the best candidate with the flow included.
        load: Load,
        /// The candidate after the next.
        next: Option<AgentAddress>,
        /// The number of times that the offer has been forwarded, this time included.
        hops: u8,
    },
    /// Send the packet to the best candidate with [`CarrierPurpose::Assign`].
    Assign {
        /// The best candidate.
        to: AgentAddress,
    },
    /// Let its own endpoint refuse the flow at once.
    Refuse(ResultCode),
    /// Drop the packet and count it under the code.
    Drop(ResultCode),
}

impl OfferDecision {
    /// Returns the next hop of the packet, if it is sent to another agent.
    pub fn next_hop(&self, own: AgentAddress) -> Option<CarrierHop> {
        match *self {
            Self::Compare {
                to,
                best,
                load,
                next,
                hops,
            } => Some(CarrierHop {
                to,
                purpose: CarrierPurpose::Compare {
                    from: own,
                    best,
                    load,
                    next,
                    hops,
                },
            }),
            Self::Assign { to } => Some(CarrierHop {
                to,
                purpose: CarrierPurpose::Assign,
            }),
            Self::Accept | Self::Refuse(_) | Self::Drop(_) => None,
        }
    }
}

/// The destination and the purpose of a packet that an agent sends to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CarrierHop {
    /// The destination.
    pub to: AgentAddress,
    /// The purpose in its header.
    pub purpose: CarrierPurpose,
}

/// Returns the acknowledgement of a packet, which has no payload, if its purpose requires one.
pub fn acknowledge_offer(purpose: &CarrierPurpose, own: AgentAddress) -> Option<CarrierHop> {
    match *purpose {
        CarrierPurpose::Compare { from, .. } => Some(CarrierHop {
            to: from,
            purpose: CarrierPurpose::CompareAck { by: own },
        }),
        _ => None,
    }
}

/// Decides which action this agent takes on a first packet of a new flow.
///
/// The decisions on all packets of a first flight lead to the same agent. An offer ends after at
/// most [`MAX_COMPARE_HOPS`] comparisons, whatever the other agents decide.
pub fn decide_offer(
    offered: &OfferedPacket<'_>,
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
    let decision = match offered.purpose {
        CarrierPurpose::Offer { candidates } => step.on_offer(candidates),
        CarrierPurpose::Compare {
            from,
            best,
            load,
            next,
            hops,
        } => {
            step.recent.peer_acks.note_message(from);
            step.on_comparison(IncomingComparison {
                best,
                load,
                next,
                hops,
            })
        }
        CarrierPurpose::Assign => step.on_assignment(),
        CarrierPurpose::Established
        | CarrierPurpose::CompareAck { .. }
        | CarrierPurpose::Answer { .. } => OfferDecision::Drop(ResultCode::Malformed),
    };
    if let OfferDecision::Compare { to, .. } = decision {
        recent.peer_acks.note_sent(to, now_ms);
    }
    decision
}

/// The result of the comparison between the candidates before this one.
#[derive(Clone, Copy)]
struct IncomingComparison {
    best: AgentAddress,
    load: Load,
    next: Option<AgentAddress>,
    hops: u8,
}

/// The inputs of one decision.
struct Step<'a> {
    key: OfferKey,
    known: Option<RecentOffer>,
    own: &'a OwnLoad,
    recent: &'a mut RecentOffers,
    now_ms: u64,
}

impl Step<'_> {
    fn on_offer(&mut self, candidates: Candidates) -> OfferDecision {
        match self.known {
            None => self.new_offer(candidates),
            Some(known) if self.recent.is_timed_out(&known, self.now_ms) => {
                self.on_retransmission(known.state, candidates)
            }
            Some(known) => repeat_decision(known.state, 1),
        }
    }

    fn new_offer(&mut self, candidates: Candidates) -> OfferDecision {
        let mut others = [candidates.second, candidates.third]
            .into_iter()
            .flatten()
            .filter(|candidate| self.is_eligible(*candidate));
        let (to, next) = (others.next(), others.next());
        self.compare_or_accept(to, next)
    }

    /// Returns whether an offer may be forwarded to an agent: it has not left an earlier offer
    /// unacknowledged, and it is not this agent, which a balancer with an old view may list in
    /// any position, or twice.
    fn is_eligible(&self, candidate: AgentAddress) -> bool {
        let is_unresponsive = self.recent.is_unresponsive(candidate, self.now_ms);
        candidate != self.own.address && !is_unresponsive
    }

    /// Handles the retransmission of a caller that received no answer to its first flight.
    fn on_retransmission(&mut self, state: OfferState, candidates: Candidates) -> OfferDecision {
        match state {
            OfferState::Accepted => OfferDecision::Accept,
            // No answer came from a later candidate: it is dead, or a packet was lost.
            OfferState::Compared(_) => self.accept_or_refuse(),
            // The agent that the flow was assigned to may be dead; if alive, it holds the flow.
            OfferState::Assigned { to } => {
                let to = Some(to).filter(|to| self.is_eligible(*to));
                self.compare_or_accept(to, None)
            }
            OfferState::Refused { .. } => self.new_offer(candidates),
        }
    }

    /// Handles an offer that another candidate forwards to this one.
    ///
    /// An earlier decision is kept even when it is old: a late packet must not lead to another
    /// agent than the packets before it.
    fn on_comparison(&mut self, incoming: IncomingComparison) -> OfferDecision {
        let Some(known) = self.known else {
            return self.new_comparison(incoming);
        };
        let is_refused = matches!(known.state, OfferState::Refused { .. });
        if is_refused && self.recent.is_timed_out(&known, self.now_ms) {
            return self.new_comparison(incoming);
        }
        repeat_decision(known.state, incoming.hops.saturating_add(1))
    }

    fn new_comparison(&mut self, incoming: IncomingComparison) -> OfferDecision {
        let own_load = self.own_load();
        // Of equal loads the later candidate wins, which saves the hop back to the earlier one.
        let is_best = own_load <= incoming.load;
        if let Some(next) = incoming.next.filter(|next| self.is_eligible(*next)) {
            let comparison = OutgoingComparison {
                to: next,
                best: if is_best {
                    self.own.address
                } else {
                    incoming.best
                },
                load: own_load.min(incoming.load),
                next: None,
            };
            return self.compare_with(comparison, incoming.hops.saturating_add(1));
        }
        if !is_best && incoming.load.accepts_flows() {
            return self.assign_to(incoming.best);
        }
        self.accept_or_refuse()
    }

    /// Handles [`CarrierPurpose::Assign`]: the recipient accepts the flow whatever its load.
    fn on_assignment(&mut self) -> OfferDecision {
        match self.known.map(|known| known.state) {
            Some(OfferState::Accepted) => OfferDecision::Accept,
            _ => self.accept(),
        }
    }

    fn own_load(&self) -> Load {
        self.own.with_next_flow(self.recent.pending_flows())
    }

    fn compare_or_accept(
        &mut self,
        to: Option<AgentAddress>,
        next: Option<AgentAddress>,
    ) -> OfferDecision {
        let Some(to) = to else {
            return self.accept_or_refuse();
        };
        let comparison = OutgoingComparison {
            to,
            best: self.own.address,
            load: self.own_load(),
            next,
        };
        self.compare_with(comparison, 1)
    }

    fn compare_with(&mut self, comparison: OutgoingComparison, hops: u8) -> OfferDecision {
        let state = OfferState::Compared(comparison);
        self.recent.keep(self.key, state, self.now_ms);
        repeat_decision(state, hops)
    }

    fn assign_to(&mut self, to: AgentAddress) -> OfferDecision {
        let state = OfferState::Assigned { to };
        self.recent.keep(self.key, state, self.now_ms);
        OfferDecision::Assign { to }
    }

    fn accept_or_refuse(&mut self) -> OfferDecision {
        let Some(code) = self.own.refusal(self.recent.pending_flows()) else {
            return self.accept();
        };
        let state = OfferState::Refused { code };
        self.recent.keep(self.key, state, self.now_ms);
        OfferDecision::Refuse(code)
    }

    fn accept(&mut self) -> OfferDecision {
        self.recent
            .keep(self.key, OfferState::Accepted, self.now_ms);
        OfferDecision::Accept
    }
}

/// Repeats the decision for another packet of the same first flight.
fn repeat_decision(state: OfferState, hops: u8) -> OfferDecision {
    match state {
        OfferState::Accepted => OfferDecision::Accept,
        OfferState::Assigned { to } => OfferDecision::Assign { to },
        OfferState::Refused { code } => OfferDecision::Refuse(code),
        OfferState::Compared(_) if hops > MAX_COMPARE_HOPS => {
            OfferDecision::Drop(ResultCode::HopLimit)
        }
        OfferState::Compared(comparison) => OfferDecision::Compare {
            to: comparison.to,
            best: comparison.best,
            load: comparison.load,
            next: comparison.next,
            hops,
        },
    }
}
