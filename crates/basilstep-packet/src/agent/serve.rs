use crate::{
    datagram_socket::{ConnectedDatagramSocket, DatagramSocket},
    frame_channel::FrameChannel,
    log_limiter::LogLimiter,
    metrics::Metrics,
    pause_detector::PauseDetector,
    process::{self, ProcessError, StartContext},
    request_forwarder::{PendingRequest, RequestForwarder},
    store_tasks,
};
use basilstep_core::{
    codes::ResultCode,
    context::Context,
    flows::{
        AgentFlows, FlowSettings, Frame, LostFlow, Recipients, ServiceTag,
        agent::{AgentIdentity, ColdAllowance, Discovery, SettingsSource},
    },
};
use basilstep_node::shutdown;
use basilstep_platform::{header, settings::MachineSettings, store::StoreClient};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{
    signal::unix::Signal,
    sync::mpsc,
    task::yield_now,
    time::{MissedTickBehavior, interval},
};

/// The interval of timer checks.
const TICK: Duration = Duration::from_millis(50);

/// The interval of timer checks while no balancer is known.
const DISCOVERY_TICK: Duration = Duration::from_millis(20);

/// The interval of timer checks while SYNs are queued, whose waits are bounded by some tens of
/// milliseconds.
const QUEUE_TICK: Duration = Duration::from_millis(10);

/// The capacity of the event channel of the packet task.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// An event from another task to the packet task.
#[derive(Debug)]
pub enum Event {
    /// An HTTP request.
    HttpRequest(PendingRequest),
    /// The balancers that are registered in the store.
    BalancersListed(Vec<Ipv4Addr>),
}

/// The state and the sockets of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(super) machine: MachineSettings,
    settings: FlowSettings,
    pub(super) service: String,
    pub(super) flows: AgentFlows,
    pub(super) settings_source: SettingsSource,
    pub(super) ctx: Context,
    pub(super) frames: FrameChannel,
    pub(super) outbound_socket: DatagramSocket,
    pub(super) target_socket: ConnectedDatagramSocket,
    /// A packet was sent to the target since it was last checked whether it is refused.
    pub(super) has_sent_to_target: bool,
    pub(super) log_limiter: LogLimiter<ResultCode>,
    /// Separate, because the lines of other packets use up the limit under load.
    pub(super) queue_log_limiter: LogLimiter<ResultCode>,
    pub(super) metrics: Metrics,
    event_sender: mpsc::Sender<Event>,
    pause_detector: PauseDetector,
    discovery: Discovery,
    next_report_ms: u64,
    pub(super) stop_began_ms: Option<u64>,
}

/// Runs an agent until a signal stops it.
///
/// # Errors
///
/// Returns [`ProcessError`] when the settings lack a required value or an address cannot be bound.
pub async fn serve(start: StartContext, mut hangups: Signal) -> Result<(), ProcessError> {
    let machine = start.machine.clone();
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut agent = Agent::bind(start, event_sender.clone()).await?;
    RequestForwarder::new(event_sender, Event::HttpRequest)
        .spawn_servers(&machine)
        .await?;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut discovery_ticks = interval(DISCOVERY_TICK);
    discovery_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut queue_ticks = interval(QUEUE_TICK);
    queue_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let stopped = shutdown::wait_for_signal();
    tokio::pin!(stopped);
    let mut is_stopping = false;
    agent.send_reports(Recipients::All);
    loop {
        tokio::select! {
            () = agent.frames.socket().readable() => agent.read_frames(),
            () = agent.outbound_socket.readable() => agent.read_target_packets(),
            Some(event) = events.recv() => agent.on_event(event),
            _ = hangups.recv() => {
                process::reload_seeds(&mut agent.machine);
            }
            _ = ticks.tick() => agent.on_tick(),
            _ = discovery_ticks.tick(), if agent.flows.balancers().is_empty() => {
                agent.refresh_time();
                agent.discover_balancers();
            }
            _ = queue_ticks.tick(), if agent.flows.queued() > 0 => agent.refresh_time(),
            _ = &mut stopped, if !is_stopping => {
                is_stopping = true;
                agent.begin_stop();
            }
        }
        agent.send_released_syns();
        agent.send_advertisements();
        if agent.is_stop_due() {
            // The sockets report what has arrived only after the runtime has polled them.
            yield_now().await;
            if agent.try_finish_stop() {
                break;
            }
        }
    }
    Ok(())
}

impl Agent {
    async fn bind(
        start: StartContext,
        event_sender: mpsc::Sender<Event>,
    ) -> Result<Self, ProcessError> {
        let machine = start.machine;
        let missing = |what| ProcessError::Missing { what };
        let outbound = machine
            .outbound_address
            .ok_or(missing("outbound address"))?;
        let target = machine.target_address.ok_or(missing("target address"))?;
        let service = machine.service.clone().ok_or(missing("service"))?;
        let own = AgentIdentity {
            service: ServiceTag::of(&service),
            domain: machine.domain,
            incarnation: start.incarnation,
            heartbeat_ms: machine.heartbeat_interval_ms,
            drain_ms: machine.drain_ms,
            flow_max_age_ms: machine.flow_max_age_ms,
            allowance: ColdAllowance {
                overage: machine.warmup_overage,
                slack: machine.warmup_slack,
            },
        };
        let internal = SocketAddrV4::new(machine.ip, machine.internal_port);
        let settings = start.settings;
        let ctx = start.clock.new_context();
        Ok(Self {
            service,
            flows: AgentFlows::new(settings, own, &ctx),
            settings,
            settings_source: SettingsSource::default(),
            ctx,
            frames: FrameChannel::bind(internal, settings.wire.highest_version).await?,
            outbound_socket: DatagramSocket::bind("the outbound address", outbound).await?,
            target_socket: ConnectedDatagramSocket::connect(machine.ip, target).await?,
            has_sent_to_target: false,
            log_limiter: LogLimiter::default(),
            queue_log_limiter: LogLimiter::default(),
            metrics: Metrics::new(),
            event_sender,
            pause_detector: PauseDetector::start(start.clock),
            discovery: Discovery::default(),
            next_report_ms: 0,
            stop_began_ms: None,
            machine,
        })
    }

    /// Updates the time and handles a pause of the machine, if there was one.
    pub(super) fn refresh_time(&mut self) {
        let before_ms = self.ctx.now_ms;
        if self.pause_detector.refresh(&mut self.ctx).is_some() {
            self.flows.on_pause(&self.ctx);
        }
        self.flows
            .on_stall(self.ctx.now_ms.saturating_sub(before_ms));
    }

    /// Sends a frame followed by `packet`, which may be empty.
    pub(super) fn send_frame(&mut self, peer: Ipv4Addr, frame: &Frame, packet: &[u8]) {
        self.frames.send(peer, frame, packet);
    }

    fn on_event(&mut self, event: Event) {
        self.refresh_time();
        match event {
            Event::HttpRequest(pending) => self.answer_request(pending),
            Event::BalancersListed(balancers) => {
                log::info!(balancers = balancers.len(); "received balancers from the store");
                self.discovery.on_listed(balancers, self.ctx.now_ms);
                self.discover_balancers();
            }
        }
    }

    fn on_tick(&mut self) {
        self.refresh_time();
        self.flows.on_tick(&self.ctx);
        self.frames.on_tick(self.ctx.now_ms);
        self.check_target_refusal();
        self.report_health_change();
        if self.ctx.now_ms >= self.next_report_ms {
            self.send_reports(Recipients::Scheduled);
        }
        self.discover_balancers();
    }

    /// Handles that the last packet to the target was refused; the next one may be seconds away.
    fn check_target_refusal(&mut self) {
        if std::mem::take(&mut self.has_sent_to_target) && self.target_socket.take_refusal() {
            self.on_target_refused();
        }
    }

    /// Reports a change of the target's health before the next report is due.
    fn report_health_change(&mut self) {
        let Some(change) = self.flows.take_health_change(&self.ctx) else {
            return;
        };
        log::info!(
            service_time_ms = change.after.service_time_ms,
            failure_permille = change.after.failure_permille,
            service_time_ms_before = change.before.service_time_ms,
            failure_permille_before = change.before.failure_permille,
            at_work = self.flows.table().at_work();
            "the health of the target changed"
        );
        self.send_reports(Recipients::All);
    }

    /// Sends reports to balancers.
    pub(super) fn send_reports(&mut self, recipients: Recipients) {
        self.refresh_time();
        // Sent before the reports, because the reports count these flows.
        self.send_advertisements();
        self.next_report_ms = self.ctx.now_ms + self.settings.liveness.report_interval_ms;
        let source = self
            .settings_source
            .next(self.flows.balancers(), self.machine.domain);
        for (balancer, report) in self.flows.due_reports(recipients, source, &self.ctx) {
            self.send_frame(balancer, &Frame::Report(report), &[]);
        }
    }

    /// Sends a report to a balancer and requests its settings and its list of balancers.
    pub(super) fn contact_balancer(&mut self, balancer: Ipv4Addr) {
        let mut report = self.flows.report(balancer, &self.ctx);
        report.wants_reply = true;
        self.send_frame(balancer, &Frame::Report(report), &[]);
        self.send_frame(balancer, &Frame::ListBalancers, &[]);
    }

    /// Contacts balancers that are not known yet, and lists those in the store if no known one
    /// answers.
    fn discover_balancers(&mut self) {
        let now_ms = self.ctx.now_ms;
        let answered_ms = self.settings_source.answered_ms();
        let contacts = self.discovery.take_contacts(
            self.flows.balancers(),
            answered_ms,
            &self.machine.seeds,
            now_ms,
        );
        for balancer in contacts {
            self.contact_balancer(balancer);
        }
        if self
            .discovery
            .try_list(self.flows.balancers(), answered_ms, now_ms)
        {
            self.list_store_balancers();
        }
    }

    fn list_store_balancers(&self) {
        let Some(store) = self.machine.store_address else {
            return;
        };
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            let listed = store_tasks::list_balancers(&mut StoreClient::new(store)).await;
            match listed {
                Ok(registered) => {
                    let balancers = registered.iter().map(|balancer| balancer.ip).collect();
                    if event_sender
                        .send(Event::BalancersListed(balancers))
                        .await
                        .is_err()
                    {
                        log::debug!("the agent stopped before the list of balancers arrived");
                    }
                }
                Err(error) => log::warn!(reason:% = error; "failed to list balancers"),
            }
        });
    }

    /// Advertises to balancers the flows of this agent that were not advertised to them yet.
    fn send_advertisements(&mut self) {
        for (balancer, held) in self.flows.take_advertisements() {
            self.send_frame(balancer, &Frame::Held(held), &[]);
        }
    }

    /// Resets flows whose target has ended, so that their callers retry pending requests.
    pub(super) fn reset_lost_flows(&mut self, lost: &[LostFlow]) {
        if lost.is_empty() {
            return;
        }
        log::info!(
            code:% = ResultCode::FlowLost,
            flows = lost.len(),
            first:% = lost[0].flow.caller;
            "reset flows because the incarnation of their target has ended"
        );
        for flow in lost {
            self.metrics.count(ResultCode::FlowLost);
            let reset = header::encode_reset(&flow.flow, flow.sequence);
            self.send_to_caller(&reset, *flow.flow.caller.ip());
        }
    }

    pub(super) fn send_to_caller(&self, packet: &[u8], caller: Ipv4Addr) {
        let address = SocketAddrV4::new(caller, self.machine.packet_address.port());
        self.frames.socket().send(packet, address);
    }
}
