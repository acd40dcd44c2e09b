use super::{
    explaining,
    settings_pull::{self, SettingsPull},
};
use crate::{
    datagram_socket::DatagramSocket,
    frame_channel::FrameChannel,
    log_limiter::LogLimiter,
    metrics::Metrics,
    pause_detector::PauseDetector,
    process::{self, ProcessError, StartContext},
    request_forwarder::{PendingRequest, RequestForwarder},
    store_tasks::{
        self, ConfirmedSettings, EraSignal, RegisteredBalancer, Registration, RouteHistoryDuty,
        RouteHistoryKeeper, SettingsWatcher, StoreEvent,
    },
};
use basilstep_core::{
    codes::ResultCode,
    context::Context,
    flows::{
        BalancerFlows, FleetSettings, FlowSettings, Frame, Recipients,
        balancer::{
            BalancerIdentity, PastRoutes, Standing, StandingChange, TransferBudget, WatchTimes,
        },
    },
};
use basilstep_node::{
    http::{ServerRequest, ServerResponse},
    shutdown,
};
use basilstep_platform::{
    calls::{self, Call},
    settings::MachineSettings,
};
use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{
    signal::unix::Signal,
    sync::{mpsc, watch},
    task::yield_now,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

/// The interval of timer checks.
const TICK: Duration = Duration::from_millis(50);

/// The time between two events, with a tick each 50 ms, from which on the process may have been
/// stopped in between.
const MIN_STALL_MS: u64 = 300;

/// The interval of checks whether the agents differ from those recorded in the store; a large fleet
/// has thousands.
const RECORD_INTERVAL_MS: u64 = 1_000;

/// The capacity of the event channels of the packet task.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// The HTTP path on which a balancer serves its settings to other balancers.
pub const SETTINGS_PATH: &str = "/settings";

/// An event from another task to the packet task.
#[derive(Debug)]
pub enum Event {
    /// An HTTP request.
    HttpRequest(PendingRequest),
    /// Settings pulled from another balancer; `None` if the pull failed.
    SettingsPulled(Option<FleetSettings>),
}

/// The state and the sockets of a balancer.
#[derive(Debug)]
pub struct Balancer {
    pub(super) machine: MachineSettings,
    settings: FlowSettings,
    pub(super) flows: BalancerFlows,
    pub(super) ctx: Context,
    pub(super) packet_socket: DatagramSocket,
    pub(super) frames: FrameChannel,
    pub(super) log_limiter: LogLimiter<ResultCode>,
    standing_log_limiter: LogLimiter<Standing>,
    /// Limits the log lines about second offers.
    pub(super) hedge_log_limiter: LogLimiter<ResultCode>,
    pub(super) metrics: Metrics,
    pub(super) is_pulling_settings: bool,
    /// Frames that wait may be older than the last pause or stall of the process.
    pub(super) has_stale_frames: bool,
    /// Balancers were discovered of which the agents have not been told yet.
    pub(super) has_new_balancers: bool,
    /// Whether this balancer watches the store for changes of the settings.
    watches_settings: watch::Sender<bool>,
    settings_transfers: TransferBudget,
    pub(super) era_signal: EraSignal,
    /// What has to be done for the record of the routes in the store.
    route_history: watch::Sender<RouteHistoryDuty>,
    /// How many agents this balancer knows, for its entry in the store.
    known_agents: watch::Sender<u16>,
    pub(super) event_sender: mpsc::Sender<Event>,
    pause_detector: PauseDetector,
    next_heartbeat_ms: u64,
    /// When it is checked next whether the agents differ from those recorded in the store.
    next_record_ms: u64,
    pub(super) stop_at_ms: Option<u64>,
}

/// Runs a balancer until a signal stops it.
///
/// # Errors
///
/// Returns [`ProcessError`] when an address cannot be bound.
pub async fn serve(start: StartContext, mut hangups: Signal) -> Result<(), ProcessError> {
    let machine = start.machine.clone();
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (store_sender, mut store_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut balancer = Balancer::bind(start, event_sender.clone()).await?;
    let forwarder = RequestForwarder::new(event_sender, Event::HttpRequest);
    forwarder.spawn_servers(&machine).await?;
    let internal = SocketAddrV4::new(machine.ip, machine.internal_port);
    forwarder
        .spawn_server("the internal port", Some(internal))
        .await?;
    if let Some(store) = machine.store_address {
        tokio::spawn(store_tasks::watch_operator_settings(SettingsWatcher {
            address: store,
            domain_names: machine.domain_names.clone(),
            times: WatchTimes::for_apply_limit(machine.apply_limit_ms),
            is_needed: balancer.watches_settings.subscribe(),
            event_sender: store_sender.clone(),
            era_signal: balancer.era_signal.clone(),
        }));
        tokio::spawn(store_tasks::maintain_route_history(RouteHistoryKeeper {
            address: store,
            duty: balancer.route_history.subscribe(),
            event_sender: store_sender.clone(),
            era_signal: balancer.era_signal.clone(),
        }));
        tokio::spawn(store_tasks::maintain_registration(
            store,
            RegisteredBalancer {
                ip: machine.ip,
                agents: balancer.known_agents.subscribe(),
            },
            store_sender.clone(),
            balancer.era_signal.clone(),
        ));
    }
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let stopped = shutdown::wait_for_signal();
    tokio::pin!(stopped);
    let mut is_stopping = false;
    balancer.announce_to_seeds();
    loop {
        tokio::select! {
            () = balancer.packet_socket.readable() => {
                balancer.read_packets();
                balancer.send_due_hedges();
                balancer.send_probes();
            }
            () = balancer.frames.socket().readable() => {
                balancer.read_frames();
            }
            Some(event) = events.recv() => balancer.on_event(event),
            Some(event) = store_events.recv() => balancer.on_store_event(event),
            _ = hangups.recv() => balancer.reload_seeds(),
            _ = ticks.tick() => balancer.on_tick(),
            _ = &mut stopped, if !is_stopping => {
                is_stopping = true;
                balancer.begin_stop();
            }
        }
        if balancer.is_stop_due() {
            break;
        }
    }
    // The sockets report what has arrived only after the runtime has polled them.
    yield_now().await;
    balancer.finish_stop();
    Ok(())
}

impl Balancer {
    async fn bind(
        start: StartContext,
        event_sender: mpsc::Sender<Event>,
    ) -> Result<Self, ProcessError> {
        let machine = start.machine;
        let ctx = start.clock.new_context();
        let own = BalancerIdentity {
            ip: machine.ip,
            domain: machine.domain,
            incarnation: start.incarnation,
            watch_times: WatchTimes::for_apply_limit(machine.apply_limit_ms),
            flow_max_age_ms: machine.flow_max_age_ms,
        };
        let settings = start.settings;
        let internal = SocketAddrV4::new(machine.ip, machine.internal_port);
        Ok(Self {
            flows: BalancerFlows::new(settings, own, &ctx),
            settings,
            ctx,
            packet_socket: DatagramSocket::bind("the address for packets", machine.packet_address)
                .await?,
            frames: FrameChannel::bind(internal, settings.wire.highest_version).await?,
            log_limiter: LogLimiter::default(),
            standing_log_limiter: LogLimiter::default(),
            hedge_log_limiter: LogLimiter::default(),
            metrics: Metrics::new(),
            is_pulling_settings: false,
            has_stale_frames: false,
            has_new_balancers: false,
            watches_settings: watch::channel(true).0,
            settings_transfers: TransferBudget::default(),
            era_signal: EraSignal::new(),
            route_history: watch::channel(RouteHistoryDuty::default()).0,
            known_agents: watch::channel(0).0,
            event_sender,
            pause_detector: PauseDetector::start(start.clock),
            next_heartbeat_ms: 0,
            next_record_ms: 0,
            stop_at_ms: None,
            machine,
        })
    }

    /// Updates the time and handles a pause of the machine, if there was one.
    pub(super) fn refresh_time(&mut self) {
        let before_ms = self.ctx.now_ms;
        if let Some(pause_ms) = self.pause_detector.refresh(&mut self.ctx) {
            self.flows.on_pause(pause_ms, &self.ctx);
            self.has_stale_frames = true;
        }
        let stalled_ms = self.ctx.now_ms.saturating_sub(before_ms);
        self.flows.on_stall(stalled_ms, &self.ctx);
        self.has_stale_frames |= stalled_ms >= MIN_STALL_MS;
    }

    /// Sends a frame without a packet.
    pub(super) fn send_frame(&mut self, peer: Ipv4Addr, frame: &Frame) {
        self.frames.send(peer, frame, &[]);
    }

    /// Announces this balancer to the seeds and requests their lists of balancers.
    fn announce_to_seeds(&mut self) {
        let heartbeat = Frame::Heartbeat(self.flows.heartbeat(&self.ctx));
        for seed in self.machine.seeds.clone() {
            if seed != self.machine.ip {
                self.send_frame(seed, &heartbeat);
                self.send_frame(seed, &Frame::ListBalancers);
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        self.refresh_time();
        match event {
            Event::HttpRequest(pending) => {
                let answer = self.answer_request(&pending);
                if pending.answer.send(answer).is_err() {
                    log::debug!("an HTTP client disconnected before its answer");
                }
            }
            Event::SettingsPulled(settings) => {
                self.is_pulling_settings = false;
                let is_first = !self.flows.fleet().is_known();
                if let Some(settings) = settings
                    && self.apply_settings(settings, "peer")
                    && is_first
                {
                    // Makes this balancer known to those that have not heard of it.
                    self.send_heartbeats(Recipients::All);
                }
            }
        }
    }

    fn on_store_event(&mut self, event: StoreEvent) {
        self.refresh_time();
        match event {
            StoreEvent::Settings(ConfirmedSettings {
                settings,
                confirmed,
            }) => {
                self.record_confirmation(confirmed);
                if self.apply_settings(settings, "store") {
                    self.send_heartbeats(Recipients::All);
                }
            }
            StoreEvent::PassedSettings(settings) => {
                self.apply_settings(settings, "store");
            }
            StoreEvent::Unchanged(confirmed) => self.record_confirmation(confirmed),
            StoreEvent::PastRoutes(past) => {
                self.flows.on_past_routes(&past, &self.ctx);
                let record = match &past {
                    PastRoutes::Recorded(record) => Some(record),
                    PastRoutes::NeverChanged => None,
                };
                log::info!(
                    version = record.map(|record| record.version),
                    former = record.map(|record| record.former.len()),
                    agents = record.and_then(|record| record.agents.as_ref()).map(BTreeSet::len);
                    "learned the route history"
                );
            }
            StoreEvent::Balancers(registered) => self.on_registered(&registered),
        }
    }

    fn record_confirmation(&mut self, confirmed: Instant) {
        let age_ms = confirmed.elapsed().as_millis() as u64;
        let confirmed_ms = self.ctx.now_ms.saturating_sub(age_ms);
        self.flows.on_settings_confirmed(confirmed_ms);
    }

    /// Starts or ends watching the store for changes of the settings.
    fn update_settings_watch(&mut self) {
        let is_needed = self.flows.watches_settings(&self.ctx);
        let is_changed = self.watches_settings.send_if_modified(|watches| {
            let is_changed = *watches != is_needed;
            *watches = is_needed;
            is_changed
        });
        if is_changed {
            log::info!(
                watches = is_needed,
                settings_age_ms = self.flows.settings_age_ms(&self.ctx),
                balancers = self.flows.balancers().len();
                "watching the store for settings changed"
            );
        }
    }

    /// Has the routes recorded for balancers that start later, or what others record read, if the
    /// version has changed.
    fn update_route_history(&mut self) {
        self.next_record_ms = self.ctx.now_ms + RECORD_INTERVAL_MS;
        let version = self.flows.fleet().table.version;
        let own = self.flows.route_history_record(&self.ctx);
        self.route_history.send_if_modified(|duty| {
            let is_new =
                version > duty.version || own.as_ref().is_some_and(|own| duty.differs(own));
            if is_new {
                *duty = RouteHistoryDuty { version, own };
            }
            is_new
        });
    }

    fn on_registered(&mut self, registered: &[Registration]) {
        let heartbeat = Frame::Heartbeat(self.flows.heartbeat(&self.ctx));
        let known: Vec<Ipv4Addr> = self.flows.balancers().addresses().collect();
        for balancer in registered {
            self.flows.on_registered_agents(balancer.agents);
            if balancer.ip != self.machine.ip && !known.contains(&balancer.ip) {
                self.send_frame(balancer.ip, &heartbeat);
            }
        }
    }

    /// Applies settings; returns whether anything changed.
    fn apply_settings(&mut self, settings: FleetSettings, source: &str) -> bool {
        if !self.flows.on_fleet_settings(settings, &self.ctx) {
            return false;
        }
        let fleet = self.flows.fleet();
        log::info!(
            source,
            version = fleet.table.version,
            routes = fleet.table.routes.len(),
            domains_out:? = fleet.domains_out,
            held_domains:? = self.flows.held_domains(),
            revision:% = fleet.revision;
            "settings are in force"
        );
        self.update_route_history();
        true
    }

    fn on_tick(&mut self) {
        self.refresh_time();
        self.frames.on_tick(self.ctx.now_ms);
        let outcome = self.flows.on_tick(&self.ctx);
        for agent in &outcome.forgotten {
            log::info!(agent:% = agent; "removed an agent that stopped reporting");
        }
        if !outcome.released_domains.is_empty() {
            log::warn!(
                domains:? = outcome.released_domains;
                "domains are back: the restored store has no record of them"
            );
        }
        for change in &outcome.standings {
            self.log_standing(change);
        }
        self.apply_tick_outcome(&outcome);
        self.send_due_hedges();
        self.known_agents.send_replace(self.flows.known_agents());
        self.send_probes();
        self.send_new_balancers_to_agents();
        self.update_settings_watch();
        if self.ctx.now_ms >= self.next_record_ms {
            self.update_route_history();
        }
        if self.flows.balancers().len() == 1 {
            self.announce_to_seeds();
        }
        if self.ctx.now_ms >= self.next_heartbeat_ms {
            self.send_heartbeats(Recipients::Scheduled);
        }
    }

    fn log_standing(&mut self, change: &StandingChange) {
        let limiter = &mut self.standing_log_limiter;
        let Some(left_out) = limiter.admit(change.after, self.ctx.now_ms) else {
            return;
        };
        log::info!(
            agent:% = change.agent,
            before:? = change.before,
            after:? = change.after,
            service_time_ms = change.service_time_ms,
            failure_permille = change.failure_permille,
            left_out;
            "the standing of a target changed"
        );
    }

    /// Requests reports from agents that report rarely and have packets in flight to them.
    fn send_probes(&mut self) {
        for agent in self.flows.take_probes(&self.ctx) {
            self.send_frame(agent, &Frame::Probe);
        }
    }

    pub(super) fn send_heartbeats(&mut self, recipients: Recipients) {
        self.next_heartbeat_ms = self.ctx.now_ms + self.settings.liveness.report_interval_ms;
        let heartbeat = Frame::Heartbeat(self.flows.heartbeat(&self.ctx));
        for peer in self.flows.due_heartbeats(recipients, &self.ctx) {
            self.send_frame(peer, &heartbeat);
        }
    }

    fn reload_seeds(&mut self) {
        if process::reload_seeds(&mut self.machine) {
            self.announce_to_seeds();
        }
    }

    fn answer_request(&mut self, pending: &PendingRequest) -> ServerResponse {
        let request = &pending.request;
        if request.path == SETTINGS_PATH {
            return self.answer_settings_pull(request);
        }
        if request.path == "/metrics" {
            let age_ms = self.flows.settings_age_ms(&self.ctx);
            self.metrics.set_settings_age(age_ms);
            self.metrics
                .set_older_peers(self.frames.versions().older_peers());
            let ranked = self.flows.agents().ranked_targets();
            self.metrics
                .set_standings(ranked.map(|(_, target)| target.standing));
            self.metrics.set_hedges(&self.flows.hedge_counts());
            return ServerResponse::text(Bytes::from(self.metrics.render()));
        }
        if request.path == "/state" {
            return ServerResponse::json(StatusCode::OK, Bytes::from(self.state_json()));
        }
        if request.path == explaining::EXPLAIN_PATH {
            return explaining::answer(&self.flows, &request.query, &self.ctx);
        }
        match calls::decode(&request.method, &request.path) {
            Some(Call::Readiness) if self.flows.is_ready(&self.ctx) => {
                ServerResponse::empty(StatusCode::OK)
            }
            Some(Call::Readiness) => ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
            Some(Call::Heartbeat { .. } | Call::Leave { .. }) | None => {
                ServerResponse::empty(StatusCode::NOT_FOUND)
            }
        }
    }

    fn answer_settings_pull(&mut self, request: &ServerRequest) -> ServerResponse {
        let asked = match settings_pull::asked_version(&request.query) {
            Ok(asked) => asked,
            Err(error) => {
                log::warn!(peer:% = request.peer, code:% = ResultCode::BadRequest, reason:% = error; "refused a pull of settings");
                return ServerResponse::empty(StatusCode::BAD_REQUEST);
            }
        };
        let versions = self.frames.versions();
        let unstated = || versions.version_of(request.peer);
        let version = asked
            .or_else(unstated)
            .unwrap_or_else(|| versions.highest())
            .min(versions.highest());
        let answer = settings_pull::encode(self.flows.fleet(), version, asked.is_some());
        if self
            .settings_transfers
            .try_send(answer.body.len(), self.ctx.now_ms)
        {
            answer
        } else {
            ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }

    fn state_json(&self) -> String {
        let agents: Vec<_> = self.flows.agents().iter().collect();
        let ranked_targets: Vec<_> = self.flows.agents().ranked_targets().collect();
        json!({
            "node": self.machine.node,
            "now_ms": self.ctx.now_ms,
            "version": self.flows.fleet().table.version,
            "domains_out": self.flows.fleet().domains_out,
            "held_domains": self.flows.held_domains(),
            "revision": self.flows.fleet().revision,
            "settings_age_ms": self.flows.settings_age_ms(&self.ctx),
            "watches_settings": *self.watches_settings.borrow(),
            "hints": self.flows.hint_count(),
            "hedges": self.flows.hedge_counts(),
            "watched_syns": self.flows.watched_syns(),
            "balancers": self.flows.balancers().entries(self.ctx.now_ms),
            "wire_version": self.frames.versions().highest(),
            "peer_versions": self.frames.versions().known(),
            "agents": agents,
            "ranked_targets": ranked_targets,
        })
        .to_string()
    }
}

/// Spawns a task that pulls the settings of another balancer.
pub(super) fn spawn_settings_pull(pull: SettingsPull, event_sender: mpsc::Sender<Event>) {
    tokio::spawn(async move {
        let pulled = pull.fetch().await;
        if let Err(error) = &pulled {
            log::info!(peer:% = pull.peer, reason:% = error; "failed to pull settings from a balancer");
            sleep(settings_pull::RETRY_DELAY).await;
        }
        if event_sender
            .send(Event::SettingsPulled(pulled.ok()))
            .await
            .is_err()
        {
            log::debug!("the balancer stopped before the pulled settings arrived");
        }
    });
}
