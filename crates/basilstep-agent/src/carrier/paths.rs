use basilstep_core::address::BalancerAddress;
use std::{collections::BTreeMap, net::SocketAddr};

/// Remembers which balancer carried the last packet of each caller.
///
/// Soft state: an entry that is evicted comes back with the caller's next packet.
#[derive(Debug)]
pub struct ReturnPaths {
    limit: usize,
    paths: BTreeMap<SocketAddr, ReturnPath>,
}

/// The way back to one caller.
#[derive(Clone, Copy, Debug)]
struct ReturnPath {
    balancer: BalancerAddress,
    used_ms: u64,
}

impl ReturnPaths {
    /// Creates an empty table for at most `limit` callers.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            paths: BTreeMap::new(),
        }
    }

    /// Notes that `balancer` carried a packet of `caller`.
    pub fn note(&mut self, caller: SocketAddr, balancer: BalancerAddress, now_ms: u64) {
        if self.paths.len() >= self.limit && !self.paths.contains_key(&caller) {
            self.evict_older_half();
        }
        let path = ReturnPath {
            balancer,
            used_ms: now_ms,
        };
        self.paths.insert(caller, path);
    }

    /// Returns the balancer that carries answers to `caller`.
    pub fn find(&self, caller: SocketAddr) -> Option<BalancerAddress> {
        self.paths.get(&caller).map(|path| path.balancer)
    }

    /// Returns the number of callers remembered.
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    fn evict_older_half(&mut self) {
        let mut used: Vec<u64> = self.paths.values().map(|path| path.used_ms).collect();
        used.sort_unstable();
        let median_ms = used[used.len() / 2];
        self.paths.retain(|_, path| path.used_ms > median_ms);
    }
}
