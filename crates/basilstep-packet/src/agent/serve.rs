use crate::{
    datagrams::{ConnectedDatagrams, Datagrams},
    decisions::DecisionLimit,
    metrics::Metrics,
    node_port::{Asked, NodePort},
    pause::PauseWatch,
    process::{self, ProcessError, Start},
    store_tasks,
};
use basilstep_core::{
    codes::ResultCode,
    context::Context,
    flows::{
        AgentFlows, FlowSettings, Frame, LostFlow, Round, ServiceTag,
        agent::{AgentIdentity, ColdAllowance, SettingsSource},
        encode_frame,
    },
};
use basilstep_node::{clock::unix_time_ms, stop};
use basilstep_platform::{header, settings::MachineSettings, store::StoreClient};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};
use tokio::{
    signal::unix::Signal,
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

/// How often what is due is done.
const TICK: Duration = Duration::from_millis(50);

/// How often the seeds are asked while no balancer is known: all machines may have lost power, and
/// agents are often up before balancers.
const GREETING_INTERVAL_MS: u64 = 50;

/// How long after a start the store is asked for balancers, if no seed answers: three greetings.
const LOST_AFTER_MS: u64 = 150;

/// How long known balancers may be silent before the store is asked for others: two sources, each
/// given up after three reports.
const SILENT_AFTER_MS: u64 = 1_500;

/// How long after the first question the store is asked again; doubles up to the limit below.
const LIST_INTERVAL_MS: u64 = 500;

/// The longest time between two questions while no balancer answers.
const LIST_INTERVAL_LIMIT_MS: u64 = 4_000;

/// How many events may wait for the packet task.
const INBOX: usize = 256;

/// What reaches the packet task from other tasks.
#[derive(Debug)]
pub enum Event {
    /// An HTTP request.
    Asked(Asked),
    /// The balancers that have an entry in the store.
    Listed(Vec<Ipv4Addr>),
}

/// The state and the sockets of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(super) machine: MachineSettings,
    settings: FlowSettings,
    pub(super) service: String,
    pub(super) flows: AgentFlows,
    pub(super) source: SettingsSource,
    pub(super) ctx: Context,
    pub(super) internal: Datagrams,
    pub(super) outbound: Datagrams,
    pub(super) target: ConnectedDatagrams,
    pub(super) limit: DecisionLimit,
    pub(super) metrics: Metrics,
    pub(super) frame: Vec<u8>,
    inbox: mpsc::Sender<Event>,
    pause: PauseWatch,
    next_report_ms: u64,
    next_list_ms: u64,
    list_interval_ms: u64,
}

/// Serves as an agent until it is told to stop.
///
/// # Errors
///
/// Returns [`ProcessError`] when an address cannot be bound or the settings lack one.
pub async fn serve(start: Start, mut hangups: Signal) -> Result<(), ProcessError> {
    let machine = start.machine.clone();
    let (inbox, mut events) = mpsc::channel(INBOX);
    let mut agent = Agent::bind(start, inbox.clone()).await?;
    NodePort::open(inbox, Event::Asked)
        .spawn_servers(&machine)
        .await?;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let stopped = stop::requested();
    tokio::pin!(stopped);
    agent.send_reports(Round::Everyone);
    loop {
        tokio::select! {
            () = agent.internal.readable() => agent.read_frames(),
            () = agent.outbound.readable() => agent.read_target(),
            Some(event) = events.recv() => agent.on_event(event),
            _ = hangups.recv() => {
                process::reload(&mut agent.machine);
            }
            _ = ticks.tick() => agent.on_tick(),
            _ = &mut stopped => break,
        }
        agent.tell_untold();
    }
    agent.flows.stop();
    agent.send_reports(Round::Everyone);
    Ok(())
}

impl Agent {
    async fn bind(start: Start, inbox: mpsc::Sender<Event>) -> Result<Self, ProcessError> {
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
            lifetime: start.lifetime,
            born_ms: unix_time_ms(),
            heartbeat_ms: machine.heartbeat_interval_ms,
            allowance: ColdAllowance {
                overage: machine.warmup_overage,
                slack: machine.warmup_slack,
            },
        };
        let internal = SocketAddrV4::new(machine.ip, machine.internal_port);
        let settings = FlowSettings::default();
        let ctx = start.clock.context();
        Ok(Self {
            service,
            flows: AgentFlows::new(settings, own, &ctx),
            settings,
            source: SettingsSource::default(),
            ctx,
            internal: Datagrams::bind("the internal port", internal).await?,
            outbound: Datagrams::bind("the outbound address", outbound).await?,
            target: ConnectedDatagrams::open(machine.ip, target).await?,
            limit: DecisionLimit::default(),
            metrics: Metrics::open(),
            frame: Vec::new(),
            inbox,
            pause: PauseWatch::start(start.clock),
            next_report_ms: 0,
            next_list_ms: 0,
            list_interval_ms: LIST_INTERVAL_MS,
            machine,
        })
    }

    /// Brings the time up to date, and finds out whether the machine stood still since.
    pub(super) fn refresh_time(&mut self) {
        if self.pause.refresh(&mut self.ctx).is_some() {
            self.flows.on_pause();
        }
    }

    /// Sends a frame with the packet that belongs to it, if any.
    pub(super) fn tell(&mut self, peer: Ipv4Addr, frame: &Frame, packet: &[u8]) {
        encode_frame(frame, packet, &mut self.frame);
        let address = SocketAddrV4::new(peer, self.machine.internal_port);
        self.internal.send(&self.frame, address);
    }

    fn on_event(&mut self, event: Event) {
        self.refresh_time();
        match event {
            Event::Asked(asked) => self.answer(asked),
            Event::Listed(balancers) => {
                log::info!(balancers = balancers.len(); "the store named balancers");
                for balancer in balancers {
                    self.greet(balancer);
                }
            }
        }
    }

    fn on_tick(&mut self) {
        self.refresh_time();
        self.flows.on_tick(&self.ctx);
        if self.ctx.now_ms >= self.next_report_ms {
            self.send_reports(Round::Regular);
        }
        self.look_for_balancers();
    }

    /// Reports to balancers, or to the seeds while none is known.
    pub(super) fn send_reports(&mut self, round: Round) {
        self.refresh_time();
        // Before the reports, which count these flows.
        self.tell_untold();
        let is_alone = self.flows.peers().is_empty();
        let interval_ms = if is_alone {
            GREETING_INTERVAL_MS
        } else {
            self.settings.report_interval_ms
        };
        self.next_report_ms = self.ctx.now_ms + interval_ms;
        let source = self.source.next(self.flows.peers(), self.machine.domain);
        for (balancer, report) in self.flows.due_reports(round, source, &self.ctx) {
            self.tell(balancer, &Frame::Report(report), &[]);
        }
        if is_alone {
            for seed in self.machine.seeds.clone() {
                self.greet(seed);
            }
        }
    }

    /// Asks a balancer for settings and the list of balancers.
    pub(super) fn greet(&mut self, balancer: Ipv4Addr) {
        let mut report = self.flows.report(balancer, &self.ctx);
        report.wants_reply = true;
        self.tell(balancer, &Frame::Report(report), &[]);
        self.tell(balancer, &Frame::ListBalancers, &[]);
    }

    /// Asks the store for balancers while none answers.
    fn look_for_balancers(&mut self) {
        let now_ms = self.ctx.now_ms;
        let lost_after_ms = if self.flows.peers().is_empty() {
            LOST_AFTER_MS
        } else {
            SILENT_AFTER_MS
        };
        if now_ms < self.source.answered_ms() + lost_after_ms {
            self.list_interval_ms = LIST_INTERVAL_MS;
            return;
        }
        if now_ms >= self.next_list_ms {
            self.next_list_ms = now_ms + self.list_interval_ms;
            self.list_interval_ms = (self.list_interval_ms * 2).min(LIST_INTERVAL_LIMIT_MS);
            self.list_balancers();
        }
    }

    fn list_balancers(&self) {
        let Some(store) = self.machine.store_address else {
            return;
        };
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let listed = store_tasks::list_balancers(&mut StoreClient::new(store)).await;
            match listed {
                Ok(balancers) => {
                    if inbox.send(Event::Listed(balancers)).await.is_err() {
                        log::debug!("the list of balancers came too late");
                    }
                }
                Err(error) => log::warn!(reason:% = error; "the store named no balancers"),
            }
        });
    }

    /// Tells balancers which flows are here.
    fn tell_untold(&mut self) {
        for (balancer, held) in self.flows.take_untold() {
            self.tell(balancer, &Frame::Held(held), &[]);
        }
    }

    /// Resets flows whose target has ended, so that their callers repeat what they wait for.
    pub(super) fn reset_lost(&mut self, lost: &[LostFlow]) {
        if lost.is_empty() {
            return;
        }
        log::info!(
            code:% = ResultCode::FlowLost,
            flows = lost.len(),
            first:% = lost[0].flow.caller;
            "flows are reset: the lifetime of their target has ended"
        );
        for flow in lost {
            self.metrics.count(ResultCode::FlowLost);
            let reset = header::encode_reset(&flow.flow, flow.sequence);
            self.send_to_caller(&reset, *flow.flow.caller.ip());
        }
    }

    pub(super) fn send_to_caller(&self, packet: &[u8], caller: Ipv4Addr) {
        let address = SocketAddrV4::new(caller, self.machine.packet_address.port());
        self.internal.send(packet, address);
    }
}
