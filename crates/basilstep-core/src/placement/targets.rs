use super::hash::{flow_hash, mix};
use crate::{
    address::{AgentAddress, ServiceId},
    crypto::SipHashKey,
    membership::{AgentPhase, AgentRecord},
    settings::DomainSet,
    wire::{Candidates, MAX_CANDIDATES},
};
use serde::Serialize;
use std::{collections::BTreeMap, mem, net::SocketAddr};

/// The hash key of all balancers, so that they draw the same candidates.
const SHARED_HASH_KEY: SipHashKey = SipHashKey([0; 16]);

/// An `f64` holds 53 bits exactly; the other bits of a 64-bit hash are dropped.
const DROPPED_HASH_BITS: u32 = 11;
const FRACTION_RANGE: f64 = (1_u64 << 53) as f64;

/// The targets of one service that take new flows, prepared for weighted rendezvous hashing.
///
/// A snapshot is immutable; a balancer builds a new one when its view changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceTargets {
    targets: Box<[PlacedTarget]>,
}

/// One target with the precomputed inputs of its score.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct PlacedTarget {
    agent: AgentAddress,
    seed: u64,
    inverse_weight: f64,
}

/// A target with its score for one flow.
#[derive(Clone, Copy)]
struct ScoredTarget {
    agent: AgentAddress,
    /// The targets with the lowest scores are drawn; depends on the weight.
    score: f64,
    /// Orders the drawn targets; does not depend on the weight.
    order: u64,
}

/// The targets with the lowest scores so far, in ascending order.
#[derive(Default)]
struct LowestScores([Option<ScoredTarget>; MAX_CANDIDATES]);

impl ServiceTargets {
    /// Selects the targets of `service` that take new flows and are not in a domain that is out.
    pub fn from_records(service: ServiceId, records: &[AgentRecord], out: &DomainSet) -> Self {
        let mut latest: BTreeMap<AgentAddress, &AgentRecord> = BTreeMap::new();
        for record in records.iter().filter(|record| record.service == service) {
            let known = latest.entry(record.address).or_insert(record);
            if recency(record) > recency(known) {
                *known = record;
            }
        }
        let targets = latest
            .into_values()
            .filter(|record| takes_new_flows(record, out))
            .map(PlacedTarget::of)
            .collect();
        Self { targets }
    }

    /// Returns the number of targets that take new flows.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target takes new flows.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Draws up to [`MAX_CANDIDATES`] candidates; see [`Self::draw`].
    pub fn candidates(&self, caller: &SocketAddr, connection_id: &[u8]) -> Option<Candidates> {
        self.draw(caller, connection_id, MAX_CANDIDATES)
    }

    /// Draws up to `limit` candidates for a new flow by weighted rendezvous hashing, without
    /// allocation.
    ///
    /// Every balancer with the same records draws the same candidates for all packets of a first
    /// flight. Returns `None` when no target takes new flows.
    pub fn draw(
        &self,
        caller: &SocketAddr,
        connection_id: &[u8],
        limit: usize,
    ) -> Option<Candidates> {
        let code = flow_hash(&SHARED_HASH_KEY, caller, connection_id);
        let mut drawn = LowestScores::default();
        for target in &self.targets {
            drawn.insert(target.score(code), limit);
        }
        drawn.into_candidates()
    }
}

impl LowestScores {
    /// Keeps a target if its score is among the `limit` lowest.
    fn insert(&mut self, mut scored: ScoredTarget, limit: usize) {
        for place in self.0.iter_mut().take(limit) {
            match place {
                Some(kept) if kept.score <= scored.score => {}
                Some(kept) => mem::swap(kept, &mut scored),
                None => {
                    *place = Some(scored);
                    return;
                }
            }
        }
    }

    /// Orders the drawn targets by their unweighted hashes.
    ///
    /// Balancers whose views differ in targets or weights then still agree on which of two agents
    /// forwards a packet to the other.
    fn into_candidates(mut self) -> Option<Candidates> {
        self.0
            .sort_unstable_by_key(|drawn| drawn.map_or(u64::MAX, |drawn| drawn.order));
        let [first, second, third] = self.0.map(|drawn| drawn.map(|drawn| drawn.agent));
        first.map(|first| Candidates {
            first,
            second,
            third,
        })
    }
}

impl PlacedTarget {
    fn of(record: &AgentRecord) -> Self {
        let ip = record.address.0.ip().octets();
        let port = record.address.0.port().to_be_bytes();
        Self {
            agent: record.address,
            seed: SHARED_HASH_KEY.siphash(&[&ip, &port]),
            inverse_weight: 1.0 / f64::from(record.weight),
        }
    }

    /// Derives an exponential variate whose rate is the weight: each target has the lowest variate
    /// with a probability proportional to its weight.
    fn score(&self, flow_hash: u64) -> ScoredTarget {
        let code = mix(flow_hash ^ self.seed);
        let uniform = ((code >> DROPPED_HASH_BITS) as f64 + 1.0) / FRACTION_RANGE;
        ScoredTarget {
            agent: self.agent,
            score: -uniform.ln() * self.inverse_weight,
            order: mix(code),
        }
    }
}

fn takes_new_flows(record: &AgentRecord, out: &DomainSet) -> bool {
    record.phase == AgentPhase::Serving && record.weight > 0 && !out.contains(record.domain)
}

/// Returns the sort key that orders the records of one address from the oldest to the latest.
///
/// Records of the same incarnation and revision have a fixed order too, so that the result does not
/// depend on the order in which they arrive.
fn recency(record: &AgentRecord) -> impl Ord {
    (
        record.incarnation,
        record.revision,
        record.phase,
        record.weight,
        record.domain,
    )
}
