use super::{
    Backoff, Store,
    messages::{RenewalOutcome, SessionId, StoreError, WriteOutcome},
    settings::LeaseSettings,
};
use basilstep_core::codes::ResultCode;
use std::time::{Duration, Instant};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

const RETRY_MIN_MS: u64 = 500;

/// A lease as its holder sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    session: SessionId,
    ttl: Duration,
    margin: Duration,
    confirmed_at: Instant,
}

impl Lease {
    /// Takes a lease that a call begun at `asked_at` has confirmed.
    pub fn new(session: SessionId, settings: &LeaseSettings, asked_at: Instant) -> Self {
        Self {
            session,
            ttl: Duration::from_millis(settings.ttl_ms),
            margin: Duration::from_millis(settings.margin_ms),
            confirmed_at: asked_at,
        }
    }

    /// Returns the session that holds the record.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Notes a renewal by a call that began at `asked_at`.
    ///
    /// The time of the call counts, not that of the answer: a process that was paused between the
    /// two must not take the lease for longer than the store does.
    pub fn confirm_renewal(&mut self, asked_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(asked_at);
    }

    /// Tells whether the holder may act at `now`; asked before each act, not once.
    pub fn is_held(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) + self.margin < self.ttl
    }
}

/// Writes `value` at `key` under a new session and returns the lease.
///
/// A record left by an earlier run of the same process is replaced: the caller owns the name in
/// the key, such as an address that it has bound, so the earlier holder has ended.
///
/// # Errors
///
/// Returns [`StoreError`] when the store did not confirm the lease.
pub async fn acquire_lease<S: Store>(
    store: &S,
    key: &str,
    value: &str,
    settings: &LeaseSettings,
) -> Result<Lease, StoreError> {
    let asked_at = Instant::now();
    let session = store
        .create_session(Duration::from_millis(settings.ttl_ms))
        .await?;
    let mut outcome = store.acquire(key, value, &session).await?;
    if outcome == WriteOutcome::Conflict {
        end_earlier_holder(store, key).await?;
        outcome = store.acquire(key, value, &session).await?;
    }
    match outcome {
        WriteOutcome::Written => Ok(Lease::new(session, settings, asked_at)),
        WriteOutcome::Conflict | WriteOutcome::Unknown => Err(StoreError::Unavailable {
            reason: format!("the lease at {key} was not confirmed"),
        }),
    }
}

async fn end_earlier_holder<S: Store>(store: &S, key: &str) -> Result<(), StoreError> {
    let record = store.read(key).await?;
    match record.and_then(|record| record.session) {
        Some(session) => store.destroy_session(&session).await,
        None => Ok(()),
    }
}

/// A lease that is renewed in the background; the task ends when the handle is dropped.
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
    /// Tells whether the lease is held now, by the clock of this process.
    pub fn is_held(&self) -> bool {
        let state = self.state.borrow();
        state
            .lease
            .as_ref()
            .is_some_and(|lease| lease.is_held(Instant::now()))
    }

    /// Returns the code of the last failed call, while calls fail.
    pub fn failure(&self) -> Option<ResultCode> {
        self.state.borrow().failure
    }

    /// Ends the lease, so that others notice at once.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when the store did not answer; the lease then lapses by itself.
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

/// Puts a lease and keeps it; takes a new one whenever it has lapsed.
pub fn spawn_lease_renewal<S: Store>(
    store: S,
    key: String,
    value: String,
    settings: LeaseSettings,
) -> LeaseHandle {
    let (state_in, state) = watch::channel(LeaseState::default());
    let keeper = Keeper {
        store,
        key,
        value,
        backoff: Backoff::new(RETRY_MIN_MS, settings.renew_interval_ms),
        settings,
        state: state_in,
    };
    LeaseHandle {
        state,
        task: tokio::spawn(keeper.run()),
    }
}

struct Keeper<S> {
    store: S,
    key: String,
    value: String,
    settings: LeaseSettings,
    backoff: Backoff,
    state: watch::Sender<LeaseState>,
}

impl<S: Store> Keeper<S> {
    async fn run(mut self) {
        while !self.state.is_closed() {
            let pause = match self.step().await {
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
            sleep(pause).await;
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
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
        let asked_at = Instant::now();
        match self.store.renew_session(lease.session()).await? {
            RenewalOutcome::Renewed => {
                lease.confirm_renewal(asked_at);
                Ok(Some(lease))
            }
            RenewalOutcome::Expired => Ok(None),
        }
    }
}
