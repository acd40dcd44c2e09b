//! The agent's control-plane actor: announces the agent to balancers and keeps its settings
//! current.

use crate::shared_state::{ActiveServiceSettings, SharedState};
use basilstep_core::{
    address::{AgentAddress, BalancerAddress},
    context::Context as CoreContext,
    membership::{
        AgentPhase, AgentRecord, Announcer, BalancerRecord, MemberRecord, MembershipAction,
        MembershipMessage, MembershipSettings, SettingsDelta,
    },
    settings::{ApplyOutcome, SettingsState},
    wire::{decode_authenticated, encode_authenticated},
};
use basilstep_node::control::ControlClient;
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};
use tokio::net::UdpSocket;
use xtra::{Actor, Address, Context, Handler, Mailbox};

const MAX_DATAGRAM_BYTES: usize = 1_500;
const MAILBOX_CAPACITY: usize = 1_024;

/// An actor that owns the membership announcement and the settings of one agent.
#[derive(Debug)]
pub struct Controller {
    shared: Arc<SharedState>,
    carrier: Arc<UdpSocket>,
    client: ControlClient,
    context: CoreContext,
    settings: SettingsState,
    announcer: Announcer,
    self_address: Option<Address<Self>>,
}

impl Actor for Controller {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.self_address = mailbox.address().try_upgrade();
        Ok(())
    }

    async fn stopped(self) {}
}

/// Spawns the controller actor.
pub fn spawn(
    shared: Arc<SharedState>,
    carrier: Arc<UdpSocket>,
    settings: SettingsState,
    balancers: &[BalancerRecord],
) -> Address<Controller> {
    let record = AgentRecord {
        address: shared.address(),
        service: shared.service_id(),
        domain: shared.domain_id(),
        incarnation: shared.incarnation,
        revision: 0,
        weight: shared.settings.target_weight,
        phase: AgentPhase::Draining,
    };
    let mut announcer = Announcer::new(MembershipSettings::default(), MemberRecord::from(record));
    announcer.add_balancers(balancers);
    announcer.set_settings_version(settings.version());
    let controller = Controller {
        client: ControlClient::new(shared.keys.control),
        context: shared.clock.new_context(),
        shared,
        carrier,
        settings,
        announcer,
        self_address: None,
    };
    xtra::spawn_tokio(controller, Mailbox::bounded(MAILBOX_CAPACITY))
}

/// Drives the controller's timers.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Delivers a membership datagram.
#[derive(Clone, Debug)]
pub struct DatagramReceived {
    /// The sender.
    pub from: SocketAddrV4,
    /// The authenticated message, not yet decoded.
    pub bytes: Vec<u8>,
}

/// Delivers a settings delta that was fetched from a balancer.
#[derive(Clone, Debug)]
pub struct SettingsDeltaFetched(pub SettingsDelta);

/// Reports that a packet carried a newer settings version than any seen before.
#[derive(Clone, Copy, Debug)]
pub struct NewerSettingsSeen;

/// Sets the phase that the agent announces.
#[derive(Clone, Copy, Debug)]
pub struct PhaseChanged(pub AgentPhase);

/// Requests the control state for a dump.
#[derive(Clone, Copy, Debug)]
pub struct CollectDump;

impl Handler<Tick> for Controller {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.shared.clock.refresh(&mut self.context);
        let actions = self.announcer.on_tick(&mut self.context);
        self.execute_actions(actions);
        for agent in self.shared.take_unresponsive_agents() {
            self.execute_actions(self.announcer.report_unresponsive(agent));
        }
        self.shared.set_peers(self.announcer.peers());
    }
}

impl Handler<DatagramReceived> for Controller {
    type Return = ();

    async fn handle(&mut self, received: DatagramReceived, _: &mut Context<Self>) {
        let key = &self.shared.keys.gossip;
        let message = match decode_authenticated::<MembershipMessage>(key, &received.bytes) {
            Ok(message) => message,
            Err(error) => return self.shared.counters.increment(error.code()),
        };
        self.shared.clock.refresh(&mut self.context);
        let now_ms = self.context.now_ms;
        // Only balancers send membership messages to agents.
        let balancer = BalancerAddress(received.from);
        self.shared.return_paths().note_heard(balancer, now_ms);
        match message {
            MembershipMessage::Settings(delta) => self.apply_delta(delta),
            MembershipMessage::SettingsOverTcp { .. } => self.fetch_settings(received.from),
            message => {
                let actions = self
                    .announcer
                    .on_datagram(received.from, &message, &self.context);
                self.execute_actions(actions);
            }
        }
    }
}

impl Handler<SettingsDeltaFetched> for Controller {
    type Return = ();

    async fn handle(&mut self, fetched: SettingsDeltaFetched, _: &mut Context<Self>) {
        self.apply_delta(fetched.0);
    }
}

impl Handler<NewerSettingsSeen> for Controller {
    type Return = ();

    async fn handle(&mut self, _: NewerSettingsSeen, _: &mut Context<Self>) {
        let watcher = self.announcer.watchers().next();
        if let Some(watcher) = watcher {
            self.send(watcher, &self.announcer.pull_settings());
        }
    }
}

impl Handler<PhaseChanged> for Controller {
    type Return = ();

    async fn handle(&mut self, changed: PhaseChanged, _: &mut Context<Self>) {
        // A health check that ends after the stop must not bring the agent back into use.
        if self.announcer.own_record().phase == AgentPhase::Down {
            return;
        }
        self.shared.clock.refresh(&mut self.context);
        let actions = self.announcer.set_phase(changed.0, &self.context);
        self.execute_actions(actions);
    }
}

impl Handler<CollectDump> for Controller {
    type Return = ControlDump;

    async fn handle(&mut self, _: CollectDump, _: &mut Context<Self>) -> ControlDump {
        ControlDump {
            settings_version: self.settings.version(),
            rejections: self.settings.rejections().clone(),
            phase: self.announcer.own_record().phase,
            watchers: self.announcer.watchers().collect(),
            peers: self
                .announcer
                .peers()
                .iter()
                .map(|peer| peer.address)
                .collect(),
        }
    }
}

/// The control-plane state of an agent as written to a dump.
#[derive(Clone, Debug, Serialize)]
pub struct ControlDump {
    settings_version: u64,
    rejections: BTreeMap<String, basilstep_core::settings::Rejection>,
    phase: AgentPhase,
    watchers: Vec<SocketAddrV4>,
    peers: Vec<AgentAddress>,
}

impl Controller {
    fn execute_actions(&self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => self.send(to, &message),
                MembershipAction::FetchSettings { from, .. } => {
                    self.send(from, &self.announcer.pull_settings());
                }
                // The other actions occur only on balancers.
                _ => {}
            }
        }
    }

    fn send(&self, to: SocketAddrV4, message: &MembershipMessage) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        if let Ok(length) = encode_authenticated(&self.shared.keys.gossip, message, &mut buffer) {
            // A lost datagram needs no handling: announcements repeat until acknowledged.
            let _ = self.carrier.try_send_to(&buffer[..length], to.into());
        }
    }

    fn fetch_settings(&self, from: SocketAddrV4) {
        let Some(self_address) = self.self_address.clone() else {
            return;
        };
        let client = self.client.clone();
        let path = settings_request_path(&self.shared.settings.service, self.settings.version());
        tokio::spawn(async move {
            let Ok(body) = client.get(from, &path).await else {
                return;
            };
            if let Ok(delta) = serde_json::from_slice(&body) {
                // Sending fails only while the process is exiting.
                let _ = self_address.send(SettingsDeltaFetched(delta)).await;
            }
        });
    }

    fn apply_delta(&mut self, delta: SettingsDelta) {
        if !delta.applies_to(self.settings.version()) {
            return;
        }
        apply_settings_delta(&mut self.settings, delta);
        let version = self.settings.version();
        self.announcer.set_settings_version(version);
        match ActiveServiceSettings::from_state(&self.settings, &self.shared.settings) {
            Some(active_settings) => self.shared.activate_settings(active_settings, version),
            None => log::error!(
                "the service or the failure domain of this agent is no longer configured"
            ),
        }
    }
}

/// Returns the path and query that request the settings of one service above a version from a
/// balancer.
pub fn settings_request_path(service: &str, above_version: u64) -> String {
    format!("/settings?above={above_version}&service={service}")
}

/// Applies a settings delta and logs the outcome for each record.
pub fn apply_settings_delta(settings: &mut SettingsState, delta: SettingsDelta) {
    for (path, outcome) in delta.apply_to(settings) {
        match outcome {
            ApplyOutcome::Rejected(rejection) => log::error!(
                code = rejection.code.number(), path = path, version = rejection.version;
                "settings record rejected, the last valid version stays in force: {}",
                rejection.reason
            ),
            ApplyOutcome::InForce => log::info!(path = path; "settings record in force"),
            ApplyOutcome::NotNewer => {}
        }
    }
}
