//! The balancer's control-plane actor: settings, membership, the steering table and readiness.

mod actions;
mod dump;
mod handlers;
mod messages;

pub use messages::{
    BalancersListed, CollectDump, CollectSettingsDelta, DatagramReceived, Drain, IsStoreWatcher,
    SettingsDeltaFetched, SnapshotFetched, StoreTreeRead, TakeSnapshot, Tick,
};

use crate::{listeners::Listeners, shared_state::SharedState};
use basilstep_core::{
    address::{BalancerAddress, Incarnation},
    context::Context as CoreContext,
    domains::{DomainPhases, DomainSettings, DomainTracker},
    membership::{BalancerRecord, Membership, MembershipSettings, SettingsDelta},
    settings::{ApplyOutcome, SettingsState},
    steering::{DeadAgent, PauseGuard, SteeringSettings, SteeringTable},
};
use basilstep_node::control::ControlClient;
use std::sync::Arc;
use tokio::net::UdpSocket;
use xtra::{Actor, Address, Mailbox};

const MAILBOX_CAPACITY: usize = 4_096;
const BIND_RETRY_INTERVAL_MS: u64 = 5_000;

/// An actor that owns the settings and the membership view of one balancer.
#[derive(Debug)]
pub struct Controller {
    shared: Arc<SharedState>,
    listeners: Arc<Listeners>,
    carrier: Arc<UdpSocket>,
    client: ControlClient,
    context: CoreContext,
    settings: SettingsState,
    membership: Membership,
    domain_tracker: DomainTracker,
    domain_phases: DomainPhases,
    pause_guard: PauseGuard,
    self_address: Option<Address<Self>>,
    is_table_outdated: bool,
    store_is_behind: bool,
    is_stopping: bool,
    next_bind_at_ms: u64,
}

/// The arguments of [`spawn`].
#[derive(Debug)]
pub struct ControllerParts {
    /// The shared state of the balancer.
    pub shared: Arc<SharedState>,
    /// The sockets on the service addresses.
    pub listeners: Arc<Listeners>,
    /// The socket for datagrams to agents and other balancers.
    pub carrier: Arc<UdpSocket>,
    /// The balancer's own record in membership.
    pub record: BalancerRecord,
    /// The initial settings.
    pub settings: SettingsState,
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
pub fn spawn(parts: ControllerParts) -> Address<Controller> {
    let mut context = parts.shared.clock.new_context();
    let pause_guard = PauseGuard::new(SteeringSettings::default(), context.now_ms);
    let settings = MembershipSettings::default();
    let mut membership = Membership::new(settings, parts.record, &mut context);
    let seeds = seed_records(&parts);
    if !seeds.is_empty() {
        membership.on_balancer_list(&seeds, &mut context);
    }
    let mut controller = Controller {
        client: ControlClient::new(parts.shared.keys.control),
        shared: parts.shared,
        listeners: parts.listeners,
        carrier: parts.carrier,
        context,
        domain_tracker: DomainTracker::new(
            DomainSettings::default(),
            parts.settings.view().domains_out,
        ),
        domain_phases: DomainPhases::default(),
        pause_guard,
        settings: parts.settings,
        membership,
        self_address: None,
        is_table_outdated: true,
        store_is_behind: false,
        is_stopping: false,
        next_bind_at_ms: 0,
    };
    controller.on_settings_changed();
    xtra::spawn_tokio(controller, Mailbox::bounded(MAILBOX_CAPACITY))
}

/// Returns placeholder records of the seeds, of which only the address is known; the seeds' own
/// announcements replace them.
fn seed_records(parts: &ControllerParts) -> Vec<BalancerRecord> {
    let seeds = &parts.shared.settings.common.seeds;
    seeds
        .iter()
        .map(|seed| BalancerRecord {
            address: BalancerAddress(*seed),
            domain: parts.record.domain,
            incarnation: Incarnation::default(),
        })
        .collect()
}

impl Controller {
    fn apply_delta(&mut self, delta: SettingsDelta) {
        if !delta.applies_to(self.settings.version()) {
            return;
        }
        for (path, outcome) in delta.apply_to(&mut self.settings) {
            log_apply_outcome(&path, &outcome);
        }
        self.on_settings_changed();
    }

    fn on_settings_changed(&mut self) {
        self.membership
            .set_settings_version(self.settings.version());
        self.listeners
            .reconcile(&self.shared, &self.carrier, self.settings.view());
        self.is_table_outdated = true;
        self.refresh_table();
        self.refresh_readiness();
    }

    fn refresh_table(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let view = self.settings.view();
        self.domain_tracker.update(view.domains_out, now_ms);
        let phases = self.domain_tracker.phases(now_ms);
        if !self.is_table_outdated && phases == self.domain_phases {
            return;
        }
        self.is_table_outdated = false;
        self.domain_phases = phases;
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
        let table = SteeringTable::build_with_domain_phases(view, phases, &records, &dead);
        self.shared.activate_table(table, self.settings.version());
    }

    /// Retries to bind the service addresses that could not be bound, once per
    /// [`BIND_RETRY_INTERVAL_MS`].
    fn retry_bind(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        if now_ms < self.next_bind_at_ms {
            return;
        }
        self.next_bind_at_ms = now_ms + BIND_RETRY_INTERVAL_MS;
        self.listeners
            .reconcile(&self.shared, &self.carrier, self.settings.view());
    }

    /// Updates the readiness. The network fabric may send packets once the balancer has settings
    /// and a membership view, until the process stops or its failure domain is taken out of
    /// service.
    fn refresh_readiness(&self) {
        let view = self.settings.view();
        let own_domain = view.domains.get(&self.shared.settings.common.domain);
        let is_out = own_domain.is_some_and(|domain| view.domains_out.contains(domain.id));
        let is_ready = self.settings.version() > 0
            && view.flow_keys.is_some()
            && self.membership.is_joined()
            && !self.pause_guard.is_recovering()
            && self.listeners.can_receive(view)
            && !is_out
            && !self.is_stopping;
        self.shared.readiness.set(is_ready);
    }
}

fn log_apply_outcome(path: &str, outcome: &ApplyOutcome) {
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
