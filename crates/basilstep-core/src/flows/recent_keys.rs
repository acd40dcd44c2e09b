//! A bounded set of keys, ordered by time.

use std::collections::{BTreeMap, BTreeSet};

/// Keys and the times at which they were last recorded; the oldest are evicted beyond a limit.
#[derive(Clone, Debug)]
pub struct RecentKeys<K> {
    recorded_ms: BTreeMap<K, u64>,
    by_time: BTreeSet<(u64, K)>,
    limit: usize,
}

impl<K: Copy + Ord> RecentKeys<K> {
    /// Creates an empty set.
    pub const fn new(limit: usize) -> Self {
        Self {
            recorded_ms: BTreeMap::new(),
            by_time: BTreeSet::new(),
            limit,
        }
    }

    /// Records a key, in place of its earlier time.
    pub fn insert(&mut self, key: K, at_ms: u64) {
        self.remove(&key);
        self.recorded_ms.insert(key, at_ms);
        self.by_time.insert((at_ms, key));
        if self.by_time.len() > self.limit
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.recorded_ms.remove(&oldest);
        }
    }

    /// Removes a key; returns whether it was recorded.
    pub fn remove(&mut self, key: &K) -> bool {
        let Some(at_ms) = self.recorded_ms.remove(key) else {
            return false;
        };
        self.by_time.remove(&(at_ms, *key))
    }

    /// Removes the keys that were recorded before a time.
    pub fn expire(&mut self, before_ms: u64) {
        while let Some((at_ms, key)) = self.by_time.first().copied()
            && at_ms < before_ms
        {
            self.remove(&key);
        }
    }

    /// Returns when a key was recorded.
    pub fn recorded_ms(&self, key: &K) -> Option<u64> {
        self.recorded_ms.get(key).copied()
    }

    /// Returns all keys with the times at which they were recorded.
    pub fn iter(&self) -> impl Iterator<Item = (K, u64)> {
        self.recorded_ms.iter().map(|(key, at_ms)| (*key, *at_ms))
    }

    /// Returns the keys from `first` on, in ascending order.
    pub fn keys_from(&self, first: K) -> impl Iterator<Item = K> {
        self.recorded_ms.range(first..).map(|(key, _)| *key)
    }
}
