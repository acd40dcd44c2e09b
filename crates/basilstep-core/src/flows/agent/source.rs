use crate::{address::DomainId, flows::balancer_list::BalancerList};
use std::net::Ipv4Addr;

/// How many consecutive reports may stay unanswered before the agent switches to another balancer.
const MAX_UNANSWERED_REPORTS: u32 = 3;

/// The balancer from which an agent gets its settings and the list of balancers.
#[derive(Clone, Debug, Default)]
pub struct SettingsSource {
    current: Option<Ipv4Addr>,
    unanswered: u32,
    answered_ms: u64,
}

impl SettingsSource {
    /// Returns the balancer to ask with the next report, preferably one of the agent's own domain.
    pub fn next(&mut self, balancers: &BalancerList, domain: DomainId) -> Option<Ipv4Addr> {
        let is_lost = self.unanswered >= MAX_UNANSWERED_REPORTS;
        let is_known = self
            .current
            .is_some_and(|current| balancers.domain_of(current).is_some());
        if is_lost || !is_known {
            self.current = Self::next_balancer(self.current, balancers, domain);
            self.unanswered = 0;
        }
        self.unanswered += 1;
        self.current
    }

    /// Records an answer.
    pub const fn on_reply(&mut self, now_ms: u64) {
        self.unanswered = 0;
        self.answered_ms = now_ms;
    }

    /// Returns when a balancer last answered.
    pub const fn answered_ms(&self) -> u64 {
        self.answered_ms
    }

    /// Returns the balancer after `last` in round-robin order, with those of the own domain first.
    fn next_balancer(
        last: Option<Ipv4Addr>,
        balancers: &BalancerList,
        domain: DomainId,
    ) -> Option<Ipv4Addr> {
        let mut order: Vec<Ipv4Addr> = balancers.addresses().collect();
        order.sort_by_key(|ip| (balancers.domain_of(*ip) != Some(domain), *ip));
        let next = last
            .and_then(|last| order.iter().position(|ip| *ip == last))
            .map_or(0, |place| place + 1);
        order.get(next % order.len().max(1)).copied()
    }
}
