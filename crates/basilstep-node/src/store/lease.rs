use super::{
    Backoff, Store,
    settings::LeaseSettings,
    types::{RenewalOutcome, SessionId, StoreError, WriteOutcome},
};
use basilstep_core::codes::ResultCode;
use std::time::{Duration, Instant};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

const RETRY_DELAY_MIN_MS: u64 = 500;

/// A lease from the point of view of its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    session: SessionId,
    ttl: Duration,
    margin: Duration,
    confirmed_at: Instant,
}

impl Lease {
    /// Creates a lease that the store confirmed in a call that started at `requested_at`.
    pub fn new(session: SessionId, settings: &LeaseSettings, requested_at: Instant) -> Self {
        Self {
            session,
            ttl: Duration::from_millis(settings.ttl_ms),
            margin: Duration::from_millis(settings.margin_ms),
            confirmed_at: requested_at,
        }
    }

    /// Returns the session that the record is locked to.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Records a renewal by a call that started at `requested_at`.
    ///
    /// The lease runs from the start of the call, not from its response: a process that was paused
    /// between the two must not consider the lease valid for longer than the store does.
    pub fn confirm_renewal(&mut self, requested_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(requested_at);
    }

    /// Returns whether the lease is valid at `now`. The holder checks it before each action that
    /// depends on the lease.
    pub fn is_held(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) + self.margin < self.ttl
    }
}

/// Creates a session, writes `value` at `key` under it and returns the lease.
///
/// A record that an earlier run of the same process left behind is replaced: this process owns the
/// resource that the key names, such as an address that it has bound, so the earlier holder has
/// ended.
///
/// # Errors
///
/// Returns [`StoreError`] when the store does not confirm the lease.
pub async fn acquire_lease<S: Store>(
    store: &S,
    key: &str,
    value: &str,
    settings: &LeaseSettings,
) -> Result<Lease, StoreError> {
    let requested_at = Instant::now();
    let session = store
        .create_session(Duration::from_millis(settings.ttl_ms))
        .await?;
    let mut outcome = store.acquire(key, value, &session).await?;
    if outcome == WriteOutcome::Conflict {
        end_previous_session(store, key).await?;
        outcome = store.acquire(key, value, &session).await?;
    }
    match outcome {
        WriteOutcome::Written => Ok(Lease::new(session, settings, requested_at)),
        WriteOutcome::Conflict | WriteOutcome::Unknown => Err(StoreError::Unavailable {
            reason: format!("the lease at {key} was not confirmed"),
        }),
    }
}

async fn end_previous_session<S: Store>(store: &S, key: &str) -> Result<(), StoreError> {
    let record = store.read(key).await?;
    match record.and_then(|record| record.session) {
        Some(session) => store.destroy_session(&session).await,
        None => Ok(()),
    }
}

/// A lease that a background task renews; the task ends when this handle is dropped.
#[derive(Debug)]
pub struct LeaseHandle {
    state: watch::Receiver<LeaseState>,
    task: JoinHandle<()>,
}

#[derive(Clone, Debug, Default)]
struct LeaseState {
    lease: Option<Lease>,
    failure: Option<ResultCode>,
}

impl LeaseHandle {
    /// Returns whether the lease is valid now, by the clock of this process.
    pub fn is_held(&self) -> bool {
        let state = self.state.borrow();
        state
            .lease
            .as_ref()
            .is_some_and(|lease| lease.is_held(Instant::now()))
    }

    /// Returns the code of the last failed call; `None` after a successful call.
    pub fn failure(&self) -> Option<ResultCode> {
        self.state.borrow().failure
    }

    /// Ends the lease, so that other processes notice immediately.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store does not respond; the lease then expires on its own.
    pub async fn release<S: Store>(self, store: &S) -> Result<(), StoreError> {
        self.task.abort();
        let lease = self.state.borrow().lease.clone();
        match lease {
            Some(lease) => store.destroy_session(lease.session()).await,
            None => Ok(()),
        }
    }
}

impl Drop for LeaseHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Acquires a lease and renews it in the background; acquires a new one whenever it has expired.
pub fn spawn_lease_renewal<S: Store>(
    store: S,
    key: String,
    value: String,
    settings: LeaseSettings,
) -> LeaseHandle {
    let (state_sender, state) = watch::channel(LeaseState::default());
    let renewer = LeaseRenewer {
        store,
        key,
        value,
        backoff: Backoff::new(RETRY_DELAY_MIN_MS, settings.renew_interval_ms),
        settings,
        state: state_sender,
    };
    LeaseHandle {
        state,
        task: tokio::spawn(renewer.run()),
    }
}

struct LeaseRenewer<S> {
    store: S,
    key: String,
    value: String,
    settings: LeaseSettings,
    backoff: Backoff,
    state: watch::Sender<LeaseState>,
}

impl<S: Store> LeaseRenewer<S> {
    async fn run(mut self) {
        while !self.state.is_closed() {
            let delay = match self.acquire_or_renew().await {
                Ok(()) => {
                    self.backoff.reset();
                    Duration::from_millis(self.settings.renew_interval_ms)
                }
                Err(error) => {
                    self.state
                        .send_modify(|state| state.failure = Some(error.code()));
                    self.backoff.next_delay(&mut rand::rng())
                }
            };
            sleep(delay).await;
        }
    }

    async fn acquire_or_renew(&mut self) -> Result<(), StoreError> {
        let held = self.state.borrow().lease.clone();
        let renewed = match held {
            Some(lease) => self.renew(lease).await?,
            None => None,
        };
        let lease = match renewed {
            Some(lease) => lease,
            None => acquire_lease(&self.store, &self.key, &self.value, &self.settings).await?,
        };
        self.state.send_modify(|state| {
            state.lease = Some(lease);
            state.failure = None;
        });
        Ok(())
    }

    async fn renew(&self, mut lease: Lease) -> Result<Option<Lease>, StoreError> {
        let requested_at = Instant::now();
        match self.store.renew_session(lease.session()).await? {
            RenewalOutcome::Renewed => {
                lease.confirm_renewal(requested_at);
                Ok(Some(lease))
            }
            RenewalOutcome::Expired => Ok(None),
        }
    }
}
