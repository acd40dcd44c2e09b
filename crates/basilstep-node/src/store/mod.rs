//! The client of the platform's key-value service: trees, blocking reads, compare-and-swap writes
//! and leases.
//!
//! [`Store`] is the interface for the rest of the system; [`ConsulStore`] implements it with the
//! published Consul HTTP API. Every call has a timeout. A write whose response was lost returns
//! [`WriteOutcome::Unknown`]; this module never retries it.

mod backoff;
mod changed_subtrees;
mod consul;
mod lease;
mod settings;
mod types;
mod watch;

pub use backoff::Backoff;
pub use consul::ConsulStore;
pub use lease::{Lease, LeaseHandle, acquire_lease, spawn_lease_renewal};
pub use settings::{LeaseSettings, StoreSettings};
use std::time::Duration;
pub use types::{
    Listing, RenewalOutcome, SessionId, StoreError, StoredRecord, TreeSnapshot, WriteOutcome,
};
pub use watch::{WatchHandle, WatchStatus, spawn_tree_watch};

#[cfg(test)]
mod tests;

/// The prefix of all settings; paths in a [`TreeSnapshot`] do not include it.
pub const SETTINGS_PREFIX: &str = "basilstep/";

/// The prefix of the balancers' leases, each at `<ip>:<port>`.
pub const BALANCERS_PREFIX: &str = "basilstep-live/balancers/";

/// The operations that the system needs from a key-value service.
///
/// A `key` is a full key; a `prefix` is stripped from the paths in a snapshot.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a consistent snapshot of all records below `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn read_tree(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<TreeSnapshot, StoreError>> + Send;

    /// Waits until something below `prefix` is newer than `index`, or until the wait times out, and
    /// then reads all records.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn watch_tree(
        &self,
        prefix: &str,
        index: u64,
    ) -> impl Future<Output = Result<TreeSnapshot, StoreError>> + Send;

    /// Lists the direct children of `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits like [`Store::watch_tree`], but lists only the direct children of `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn watch_list(
        &self,
        prefix: &str,
        index: u64,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredRecord>, StoreError>> + Send;

    /// Writes `value` if the record's version is `expected`; 0 means that there is no record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] only when the write is known to have had no effect.
    fn write(
        &self,
        key: &str,
        value: &str,
        expected: u64,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Deletes the record if its version is `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] only when the removal is known to have had no effect.
    fn delete(
        &self,
        key: &str,
        expected: u64,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Creates a session; the store deletes its records when it is not renewed within `ttl`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn create_session(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<SessionId, StoreError>> + Send;

    /// Extends a session by its time to live.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn renew_session(
        &self,
        session: &SessionId,
    ) -> impl Future<Output = Result<RenewalOutcome, StoreError>> + Send;

    /// Ends a session and deletes its records.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable response arrives in time.
    fn destroy_session(
        &self,
        session: &SessionId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes `value` and locks the record to a session; a conflict means that another session
    /// holds the record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] only when the write is known to have had no effect.
    fn acquire(
        &self,
        key: &str,
        value: &str,
        session: &SessionId,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;
}
