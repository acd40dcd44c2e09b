use super::{
    load::{Load, OwnLoad},
    offers::{OfferKey, OfferState, RecentOffer, RecentOffers, Showing},
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
/// Two are enough while balancers agree on the targets; more happen only while their views differ.
pub const MAX_COMPARE_HOPS: u8 = 4;

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
    /// Shows the packet to the next candidate with [`Leg::Compare`].
    Show {
        /// The next candidate.
        to: AgentAddress,
        /// The best candidate so far.
        best: AgentAddress,
        /// The load of the best candidate with the flow.
        load: Load,
        /// The candidate after the next.
        next: Option<AgentAddress>,
        /// How often the offer has then been shown.
        hops: u8,
    },
    /// Sends the packet to the best candidate with [`Leg::Take`].
    HandBack {
        /// The best candidate.
        to: AgentAddress,
    },
    /// Lets its own endpoint refuse the flow at once.
    Refuse(ResultCode),
    /// Drops the packet and counts it under the code.
    Drop(ResultCode),
}

impl OfferDecision {
    /// Returns the leg to another agent, if the packet goes to one.
    pub fn next_leg(&self, own: AgentAddress) -> Option<NextLeg> {
        match *self {
            Self::Show {
                to,
                best,
                load,
                next,
                hops,
            } => Some(NextLeg {
                to,
                leg: Leg::Compare {
                    from: own,
                    best,
                    load,
                    next,
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

/// Returns the acknowledgement of a leg, which carries no payload, if the leg asks for one.
pub fn acknowledge(leg: &Leg, own: AgentAddress) -> Option<NextLeg> {
    match *leg {
        Leg::Compare { from, .. } => Some(NextLeg {
            to: from,
            leg: Leg::Seen { by: own },
        }),
        _ => None,
    }
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
    let decision = match offered.leg {
        Leg::Offer { candidates } => step.offer(candidates),
        Leg::Compare {
            from,
            best,
            load,
            next,
            hops,
        } => {
            step.recent.peers.heard(from);
            step.compare(Comparison {
                best,
                load,
                next,
                hops,
            })
        }
        Leg::Take => step.take(),
        Leg::Established | Leg::Seen { .. } | Leg::Answer { .. } => {
            OfferDecision::Drop(ResultCode::Malformed)
        }
    };
    if let OfferDecision::Show { to, .. } = decision {
        recent.peers.shown(to, now_ms);
    }
    decision
}

/// What the candidates before this one say.
#[derive(Clone, Copy)]
struct Comparison {
    best: AgentAddress,
    load: Load,
    next: Option<AgentAddress>,
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
        let mut others = [candidates.second, candidates.third]
            .into_iter()
            .flatten()
            .filter(|candidate| self.may_show_to(*candidate));
        let (to, next) = (others.next(), others.next());
        self.show_or_take(to, next)
    }

    /// Tells whether an agent can be shown an offer: it acknowledged the last one, and is another
    /// than this agent, which a balancer with an old view may name in any place, or twice.
    fn may_show_to(&self, candidate: AgentAddress) -> bool {
        let is_silent = self.recent.is_silent(candidate, self.now_ms);
        candidate != self.own.address && !is_silent
    }

    /// Handles the retransmission of a caller that got no answer to its first flight.
    fn repeated_offer(&mut self, state: OfferState, candidates: Candidates) -> OfferDecision {
        match state {
            OfferState::Taken => OfferDecision::Take,
            // A later candidate did not reply: it is dead or a packet was lost.
            OfferState::Shown(_) => self.take_or_refuse(),
            // The agent that had to take the flow may be dead; if it lives, it holds the flow.
            OfferState::HandedBack { to } => {
                let to = Some(to).filter(|to| self.may_show_to(*to));
                self.show_or_take(to, None)
            }
            OfferState::Refused { .. } => self.new_offer(candidates),
        }
    }

    /// Handles an offer that another candidate shows to this one.
    ///
    /// What was decided before stands even when it is old: a late packet must not lead to another
    /// agent than the packets before it.
    fn compare(&mut self, comparison: Comparison) -> OfferDecision {
        let Some(known) = self.known else {
            return self.new_comparison(comparison);
        };
        let is_refused = matches!(known.state, OfferState::Refused { .. });
        if is_refused && self.recent.is_timed_out(&known, self.now_ms) {
            return self.new_comparison(comparison);
        }
        repeat(known.state, comparison.hops.saturating_add(1))
    }

    fn new_comparison(&mut self, comparison: Comparison) -> OfferDecision {
        let own_load = self.own_load();
        // Of equals the later one is the best: a packet that need not go back saves a hop.
        let is_best = own_load <= comparison.load;
        if let Some(next) = comparison.next.filter(|next| self.may_show_to(*next)) {
            let showing = Showing {
                to: next,
                best: if is_best {
                    self.own.address
                } else {
                    comparison.best
                },
                load: own_load.min(comparison.load),
                next: None,
            };
            return self.show(showing, comparison.hops.saturating_add(1));
        }
        if !is_best && comparison.load.is_willing() {
            return self.hand_back(comparison.best);
        }
        self.take_or_refuse()
    }

    /// Handles the last leg: the agent that gets it takes the flow whatever its load.
    fn take(&mut self) -> OfferDecision {
        match self.known.map(|known| known.state) {
            Some(OfferState::Taken) => OfferDecision::Take,
            _ => self.keep_taken(),
        }
    }

    fn own_load(&self) -> Load {
        self.own.with_next_flow(self.recent.pending_flows())
    }

    fn show_or_take(
        &mut self,
        to: Option<AgentAddress>,
        next: Option<AgentAddress>,
    ) -> OfferDecision {
        let Some(to) = to else {
            return self.take_or_refuse();
        };
        let showing = Showing {
            to,
            best: self.own.address,
            load: self.own_load(),
            next,
        };
        self.show(showing, 1)
    }

    fn show(&mut self, showing: Showing, hops: u8) -> OfferDecision {
        let state = OfferState::Shown(showing);
        self.recent.keep(self.key, state, self.now_ms);
        repeat(state, hops)
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

/// Gives another packet of the same first flight the same decision.
fn repeat(state: OfferState, hops: u8) -> OfferDecision {
    match state {
        OfferState::Taken => OfferDecision::Take,
        OfferState::HandedBack { to } => OfferDecision::HandBack { to },
        OfferState::Refused { code } => OfferDecision::Refuse(code),
        OfferState::Shown(_) if hops > MAX_COMPARE_HOPS => {
            OfferDecision::Drop(ResultCode::HopLimit)
        }
        OfferState::Shown(showing) => OfferDecision::Show {
            to: showing.to,
            best: showing.best,
            load: showing.load,
            next: showing.next,
            hops,
        },
    }
}
