use super::{
    frame::{BalancerEntry, BalancerHeartbeat},
    key::{ProcessIncarnation, rendezvous},
    routes::FleetSettings,
    store_revision::StoreRevision,
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
struct KnownBalancer {
    domain: DomainId,
    incarnation: ProcessIncarnation,
    last_alive_ms: i64,
    heartbeat: Option<BalancerHeartbeat>,
    /// The last confirmation of its settings, and the last one of its former settings.
    confirmations: [Option<Confirmation>; 2],
    /// Balancers with higher scores watch the store first.
    watch_score: u64,
}

/// The store's statement to a balancer that its settings were the newest at some time.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    confirmed_ms: u64,
    version: u64,
    revision: StoreRevision,
}

impl Confirmation {
    /// Returns whether it also shows that `settings` were the newest: they are at least as new.
    ///
    /// What another era of the store has confirmed says nothing about this one.
    fn applies_to(&self, settings: &FleetSettings) -> bool {
        settings.revision.era == self.revision.era
            && settings.revision >= self.revision
            && settings.table.version >= self.version
    }
}

impl KnownBalancer {
    fn record_confirmation(&mut self, heartbeat: &BalancerHeartbeat, now_ms: u64) {
        let Some(age_ms) = heartbeat.settings_age_ms else {
            return;
        };
        let [last, former] = &mut self.confirmations;
        let is_same = last.is_some_and(|last| {
            (last.version, last.revision) == (heartbeat.version, heartbeat.revision)
        });
        if !is_same {
            // Still counts for a receiver that has not got the new settings yet.
            *former = *last;
        }
        *last = Some(Confirmation {
            confirmed_ms: now_ms.saturating_sub(u64::from(age_ms)),
            version: heartbeat.version,
            revision: heartbeat.revision,
        });
    }
}

/// Separates the order in which balancers watch the store from other uses of their hashes.
const WATCH_ORDER_SEED: u64 = 1;

/// The balancers that a process knows, including itself if it is a balancer.
#[derive(Clone, Debug, Default)]
pub struct BalancerList {
    by_ip: BTreeMap<Ipv4Addr, KnownBalancer>,
    /// Incarnations that have announced their shutdown; lists of other processes may still name
    /// them.
    stopped_incarnations: BTreeSet<ProcessIncarnation>,
}

/// The maximum number of stopped incarnations that are remembered.
const STOPPED_INCARNATIONS_LIMIT: usize = 1_024;

impl BalancerList {
    /// Merges an entry of another process's list; returns whether the balancer or its incarnation
    /// was unknown.
    pub fn merge_entry(&mut self, entry: &BalancerEntry, now_ms: u64) -> bool {
        let last_alive_ms = now_ms.cast_signed() - i64::from(entry.age_ms);
        if self.stopped_incarnations.contains(&entry.incarnation) {
            return false;
        }
        let known = self.by_ip.get_mut(&entry.ip);
        if let Some(balancer) = known
            && (balancer.incarnation == entry.incarnation
                || balancer.last_alive_ms >= last_alive_ms)
        {
            if balancer.incarnation == entry.incarnation {
                balancer.last_alive_ms = balancer.last_alive_ms.max(last_alive_ms);
            }
            return false;
        }
        let balancer = KnownBalancer {
            domain: entry.domain,
            incarnation: entry.incarnation,
            last_alive_ms,
            heartbeat: None,
            confirmations: [None; 2],
            watch_score: rendezvous(WATCH_ORDER_SEED, entry.ip),
        };
        self.by_ip.insert(entry.ip, balancer);
        true
    }

    /// Records a heartbeat; returns whether the balancer or its incarnation was unknown.
    pub fn record_heartbeat(
        &mut self,
        ip: Ipv4Addr,
        heartbeat: &BalancerHeartbeat,
        now_ms: u64,
    ) -> bool {
        if heartbeat.is_stopping {
            self.record_stop(ip, heartbeat.incarnation);
            return false;
        }
        let entry = BalancerEntry {
            ip,
            domain: heartbeat.domain,
            incarnation: heartbeat.incarnation,
            age_ms: 0,
        };
        let is_new = self.merge_entry(&entry, now_ms);
        if let Some(balancer) = self.by_ip.get_mut(&ip) {
            balancer.heartbeat = Some(*heartbeat);
            balancer.record_confirmation(heartbeat, now_ms);
        }
        is_new
    }

    /// Removes balancers from which no process has received a message since `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.by_ip
            .retain(|_, balancer| balancer.last_alive_ms >= before_ms.cast_signed());
    }

    fn record_stop(&mut self, ip: Ipv4Addr, incarnation: ProcessIncarnation) {
        if self.stopped_incarnations.len() >= STOPPED_INCARNATIONS_LIMIT {
            self.stopped_incarnations.pop_first();
        }
        self.stopped_incarnations.insert(incarnation);
        if self
            .by_ip
            .get(&ip)
            .is_some_and(|balancer| balancer.incarnation == incarnation)
        {
            self.by_ip.remove(&ip);
        }
    }

    /// Marks all balancers as alive now, because another process that receives their messages has
    /// the same list.
    pub fn refresh_all(&mut self, now_ms: u64) {
        for balancer in self.by_ip.values_mut() {
            balancer.last_alive_ms = now_ms.cast_signed();
        }
    }

    /// Records that a process has received something from a balancer.
    pub fn refresh(&mut self, ip: Ipv4Addr, now_ms: u64) {
        if let Some(balancer) = self.by_ip.get_mut(&ip) {
            balancer.last_alive_ms = now_ms.cast_signed();
        }
    }

    /// Returns the list for sending to other processes.
    pub fn entries(&self, now_ms: u64) -> Vec<BalancerEntry> {
        self.by_ip
            .iter()
            .map(|(ip, balancer)| BalancerEntry {
                ip: *ip,
                domain: balancer.domain,
                incarnation: balancer.incarnation,
                age_ms: (now_ms.cast_signed() - balancer.last_alive_ms).max(0) as u32,
            })
            .collect()
    }

    /// Returns the addresses of all balancers.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.by_ip.keys().copied()
    }

    /// Returns the highest number of live agents in the last heartbeats, or `None` without a
    /// heartbeat.
    pub fn max_live_agents(&self) -> Option<u16> {
        let heartbeats = self
            .by_ip
            .values()
            .filter_map(|balancer| balancer.heartbeat.as_ref());
        heartbeats.map(|heartbeat| heartbeat.live_agents).max()
    }

    /// Returns the balancers of a domain to which the flow with this hash is advertised, at most
    /// `limit`.
    pub fn select_recipients(
        &self,
        domain: DomainId,
        flow_hash: u64,
        limit: usize,
    ) -> Vec<Ipv4Addr> {
        let mut selected: Vec<(u64, Ipv4Addr)> = self
            .by_ip
            .iter()
            .filter(|(_, balancer)| balancer.domain == domain)
            .map(|(ip, _)| (rendezvous(flow_hash, *ip), *ip))
            .collect();
        if selected.len() > limit {
            selected.sort_unstable_by(|left, right| right.cmp(left));
            selected.truncate(limit);
        }
        selected.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Discards the confirmations of all balancers, whose age is not certain after a pause.
    pub fn discard_confirmations(&mut self) {
        for balancer in self.by_ip.values_mut() {
            balancer.confirmations = [None; 2];
        }
    }

    /// Returns when the store last confirmed to a balancer that `settings` are the newest.
    pub fn confirmed_ms(&self, ip: Ipv4Addr, settings: &FleetSettings) -> Option<u64> {
        let confirmations = self.by_ip.get(&ip)?.confirmations;
        confirmations
            .into_iter()
            .flatten()
            .filter(|confirmation| confirmation.applies_to(settings))
            .map(|confirmation| confirmation.confirmed_ms)
            .max()
    }

    /// Returns the balancers in the order in which they watch the store: first one of each domain,
    /// then the others.
    pub fn watch_order(&self) -> Vec<Ipv4Addr> {
        let mut best: BTreeMap<DomainId, u64> = BTreeMap::new();
        for balancer in self.by_ip.values() {
            let score = best.entry(balancer.domain).or_default();
            *score = balancer.watch_score.max(*score);
        }
        let mut order: Vec<(bool, u64, Ipv4Addr)> = self
            .by_ip
            .iter()
            .map(|(ip, balancer)| {
                let is_first = best.get(&balancer.domain) == Some(&balancer.watch_score);
                (is_first, balancer.watch_score, *ip)
            })
            .collect();
        order.sort_unstable_by(|left, right| right.cmp(left));
        order.into_iter().map(|(_, _, ip)| ip).collect()
    }

    /// Returns the domain of a balancer.
    pub fn domain_of(&self, ip: Ipv4Addr) -> Option<DomainId> {
        self.by_ip.get(&ip).map(|balancer| balancer.domain)
    }

    /// Returns how many balancers are known.
    pub fn len(&self) -> usize {
        self.by_ip.len()
    }

    /// Returns whether no balancer is known.
    pub fn is_empty(&self) -> bool {
        self.by_ip.is_empty()
    }

    /// Returns a hash of the addresses and incarnations, for comparing two lists.
    pub fn hash(&self) -> u32 {
        let mut hasher = SipHasher13::new();
        for (ip, balancer) in &self.by_ip {
            hasher.write_u32(ip.to_bits());
            hasher.write_u32(balancer.incarnation.0);
        }
        hasher.finish() as u32
    }
}
