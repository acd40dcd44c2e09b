//! State shared by the tasks of an agent.

use crate::{
    settings::AgentSettings,
    stop::{ActiveRequests, StopStage},
};
use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    admission::AdmissionSettings,
    codes::ResultCode,
    membership::AgentRecord,
    placement::{
        OfferDecision, OfferedPacket, OwnLoad, PlacementSettings, RecentOffers, decide_offer,
    },
    requests::RequestSettings,
    return_paths::{ReturnPaths, ReturnSettings},
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

/// The settings in force that apply to this agent.
#[derive(Clone, Debug)]
pub struct ActiveServiceSettings {
    /// The ID of the service.
    pub id: ServiceId,
    /// The ID of the agent's failure domain.
    pub domain: DomainId,
    /// The failure domains that operators have taken out of service.
    pub domains_out: DomainSet,
    /// The keys that encode and decode flow tokens.
    pub flow_keys: FlowKeys,
    /// The admission limits of the target.
    pub admission: AdmissionSettings,
    /// The settings of request handling.
    pub requests: RequestSettings,
}

impl ActiveServiceSettings {
    /// Extracts the settings of the agent's service and failure domain; `None` while the service,
    /// the domain or the flow keys are missing.
    pub fn from_state(state: &SettingsState, settings: &AgentSettings) -> Option<Self> {
        let view = state.view();
        let service = view.service_at(&settings.service)?;
        let domain = view.domains.get(&settings.common.domain)?;
        Some(Self {
            id: service.record.id,
            domain: domain.id,
            domains_out: view.domains_out,
            flow_keys: view.flow_keys?,
            admission: service.record.admission.clone(),
            requests: service.record.requests.clone(),
        })
    }

    /// Returns whether operators have taken the agent's failure domain out of service.
    pub fn is_domain_out(&self) -> bool {
        self.domains_out.contains(self.domain)
    }
}

/// State shared by all tasks of an agent.
#[derive(Debug)]
pub struct SharedState {
    /// The command-line settings of the process.
    pub settings: AgentSettings,
    /// The keys derived from the cluster key.
    pub keys: NodeKeys,
    /// The clock of the process.
    pub clock: Clock,
    /// Identifies this run of the agent process.
    pub incarnation: Incarnation,
    /// Counts of dropped packets and refusals by result code.
    pub counters: Arc<CodeCounters>,
    /// Wakes the settings task when a peer has shown a newer settings version.
    pub newer_settings_seen: Notify,
    /// The number of open flows.
    pub open_flows: AtomicU32,
    /// The requests in progress.
    pub active_requests: ActiveRequests,
    stop_stage: watch::Sender<StopStage>,
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

/// What admission reports for the placement of new flows.
#[derive(Clone, Copy, Debug)]
struct AdmissionHint {
    weight: u8,
    flow_refusal: Option<ResultCode>,
}

impl SharedState {
    /// Creates the shared state with the initial settings.
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
            active_requests: ActiveRequests::default(),
            stop_stage: watch::Sender::new(StopStage::Running),
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

    /// Subscribes to changes of the settings in force.
    pub fn watch_active_settings(&self) -> watch::Receiver<Arc<ActiveServiceSettings>> {
        self.active_settings.subscribe()
    }

    /// Replaces the settings in force.
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

    /// Replaces the list of the other agents of the service.
    pub fn set_peers(&self, peers: &[AgentRecord]) {
        if self.peers.borrow().as_ref() != peers {
            self.peers.send_replace(Arc::from(peers));
        }
    }

    /// Returns whether the agent refuses new work because it is about to stop.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Starts or stops draining.
    pub fn set_draining(&self, draining: bool) {
        self.is_draining.store(draining, Ordering::Relaxed);
    }

    /// Returns the stage of a planned stop.
    pub fn stop_stage(&self) -> StopStage {
        *self.stop_stage.borrow()
    }

    /// Enters a stage of a planned stop.
    pub fn set_stop_stage(&self, stage: StopStage) {
        self.stop_stage.send_replace(stage);
    }

    /// Waits until a planned stop has gone beyond `stage`, and returns the stage that it is in.
    pub async fn stop_stage_after(&self, stage: StopStage) -> StopStage {
        let mut stop_stage = self.stop_stage.subscribe();
        let reached = stop_stage.wait_for(|reached| *reached > stage).await;
        // The sender lives as long as `self`.
        reached.map_or(stage, |reached| *reached)
    }

    /// Returns whether the target passed its recent health checks.
    pub fn is_target_up(&self) -> bool {
        self.is_target_up.load(Ordering::Relaxed)
    }

    /// Sets whether the target can be reached.
    pub fn set_target_up(&self, up: bool) {
        self.is_target_up.store(up, Ordering::Relaxed);
    }

    /// Returns the reason to refuse new flows regardless of load, if there is one.
    pub fn flow_refusal(&self) -> Option<ResultCode> {
        if self.active_settings().is_domain_out() {
            return Some(ResultCode::DomainOut);
        }
        if self.is_draining() {
            return Some(ResultCode::Draining);
        }
        (!self.is_target_up()).then_some(ResultCode::TargetUnreachable)
    }

    /// Returns the agent's own load, for placement.
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

    /// Stores the target's weight, reduced during a cold start, and admission's reason to refuse
    /// new flows, if there is one.
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

    /// Decides what happens to the first packet of a new flow.
    pub fn decide_offer(&self, offered: &OfferedPacket<'_>) -> OfferDecision {
        let own = self.own_load();
        decide_offer(
            offered,
            &own,
            &mut self.lock_recent_offers(),
            self.clock.now_ms(),
        )
    }

    /// Records that another agent has acknowledged an offer that this agent sent to it for
    /// comparison.
    pub fn note_acknowledged(&self, by: AgentAddress) {
        self.lock_recent_offers().note_acknowledged(by);
    }

    /// Returns and clears the agents that have newly failed to acknowledge an offer in time.
    pub fn take_unresponsive_agents(&self) -> Vec<AgentAddress> {
        self.lock_recent_offers()
            .take_unresponsive(self.clock.now_ms())
    }

    /// Counts an offered flow as open on the QUIC endpoint.
    pub fn on_flow_opened(&self, caller: &SocketAddr, connection_id: &[u8]) {
        self.open_flows.fetch_add(1, Ordering::Relaxed);
        self.lock_recent_offers().note_opened(caller, connection_id);
    }

    /// Counts a flow as closed.
    pub fn on_flow_closed(&self) {
        self.open_flows.fetch_sub(1, Ordering::Relaxed);
    }

    /// Locks the return paths to callers; hold the lock for a single look-up only.
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

    /// Returns the ID of the service.
    pub fn service_id(&self) -> ServiceId {
        self.active_settings().id
    }

    /// Returns the ID of the agent's failure domain.
    pub fn domain_id(&self) -> DomainId {
        self.active_settings().domain
    }

    /// Returns the keys that encode and decode flow tokens.
    pub fn flow_keys(&self) -> FlowKeys {
        self.active_settings().flow_keys
    }

    /// Returns the version of the settings in force.
    pub fn settings_version(&self) -> u64 {
        self.settings_version.load(Ordering::Relaxed)
    }

    /// Records the settings version of a peer and wakes the settings task when it is newer than any
    /// seen before.
    pub fn note_settings_version(&self, version: u64) {
        if version <= self.newest_seen_version.load(Ordering::Relaxed) {
            return;
        }
        self.newest_seen_version
            .fetch_max(version, Ordering::Relaxed);
        self.newer_settings_seen.notify_one();
    }
}
