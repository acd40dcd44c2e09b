use serde::{Deserialize, Serialize};

/// The timeouts, retries and limits of the store client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// The timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// The timeout of a call that does not wait for a change.
    pub call_timeout_ms: u64,
    /// The longest wait for a change; each wait is up to a fifth shorter, at random.
    ///
    /// It bounds how long a change goes unnoticed when the store no longer answers a waiting call.
    pub watch_wait_ms: u64,
    /// How much longer than its wait a call may take until the response is complete.
    pub watch_margin_ms: u64,
    /// The delay after the first consecutive failure.
    pub retry_min_ms: u64,
    /// The longest delay after a failure.
    pub retry_max_ms: u64,
    /// The shortest time between two snapshots of one watch.
    pub watch_interval_ms: u64,
    /// For a tree with more records, only the changed subtrees are read after a first full read.
    pub whole_limit_records: usize,
    /// The longest time between two full reads of one watch.
    pub whole_interval_ms: u64,
    /// The timeout for reading the changed subtrees; after it the full tree is read.
    pub subtrees_timeout_ms: u64,
    /// The largest response body that is read.
    pub answer_limit_bytes: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            call_timeout_ms: 10_000,
            watch_wait_ms: 3_000,
            watch_margin_ms: 5_000,
            retry_min_ms: 250,
            retry_max_ms: 10_000,
            watch_interval_ms: 200,
            whole_limit_records: 500,
            whole_interval_ms: 6 * 3_600_000,
            subtrees_timeout_ms: 2_000,
            answer_limit_bytes: 64 * 1024 * 1024,
        }
    }
}

impl StoreSettings {
    /// Returns the timeout of a call that waits `wait_ms` for a change.
    ///
    /// The store may extend the wait by up to a sixteenth as jitter of its own.
    pub const fn watch_timeout_ms(&self, wait_ms: u64) -> u64 {
        wait_ms + wait_ms / 16 + self.watch_margin_ms
    }
}

/// The lifetime and renewal of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long the lease lasts without a renewal.
    pub ttl_ms: u64,
    /// The time between renewals.
    pub renew_interval_ms: u64,
    /// How long before its end, by the holder's clock, a lease is treated as expired.
    pub margin_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl_ms: 15_000,
            renew_interval_ms: 5_000,
            margin_ms: 1_000,
        }
    }
}
