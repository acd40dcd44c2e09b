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
pub struct ServiceInForce {
    /// The number of the service.
    pub id: ServiceId,
    /// The number of the agent's failure domain.
    pub domain: DomainId,
    /// The failure domains that operators have taken out.
    pub out: DomainSet,
    /// The keys of flow tokens.
    pub flow_keys: FlowKeys,
    /// The limits of the target.
    pub admission: AdmissionSettings,
    /// The treatment of requests.
    pub requests: RequestSettings,
}

impl ServiceInForce {
    /// Finds what concerns the agent with these settings; `None` while something is missing.
    pub fn find(state: &SettingsState, settings: &AgentSettings) -> Option<Self> {
        let view = state.view();
        let service = view.service_at(&settings.service)?;
        let domain = view.domains.get(&settings.common.domain)?;
        Some(Self {
            id: service.record.id,
            domain: domain.id,
            out: view.out,
            flow_keys: view.flow_keys?,
            admission: service.record.admission.clone(),
            requests: service.record.requests.clone(),
        })
    }

    /// Tells whether operators have taken the agent's failure domain out.
    pub fn is_domain_out(&self) -> bool {
        self.out.contains(self.domain)
    }
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
    pub counters: Arc<CodeCounters>,
    /// Wakes the settings task when a newer version has been heard of.
    pub newer_settings: Notify,
    /// The flows that are open.
    pub open_flows: AtomicU32,
    in_force: watch::Sender<Arc<ServiceInForce>>,
    peers: watch::Sender<Arc<[AgentRecord]>>,
    offers: Mutex<RecentOffers>,
    returns: Mutex<ReturnPaths>,
    version: AtomicU64,
    heard_version: AtomicU64,
    is_draining: AtomicBool,
    is_target_up: AtomicBool,
    admission: Mutex<AdmissionHint>,
}

/// What admission tells placement.
#[derive(Clone, Copy, Debug)]
struct AdmissionHint {
    weight: u8,
    closed: Option<ResultCode>,
}

impl Shared {
    /// Creates the shared state with the first settings.
    pub fn new(settings: AgentSettings, clock: Clock, first: ServiceInForce, version: u64) -> Self {
        let hint = AdmissionHint {
            weight: settings.target_weight,
            closed: None,
        };
        let offers = RecentOffers::new(PlacementSettings::default(), &mut clock.new_context());
        Self {
            keys: NodeKeys::derive(&settings.common.cluster_key),
            settings,
            clock,
            incarnation: basilstep_node::clock::new_incarnation(),
            counters: Arc::default(),
            newer_settings: Notify::new(),
            open_flows: AtomicU32::new(0),
            in_force: watch::Sender::new(Arc::new(first)),
            peers: watch::Sender::new(Arc::from([])),
            offers: Mutex::new(offers),
            returns: Mutex::new(ReturnPaths::new(ReturnSettings::default())),
            version: AtomicU64::new(version),
            heard_version: AtomicU64::new(version),
            is_draining: AtomicBool::new(false),
            is_target_up: AtomicBool::new(false),
            admission: Mutex::new(hint),
        }
    }

    /// Returns the settings in force.
    pub fn in_force(&self) -> Arc<ServiceInForce> {
        Arc::clone(&self.in_force.borrow())
    }

    /// Returns a view of the settings in force that follows their changes.
    pub fn watch_in_force(&self) -> watch::Receiver<Arc<ServiceInForce>> {
        self.in_force.subscribe()
    }

    /// Puts newer settings in force.
    pub fn put_in_force(&self, settings: ServiceInForce, version: u64) {
        self.version.fetch_max(version, Ordering::Relaxed);
        self.heard_version.fetch_max(version, Ordering::Relaxed);
        self.in_force.send_replace(Arc::new(settings));
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
    pub fn closed(&self) -> Option<ResultCode> {
        if self.in_force().is_domain_out() {
            return Some(ResultCode::DomainOut);
        }
        if self.is_draining() {
            return Some(ResultCode::Draining);
        }
        (!self.is_target_up()).then_some(ResultCode::TargetUnreachable)
    }

    /// Returns what placement needs to know about this agent.
    pub fn own_load(&self) -> OwnLoad {
        let hint = *self.lock_hint();
        OwnLoad {
            address: self.address(),
            flows: self.open_flows.load(Ordering::Relaxed),
            flow_limit: self.in_force().admission.connection_limit,
            weight: hint.weight,
            flow_refusal: self.closed().or(hint.closed),
        }
    }

    /// Notes the weight of the target after a cold start, and why it takes no new flow, if so.
    pub fn note_admission(&self, weight: u8, closed: Option<ResultCode>) {
        *self.lock_hint() = AdmissionHint { weight, closed };
    }

    fn lock_hint(&self) -> MutexGuard<'_, AdmissionHint> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a first packet of a new flow.
    pub fn decide_offer(&self, offered: &OfferedPacket<'_>) -> OfferDecision {
        let own = self.own_load();
        decide(offered, &own, &mut self.lock_offers(), self.clock.now_ms())
    }

    /// Notes that another agent has got an offer that this one showed to it.
    pub fn note_acknowledged(&self, by: AgentAddress) {
        self.lock_offers().note_acknowledged(by);
    }

    /// Returns other agents that have newly left an offer without acknowledgement.
    pub fn take_silent_agents(&self) -> Vec<AgentAddress> {
        self.lock_offers().take_silent(self.clock.now_ms())
    }

    /// Notes that the endpoint holds a flow that was offered.
    pub fn flow_opened(&self, caller: &SocketAddr, connection_id: &[u8]) {
        self.open_flows.fetch_add(1, Ordering::Relaxed);
        self.lock_offers().note_opened(caller, connection_id);
    }

    /// Notes that a flow has ended.
    pub fn flow_closed(&self) {
        self.open_flows.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the ways back to callers; the lock is held for one look-up at a time.
    pub fn returns(&self) -> MutexGuard<'_, ReturnPaths> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_offers(&self) -> MutexGuard<'_, RecentOffers> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
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
        if version <= self.heard_version.load(Ordering::Relaxed) {
            return;
        }
        self.heard_version.fetch_max(version, Ordering::Relaxed);
        self.newer_settings.notify_one();
    }
}
