//! The platform's key-value service: trees, blocking reads, compare-and-swap and leases.
//!
//! [`Store`] is what the rest of the system sees; [`ConsulStore`] binds it to the published Consul
//! HTTP API. Every call has a timeout. A write whose answer was lost ends as
//! [`WriteOutcome::Unknown`] and is never sent again by this slice.

mod backoff;
mod consul;
mod lease;
mod messages;
mod settings;
mod subtrees;
mod watch;

pub use backoff::Backoff;
pub use consul::ConsulStore;
pub use lease::{Lease, LeaseHandle, acquire_lease, spawn_lease_renewal};
pub use messages::{
    Listing, Record, RenewalOutcome, SessionId, StoreError, TreeSnapshot, WriteOutcome,
};
pub use settings::{LeaseSettings, StoreSettings};
use std::time::Duration;
pub use watch::{WatchHandle, WatchStatus, spawn_watch};

#[cfg(test)]
mod tests;

/// The prefix of all settings; paths in readings come without it.
pub const SETTINGS_PREFIX: &str = "basilstep/";

/// The prefix of the balancers' leases, each at `<ip>:<port>`.
pub const BALANCERS_PREFIX: &str = "basilstep-live/balancers/";

/// What the system needs of a key-value service.
///
/// A `key` is a whole key; a `prefix` is stripped from the paths that a reading holds.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads all records below `prefix` at one moment.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn read_tree(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<TreeSnapshot, StoreError>> + Send;

    /// Waits until something below `prefix` is newer than `index`, or the wait is over; then reads.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn watch_tree(
        &self,
        prefix: &str,
        index: u64,
    ) -> impl Future<Output = Result<TreeSnapshot, StoreError>> + Send;

    /// Lists what lies directly below `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits like [`Store::watch_tree`], but only lists what lies directly below `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn watch_list(
        &self,
        prefix: &str,
        index: u64,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Writes `value` if the record's version is `expected`; 0 stands for "there is none".
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] only when the write certainly had no effect.
    fn write(
        &self,
        key: &str,
        value: &str,
        expected: u64,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Removes the record if its version is `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] only when the removal certainly had no effect.
    fn delete(
        &self,
        key: &str,
        expected: u64,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Starts a session; what it holds is removed when it is not renewed within `ttl`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn create_session(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<SessionId, StoreError>> + Send;

    /// Prolongs a session by its time to live.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn renew_session(
        &self,
        session: &SessionId,
    ) -> impl Future<Output = Result<RenewalOutcome, StoreError>> + Send;

    /// Ends a session and removes what it holds.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no usable answer came in time.
    fn destroy_session(
        &self,
        session: &SessionId,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes `value` held by a session; a conflict says that another session holds the record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] only when the write certainly had no effect.
    fn acquire(
        &self,
        key: &str,
        value: &str,
        session: &SessionId,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;
}
