use super::hash::{flow_code, mix};
use crate::{
    address::{AgentAddress, ServiceId},
    crypto::ShortKey,
    membership::{AgentPhase, AgentRecord},
    settings::DomainSet,
    wire::Candidates,
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// The key that all balancers hash with, so that they draw the same candidates.
const SHARED_KEY: ShortKey = ShortKey([0; 16]);

/// The targets of one service that take new flows, arranged for drawing candidates.
///
/// A snapshot never changes; a balancer builds a new one when its view changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceTargets {
    targets: Box<[PlacedTarget]>,
}

/// One target with what its score needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct PlacedTarget {
    agent: AgentAddress,
    seed: u64,
    inverse_weight: f64,
}

/// A target with its score for one flow; the lowest scores are the candidates.
#[derive(Clone, Copy)]
struct Scored {
    agent: AgentAddress,
    score: f64,
}

impl ServiceTargets {
    /// Arranges the targets of `service`, leaving out those in domains that are out and those that
    /// take no new flows.
    pub fn arrange(service: ServiceId, records: &[AgentRecord], out: &DomainSet) -> Self {
        let mut latest: BTreeMap<AgentAddress, &AgentRecord> = BTreeMap::new();
        for record in records.iter().filter(|record| record.service == service) {
            let known = latest.entry(record.address).or_insert(record);
            if age(record) > age(known) {
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

    /// Returns how many targets take new flows.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Tells whether no target takes new flows.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Draws the candidates for a new flow by weighted rendezvous hashing; allocates nothing.
    ///
    /// Every balancer with the same records draws the same candidates for all packets of a first
    /// flight. Returns `None` when no target takes new flows.
    pub fn candidates(&self, caller: &SocketAddr, connection_id: &[u8]) -> Option<Candidates> {
        let code = flow_code(&SHARED_KEY, caller, connection_id);
        let mut first: Option<Scored> = None;
        let mut second: Option<Scored> = None;
        for target in &self.targets {
            let scored = target.score(code);
            if first.is_none_or(|best| scored.score < best.score) {
                second = first.replace(scored);
            } else if second.is_none_or(|best| scored.score < best.score) {
                second = Some(scored);
            }
        }
        first.map(|first| Candidates {
            first: first.agent,
            second: second.map(|second| second.agent),
        })
    }
}

impl PlacedTarget {
    fn of(record: &AgentRecord) -> Self {
        let ip = record.address.0.ip().octets();
        let port = record.address.0.port().to_be_bytes();
        Self {
            agent: record.address,
            seed: SHARED_KEY.code(&[&ip, &port]),
            inverse_weight: 1.0 / f64::from(record.weight),
        }
    }

    /// Draws an exponential variate whose rate is the weight: the lowest of several such variates
    /// falls on each target in proportion to its weight.
    fn score(&self, flow_code: u64) -> Scored {
        let uniform = ((mix(flow_code ^ self.seed) >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        Scored {
            agent: self.agent,
            score: -uniform.ln() * self.inverse_weight,
        }
    }
}

fn takes_new_flows(record: &AgentRecord, out: &DomainSet) -> bool {
    record.phase == AgentPhase::Serving && record.weight > 0 && !out.contains(record.domain)
}

/// Orders the records of one address; records of the same age are put in a fixed order, so that
/// the outcome does not depend on the order in which they arrive.
fn age(record: &AgentRecord) -> impl Ord {
    (
        record.incarnation,
        record.revision,
        record.phase,
        record.weight,
        record.domain,
    )
}
