use super::{
    hints::{Hint, Hints},
    parking::{Parked, Parking},
    roster::{AgentState, Placing, Roster},
    search::Searches,
};
use crate::{
    address::DomainId,
    codes::ResultCode,
    context::Context,
    flows::{
        frame::{
            AgentReport, BalancerBeat, BalancerEntry, Carry, HeldFlows, ReportReply, Returned,
        },
        key::{FlowKey, Lifetime, LostFlow, ServiceTag},
        peers::Peers,
        routes::{FleetSettings, RequestKind},
        segment::Segment,
        settings::FlowSettings,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

/// How many hints are looked at in one tick.
const SWEEP_BUDGET: usize = 256;

/// How long word of a new flow may be under way from its agent; across a domain it needs 2 ms.
const TELL_MS: u64 = 40;

/// How long callers wait for an answer to their opening packets.
const OPENING_TRY_MS: u64 = 1_400;

/// The number of the last copy of an opening packet that a caller sends.
const LAST_COPY: u32 = 2;

/// Who a balancer is.
#[derive(Clone, Copy, Debug)]
pub struct BalancerIdentity {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its run.
    pub lifetime: Lifetime,
}

impl BalancerIdentity {
    fn entry(&self) -> BalancerEntry {
        BalancerEntry {
            ip: self.ip,
            domain: self.domain,
            lifetime: self.lifetime,
            age_ms: 0,
        }
    }
}

/// One way of a packet to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leg {
    /// The agent.
    pub agent: Ipv4Addr,
    /// What goes before the packet.
    pub carry: Carry,
}

/// What happens to a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It goes to one agent.
    Forward(Leg),
    /// It goes to all agents that may hold its flow.
    Search(Vec<Leg>),
    /// The caller's end of the flow is reset.
    Reset {
        /// Why.
        code: ResultCode,
    },
    /// It is dropped; the caller sends it again if it still matters.
    Drop {
        /// Why.
        code: ResultCode,
    },
}

/// What is left of a search.
#[derive(Clone, Debug)]
struct Unanswered {
    kind: RequestKind,
    legs: Vec<Leg>,
}

/// An opening packet that waited and goes to an agent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placed {
    /// The packet.
    pub parked: Parked,
    /// Where it goes.
    pub leg: Leg,
}

/// What a tick brings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Due {
    /// Agents that were forgotten.
    pub forgotten: Vec<Ipv4Addr>,
    /// Flows that are reset because all agents have said that they do not hold them.
    pub lost: Vec<LostFlow>,
    /// Opening packets that waited for an agent.
    pub placed: Vec<Placed>,
}

/// The steering state of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerFlows {
    settings: FlowSettings,
    own: BalancerIdentity,
    fleet: FleetSettings,
    /// Services that open flows of a route may still be at.
    former_services: BTreeMap<SocketAddrV4, BTreeSet<ServiceTag>>,
    roster: Roster,
    peers: Peers,
    hints: Hints,
    searches: Searches,
    parking: Parking,
    started_ms: u64,
    settled_from_ms: u64,
    store_answered_ms: u64,
    is_stopping: bool,
    is_backlog_old: bool,
}

impl BalancerFlows {
    /// Creates the state of a balancer that knows nobody.
    pub fn new(settings: FlowSettings, own: BalancerIdentity, ctx: &Context) -> Self {
        let mut peers = Peers::default();
        peers.learn(&own.entry(), ctx.now_ms);
        Self {
            settings,
            own,
            fleet: FleetSettings::default(),
            former_services: BTreeMap::new(),
            roster: Roster::default(),
            peers,
            hints: Hints::new(settings.hint_limit),
            searches: Searches::default(),
            parking: Parking::default(),
            started_ms: ctx.now_ms,
            settled_from_ms: ctx.now_ms,
            store_answered_ms: 0,
            is_stopping: false,
            is_backlog_old: false,
        }
    }

    /// Decides about a packet that a caller sent.
    pub fn on_packet(&mut self, segment: &Segment, ctx: &Context) -> Verdict {
        let flow = segment.flow_of_caller();
        if segment.opens() {
            if self.is_backlog_old {
                // Its caller may have opened the flow at another balancer meanwhile.
                return Verdict::Drop {
                    code: ResultCode::Recovering,
                };
            }
            return self.steer_opening(flow, segment, ctx);
        }
        let Some(hint) = self.hints.get_mut(&flow) else {
            let search_ms = self.settings.search_ms;
            let search = self.searches.entry(flow, ctx.now_ms, search_ms);
            search.caller_acknowledged = segment.acknowledged;
            return self.search(flow, ctx);
        };
        hint.used_ms = ctx.now_ms;
        let (agent, service) = (hint.agent, hint.service);
        if self.is_beyond_reach(agent, &flow, ctx.now_ms) {
            self.hints.remove(&flow);
            return Verdict::Reset {
                code: ResultCode::FlowUnreachable,
            };
        }
        self.forward(agent, service)
    }

    /// Decides about a packet that an agent did not take.
    pub fn on_returned(
        &mut self,
        agent: Ipv4Addr,
        returned: Returned,
        segment: &Segment,
        ctx: &Context,
    ) -> Verdict {
        let flow = segment.flow_of_caller();
        self.roster.trust(agent);
        let hint = self.hints.get_mut(&flow).copied();
        let is_from_holder = hint.is_some_and(|hint| hint.agent == agent);
        let is_waited_for = hint.is_some_and(|hint| ctx.now_ms < hint.offered_ms + OPENING_TRY_MS);
        if segment.opens() && !(is_from_holder && is_waited_for) {
            // A copy has been placed since, nobody took one, or the caller has given the try up.
            return Verdict::Drop {
                code: returned.code,
            };
        }
        if is_from_holder {
            self.hints.remove(&flow);
        }
        let search_ms = self.settings.search_ms;
        let search = self.searches.entry(flow, ctx.now_ms, search_ms);
        search.refused_by.insert(agent);
        if segment.opens() {
            return self.place(flow, Some(returned.service), segment, returned.code, ctx);
        }
        if returned.code == ResultCode::FlowLost {
            return Verdict::Reset {
                code: ResultCode::FlowLost,
            };
        }
        match self.hints.get_mut(&flow) {
            Some(hint) if hint.is_confirmed => Verdict::Drop {
                code: ResultCode::FlowNotHeld,
            },
            _ => self.search(flow, ctx),
        }
    }

    /// Takes word from an agent that it holds flows.
    pub fn on_held(&mut self, agent: Ipv4Addr, held: &HeldFlows, ctx: &Context) {
        self.roster.trust(agent);
        self.roster.count_held(agent, held);
        for flow in &held.flows {
            self.note_holder(agent, *flow, ctx);
        }
    }

    /// Tells whether an agent is to tell its flows once more; asked after its report.
    pub fn has_gap(&self, agent: Ipv4Addr) -> bool {
        self.roster.get(agent).is_some_and(AgentState::has_gap)
    }

    fn note_holder(&mut self, agent: Ipv4Addr, flow: FlowKey, ctx: &Context) {
        if let Some(hint) = self.hints.get_mut(&flow)
            && hint.is_confirmed
            && hint.agent != agent
        {
            // A late copy of the opening packet has reached a second target. The flow is at the
            // first one, or the first one will say that it is not.
            return;
        }
        self.searches.end(&flow);
        let Some(service) = self.roster.get(agent).map(|state| state.report.service) else {
            return;
        };
        let hint = Hint {
            agent,
            service,
            is_confirmed: true,
            offered_ms: ctx.now_ms,
            used_ms: ctx.now_ms,
        };
        self.hints.insert(flow, hint);
    }

    /// Takes a report; returns whether the agent's phase or run changed.
    pub fn on_report(&mut self, agent: Ipv4Addr, report: AgentReport, ctx: &Context) -> bool {
        self.roster.hear(agent, report, ctx.now_ms)
    }

    /// Answers the report of an agent.
    pub fn reply_to(&self, report: &AgentReport) -> ReportReply {
        ReportReply {
            lifetime: self.own.lifetime,
            version: self.fleet.table.version,
            revision: self.fleet.revision,
            is_domain_out: self.fleet.domains_out.contains(&report.domain),
            limits: self.fleet.table.services.get(&report.service).copied(),
            balancers_hash: self.peers.hash(),
        }
    }

    /// Returns this balancer's sign of life.
    pub fn beat(&self, ctx: &Context) -> BalancerBeat {
        BalancerBeat {
            lifetime: self.own.lifetime,
            domain: self.own.domain,
            version: self.fleet.table.version,
            revision: self.fleet.revision,
            store_age_ms: ctx.now_ms.saturating_sub(self.store_answered_ms) as u32,
            is_stopping: false,
            agents: u16::try_from(self.roster.len()).unwrap_or(u16::MAX),
            balancers_hash: self.peers.hash(),
        }
    }

    /// Returns this balancer's last sign of life.
    pub fn goodbye(&self, ctx: &Context) -> BalancerBeat {
        BalancerBeat {
            is_stopping: true,
            ..self.beat(ctx)
        }
    }

    /// Takes settings from the store or a peer; returns whether anything changed.
    pub fn on_fleet_settings(&mut self, fleet: FleetSettings) -> bool {
        let before = self.fleet.table.clone();
        let is_changed = self.fleet.adopt(fleet);
        for (entry, route) in before.routes {
            let now = self.fleet.table.routes.get(&entry);
            if now.is_some_and(|now| now.shares != route.shares) {
                let services = route.shares.iter().map(|share| share.service);
                self.former_services
                    .entry(entry)
                    .or_default()
                    .extend(services);
            }
        }
        is_changed
    }

    /// Notes that the store has answered.
    pub fn on_store_answer(&mut self, ctx: &Context) {
        self.store_answered_ms = ctx.now_ms;
    }

    /// Takes note that the process stood still for `pause_ms` that its clock did not count.
    pub fn on_pause(&mut self, pause_ms: u64, ctx: &Context) {
        self.roster.age(pause_ms);
        self.is_backlog_old = true;
        self.settled_from_ms = ctx.now_ms;
    }

    /// Takes note that all packets that had arrived have been read.
    pub const fn on_backlog_read(&mut self) {
        self.is_backlog_old = false;
    }

    /// Asks the routers to leave; packets that still come are carried as before.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Lets an opening packet wait until its next copy comes, if it was dropped with `code` because
    /// no agent or no route is known yet.
    pub fn park(&mut self, segment: &Segment, packet: &[u8], code: ResultCode, ctx: &Context) {
        if matches!(code, ResultCode::NoTarget | ResultCode::UnknownService) {
            self.parking.park(segment, packet, ctx.now_ms);
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, ctx: &Context) -> Due {
        let settings = self.settings;
        self.hints.sweep(
            SWEEP_BUDGET,
            ctx.now_ms.saturating_sub(settings.hint_idle_ms),
        );
        let lost = self.settle_searches(ctx);
        self.searches
            .forget(ctx.now_ms.saturating_sub(settings.search_ms));
        let before_ms = ctx.now_ms.saturating_sub(settings.forget_after_ms);
        self.peers.learn(&self.own.entry(), ctx.now_ms);
        self.peers.forget(before_ms);
        Due {
            forgotten: self.roster.forget(before_ms),
            lost,
            placed: self.place_parked(ctx),
        }
    }

    /// Tries the opening packets that wait once more.
    fn place_parked(&mut self, ctx: &Context) -> Vec<Placed> {
        let mut placed = Vec::new();
        for parked in self.parking.take(ctx.now_ms) {
            match self.on_packet(&parked.segment, ctx) {
                Verdict::Forward(leg) => placed.push(Placed { parked, leg }),
                Verdict::Drop { .. } => self.parking.put_back(parked),
                Verdict::Search(_) | Verdict::Reset { .. } => {}
            }
        }
        placed
    }

    /// Ends the searches in which all agents have said no, now that this may be trusted.
    fn settle_searches(&mut self, ctx: &Context) -> Vec<LostFlow> {
        let pending: Vec<LostFlow> = self
            .searches
            .pending()
            .filter(|(_, search)| {
                !search.refused_by.is_empty() || search.has_lasted(TELL_MS, ctx.now_ms)
            })
            .map(|(flow, search)| LostFlow {
                flow: *flow,
                sequence: search.caller_acknowledged,
            })
            .collect();
        let mut lost = Vec::new();
        for candidate in pending {
            let flow = candidate.flow;
            let Some(open) = self.unanswered(&flow, ctx.now_ms) else {
                continue;
            };
            let is_held = self.hints.get_mut(&flow).is_some();
            if !is_held && open.legs.is_empty() && self.may_reset(open.kind, ctx) {
                self.searches.end(&flow);
                lost.push(candidate);
            }
        }
        lost
    }

    /// Tells whether the balancer can place new flows.
    pub fn is_ready(&self, ctx: &Context) -> bool {
        self.fleet.is_known() && !self.is_stopping && self.knows_agents(ctx)
    }

    /// Tells whether the roster is as long as those of the other balancers.
    ///
    /// After [`FlowSettings::roster_wait_ms`] any agent will do, since other balancers also count
    /// agents that are gone.
    fn knows_agents(&self, ctx: &Context) -> bool {
        let known = self.roster.len();
        if ctx.now_ms >= self.started_ms + self.settings.roster_wait_ms {
            return known > 0;
        }
        let counts = self.peers.beats(ctx.now_ms).map(|(_, beat, _)| beat.agents);
        let most = counts.max();
        known > 0 && most.is_some_and(|most| known >= usize::from(most))
    }

    /// Tells whether an answer of all known agents is an answer of all agents.
    ///
    /// Callers of idempotent requests only lose a moment by a wrong reset, so it comes early there.
    fn may_reset(&self, kind: RequestKind, ctx: &Context) -> bool {
        let settle_ms = match kind {
            RequestKind::Idempotent => self.settings.settle_ms,
            RequestKind::NonIdempotent => self.settings.settle_non_idempotent_ms,
        };
        ctx.now_ms >= self.settled_from_ms + settle_ms && self.knows_agents(ctx)
    }

    /// Returns the settings in force.
    pub const fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// Returns the agents that report here.
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the balancers known here, this one included.
    pub const fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the balancers known here, this one included, to be changed.
    pub const fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Returns how many hints there are.
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    fn steer_opening(&mut self, flow: FlowKey, segment: &Segment, ctx: &Context) -> Verdict {
        let confirm_within_ms = self.settings.confirm_within_ms;
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.used_ms = ctx.now_ms;
            let (agent, service) = (hint.agent, hint.service);
            let is_overdue = ctx.now_ms >= hint.offered_ms + confirm_within_ms;
            if hint.is_confirmed || !is_overdue {
                return self.offer(agent, service, &flow);
            }
            self.roster
                .doubt(agent, ctx.now_ms + self.settings.doubt_ms);
            self.hints.remove(&flow);
            return self.place(flow, Some(service), segment, ResultCode::NoTarget, ctx);
        }
        self.place(flow, None, segment, ResultCode::NoTarget, ctx)
    }

    /// Sends an opening packet to the best agent left; `code` says why the last one refused it.
    fn place(
        &mut self,
        flow: FlowKey,
        service: Option<ServiceTag>,
        segment: &Segment,
        code: ResultCode,
        ctx: &Context,
    ) -> Verdict {
        let Some(route) = self.fleet.table.routes.get(&flow.entry) else {
            return self.refuse_unknown(ctx);
        };
        let Some(service) = service.or_else(|| route.service_for(&flow)) else {
            return self.refuse_unknown(ctx);
        };
        let refused_by = self.searches.refused_by(&flow);
        let placing = Placing {
            domain: self.own.domain,
            domains_out: &self.fleet.domains_out,
            refused_by: &refused_by,
            now_ms: ctx.now_ms,
        };
        let Some(agent) = self.roster.place(&flow, service, &placing, &self.settings) else {
            return self.refuse(segment, code);
        };
        self.roster.count_offer(agent);
        self.parking.remove(&flow);
        let hint = Hint {
            agent,
            service,
            is_confirmed: false,
            offered_ms: ctx.now_ms,
            used_ms: ctx.now_ms,
        };
        self.hints.insert(flow, hint);
        self.offer(agent, service, &flow)
    }

    /// Refuses an opening packet that no agent takes now.
    ///
    /// Earlier copies are dropped, because the caller sends another within 400 ms that may find
    /// room; after the last copy the caller is told at once.
    fn refuse(&mut self, segment: &Segment, code: ResultCode) -> Verdict {
        if segment.acknowledged < LAST_COPY {
            return Verdict::Drop { code };
        }
        self.parking.remove(&segment.flow_of_caller());
        Verdict::Reset { code }
    }

    fn refuse_unknown(&self, ctx: &Context) -> Verdict {
        let code = ResultCode::UnknownService;
        if self.fleet.is_known() && self.may_reset(RequestKind::NonIdempotent, ctx) {
            return Verdict::Reset { code };
        }
        Verdict::Drop { code }
    }

    /// Asks the agents that have not answered yet, or resets the flow when all have said no.
    fn search(&mut self, flow: FlowKey, ctx: &Context) -> Verdict {
        let Some(open) = self.unanswered(&flow, ctx.now_ms) else {
            return self.refuse_unknown(ctx);
        };
        let search_ms = self.settings.search_ms;
        let search = self.searches.entry(flow, ctx.now_ms, search_ms);
        let is_settled = !search.refused_by.is_empty() || search.has_lasted(TELL_MS, ctx.now_ms);
        let may_ask = search.may_ask(ctx.now_ms);
        if open.legs.is_empty() && is_settled && self.may_reset(open.kind, ctx) {
            return Verdict::Reset {
                code: ResultCode::FlowLost,
            };
        }
        if open.legs.is_empty() || !may_ask {
            // A packet of the flow is already on its way to the agents that have not answered.
            return Verdict::Drop {
                code: ResultCode::FlowSearched,
            };
        }
        Verdict::Search(open.legs)
    }

    /// Returns the agents that may hold a flow and have not said no; `None` without a route.
    fn unanswered(&self, flow: &FlowKey, now_ms: u64) -> Option<Unanswered> {
        let route = self.fleet.table.routes.get(&flow.entry)?;
        let refused_by = self.searches.refused_by(flow);
        // An agent that was hinted at and said no shows that what was told is not the whole truth:
        // two targets may have answered copies of the opening packet.
        let may_infer = refused_by.is_empty();
        let mut services: BTreeSet<ServiceTag> =
            route.shares.iter().map(|share| share.service).collect();
        services.extend(self.former_services.get(&flow.entry).into_iter().flatten());
        let legs = services
            .iter()
            .flat_map(|service| self.roster.of_service(*service).map(|a| (a, *service)))
            .filter(|(agent, _)| !refused_by.contains(agent) && !self.is_silent(*agent, now_ms))
            .filter(|(agent, _)| !(may_infer && self.would_have_told(route.kind, *agent)))
            .map(|(agent, service)| self.leg(agent, service, true))
            .collect();
        Some(Unanswered {
            kind: route.kind,
            legs,
        })
    }

    /// Tells whether an agent needs no asking, because it has told this balancer all its flows.
    ///
    /// Word of a new flow may still be under way; only callers of idempotent requests lose little
    /// when that is mistaken for a lost one.
    fn would_have_told(&self, kind: RequestKind, agent: Ipv4Addr) -> bool {
        let state = self.roster.get(agent);
        kind == RequestKind::Idempotent && state.is_some_and(|state| state.is_told_all)
    }

    /// Tells whether a flow is lost to its caller because its agent has fallen silent.
    ///
    /// Only callers of idempotent requests gain by a reset: they repeat the request elsewhere.
    fn is_beyond_reach(&self, agent: Ipv4Addr, flow: &FlowKey, now_ms: u64) -> bool {
        let kind = self.fleet.table.routes.get(&flow.entry).map(|r| r.kind);
        kind == Some(RequestKind::Idempotent) && self.is_silent(agent, now_ms)
    }

    fn is_silent(&self, agent: Ipv4Addr, now_ms: u64) -> bool {
        if now_ms < self.settled_from_ms + self.settings.settle_non_idempotent_ms {
            return false;
        }
        self.roster.get(agent).is_none_or(|state| {
            !state.report.is_stopping && now_ms >= state.heard_ms + self.settings.reset_after_ms
        })
    }

    /// Sends an opening packet to an agent.
    fn offer(&self, agent: Ipv4Addr, service: ServiceTag, flow: &FlowKey) -> Verdict {
        let route = self.fleet.table.routes.get(&flow.entry);
        let mut leg = self.leg(agent, service, false);
        leg.carry.latency_goal_ms = route.map_or(0, |route| route.latency_goal_ms);
        Verdict::Forward(leg)
    }

    const fn forward(&self, agent: Ipv4Addr, service: ServiceTag) -> Verdict {
        Verdict::Forward(self.leg(agent, service, false))
    }

    const fn leg(&self, agent: Ipv4Addr, service: ServiceTag, is_search: bool) -> Leg {
        Leg {
            agent,
            carry: Carry {
                service,
                origin: self.own.ip,
                origin_domain: self.own.domain,
                is_search,
                latency_goal_ms: 0,
            },
        }
    }
}
