//! What the tasks of one balancer share.

use crate::{readiness::Readiness, settings::BalancerSettings};
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
pub struct SharedState {
    /// The settings of the process.
    pub settings: BalancerSettings,
    /// The derived keys.
    pub keys: NodeKeys,
    /// The clock.
    pub clock: Clock,
    /// What was dropped, by code.
    pub counters: Arc<CodeCounters>,
    /// Callers' packets carried towards agents.
    pub packets_to_agents: AtomicU64,
    /// Answers carried towards callers.
    pub packets_to_callers: AtomicU64,
    /// Whether the fabric may send packets.
    pub readiness: Readiness,
    reset_limiter: Mutex<ResetRateLimiter>,
    steering_table: watch::Sender<Arc<SteeringTable>>,
    settings_version: AtomicU64,
    newest_seen_version: AtomicU64,
    forward_until_ms: AtomicU64,
}

impl SharedState {
    /// Creates the shared state with an empty table.
    pub fn new(settings: BalancerSettings, clock: Clock) -> Self {
        let reset_limiter = ResetRateLimiter::new(SteeringSettings::default(), clock.now_ms());
        Self {
            keys: NodeKeys::derive(&settings.common.cluster_key),
            settings,
            clock,
            counters: Arc::default(),
            packets_to_agents: AtomicU64::new(0),
            packets_to_callers: AtomicU64::new(0),
            readiness: Readiness::default(),
            reset_limiter: Mutex::new(reset_limiter),
            steering_table: watch::Sender::new(Arc::default()),
            settings_version: AtomicU64::new(0),
            newest_seen_version: AtomicU64::new(0),
            forward_until_ms: AtomicU64::new(u64::MAX),
        }
    }

    /// Returns the address of the balancer.
    pub fn address(&self) -> BalancerAddress {
        BalancerAddress(self.settings.common.address)
    }

    /// Tells whether one more stateless reset may be sent, and counts it; one limit holds for the
    /// packets of all services.
    pub fn allow_reset(&self) -> bool {
        let mut reset_limiter = self
            .reset_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        reset_limiter.allow(self.clock.now_ms())
    }

    /// Returns a view of the steering table that follows its changes.
    pub fn watch_steering_table(&self) -> watch::Receiver<Arc<SteeringTable>> {
        self.steering_table.subscribe()
    }

    /// Puts a new steering table in force.
    pub fn activate_table(&self, table: SteeringTable, version: u64) {
        self.steering_table.send_replace(Arc::new(table));
        self.settings_version.fetch_max(version, Ordering::Relaxed);
        self.newest_seen_version
            .fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the settings version in force.
    pub fn settings_version(&self) -> u64 {
        self.settings_version.load(Ordering::Relaxed)
    }

    /// Tells whether packets may be carried now; not while a pause of the process is made up for.
    pub fn may_forward(&self) -> bool {
        self.clock.now_ms() < self.forward_until_ms.load(Ordering::Relaxed)
    }

    /// Sets the time until which packets may be carried; `None` stops them at once.
    pub fn set_forward_until(&self, until_ms: Option<u64>) {
        self.forward_until_ms
            .store(until_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Tells whether the settings in force are the newest that any peer has been heard to have.
    pub fn has_newest_settings(&self) -> bool {
        self.settings_version() >= self.newest_seen_version.load(Ordering::Relaxed)
    }

    /// Notes the version of a peer; gossip brings the settings themselves.
    pub fn note_settings_version(&self, version: u64) {
        if version > self.newest_seen_version.load(Ordering::Relaxed) {
            self.newest_seen_version
                .fetch_max(version, Ordering::Relaxed);
        }
    }
}
