use super::{
    frame::{BalancerEntry, BalancerHeartbeat},
    key::{Lifetime, rendezvous},
};
use crate::address::DomainId;
use siphasher::sip::SipHasher13;
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
    net::Ipv4Addr,
};

/// A balancer as another process knows it.
#[derive(Clone, Copy, Debug)]
struct Peer {
    domain: DomainId,
    lifetime: Lifetime,
    heard_ms: i64,
    heartbeat: Option<BalancerHeartbeat>,
}

/// The balancers that a process knows, itself included if it is one.
#[derive(Clone, Debug, Default)]
pub struct BalancerList {
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Runs that have said that they stop; a list may still name them.
    stopped_runs: BTreeSet<Lifetime>,
}

/// The most stopped_runs runs that are remembered.
const STOPPED_RUNS_LIMIT: usize = 1_024;

impl BalancerList {
    /// Takes an entry of a list; tells whether it is a balancer, or a run, that was not known.
    pub fn merge_entry(&mut self, entry: &BalancerEntry, now_ms: u64) -> bool {
        let heard_ms = now_ms.cast_signed() - i64::from(entry.age_ms);
        if self.stopped_runs.contains(&entry.lifetime) {
            return false;
        }
        let known = self.peers.get_mut(&entry.ip);
        if let Some(peer) = known
            && (peer.lifetime == entry.lifetime || peer.heard_ms >= heard_ms)
        {
            if peer.lifetime == entry.lifetime {
                peer.heard_ms = peer.heard_ms.max(heard_ms);
            }
            return false;
        }
        let peer = Peer {
            domain: entry.domain,
            lifetime: entry.lifetime,
            heard_ms,
            heartbeat: None,
        };
        self.peers.insert(entry.ip, peer);
        true
    }

    /// Takes a sign of life; tells whether it is a balancer, or a run, that was not known.
    pub fn record_heartbeat(
        &mut self,
        ip: Ipv4Addr,
        heartbeat: &BalancerHeartbeat,
        now_ms: u64,
    ) -> bool {
        if heartbeat.is_stopping {
            self.record_stop(ip, heartbeat.lifetime);
            return false;
        }
        let entry = BalancerEntry {
            ip,
            domain: heartbeat.domain,
            lifetime: heartbeat.lifetime,
            age_ms: 0,
        };
        let is_new = self.merge_entry(&entry, now_ms);
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.heartbeat = Some(*heartbeat);
        }
        is_new
    }

    /// Forgets balancers that nobody has heard since `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.peers
            .retain(|_, peer| peer.heard_ms >= before_ms.cast_signed());
    }

    fn record_stop(&mut self, ip: Ipv4Addr, lifetime: Lifetime) {
        if self.stopped_runs.len() >= STOPPED_RUNS_LIMIT {
            self.stopped_runs.pop_first();
        }
        self.stopped_runs.insert(lifetime);
        if self
            .peers
            .get(&ip)
            .is_some_and(|peer| peer.lifetime == lifetime)
        {
            self.peers.remove(&ip);
        }
    }

    /// Notes that another process has the same list, and hears all that are on it.
    pub fn refresh_all(&mut self, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.heard_ms = now_ms.cast_signed();
        }
    }

    /// Returns the list to hand on.
    pub fn entries(&self, now_ms: u64) -> Vec<BalancerEntry> {
        self.peers
            .iter()
            .map(|(ip, peer)| BalancerEntry {
                ip: *ip,
                domain: peer.domain,
                lifetime: peer.lifetime,
                age_ms: (now_ms.cast_signed() - peer.heard_ms).max(0) as u32,
            })
            .collect()
    }

    /// Returns the addresses of all balancers.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.peers.keys().copied()
    }

    /// Returns the highest count of agents that are heard in the last signs of life, if there is any.
    pub fn max_live_agents(&self) -> Option<u16> {
        let heartbeats = self
            .peers
            .values()
            .filter_map(|peer| peer.heartbeat.as_ref());
        heartbeats.map(|heartbeat| heartbeat.live_agents).max()
    }

    /// Returns the balancers of a domain that are told about the flow with this hash.
    pub fn advertised_to(&self, domain: DomainId, flow_hash: u64, limit: usize) -> Vec<Ipv4Addr> {
        let mut told: Vec<(u64, Ipv4Addr)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.domain == domain)
            .map(|(ip, _)| (rendezvous(flow_hash, *ip), *ip))
            .collect();
        if told.len() > limit {
            told.sort_unstable_by(|left, right| right.cmp(left));
            told.truncate(limit);
        }
        told.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Returns the domain of a balancer.
    pub fn domain_of(&self, ip: Ipv4Addr) -> Option<DomainId> {
        self.peers.get(&ip).map(|peer| peer.domain)
    }

    /// Returns how many balancers are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no balancer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns a hash of the addresses and runs, by which two lists are compared.
    pub fn hash(&self) -> u32 {
        let mut hasher = SipHasher13::new();
        for (ip, peer) in &self.peers {
            hasher.write_u32(ip.to_bits());
            hasher.write_u32(peer.lifetime.0);
        }
        hasher.finish() as u32
    }
}
