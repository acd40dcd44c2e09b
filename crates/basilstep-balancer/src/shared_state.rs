//! State shared by the tasks of a balancer.

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

/// State shared by all tasks of a balancer.
#[derive(Debug)]
pub struct SharedState {
    /// The command-line settings of the process.
    pub settings: BalancerSettings,
    /// The keys derived from the cluster key.
    pub keys: NodeKeys,
    /// The clock of the process.
    pub clock: Clock,
    /// Counts of dropped packets by result code.
    pub counters: Arc<CodeCounters>,
    /// The number of packets forwarded from callers to agents.
    pub packets_to_agents: AtomicU64,
    /// The number of packets forwarded from agents to callers.
    pub packets_to_callers: AtomicU64,
    /// Whether the network fabric may send packets to this balancer.
    pub readiness: Readiness,
    reset_limiter: Mutex<ResetRateLimiter>,
    steering_table: watch::Sender<Arc<SteeringTable>>,
    settings_version: AtomicU64,
    newest_seen_version: AtomicU64,
    forward_until_ms: AtomicU64,
}

impl SharedState {
    /// Creates the shared state with an empty steering table.
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

    /// Takes one token of the rate limit for stateless resets; returns whether the reset may be
    /// sent. All services share one limit.
    pub fn allow_reset(&self) -> bool {
        let mut reset_limiter = self
            .reset_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        reset_limiter.allow(self.clock.now_ms())
    }

    /// Subscribes to changes of the steering table.
    pub fn watch_steering_table(&self) -> watch::Receiver<Arc<SteeringTable>> {
        self.steering_table.subscribe()
    }

    /// Replaces the steering table and records the settings version it was built from.
    pub fn activate_table(&self, table: SteeringTable, version: u64) {
        self.steering_table.send_replace(Arc::new(table));
        self.settings_version.fetch_max(version, Ordering::Relaxed);
        self.newest_seen_version
            .fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the version of the settings in force.
    pub fn settings_version(&self) -> u64 {
        self.settings_version.load(Ordering::Relaxed)
    }

    /// Returns whether packets may be forwarded now. They may not while the balancer recovers from
    /// a pause of the process.
    pub fn may_forward(&self) -> bool {
        self.clock.now_ms() < self.forward_until_ms.load(Ordering::Relaxed)
    }

    /// Sets the time until which packets may be forwarded; `None` stops forwarding at once.
    pub fn set_forward_until(&self, until_ms: Option<u64>) {
        self.forward_until_ms
            .store(until_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Returns whether the settings in force are at least as new as the newest version seen from
    /// any peer.
    pub fn has_newest_settings(&self) -> bool {
        self.settings_version() >= self.newest_seen_version.load(Ordering::Relaxed)
    }

    /// Records the settings version of a peer; the settings themselves arrive by gossip.
    pub fn note_settings_version(&self, version: u64) {
        if version > self.newest_seen_version.load(Ordering::Relaxed) {
            self.newest_seen_version
                .fetch_max(version, Ordering::Relaxed);
        }
    }
}
