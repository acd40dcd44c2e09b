//! How an agent finds balancers: the seeds of its settings and the entries in the store.

use crate::flows::balancer_list::BalancerList;
use std::{collections::BTreeSet, net::Ipv4Addr};

/// The interval at which seeds and listed balancers are contacted while no balancer is known.
///
/// After a power failure of all machines, agents are often up before balancers.
const FIRST_CONTACT_INTERVAL_MS: u64 = 20;

/// The interval at which the listed balancers that have not answered are contacted once another
/// one has.
const CONTACT_INTERVAL_MS: u64 = 100;

/// How long after a listing its balancers are contacted; entries of balancers that have ended stay
/// in the store until their leases expire.
const CONTACT_MS: u64 = 3_000;

/// The time without an answer from known balancers before seeds and store are asked for others.
///
/// Two settings sources can be tried in this time, each of which is given up after three reports.
const BALANCER_TIMEOUT_MS: u64 = 1_500;

/// The initial delay between two listings; doubles up to [`MAX_LIST_INTERVAL_MS`].
const MIN_LIST_INTERVAL_MS: u64 = 500;

/// The maximum delay between two listings while no balancer answers.
const MAX_LIST_INTERVAL_MS: u64 = 4_000;

/// Decides when an agent contacts balancers that it does not know yet, and when it lists the
/// balancers in the store.
#[derive(Clone, Debug, Default)]
pub struct Discovery {
    listed: BTreeSet<Ipv4Addr>,
    listed_ms: u64,
    next_contact_ms: u64,
    next_list_ms: u64,
    list_interval_ms: u64,
}

impl Discovery {
    /// Records the balancers that are registered in the store.
    pub fn on_listed(&mut self, listed: impl IntoIterator<Item = Ipv4Addr>, now_ms: u64) {
        self.listed = listed.into_iter().collect();
        self.listed_ms = now_ms;
        self.next_contact_ms = now_ms;
    }

    /// Takes the addresses that are to be contacted now: seeds and listed balancers while none
    /// answers, then the listed ones that have not answered; `answered_ms` is when a balancer last
    /// answered.
    pub fn take_contacts(
        &mut self,
        known: &BalancerList,
        answered_ms: u64,
        seeds: &[Ipv4Addr],
        now_ms: u64,
    ) -> BTreeSet<Ipv4Addr> {
        if now_ms < self.next_contact_ms {
            return BTreeSet::new();
        }
        if known.is_empty() {
            self.next_contact_ms = now_ms + FIRST_CONTACT_INTERVAL_MS;
            return self.listed.iter().chain(seeds).copied().collect();
        }
        self.next_contact_ms = now_ms + CONTACT_INTERVAL_MS;
        if now_ms >= answered_ms + BALANCER_TIMEOUT_MS {
            return self.listed.iter().chain(seeds).copied().collect();
        }
        if now_ms >= self.listed_ms + CONTACT_MS {
            self.listed.clear();
        }
        self.listed
            .retain(|address| known.domain_of(*address).is_none());
        self.listed.clone()
    }

    /// Returns whether the balancers in the store are to be listed now, and if so records that they
    /// are; `answered_ms` is when a balancer last answered.
    ///
    /// The first listing does not wait for the seeds, which may all have ended.
    pub fn try_list(&mut self, known: &BalancerList, answered_ms: u64, now_ms: u64) -> bool {
        if !known.is_empty() && now_ms < answered_ms + BALANCER_TIMEOUT_MS {
            self.list_interval_ms = 0;
            return false;
        }
        if now_ms < self.next_list_ms {
            return false;
        }
        self.list_interval_ms =
            (self.list_interval_ms * 2).clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS);
        self.next_list_ms = now_ms + self.list_interval_ms;
        true
    }
}
