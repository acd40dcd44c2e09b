use crate::error::CtlError;
use basilstep_core::codes::ResultCode;
use basilstep_node::store::{Lease, LeaseSettings, Store, WriteOutcome};
use std::time::{Duration, Instant};

const LOCK_PREFIX: &str = "basilstep-live/locks/";

/// A lock in the store that excludes other operators during a change that depends on several
/// records.
#[derive(Debug)]
pub struct StoreLock {
    lease: Lease,
}

impl StoreLock {
    /// Acquires the lock `key`; `name` describes what it protects in messages to operators.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::WriteConflict`] when another operator holds it.
    pub async fn acquire<S: Store>(store: &S, key: &str, name: &str) -> Result<Self, CtlError> {
        let settings = LeaseSettings::default();
        let requested_at = Instant::now();
        let ttl = Duration::from_millis(settings.ttl_ms);
        let session = store.create_session(ttl).await?;
        let path = format!("{LOCK_PREFIX}{key}");
        let outcome = store.acquire(&path, name, &session).await?;
        if outcome == WriteOutcome::Written {
            let lease = Lease::new(session, &settings, requested_at);
            return Ok(Self { lease });
        }
        // A session that cannot be ended expires on its own.
        let _ = store.destroy_session(&session).await;
        Err(CtlError::new(
            ResultCode::WriteConflict,
            format!("another operator is changing the {name}; nothing was written, try again"),
        ))
    }

    /// Checks that the lock is still held; called immediately before the write.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::WriteConflict`] when it may have expired.
    pub fn check_held(&self) -> Result<(), CtlError> {
        if self.lease.is_held(Instant::now()) {
            return Ok(());
        }
        let message = "the lock expired before the write; nothing was written, try again";
        Err(CtlError::new(ResultCode::WriteConflict, message))
    }

    /// Releases the lock; a lock that cannot be released expires on its own.
    pub async fn release<S: Store>(self, store: &S) {
        let _ = store.destroy_session(self.lease.session()).await;
    }
}
