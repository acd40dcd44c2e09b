//! The control duties of a balancer: settings and membership, in one actor.

use crate::{listeners::Listeners, shared::Shared};
use basilstep_core::{
    address::{AgentAddress, BalancerAddress, DomainId, Incarnation, ServiceId},
    context::Context as Environment,
    domains::{DomainPhases, DomainSettings, DomainTracker},
    membership::{
        Action, AgentPhase, BalancerRecord, Membership, MembershipMessage, MembershipSettings,
        SettingsDelta, Snapshot,
    },
    settings::{Applied, SettingsState},
    steering::{DeadAgent, PauseGuard, SteeringSettings, SteeringTable},
    wire::{decode_sealed, encode_sealed},
};
use basilstep_node::{control::ControlClient, store::Reading};
use serde::Serialize;
use std::{net::SocketAddrV4, sync::Arc};
use tokio::net::UdpSocket;
use xtra::{Actor, Address, Context, Handler, Mailbox};

const DATAGRAM_BYTES: usize = 1_500;
const MAILBOX: usize = 4_096;

/// Holds the settings and the membership view of one balancer.
#[derive(Debug)]
pub struct Controller {
    shared: Arc<Shared>,
    listeners: Arc<Listeners>,
    carrier: Arc<UdpSocket>,
    client: ControlClient,
    environment: Environment,
    settings: SettingsState,
    membership: Membership,
    domains: DomainTracker,
    phases: DomainPhases,
    pause: PauseGuard,
    own: Option<Address<Self>>,
    is_table_outdated: bool,
    store_is_behind: bool,
    is_stopping: bool,
}

/// What the controller is made of.
#[derive(Debug)]
pub struct Parts {
    /// What the tasks share.
    pub shared: Arc<Shared>,
    /// The sockets that face callers.
    pub listeners: Arc<Listeners>,
    /// The carrier socket.
    pub carrier: Arc<UdpSocket>,
    /// What the balancer announces about itself.
    pub record: BalancerRecord,
    /// The first settings.
    pub settings: SettingsState,
}

impl Actor for Controller {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.own = mailbox.address().try_upgrade();
        Ok(())
    }

    async fn stopped(self) {}
}

/// Starts the controller and the timer that drives it.
pub fn spawn(parts: Parts) -> Address<Controller> {
    let mut environment = parts.shared.clock.context();
    let pause = PauseGuard::new(SteeringSettings::default(), environment.now_ms);
    let settings = MembershipSettings::default();
    let mut membership = Membership::new(settings, parts.record, &mut environment);
    // Seeds are known by address only; what they announce replaces these records.
    let seeds: Vec<BalancerRecord> = parts
        .shared
        .settings
        .common
        .seeds
        .iter()
        .map(|seed| BalancerRecord {
            address: BalancerAddress(*seed),
            ..parts.record
        })
        .map(|seed| BalancerRecord {
            incarnation: Incarnation::default(),
            ..seed
        })
        .collect();
    membership.on_store_list(&seeds, &mut environment);
    let mut controller = Controller {
        client: ControlClient::open(parts.shared.keys.control),
        shared: parts.shared,
        listeners: parts.listeners,
        carrier: parts.carrier,
        environment,
        domains: DomainTracker::new(DomainSettings::default(), parts.settings.view().out),
        phases: DomainPhases::default(),
        pause,
        settings: parts.settings,
        membership,
        own: None,
        is_table_outdated: true,
        store_is_behind: false,
        is_stopping: false,
    };
    controller.settings_changed();
    xtra::spawn_tokio(controller, Mailbox::bounded(MAILBOX))
}

/// Time passes.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A membership datagram has arrived.
#[derive(Clone, Debug)]
pub struct Received {
    /// Who sent it.
    pub from: SocketAddrV4,
    /// What it holds, still sealed.
    pub bytes: Vec<u8>,
}

/// The store has answered.
#[derive(Clone, Debug)]
pub struct StoreAnswered(pub Reading);

/// The store has listed the balancers that hold a lease.
#[derive(Clone, Debug)]
pub struct BalancersListed(pub Vec<BalancerRecord>);

/// A peer has handed over settings.
#[derive(Clone, Debug)]
pub struct DeltaFetched(pub SettingsDelta);

/// A peer has handed over its membership view.
#[derive(Clone, Debug)]
pub struct SnapshotFetched(pub Snapshot);

/// The process has been asked to stop.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Asks whether this balancer is one that watches the store.
#[derive(Clone, Copy, Debug)]
pub struct WatchesStore;

/// Asks for the settings above a version, for a peer.
#[derive(Clone, Debug)]
pub struct CollectDelta {
    /// What the peer has.
    pub above_version: u64,
    /// The path of the service that it serves, if it is an agent.
    pub service: Option<String>,
}

/// Asks for the membership view, for a peer.
#[derive(Clone, Copy, Debug)]
pub struct TakeSnapshot;

/// Asks for the state, for a dump.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

impl Handler<Tick> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        let actions = self.membership.on_tick(&mut self.environment);
        self.carry_out(actions);
        self.refresh_table();
        let is_confirmed = self.membership.is_joined() && self.shared.has_newest_settings();
        let until_ms = self.pause.on_tick(self.environment.now_ms, is_confirmed);
        self.shared.set_carry_until(until_ms);
        self.refresh_readiness();
    }
}

impl Handler<Received> for Controller {
    type Return = ();

    async fn handle(&mut self, received: Received, _: &mut Context<Self>) {
        let key = &self.shared.keys.gossip;
        let message = match decode_sealed::<MembershipMessage>(key, &received.bytes) {
            Ok(message) => message,
            Err(error) => return self.shared.counters.count(error.code()),
        };
        self.shared.clock.refresh(&mut self.environment);
        let actions = self
            .membership
            .on_datagram(received.from, &message, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<StoreAnswered> for Controller {
    type Return = ();

    async fn handle(&mut self, answer: StoreAnswered, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        self.membership.on_store_answer(&self.environment);
        let reading = answer.0;
        let applied = reading.apply_to(&mut self.settings);
        self.store_is_behind = self.settings.store_behind().is_some();
        for (path, outcome) in applied {
            log_applied(&path, &outcome);
        }
        self.settings_changed();
    }
}

impl Handler<BalancersListed> for Controller {
    type Return = ();

    async fn handle(&mut self, listed: BalancersListed, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        let actions = self
            .membership
            .on_store_list(&listed.0, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<DeltaFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: DeltaFetched, _: &mut Context<Self>) {
        self.apply_delta(fetched.0);
    }
}

impl Handler<SnapshotFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: SnapshotFetched, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.environment);
        let actions = self
            .membership
            .merge_snapshot(&fetched.0, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<Leave> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.is_stopping = true;
        self.refresh_readiness();
        let actions = self
            .membership
            .set_phase(AgentPhase::Draining, &mut self.environment);
        self.carry_out(actions);
    }
}

impl Handler<WatchesStore> for Controller {
    type Return = bool;

    async fn handle(&mut self, _: WatchesStore, _: &mut Context<Self>) -> bool {
        self.settings.version() == 0 || self.membership.is_store_watcher(self.shared.clock.now_ms())
    }
}

impl Handler<CollectDelta> for Controller {
    type Return = Option<SettingsDelta>;

    async fn handle(&mut self, wanted: CollectDelta, _: &mut Context<Self>) -> Self::Return {
        let service = match &wanted.service {
            Some(path) => Some(self.settings.view().service_at(path)?.record.id),
            None => None,
        };
        Some(SettingsDelta::collect(
            &self.settings,
            wanted.above_version,
            service,
        ))
    }
}

impl Handler<TakeSnapshot> for Controller {
    type Return = Snapshot;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self>) -> Snapshot {
        self.membership.snapshot(self.shared.clock.now_ms())
    }
}

impl Handler<Dump> for Controller {
    type Return = ControlDump;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self>) -> ControlDump {
        let now_ms = self.shared.clock.now_ms();
        let agents = self
            .settings
            .view()
            .services
            .keys()
            .flat_map(|service| self.membership.agents_of(*service, now_ms))
            .map(|agent| AgentDump {
                address: agent.address,
                service: agent.service,
                domain: agent.domain,
                phase: agent.phase,
            })
            .collect();
        ControlDump {
            settings_version: self.settings.version(),
            store_is_behind: self.store_is_behind,
            rejections: self.settings.rejections().clone(),
            unserved: self.settings.unserved(),
            domains: self.settings.view().domains.clone(),
            watches_store: self.membership.is_store_watcher(now_ms),
            carrying: self.carrying(),
            members_known: self.membership.known(),
            members_watched: self.membership.watched(),
            membership: self.membership.counters(),
            agents,
            balancers: self
                .membership
                .balancers(now_ms)
                .map(|balancer| balancer.address)
                .collect(),
        }
    }
}

/// The control state of a balancer in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct ControlDump {
    settings_version: u64,
    store_is_behind: bool,
    rejections: std::collections::BTreeMap<String, basilstep_core::settings::Rejection>,
    unserved: std::collections::BTreeMap<String, basilstep_core::settings::Rejection>,
    domains: std::collections::BTreeMap<String, basilstep_core::settings::DomainRecord>,
    watches_store: bool,
    carrying: Carrying,
    members_known: usize,
    members_watched: usize,
    membership: basilstep_core::membership::MembershipCounters,
    agents: Vec<AgentDump>,
    balancers: Vec<BalancerAddress>,
}

/// Whether a balancer carries packets, in a dump.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Carrying {
    /// It has no view of the agents yet.
    Joining,
    /// It was paused and waits until its view is confirmed.
    Recovering,
    /// It carries packets.
    Normal,
}

#[derive(Clone, Debug, Serialize)]
struct AgentDump {
    address: AgentAddress,
    service: ServiceId,
    domain: DomainId,
    phase: AgentPhase,
}

impl Controller {
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::AgentsChanged { .. } | Action::BalancersChanged => {
                    self.is_table_outdated = true;
                }
                Action::FetchSnapshot { from } => self.fetch_snapshot(from),
                Action::FetchSettings { from, version } => {
                    self.shared.note_settings_version(version);
                    self.pull_settings(from);
                }
                Action::FetchSettingsOverTcp { from, .. } => self.fetch_settings(from),
                Action::ServeSettings {
                    to,
                    above_version,
                    service,
                } => {
                    let delta = SettingsDelta::collect(&self.settings, above_version, service);
                    self.send(to, &delta.into_message());
                }
                Action::ApplySettings { delta } => self.apply_delta(delta),
            }
        }
    }

    fn send(&self, to: SocketAddrV4, message: &MembershipMessage) {
        let mut buffer = [0; DATAGRAM_BYTES];
        let Ok(length) = encode_sealed(&self.shared.keys.gossip, message, &mut buffer) else {
            log::error!("a membership message is too long");
            return;
        };
        // Membership repeats what matters.
        let _ = self.carrier.try_send_to(&buffer[..length], to.into());
    }

    fn pull_settings(&self, from: SocketAddrV4) {
        self.send(from, &self.membership.pull_settings());
    }

    fn fetch_settings(&self, from: SocketAddrV4) {
        let Some(own) = self.own.clone() else { return };
        let client = self.client.clone();
        let path = format!("/settings?above={}", self.settings.version());
        tokio::spawn(async move {
            let Ok(body) = client.get(from, &path).await else {
                return;
            };
            if let Ok(delta) = serde_json::from_slice(&body) {
                // The actor is gone only when the process ends.
                let _ = own.send(DeltaFetched(delta)).await;
            }
        });
    }

    fn fetch_snapshot(&self, from: BalancerAddress) {
        let Some(own) = self.own.clone() else { return };
        let client = self.client.clone();
        tokio::spawn(async move {
            let Ok(body) = client.get(from.0, "/snapshot").await else {
                return;
            };
            if let Ok(snapshot) = postcard::from_bytes(&body) {
                // The actor is gone only when the process ends.
                let _ = own.send(SnapshotFetched(snapshot)).await;
            }
        });
    }

    fn apply_delta(&mut self, delta: SettingsDelta) {
        if !delta.applies_to(self.settings.version()) {
            return;
        }
        for (path, outcome) in delta.apply_to(&mut self.settings) {
            log_applied(&path, &outcome);
        }
        self.settings_changed();
    }

    fn settings_changed(&mut self) {
        self.membership
            .set_settings_version(self.settings.version());
        self.listeners
            .follow(&self.shared, &self.carrier, self.settings.view());
        self.is_table_outdated = true;
        self.refresh_table();
        self.refresh_readiness();
    }

    fn refresh_table(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let view = self.settings.view();
        self.domains.update(view.out, now_ms);
        let phases = self.domains.phases(now_ms);
        if !self.is_table_outdated && phases == self.phases {
            return;
        }
        self.is_table_outdated = false;
        self.phases = phases;
        let records: Vec<_> = view
            .services
            .keys()
            .flat_map(|service| self.membership.agents_of(*service, now_ms))
            .collect();
        let dead: Vec<DeadAgent> = self
            .membership
            .agents(now_ms)
            .filter(|(_, is_live)| !is_live)
            .map(|(agent, _)| DeadAgent {
                address: agent.address,
                incarnation: agent.incarnation,
            })
            .collect();
        let table = SteeringTable::build_at(view, phases, &records, &dead);
        self.shared.put_in_force(table, self.settings.version());
    }

    fn carrying(&self) -> Carrying {
        if self.pause.is_recovering() {
            Carrying::Recovering
        } else if self.membership.is_joined() {
            Carrying::Normal
        } else {
            Carrying::Joining
        }
    }

    /// The fabric may send packets once settings and a view are there, and until the process or
    /// its failure domain leaves.
    fn refresh_readiness(&self) {
        let view = self.settings.view();
        let own_domain = view.domains.get(&self.shared.settings.common.domain);
        let is_out = own_domain.is_some_and(|domain| view.out.contains(domain.id));
        let is_ready = self.settings.version() > 0
            && view.flow_keys.is_some()
            && self.membership.is_joined()
            && !self.pause.is_recovering()
            && !is_out
            && !self.is_stopping;
        self.shared.readiness.set(is_ready);
    }
}

fn log_applied(path: &str, outcome: &Applied) {
    match outcome {
        Applied::Rejected(rejection) => log::error!(
            code = rejection.code.number(), path = path, version = rejection.version;
            "a settings record is refused and the last good one stays in force: {}",
            rejection.reason
        ),
        Applied::InForce => log::info!(path = path; "a settings record is in force"),
        Applied::NotNewer => {}
    }
}
