use super::ReturnSettings;
use crate::address::BalancerAddress;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Bound::{Excluded, Unbounded},
};

/// The return paths to callers, as soft state: evicted entries are restored by the next packet.
///
/// The balancer of a caller's last packet is known to be live only for a short time. After that the
/// answers rotate over the balancers heard from recently, so that a flow whose caller sends nothing
/// does not depend on a single balancer that may have failed.
#[derive(Debug)]
pub struct ReturnPaths {
    settings: ReturnSettings,
    callers: BTreeMap<SocketAddr, LastPacket>,
    balancers: BTreeMap<BalancerAddress, u64>,
    last_rotated: Option<BalancerAddress>,
}

/// The last packet of one caller.
#[derive(Clone, Copy, Debug)]
struct LastPacket {
    balancer: BalancerAddress,
    at_ms: u64,
}

impl ReturnPaths {
    /// Creates empty tables.
    pub fn new(settings: ReturnSettings) -> Self {
        Self {
            settings,
            callers: BTreeMap::new(),
            balancers: BTreeMap::new(),
            last_rotated: None,
        }
    }

    /// Records that `balancer` forwarded a packet of `caller`.
    pub fn note_packet(&mut self, caller: SocketAddr, balancer: BalancerAddress, now_ms: u64) {
        self.note_heard(balancer, now_ms);
        if self.callers.len() >= self.settings.caller_limit && !self.callers.contains_key(&caller) {
            self.evict_older_half();
        }
        let packet = LastPacket {
            balancer,
            at_ms: now_ms,
        };
        self.callers.insert(caller, packet);
    }

    /// Records a message from a balancer.
    pub fn note_heard(&mut self, balancer: BalancerAddress, now_ms: u64) {
        let is_new = !self.balancers.contains_key(&balancer);
        if is_new && self.balancers.len() >= self.settings.balancer_limit {
            let oldest_ms = now_ms.saturating_sub(self.settings.heard_ms);
            self.balancers.retain(|_, heard_ms| *heard_ms > oldest_ms);
            if self.balancers.len() >= self.settings.balancer_limit {
                return;
            }
        }
        self.balancers.insert(balancer, now_ms);
    }

    /// Returns the balancer that forwards an answer to `caller` now; `None` for an unknown caller.
    pub fn choose_balancer(&mut self, caller: SocketAddr, now_ms: u64) -> Option<BalancerAddress> {
        let last = *self.callers.get(&caller)?;
        if now_ms.saturating_sub(last.at_ms) <= self.settings.fresh_ms {
            return Some(last.balancer);
        }
        let next = self.next_in_rotation(now_ms).unwrap_or(last.balancer);
        self.last_rotated = Some(next);
        Some(next)
    }

    /// Returns the number of callers in the table.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Returns the number of balancers in the table.
    pub fn balancer_count(&self) -> usize {
        self.balancers.len()
    }

    fn next_in_rotation(&self, now_ms: u64) -> Option<BalancerAddress> {
        let oldest_ms = now_ms.saturating_sub(self.settings.heard_ms);
        let after_last = match self.last_rotated {
            Some(last) => self.balancers.range((Excluded(last), Unbounded)),
            None => self.balancers.range(..),
        };
        after_last
            .chain(self.balancers.iter())
            .find(|(_, heard_ms)| **heard_ms >= oldest_ms)
            .map(|(balancer, _)| *balancer)
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.callers.values().map(|last| last.at_ms).collect();
        times.sort_unstable();
        let median_ms = times[times.len() / 2];
        self.callers.retain(|_, last| last.at_ms > median_ms);
    }
}
