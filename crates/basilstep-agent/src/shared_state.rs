//! What the tasks of one agent share.

use crate::settings::AgentSettings;
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    admission::AdmissionSettings,
    codes::ResultCode,
    membership::AgentRecord,
    placement::{OfferDecision, OfferedPacket, OwnLoad, PlacementSettings, RecentOffers, decide},
    requests::RequestSettings,
    returns::{ReturnPaths, ReturnSettings},
    settings::{DomainSet, SettingsState},
    token::FlowKeys,
};
use basilstep_node::{clock::Clock, counters::CodeCounters, keys::NodeKeys};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};
use tokio::sync::{Notify, watch};

/// The part of the settings in force that concerns this agent.
#[derive(Clone, Debug)]
pub struct ActiveServiceSettings {
    /// The number of the service.
    pub id: ServiceId,
    /// The number of the agent's failure domain.
    pub domain: DomainId,
    /// The failure domains that operators have taken out.
    pub domains_out: DomainSet,
    /// The keys of flow tokens.
    pub flow_keys: FlowKeys,
    /// The limits of the target.
    pub admission: AdmissionSettings,
    /// The treatment of requests.
    pub requests: RequestSettings,
}

impl ActiveServiceSettings {
    /// Finds what concerns the agent with these settings; `None` while something is missing.
    pub fn from_state(state: &SettingsState, settings: &AgentSettings) -> Option<Self> {
        let view = state.view();
        let service = view.service_at(&settings.service)?;
        let domain = view.domains.get(&settings.common.domain)?;
        Some(Self {
            id: service.record.id,
            domain: domain.id,
            domains_out: view.out,
            flow_keys: view.flow_keys?,
            admission: service.record.admission.clone(),
            requests: service.record.requests.clone(),
        })
    }

    /// Tells whether operators have taken the agent's failure domain out.
    pub fn is_domain_out(&self) -> bool {
        self.domains_out.contains(self.domain)
    }
}

/// The state that all tasks of an agent can reach.
#[derive(Debug)]
pub struct SharedState {
    /// The settings of the process.
    pub settings: AgentSettings,
    /// The derived keys.
    pub keys: NodeKeys,
    /// The clock.
    pub clock: Clock,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// What was dropped and refused, by code.
    pub counters: Arc<CodeCounters>,
    /// Wakes the settings task when a newer version has been heard of.
    pub newer_settings_seen: Notify,
    /// The flows that are open.
    pub open_flows: AtomicU32,
    active_settings: watch::Sender<Arc<ActiveServiceSettings>>,
    peers: watch::Sender<Arc<[AgentRecord]>>,
    recent_offers: Mutex<RecentOffers>,
    return_paths: Mutex<ReturnPaths>,
    settings_version: AtomicU64,
    newest_seen_version: AtomicU64,
    is_draining: AtomicBool,
    is_target_up: AtomicBool,
    admission_hint: Mutex<AdmissionHint>,
}

/// What admission tells placement.
#[derive(Clone, Copy, Debug)]
struct AdmissionHint {
    weight: u8,
    flow_refusal: Option<ResultCode>,
}

impl SharedState {
    /// Creates the shared state with the first settings.
    pub fn new(
        settings: AgentSettings,
        clock: Clock,
        first: ActiveServiceSettings,
        version: u64,
    ) -> Self {
        let hint = AdmissionHint {
            weight: settings.target_weight,
            flow_refusal: None,
        };
        let recent_offers =
            RecentOffers::new(PlacementSettings::default(), &mut clock.new_context());
        Self {
            keys: NodeKeys::derive(&settings.common.cluster_key),
            settings,
            clock,
            incarnation: basilstep_node::clock::new_incarnation(),
            counters: Arc::default(),
            newer_settings_seen: Notify::new(),
            open_flows: AtomicU32::new(0),
            active_settings: watch::Sender::new(Arc::new(first)),
            peers: watch::Sender::new(Arc::from([])),
            recent_offers: Mutex::new(recent_offers),
            return_paths: Mutex::new(ReturnPaths::new(ReturnSettings::default())),
            settings_version: AtomicU64::new(version),
            newest_seen_version: AtomicU64::new(version),
            is_draining: AtomicBool::new(false),
            is_target_up: AtomicBool::new(false),
            admission_hint: Mutex::new(hint),
        }
    }

    /// Returns the settings in force.
    pub fn active_settings(&self) -> Arc<ActiveServiceSettings> {
        Arc::clone(&self.active_settings.borrow())
    }

    /// Returns a view of the settings in force that follows their changes.
    pub fn watch_active_settings(&self) -> watch::Receiver<Arc<ActiveServiceSettings>> {
        self.active_settings.subscribe()
    }

    /// Puts newer settings in force.
    pub fn activate_settings(&self, settings: ActiveServiceSettings, version: u64) {
        self.settings_version.fetch_max(version, Ordering::Relaxed);
        self.newest_seen_version
            .fetch_max(version, Ordering::Relaxed);
        self.active_settings.send_replace(Arc::new(settings));
    }

    /// Returns the other agents of the service.
    pub fn peers(&self) -> Arc<[AgentRecord]> {
        Arc::clone(&self.peers.borrow())
    }

    /// Notes the other agents of the service.
    pub fn set_peers(&self, peers: &[AgentRecord]) {
        if self.peers.borrow().as_ref() != peers {
            self.peers.send_replace(Arc::from(peers));
        }
    }

    /// Tells whether the agent takes no new work because it is about to stop.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Starts or ends draining.
    pub fn set_draining(&self, draining: bool) {
        self.is_draining.store(draining, Ordering::Relaxed);
    }

    /// Tells whether the target could be reached lately.
    pub fn is_target_up(&self) -> bool {
        self.is_target_up.load(Ordering::Relaxed)
    }

    /// Notes whether the target can be reached.
    pub fn set_target_up(&self, up: bool) {
        self.is_target_up.store(up, Ordering::Relaxed);
    }

    /// Returns why the agent takes no new flow whatever its load, if so.
    pub fn flow_refusal(&self) -> Option<ResultCode> {
        if self.active_settings().is_domain_out() {
            return Some(ResultCode::DomainOut);
        }
        if self.is_draining() {
            return Some(ResultCode::Draining);
        }
        (!self.is_target_up()).then_some(ResultCode::TargetUnreachable)
    }

    /// Returns what placement needs to know about this agent.
    pub fn own_load(&self) -> OwnLoad {
        let hint = *self.lock_admission_hint();
        OwnLoad {
            address: self.address(),
            flows: self.open_flows.load(Ordering::Relaxed),
            flow_limit: self.active_settings().admission.connection_limit,
            weight: hint.weight,
            flow_refusal: self.flow_refusal().or(hint.flow_refusal),
        }
    }

    /// Notes the weight of the target after a cold start, and why it takes no new flow, if so.
    pub fn set_admission_hint(&self, weight: u8, flow_refusal: Option<ResultCode>) {
        *self.lock_admission_hint() = AdmissionHint {
            weight,
            flow_refusal,
        };
    }

    fn lock_admission_hint(&self) -> MutexGuard<'_, AdmissionHint> {
        self.admission_hint
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a first packet of a new flow.
    pub fn decide_offer(&self, offered: &OfferedPacket<'_>) -> OfferDecision {
        let own = self.own_load();
        decide(
            offered,
            &own,
            &mut self.lock_recent_offers(),
            self.clock.now_ms(),
        )
    }

    /// Notes that another agent has got an offer that this one showed to it.
    pub fn note_acknowledged(&self, by: AgentAddress) {
        self.lock_recent_offers().note_acknowledged(by);
    }

    /// Returns other agents that have newly left an offer without acknowledgement.
    pub fn take_unresponsive_agents(&self) -> Vec<AgentAddress> {
        self.lock_recent_offers().take_silent(self.clock.now_ms())
    }

    /// Notes that the endpoint holds a flow that was offered.
    pub fn on_flow_opened(&self, caller: &SocketAddr, connection_id: &[u8]) {
        self.open_flows.fetch_add(1, Ordering::Relaxed);
        self.lock_recent_offers().note_opened(caller, connection_id);
    }

    /// Notes that a flow has ended.
    pub fn on_flow_closed(&self) {
        self.open_flows.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the ways back to callers; the lock is held for one look-up at a time.
    pub fn return_paths(&self) -> MutexGuard<'_, ReturnPaths> {
        self.return_paths
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_recent_offers(&self) -> MutexGuard<'_, RecentOffers> {
        self.recent_offers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of the agent.
    pub fn address(&self) -> AgentAddress {
        AgentAddress(self.settings.common.address)
    }

    /// Returns the number of the service.
    pub fn service_id(&self) -> ServiceId {
        self.active_settings().id
    }

    /// Returns the number of the failure domain.
    pub fn domain_id(&self) -> DomainId {
        self.active_settings().domain
    }

    /// Returns the keys of flow tokens.
    pub fn flow_keys(&self) -> FlowKeys {
        self.active_settings().flow_keys
    }

    /// Returns the settings version in force.
    pub fn settings_version(&self) -> u64 {
        self.settings_version.load(Ordering::Relaxed)
    }

    /// Notes the version of a peer and wakes the settings task when it is newer.
    pub fn note_settings_version(&self, version: u64) {
        if version <= self.newest_seen_version.load(Ordering::Relaxed) {
            return;
        }
        self.newest_seen_version
            .fetch_max(version, Ordering::Relaxed);
        self.newer_settings_seen.notify_one();
    }
}
