//! What the tasks of one agent share.

use crate::settings::AgentSettings;
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    admission::AdmissionSettings,
    requests::RequestSettings,
    token::FlowKeys,
};
use basilstep_node::{clock::Clock, counters::CodeCounters, keys::NodeKeys};
use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::Notify;

/// The part of the settings in force that concerns this agent.
#[derive(Clone, Debug)]
pub struct ServiceInForce {
    /// The number of the service.
    pub id: ServiceId,
    /// The number of the agent's failure domain.
    pub domain: DomainId,
    /// Whether operators have taken the agent's failure domain out.
    pub domain_out: bool,
    /// The keys of flow tokens.
    pub flow_keys: FlowKeys,
    /// The limits of the target.
    pub admission: AdmissionSettings,
    /// The treatment of requests.
    pub requests: RequestSettings,
}

/// The state that all tasks of an agent can reach.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the process.
    pub settings: AgentSettings,
    /// The derived keys.
    pub keys: NodeKeys,
    /// The clock.
    pub clock: Clock,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// What was dropped and refused, by code.
    pub counters: CodeCounters,
    /// Wakes the settings task when a newer version has been heard of.
    pub newer_settings: Notify,
    in_force: RwLock<Arc<ServiceInForce>>,
    version: AtomicU64,
    heard_version: AtomicU64,
}

impl Shared {
    /// Creates the shared state with the first settings.
    pub fn new(settings: AgentSettings, clock: Clock, first: ServiceInForce, version: u64) -> Self {
        Self {
            keys: NodeKeys::derive(&settings.common.cluster_key),
            settings,
            clock,
            incarnation: basilstep_node::clock::new_incarnation(),
            counters: CodeCounters::default(),
            newer_settings: Notify::new(),
            in_force: RwLock::new(Arc::new(first)),
            version: AtomicU64::new(version),
            heard_version: AtomicU64::new(version),
        }
    }

    /// Returns the settings in force.
    pub fn in_force(&self) -> Arc<ServiceInForce> {
        Arc::clone(&self.in_force.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts newer settings in force.
    pub fn put_in_force(&self, settings: ServiceInForce, version: u64) {
        *self.in_force.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
        self.version.fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the address of the agent.
    pub fn address(&self) -> AgentAddress {
        AgentAddress(self.settings.common.address)
    }

    /// Returns the number of the service.
    pub fn service_id(&self) -> ServiceId {
        self.in_force().id
    }

    /// Returns the number of the failure domain.
    pub fn domain_id(&self) -> DomainId {
        self.in_force().domain
    }

    /// Returns the keys of flow tokens.
    pub fn flow_keys(&self) -> FlowKeys {
        self.in_force().flow_keys
    }

    /// Returns the settings version in force.
    pub fn settings_version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Notes the version of a peer and wakes the settings task when it is newer.
    pub fn note_settings_version(&self, version: u64) {
        let heard = self.heard_version.fetch_max(version, Ordering::Relaxed);
        if version > heard {
            self.newer_settings.notify_one();
        }
    }
}
