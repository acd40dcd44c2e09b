mod health;
mod queueing;
mod reporting;
mod target_departure;

use super::{
    admission::{AdmissionControl, ColdAllowance},
    admission_queue::{AdmissionQueue, ReleasedSyn},
    advertisement_scope::AdvertisementScope,
    flow_advertiser::FlowAdvertiser,
    former_incarnation::FormerIncarnation,
    incarnation::Witness,
    priority_limit::PriorityLimit,
    service_time::ServiceTime,
    table::{Flow, FlowStage, FlowTable, WaitLimits},
    target::{HeartbeatOutcome, HeartbeatTiming, TargetHeartbeat, TargetState},
    target_health::TargetHealth,
};
use crate::{
    address::DomainId,
    codes::ResultCode,
    context::Context,
    flows::{
        balancer_list::BalancerList,
        frame::{ForwardHeader, ReportReply, TargetPhase},
        key::{FlowKey, LostFlow, ProcessIncarnation, ServiceTag},
        limits::ServiceLimits,
        segment::Segment,
        send_schedule::SendSchedule,
        settings::FlowSettings,
        store_revision::StoreRevision,
    },
};
use std::net::Ipv4Addr;

/// The identity and fixed parameters of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentIdentity {
    /// The service that its target serves.
    pub service: ServiceTag,
    /// The agent's failure domain.
    pub domain: DomainId,
    /// The incarnation of the agent.
    pub incarnation: ProcessIncarnation,
    /// The interval between two heartbeats of the target.
    pub heartbeat_ms: u64,
    /// How long a target goes on after it has announced its stop, before it deregisters.
    pub drain_ms: u64,
    /// The age from which on a flow may be discarded.
    pub flow_max_age_ms: u64,
    /// The tolerance on the request rate of a cold target.
    pub allowance: ColdAllowance,
}

/// The decision about a packet that a balancer forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerVerdict {
    /// The packet goes to the target, with a cookie that says where to return it if it bounces.
    Deliver {
        /// The IPv4 address of the balancer as a number.
        cookie: u32,
    },
    /// The packet goes back to the balancer.
    Return {
        /// The reason.
        code: ResultCode,
    },
    /// The packet is a SYN that waits for capacity at the target; it goes to
    /// [`AgentFlows::queue_syn`].
    Queue,
}

/// The decision about a packet that the target sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetVerdict {
    /// The packet goes to the caller.
    ToCaller {
        /// How long the target took to answer the SYN, if this packet is the answer.
        handshake_ms: Option<u64>,
    },
    /// The packet is dropped.
    Drop,
    /// The target did not accept the packet: it goes back to a balancer.
    Return {
        /// The balancer.
        origin: Ipv4Addr,
        /// The reason.
        code: ResultCode,
    },
}

/// The flow table and the admission control of one agent.
#[derive(Clone, Debug)]
pub struct AgentFlows {
    settings: FlowSettings,
    identity: AgentIdentity,
    target: TargetState,
    admission: AdmissionControl,
    priority_limit: PriorityLimit,
    queue: AdmissionQueue,
    /// SYNs that have left the queue and are not yet taken.
    released: Vec<ReleasedSyn>,
    service_time: ServiceTime,
    health: TargetHealth,
    table: FlowTable,
    limits: Option<ServiceLimits>,
    is_domain_out: bool,
    settings_revision: StoreRevision,
    settings_version: u64,
    balancers: BalancerList,
    advertiser: FlowAdvertiser,
    advertisement_scope: AdvertisementScope,
    send_schedule: SendSchedule,
    former_incarnation: FormerIncarnation,
    started_ms: u64,
    is_stopping: bool,
    is_backlog_stale: bool,
}

impl AgentFlows {
    /// Creates the state of an agent that has just started.
    pub fn new(settings: FlowSettings, identity: AgentIdentity, ctx: &Context) -> Self {
        Self {
            settings,
            identity,
            target: TargetState::default(),
            admission: AdmissionControl::new(identity.allowance),
            priority_limit: PriorityLimit::default(),
            queue: AdmissionQueue::default(),
            released: Vec::new(),
            service_time: ServiceTime::default(),
            health: TargetHealth::default(),
            table: FlowTable::default(),
            limits: None,
            is_domain_out: false,
            settings_revision: StoreRevision::default(),
            settings_version: 0,
            balancers: BalancerList::default(),
            advertiser: FlowAdvertiser::default(),
            advertisement_scope: AdvertisementScope::default(),
            send_schedule: SendSchedule::new(identity.incarnation),
            former_incarnation: FormerIncarnation::default(),
            started_ms: ctx.now_ms,
            is_stopping: false,
            is_backlog_stale: false,
        }
    }

    /// Decides about a packet that a balancer forwarded.
    pub fn on_packet(
        &mut self,
        header: &ForwardHeader,
        segment: &Segment,
        ctx: &Context,
    ) -> CallerVerdict {
        if header.service != self.identity.service {
            return CallerVerdict::Return {
                code: ResultCode::ForeignService,
            };
        }
        let key = segment.flow_of_caller();
        if segment.is_syn() {
            if self.is_backlog_stale {
                // The caller may have opened the flow at another target during the pause.
                return CallerVerdict::Return {
                    code: ResultCode::Recovering,
                };
            }
            return self.on_syn(key, header, segment, ctx);
        }
        // The caller has opened the flow at another target.
        self.queue.remove(&key);
        let Some(flow) = self.table.get(&key).copied() else {
            return self.on_unknown_flow(key, segment, header, ctx);
        };
        if flow.stage == FlowStage::Lost && flow.surely_includes(segment) {
            return CallerVerdict::Return {
                code: ResultCode::FlowLost,
            };
        }
        if flow.is_in_use(ctx.now_ms) && !flow.may_include(segment) {
            // Perhaps a stray packet, so it must not count as the refusal of a flow that is in use.
            return CallerVerdict::Return {
                code: ResultCode::FlowSearched,
            };
        }
        if flow.stage == FlowStage::Lost || !flow.may_include(segment) {
            return CallerVerdict::Return {
                code: ResultCode::FlowNotHeld,
            };
        }
        let is_other_origin = flow.origin != header.origin || header.is_search;
        let updated = self.table.update(&key, |flow| {
            flow.origin = header.origin;
            flow.origin_domain = header.origin_domain;
            flow.is_search &= header.is_search;
            flow.record_caller_packet(segment, ctx.now_ms);
        });
        if let Some(flow) = updated {
            self.track_request(key, &flow, ctx.now_ms);
        }
        if is_other_origin {
            self.advertiser.enqueue(header.origin, key);
        }
        deliver(header)
    }

    /// Decides about a packet that the target sent.
    pub fn on_target_packet(&mut self, segment: &Segment, ctx: &Context) -> TargetVerdict {
        if segment.flags.bounced {
            return self.on_bounced(segment, ctx);
        }
        let key = segment.flow_of_target();
        let before = self.table.get(&key).copied();
        let stage = before.map(|flow| flow.stage);
        let is_in_handshake = matches!(stage, Some(FlowStage::Offered | FlowStage::Answered));
        let is_searched =
            before.is_some_and(|flow| flow.stage == FlowStage::Probed && flow.is_search);
        if (is_in_handshake || is_searched) && segment.flags.rst {
            // The caller may have opened the flow at another target; only that target may reset it.
            self.table.remove(&key);
            return TargetVerdict::Drop;
        }
        if before.is_none() && segment.flags.rst && !self.table.end_idle(&key) {
            // The flow may be open at another target: its caller may never have opened it here. If it
            // did, before this agent started, the target answers its next packet with a reset.
            return TargetVerdict::Drop;
        }
        let is_first = matches!(stage, Some(FlowStage::Offered | FlowStage::Probed))
            || before.is_some_and(|flow| flow.is_replaced_by(segment));
        if let Some(flow) = before.filter(|flow| flow.is_answered_by(segment)) {
            self.record_answer(&key, &flow, ctx.now_ms);
        }
        let flow = self
            .table
            .update(&key, |flow| flow.record_target_packet(segment, ctx.now_ms));
        if let Some(flow) = flow {
            self.track_close(&key, &flow, segment.flags.rst, ctx.now_ms);
        }
        let mut handshake_ms = None;
        if let Some(flow) = flow.filter(|_| is_first) {
            handshake_ms = Some(ctx.now_ms - flow.opened_ms);
            self.advertise(key, &flow, ctx.now_ms);
        }
        TargetVerdict::ToCaller { handshake_ms }
    }

    /// Handles a heartbeat of the target; returns the flows that are lost because their incarnation of
    /// the target has ended.
    pub fn on_target_heartbeat(
        &mut self,
        heartbeat: &TargetHeartbeat,
        ctx: &Context,
    ) -> (HeartbeatOutcome, Vec<LostFlow>) {
        let timing = HeartbeatTiming {
            interval_ms: self.identity.heartbeat_ms,
            uptime_ms: ctx.now_ms.saturating_sub(self.started_ms),
            start_tolerance_ms: self.settings.table.witness_ms,
            now_ms: ctx.now_ms,
        };
        let outcome = self.target.on_heartbeat(heartbeat, &timing);
        if matches!(
            outcome,
            HeartbeatOutcome::NewLifetime | HeartbeatOutcome::Replaced
        ) {
            self.reset_health();
            self.withdraw_queue(ResultCode::TargetUnreachable, ctx.now_ms);
        }
        let lost = match outcome {
            // The new incarnation may hold flows that were opened since then; packets of the others
            // bounce.
            HeartbeatOutcome::NewLifetime => {
                self.mark_flows_lost(self.target.former_alive_until_ms(), ctx)
            }
            HeartbeatOutcome::Replaced => {
                self.table.doubt_all();
                Vec::new()
            }
            HeartbeatOutcome::Resumed => {
                self.table.trust_all();
                Vec::new()
            }
            HeartbeatOutcome::Unchanged
            | HeartbeatOutcome::PhaseChanged
            | HeartbeatOutcome::Outdated => Vec::new(),
        };
        (outcome, lost)
    }

    /// Records that the incarnation of the target has ended; returns the flows that were lost.
    pub fn on_target_ended(&mut self, ctx: &Context) -> Vec<LostFlow> {
        self.target.set_down();
        self.mark_flows_lost(ctx.now_ms, ctx)
    }

    /// Applies the settings in a balancer's reply; returns whether the agent's domain was taken out
    /// or brought back.
    pub fn on_reply(&mut self, reply: &ReportReply, ctx: &Context) -> bool {
        let uptime_ms = ctx.now_ms.saturating_sub(self.started_ms);
        self.former_incarnation
            .on_reply(reply.former_report_age_ms, uptime_ms, &self.settings);
        if reply.version >= self.settings_version {
            self.settings_version = reply.version;
            self.limits = reply.limits.or(self.limits);
        }
        if reply.revision < self.settings_revision {
            return false;
        }
        self.settings_revision = reply.revision;
        let is_changed = self.is_domain_out != reply.is_domain_out;
        self.is_domain_out = reply.is_domain_out;
        is_changed
    }

    /// Performs periodic work: expires balancers, flows and requests that callers have given up,
    /// and updates the scope of advertisements.
    pub fn on_tick(&mut self, ctx: &Context) {
        let now_ms = ctx.now_ms;
        self.balancers
            .forget(now_ms.saturating_sub(self.settings.liveness.forget_after_ms));
        self.update_advertisement_scope(ctx);
        let balancers = &self.balancers;
        self.advertiser
            .retain(|balancer| balancers.domain_of(balancer).is_some());
        let limits = WaitLimits {
            handshake_ms: self.settings.work_limit.opening_wait_ms,
            answer_ms: self.settings.work_limit.answer_wait_ms,
        };
        self.table.expire_waits(&limits, now_ms);
        // A flow that has been idle for as long as flows may live is too old, whatever the limit on
        // idle flows was meanwhile.
        self.table.expire(
            now_ms.saturating_sub(self.identity.flow_max_age_ms),
            now_ms.saturating_sub(self.settings.table.linger_ms),
        );
        self.update_health(now_ms);
    }

    /// Records that the process was paused: packets that are already queued may be stale, and queued
    /// SYNs are returned.
    pub fn on_pause(&mut self, ctx: &Context) {
        self.is_backlog_stale = true;
        self.withdraw_queue(ResultCode::Recovering, ctx.now_ms);
    }

    /// Records that the process did not run for `stalled_ms`, which its clock counted.
    ///
    /// After `suspect_after_ms` balancers have sent the next SYNs of these flows elsewhere.
    pub const fn on_stall(&mut self, stalled_ms: u64) {
        self.is_backlog_stale |= stalled_ms >= self.settings.liveness.suspect_after_ms;
    }

    /// Records that all packets that were queued during a pause have been read.
    pub const fn on_backlog_read(&mut self) {
        self.is_backlog_stale = false;
    }

    /// Makes reports and refusals say that this agent is shutting down while its target keeps
    /// running.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns the state of the target.
    pub const fn target(&self) -> &TargetState {
        &self.target
    }

    /// Returns the flow table.
    pub const fn table(&self) -> &FlowTable {
        &self.table
    }

    /// Returns the known balancers.
    pub const fn balancers(&self) -> &BalancerList {
        &self.balancers
    }

    /// Returns the known balancers for modification.
    pub const fn balancers_mut(&mut self) -> &mut BalancerList {
        &mut self.balancers
    }

    /// Returns whether operators have taken the agent's domain out.
    pub const fn is_domain_out(&self) -> bool {
        self.is_domain_out
    }

    fn on_syn(
        &mut self,
        key: FlowKey,
        header: &ForwardHeader,
        segment: &Segment,
        ctx: &Context,
    ) -> CallerVerdict {
        match self.table.get(&key).copied() {
            Some(flow) if flow.is_held() && !flow.is_followed_by_syn(ctx.now_ms) => {
                return deliver(header);
            }
            Some(flow) if flow.stage == FlowStage::Offered => {
                if ctx.now_ms < flow.opened_ms + self.settings.syns.confirm_within_ms {
                    return deliver(header);
                }
                self.table.remove(&key);
                return CallerVerdict::Return {
                    code: ResultCode::TargetSilent,
                };
            }
            _ => {}
        }
        self.on_new_flow(key, header, segment, ctx)
    }

    /// Handles a packet of a flow that is not in the table.
    ///
    /// An agent that may not know all flows of its target sends the packet to the target: if the
    /// target does not hold the flow, the packet bounces.
    fn on_unknown_flow(
        &mut self,
        key: FlowKey,
        segment: &Segment,
        header: &ForwardHeader,
        ctx: &Context,
    ) -> CallerVerdict {
        if self.knows_all_flows(ctx) || self.target.phase() == TargetPhase::Down {
            return CallerVerdict::Return {
                code: ResultCode::FlowNotHeld,
            };
        }
        let mut flow = Flow::probed(segment, header.origin, header.origin_domain, ctx.now_ms);
        flow.is_search = header.is_search;
        self.table.insert(key, flow);
        deliver(header)
    }

    fn on_bounced(&mut self, segment: &Segment, ctx: &Context) -> TargetVerdict {
        let key = segment.flow_of_caller();
        let origin = Ipv4Addr::from_bits(segment.cookie);
        // A late packet of an earlier flow with the same key says nothing about this one.
        let flow = self
            .table
            .get(&key)
            .filter(|flow| flow.surely_includes(segment));
        let stage = flow.map(|flow| flow.stage);
        if segment.is_syn() {
            if stage == Some(FlowStage::Offered) {
                self.table.remove(&key);
            }
            return TargetVerdict::Return {
                origin,
                code: ResultCode::TargetShed,
            };
        }
        if flow.is_some_and(Flow::is_open) {
            self.table.update(&key, |flow| {
                flow.stage = FlowStage::Lost;
                flow.used_ms = ctx.now_ms;
            });
            return TargetVerdict::Return {
                origin,
                code: ResultCode::FlowLost,
            };
        }
        if matches!(
            stage,
            Some(FlowStage::Offered | FlowStage::Probed | FlowStage::Answered)
        ) {
            self.table.remove(&key);
        }
        TargetVerdict::Return {
            origin,
            code: ResultCode::FlowNotHeld,
        }
    }

    fn mark_flows_lost(&mut self, opened_until_ms: u64, ctx: &Context) -> Vec<LostFlow> {
        self.table
            .mark_lost(opened_until_ms, ctx.now_ms)
            .into_iter()
            .map(|(key, flow)| LostFlow {
                flow: key,
                sequence: flow.caller_acknowledged(),
            })
            .collect()
    }

    /// Returns whether no earlier incarnation of the agent can have forwarded a flow to this
    /// incarnation of the target.
    fn has_witnessed_target(&self) -> bool {
        match self.target.witness() {
            Witness::None => false,
            Witness::StartedTogether => self.former_incarnation == FormerIncarnation::NotRemembered,
            Witness::FirstHeartbeat => matches!(
                self.former_incarnation,
                FormerIncarnation::NotRemembered | FormerIncarnation::Gone
            ),
            Witness::StartedLater => true,
        }
    }

    /// Returns whether the table holds every flow of the target, except for those that may be
    /// discarded.
    ///
    /// A flow that was open before the agent started, and has had no packet since, is not in the
    /// table; only the target knows it until the flow is too old.
    fn knows_all_flows(&self, ctx: &Context) -> bool {
        self.has_witnessed_target()
            || (self.target.phase() != TargetPhase::Unknown
                && ctx.now_ms >= self.started_ms + self.identity.flow_max_age_ms)
    }
}

const fn deliver(header: &ForwardHeader) -> CallerVerdict {
    CallerVerdict::Deliver {
        cookie: header.origin.to_bits(),
    }
}
