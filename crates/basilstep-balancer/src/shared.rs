//! What the tasks of one balancer share.

use crate::{ready::Readiness, settings::BalancerSettings};
use basilstep_core::{
    address::BalancerAddress,
    steering::{ResetRateLimiter, SteeringSettings, SteeringTable},
};
use basilstep_node::{clock::Clock, counters::CodeCounters, keys::NodeKeys};
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::watch;

/// The state that all tasks of a balancer can reach.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the process.
    pub settings: BalancerSettings,
    /// The derived keys.
    pub keys: NodeKeys,
    /// The clock.
    pub clock: Clock,
    /// What was dropped, by code.
    pub counters: Arc<CodeCounters>,
    /// Callers' packets carried towards agents.
    pub carried: AtomicU64,
    /// Answers carried towards callers.
    pub answered: AtomicU64,
    /// Whether the fabric may send packets.
    pub readiness: Readiness,
    resets: Mutex<ResetRateLimiter>,
    table: watch::Sender<Arc<SteeringTable>>,
    version: AtomicU64,
    heard_version: AtomicU64,
    carry_until_ms: AtomicU64,
}

impl Shared {
    /// Creates the shared state with an empty table.
    pub fn new(settings: BalancerSettings, clock: Clock) -> Self {
        let resets = ResetRateLimiter::new(SteeringSettings::default(), clock.now_ms());
        Self {
            keys: NodeKeys::derive(&settings.common.cluster_key),
            settings,
            clock,
            counters: Arc::default(),
            carried: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            readiness: Readiness::default(),
            resets: Mutex::new(resets),
            table: watch::Sender::new(Arc::default()),
            version: AtomicU64::new(0),
            heard_version: AtomicU64::new(0),
            carry_until_ms: AtomicU64::new(u64::MAX),
        }
    }

    /// Returns the address of the balancer.
    pub fn address(&self) -> BalancerAddress {
        BalancerAddress(self.settings.common.address)
    }

    /// Tells whether one more stateless reset may be sent, and counts it; one limit holds for the
    /// packets of all services.
    pub fn allow_reset(&self) -> bool {
        let mut resets = self.resets.lock().unwrap_or_else(PoisonError::into_inner);
        resets.allow(self.clock.now_ms())
    }

    /// Returns a view of the steering table that follows its changes.
    pub fn table(&self) -> watch::Receiver<Arc<SteeringTable>> {
        self.table.subscribe()
    }

    /// Puts a new steering table in force.
    pub fn put_in_force(&self, table: SteeringTable, version: u64) {
        self.table.send_replace(Arc::new(table));
        self.version.fetch_max(version, Ordering::Relaxed);
        self.heard_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the settings version in force.
    pub fn settings_version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Tells whether packets may be carried now; not while a pause of the process is made up for.
    pub fn may_carry(&self) -> bool {
        self.clock.now_ms() < self.carry_until_ms.load(Ordering::Relaxed)
    }

    /// Sets the time until which packets may be carried; `None` stops them at once.
    pub fn set_carry_until(&self, until_ms: Option<u64>) {
        self.carry_until_ms
            .store(until_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Tells whether the settings in force are the newest that any peer has been heard to have.
    pub fn has_newest_settings(&self) -> bool {
        self.settings_version() >= self.heard_version.load(Ordering::Relaxed)
    }

    /// Notes the version of a peer; gossip brings the settings themselves.
    pub fn note_settings_version(&self, version: u64) {
        if version > self.heard_version.load(Ordering::Relaxed) {
            self.heard_version.fetch_max(version, Ordering::Relaxed);
        }
    }
}
