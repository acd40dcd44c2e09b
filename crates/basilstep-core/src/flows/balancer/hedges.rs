use super::{hints::Hint, verdict::NextHop};
use crate::{
    codes::ResultCode,
    flows::{
        frame::Returned,
        handshake::{FIRST_SYN_INTERVAL_MS, HANDSHAKE_TIMEOUT_MS},
        key::{FlowKey, ServiceTag},
        segment::Segment,
        settings::FlowSettings,
    },
    hedging::{HedgeCounts, HedgePolicy, HedgeRefusal},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

/// The maximum number of SYNs whose packets are kept, and of those that are followed up after their
/// second offer was decided on.
const WATCH_LIMIT: usize = 1_024;

/// The time before a second offer while too few confirmations are known: long after nearly all of
/// them, and early enough for an answer before the caller sends its SYN again.
const UNKNOWN_DELAY_MS: u64 = FIRST_SYN_INTERVAL_MS / 2;

/// The decision about the second offer of a SYN that was not confirmed in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueHedge {
    /// The header of the packet.
    pub segment: Segment,
    /// The packet as it was received.
    pub packet: Vec<u8>,
    /// The agent that the SYN was first offered to.
    pub first_agent: Ipv4Addr,
    /// How long ago that was.
    pub waited_ms: u64,
    /// Where the SYN goes now, or why it is not offered again.
    pub result: Result<NextHop, HedgeRefusal>,
}

/// A first offer that may be followed by a second one.
#[derive(Clone, Debug)]
pub struct WatchedSyn {
    pub segment: Segment,
    pub packet: Vec<u8>,
    pub first: Ipv4Addr,
    pub service: ServiceTag,
    pub offered_ms: u64,
    due_ms: u64,
}

/// A first offer whose second one has been decided on.
#[derive(Clone, Copy, Debug)]
struct OverdueSyn {
    first: Ipv4Addr,
    is_first_returned: bool,
    service: ServiceTag,
    offered_ms: u64,
    /// The second offer, until its agent confirms it.
    second: Option<Offer>,
    is_second_returned: bool,
}

impl OverdueSyn {
    /// Records that an agent does not hold the flow.
    fn record_returned(&mut self, agent: Ipv4Addr) {
        self.is_first_returned |= self.first == agent;
        self.is_second_returned |= self.second.is_some_and(|second| second.agent == agent);
    }

    /// Returns the second offer, if its agent has neither confirmed nor returned it.
    fn outstanding_second(&self) -> Option<Offer> {
        self.second.filter(|_| !self.is_second_returned)
    }

    /// Returns the other one of two offers if `agent` got one of them, and the other one was neither
    /// confirmed nor returned.
    fn outstanding_other(&self, agent: Ipv4Addr) -> Option<Offer> {
        let second = self.second?;
        if agent == self.first {
            return self.outstanding_second();
        }
        let first = Offer {
            agent: self.first,
            offered_ms: self.offered_ms,
        };
        (agent == second.agent && !self.is_first_returned).then_some(first)
    }
}

/// An offer of a SYN to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    pub agent: Ipv4Addr,
    pub offered_ms: u64,
}

/// Two offers of a flow of which neither was confirmed or returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UndecidedOffers {
    pub flow: FlowKey,
    pub service: ServiceTag,
    pub first: Offer,
    pub second: Offer,
}

impl UndecidedOffers {
    /// Returns whether a hint is about the first one of the two offers, and not about a later flow of
    /// the same addresses.
    pub fn are_of(&self, hint: &Hint) -> bool {
        let is_same = hint.agent == self.first.agent && hint.offered_ms == self.first.offered_ms;
        is_same && !hint.is_confirmed
    }
}

/// The SYNs that a balancer may offer to a second agent.
#[derive(Clone, Debug)]
pub struct Hedges {
    is_active: bool,
    policy: HedgePolicy<ServiceTag>,
    watched: BTreeMap<FlowKey, WatchedSyn>,
    /// The watched SYNs by the time of their second offer.
    due: BTreeSet<(u64, FlowKey)>,
    overdue: BTreeMap<FlowKey, OverdueSyn>,
}

impl Hedges {
    /// Creates the state of a balancer that has just started.
    pub const fn new(settings: &FlowSettings) -> Self {
        Self {
            is_active: settings.hedging.budget_percent > 0 && settings.target_health.is_enabled,
            policy: HedgePolicy::new(settings.hedging),
            watched: BTreeMap::new(),
            due: BTreeSet::new(),
            overdue: BTreeMap::new(),
        }
    }

    /// Returns whether second offers may be sent at all.
    pub const fn is_active(&self) -> bool {
        self.is_active
    }

    /// Counts a first offer, and watches it if there is room.
    pub fn watch(&mut self, segment: &Segment, packet: &[u8], hint: &Hint, now_ms: u64) {
        let flow = segment.flow_of_caller();
        let is_known = self.watched.contains_key(&flow) || self.overdue.contains_key(&flow);
        if !self.is_active || is_known {
            return;
        }
        let delay_ms = self
            .policy
            .record_first(hint.service, UNKNOWN_DELAY_MS, now_ms);
        if self.watched.len() >= WATCH_LIMIT {
            return;
        }
        let due_ms = now_ms.saturating_add(delay_ms);
        let syn = WatchedSyn {
            segment: *segment,
            packet: packet.to_vec(),
            first: hint.agent,
            service: hint.service,
            offered_ms: now_ms,
            due_ms,
        };
        self.watched.insert(flow, syn);
        self.due.insert((due_ms, flow));
    }

    /// Stops watching a flow, because its caller has sent its SYN again.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.unwatch(flow);
        self.overdue.remove(flow);
    }

    /// Handles a packet of a caller that is not a SYN; returns both offers of its flow if neither was
    /// confirmed or returned, so that either agent may hold the flow.
    pub fn on_caller_packet(&mut self, flow: &FlowKey) -> Option<UndecidedOffers> {
        self.unwatch(flow);
        undecided_offers(flow, self.overdue.get(flow)?)
    }

    /// Handles the advertisement of a flow; `is_first_holder` if no other agent has confirmed it.
    pub fn on_confirmed(
        &mut self,
        flow: &FlowKey,
        agent: Ipv4Addr,
        is_first_holder: bool,
        now_ms: u64,
    ) {
        if let Some(syn) = self.unwatch(flow)
            && syn.first == agent
        {
            let delay_ms = now_ms.saturating_sub(syn.offered_ms);
            self.policy.record_delay(syn.service, delay_ms, now_ms);
        }
        let Some(syn) = self.overdue.get_mut(flow) else {
            return;
        };
        if syn.first == agent {
            let delay_ms = now_ms.saturating_sub(syn.offered_ms);
            self.policy.record_delay(syn.service, delay_ms, now_ms);
            self.overdue.remove(flow);
        } else if let Some(second) = syn.outstanding_second()
            && second.agent == agent
        {
            syn.second = None;
            if is_first_holder {
                self.policy.record_won();
            }
        }
    }

    /// Handles a packet that an agent returned; returns the other one of two offers of its flow if that
    /// one is outstanding.
    ///
    /// The agent of the other offer has been sent the packet as well.
    pub fn on_returned(
        &mut self,
        segment: &Segment,
        agent: Ipv4Addr,
        returned: Returned,
        now_ms: u64,
    ) -> Option<Offer> {
        let flow = &segment.flow_of_caller();
        if self.is_active && segment.is_syn() && returned.code == ResultCode::Overloaded {
            self.policy.record_overload(returned.service, now_ms);
        }
        if self.watched.get(flow).is_some_and(|syn| syn.first == agent) {
            self.unwatch(flow);
        }
        let syn = self.overdue.get_mut(flow)?;
        syn.record_returned(agent);
        syn.outstanding_other(agent)
    }

    /// Returns whether the second offer of a watched SYN is due.
    pub fn has_due(&self, now_ms: u64) -> bool {
        self.due
            .first()
            .is_some_and(|(due_ms, _)| *due_ms <= now_ms)
    }

    /// Takes the watched SYNs whose second offer is due.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<WatchedSyn> {
        let mut due = Vec::new();
        while let Some((due_ms, flow)) = self.due.first().copied()
            && due_ms <= now_ms
        {
            due.extend(self.unwatch(&flow));
        }
        due
    }

    /// Returns whether a second offer for a service would be sent now if there is an agent for it.
    pub fn may_hedge(&self, service: ServiceTag, now_ms: u64) -> bool {
        self.policy.refusal(service, now_ms).is_none()
    }

    /// Decides about a second offer that is due; `agent` is the one that would get it.
    ///
    /// # Errors
    ///
    /// Returns the [`HedgeRefusal`] if it must not be sent, [`HedgeRefusal::Budget`] also if there is no
    /// room to follow it up.
    pub fn decide(
        &mut self,
        syn: &WatchedSyn,
        agent: Option<Ipv4Addr>,
        now_ms: u64,
    ) -> Result<Ipv4Addr, HedgeRefusal> {
        if self.overdue.len() >= WATCH_LIMIT {
            // If the first offer was returned, nobody would know that a second one is outstanding.
            self.policy.record_refused_by_budget();
            return Err(HedgeRefusal::Budget);
        }
        let result = self.policy.try_hedge(syn.service, agent, now_ms);
        let overdue = OverdueSyn {
            first: syn.first,
            is_first_returned: false,
            service: syn.service,
            offered_ms: syn.offered_ms,
            second: result.ok().map(|agent| Offer {
                agent,
                offered_ms: now_ms,
            }),
            is_second_returned: false,
        };
        self.overdue.insert(syn.segment.flow_of_caller(), overdue);
        result
    }

    /// Forgets flows whose callers have opened them or given up; returns those of which it is still not
    /// known which of two agents holds them.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<UndecidedOffers> {
        self.policy.forget_idle_groups(now_ms);
        self.overdue
            .extract_if(.., |_, syn| now_ms >= syn.offered_ms + HANDSHAKE_TIMEOUT_MS)
            .filter_map(|(flow, syn)| undecided_offers(&flow, &syn))
            .collect()
    }

    /// Forgets all SYNs, because the process was paused and their callers have moved on.
    pub fn clear(&mut self) {
        self.watched.clear();
        self.due.clear();
        self.overdue.clear();
    }

    /// Returns how many SYNs are watched.
    pub fn watched_count(&self) -> usize {
        self.watched.len()
    }

    /// Returns how many second offers were sent and refused since the start.
    pub const fn counts(&self) -> HedgeCounts {
        self.policy.counts()
    }

    fn unwatch(&mut self, flow: &FlowKey) -> Option<WatchedSyn> {
        let syn = self.watched.remove(flow)?;
        self.due.remove(&(syn.due_ms, *flow));
        Some(syn)
    }
}

fn undecided_offers(flow: &FlowKey, syn: &OverdueSyn) -> Option<UndecidedOffers> {
    let second = syn.outstanding_second()?;
    let first = syn.outstanding_other(second.agent)?;
    Some(UndecidedOffers {
        flow: *flow,
        service: syn.service,
        first,
        second,
    })
}
