use super::{hash::flow_hash, load::Load, peer_acks::PeerAcks, settings::PlacementSettings};
use crate::{address::AgentAddress, codes::ResultCode, context::Context, crypto::SipHashKey};
use rand::Rng;
use serde::Serialize;
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

/// The recent decisions of one agent on offers, so that all packets of a first flight get the same
/// decision.
///
/// Bounded in number and age; the oldest decision is evicted first.
#[derive(Debug, Serialize)]
pub struct RecentOffers {
    settings: PlacementSettings,
    #[serde(skip)]
    key: SipHashKey,
    offers: BTreeMap<OfferKey, RecentOffer>,
    by_age: VecDeque<AgedOffer>,
    pending_by_age: VecDeque<AgedOffer>,
    pending_flows: u32,
    pub(super) peer_acks: PeerAcks,
}

/// Identifies the first flight of one flow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub(super) struct OfferKey(u64);

/// The decision of this agent on an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OfferState {
    /// This agent forwarded the offer to another for comparison.
    Compared(OutgoingComparison),
    /// This agent accepted the flow.
    Accepted,
    /// This agent assigned the flow to the best candidate.
    Assigned { to: AgentAddress },
    /// No candidate accepts the flow.
    Refused { code: ResultCode },
}

/// The parameters with which an agent forwards an offer to the next candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(super) struct OutgoingComparison {
    pub(super) to: AgentAddress,
    pub(super) best: AgentAddress,
    pub(super) load: Load,
    pub(super) next: Option<AgentAddress>,
}

/// A decision in the record.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct RecentOffer {
    pub(super) state: OfferState,
    pub(super) since_ms: u64,
    first_seen_ms: u64,
    is_pending: bool,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct AgedOffer {
    key: OfferKey,
    since_ms: u64,
}

impl RecentOffers {
    /// Creates an empty record; its map keys are hashed with a random secret.
    pub fn new(settings: PlacementSettings, context: &mut Context) -> Self {
        let mut secret = [0; 16];
        context.rng.fill_bytes(&mut secret);
        Self {
            settings,
            key: SipHashKey(secret),
            offers: BTreeMap::new(),
            by_age: VecDeque::new(),
            pending_by_age: VecDeque::new(),
            pending_flows: 0,
            peer_acks: PeerAcks::default(),
        }
    }

    /// Records that the endpoint now counts this flow, so that it is no longer pending.
    ///
    /// `connection_id` is the one that the caller chose for its first packet.
    pub fn note_opened(&mut self, caller: &SocketAddr, connection_id: &[u8]) {
        let key = self.key_of(caller, connection_id);
        self.clear_pending(key);
    }

    /// Records that another agent has acknowledged an offer with [`CarrierPurpose::CompareAck`].
    ///
    /// [`CarrierPurpose::CompareAck`]: crate::wire::CarrierPurpose::CompareAck
    pub fn note_acknowledged(&mut self, by: AgentAddress) {
        self.peer_acks.note_message(by);
    }

    /// Returns agents that have newly failed to acknowledge an offer, for membership.
    ///
    /// Each agent is returned once until it responds or is forgotten, and the rate of reports is
    /// limited.
    pub fn take_unresponsive(&mut self, now_ms: u64) -> Vec<AgentAddress> {
        self.peer_acks.expire(self.settings.silence_ms, now_ms);
        self.peer_acks
            .take_unresponsive(self.settings.reply_timeout_ms, now_ms)
    }

    /// Returns the number of accepted flows that the endpoint does not count yet.
    pub fn pending_flows(&self) -> u32 {
        self.pending_flows
    }

    /// Returns the number of decisions in the record.
    pub fn len(&self) -> usize {
        self.offers.len()
    }

    /// Returns whether the record is empty.
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    pub(super) fn key_of(&self, caller: &SocketAddr, connection_id: &[u8]) -> OfferKey {
        OfferKey(flow_hash(&self.key, caller, connection_id))
    }

    pub(super) fn find(&self, key: OfferKey) -> Option<RecentOffer> {
        self.offers.get(&key).copied()
    }

    /// Returns whether a decision is so old that a repeated packet is the caller's retransmission.
    pub(super) fn is_timed_out(&self, offer: &RecentOffer, now_ms: u64) -> bool {
        now_ms.saturating_sub(offer.since_ms) >= self.settings.compare_timeout_ms
    }

    /// Returns whether another agent has left an offer unacknowledged for too long.
    pub(super) fn is_unresponsive(&self, peer: AgentAddress, now_ms: u64) -> bool {
        let timeout_ms = self.settings.reply_timeout_ms;
        self.peer_acks.is_unresponsive(peer, timeout_ms, now_ms)
    }

    /// Stores a decision; replaces an earlier one on the same offer.
    pub(super) fn keep(&mut self, key: OfferKey, state: OfferState, now_ms: u64) {
        self.clear_pending(key);
        let known = self.offers.get(&key);
        let first_seen_ms = known.map_or(now_ms, |offer| offer.first_seen_ms);
        if known.is_none() {
            self.evict_to_limit();
            let aged = AgedOffer {
                key,
                since_ms: now_ms,
            };
            self.by_age.push_back(aged);
        }
        let is_pending = state == OfferState::Accepted;
        if is_pending {
            let aged = AgedOffer {
                key,
                since_ms: now_ms,
            };
            self.pending_by_age.push_back(aged);
            self.pending_flows += 1;
        }
        let offer = RecentOffer {
            state,
            since_ms: now_ms,
            first_seen_ms,
            is_pending,
        };
        self.offers.insert(key, offer);
    }

    /// Evicts decisions older than the retention time and stops counting accepted flows that have
    /// not opened within the pending time.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.peer_acks.expire(self.settings.silence_ms, now_ms);
        let pending_ms = self.settings.pending_ms;
        while let Some(aged) = pop_older(&mut self.pending_by_age, now_ms, pending_ms) {
            let is_same = self
                .find(aged.key)
                .is_some_and(|offer| offer.since_ms == aged.since_ms);
            if is_same {
                self.clear_pending(aged.key);
            }
        }
        let retention_ms = self.settings.retention_ms;
        while let Some(aged) = pop_older(&mut self.by_age, now_ms, retention_ms) {
            self.clear_pending(aged.key);
            self.offers.remove(&aged.key);
        }
    }

    fn evict_to_limit(&mut self) {
        while self.offers.len() >= self.settings.recent_limit.max(1) {
            let Some(oldest) = self.by_age.pop_front() else {
                return;
            };
            self.clear_pending(oldest.key);
            self.offers.remove(&oldest.key);
        }
    }

    /// Stops counting a flow as pending.
    fn clear_pending(&mut self, key: OfferKey) {
        let Some(offer) = self.offers.get_mut(&key) else {
            return;
        };
        if offer.is_pending {
            offer.is_pending = false;
            self.pending_flows -= 1;
        }
    }
}

fn pop_older(queue: &mut VecDeque<AgedOffer>, now_ms: u64, age_ms: u64) -> Option<AgedOffer> {
    let oldest = queue.front()?;
    if now_ms.saturating_sub(oldest.since_ms) < age_ms {
        return None;
    }
    queue.pop_front()
}
