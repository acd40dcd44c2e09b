//! One run in virtual time: all domains in, one taken out, and brought back.

use super::{
    agent::Agent,
    balancer::Balancer,
    callers::{Caller, Request},
    cases::{Policy, ServiceCase},
    figures::Figures,
};
use crate::load::target_model::{Retries, SERVICE_MS};
use basilstep_core::{admission::RequestId, context::Context, membership::AgentRecord};
use rand::RngExt;
use std::collections::BTreeMap;

/// When the change that takes the domain out is accepted.
pub const OUT_MS: u64 = 30_000;
/// When the change that brings it back is accepted.
pub const RETURN_MS: u64 = 60_000;
/// When the run ends.
pub const END_MS: u64 = 120_000;
/// When the power of the domain is cut.
const POWER_OFF_MS: u64 = OUT_MS + 10_000;
/// When the machines of the domain restart, with cold targets.
const RESTART_MS: u64 = RETURN_MS - 5_000;
/// The delay until a change is in force at a process, uniformly distributed.
const SPREAD_MS: std::ops::RangeInclusive<u64> = 200..=2_000;
/// The number of balancers in front of the service.
pub const BALANCERS: usize = 4;
/// The number of callers per target; each has one flow.
const CALLERS_PER_TARGET: usize = 30;
/// The share of non-idempotent requests.
const NON_IDEMPOTENT_SHARE: f64 = 0.2;
/// How long a caller waits for an answer, including retries.
pub const TIMEOUT_MS: u64 = 2_000;
/// The callers' retry budget, per hundred requests.
const BUDGET_PERCENT: u32 = 10;

/// An event that is scheduled for a later time.
#[derive(Clone, Copy, Debug)]
pub enum ScheduledEvent {
    /// A caller opens a flow.
    Open { caller: usize },
    /// The flow of a caller is open and can carry requests.
    Opened { caller: usize, agent: usize },
    /// The flow of a caller ends normally.
    End { caller: usize, generation: u32 },
    /// A caller retries a request.
    Retry(Request),
    /// The deadline of an unanswered request passes.
    TimedOut(Request),
    /// A balancer applies a settings change.
    BalancerAppliesSettings { number: usize, is_out: bool },
    /// The domain's next phase begins at a balancer.
    PhaseEnds { number: usize },
    /// An agent applies a settings change.
    AgentAppliesSettings { number: usize, is_out: bool },
    /// The power of the domain is cut.
    PowerOff,
    /// The machines of the domain restart.
    Restart,
}

/// Identifies a request at an agent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// The index of the agent.
    pub agent: usize,
    /// The ID of the request at the agent.
    pub id: RequestId,
}

/// The state of one run.
pub struct Run {
    pub(super) case: ServiceCase,
    pub(super) policy: Policy,
    pub(super) context: Context,
    pub(super) agents: Vec<Agent>,
    pub(super) balancers: Vec<Balancer>,
    pub(super) callers: Vec<Caller>,
    pub(super) retries: Retries,
    pub(super) running: BTreeMap<RequestKey, Request>,
    pub(super) figures: Figures,
    scheduled: BTreeMap<u64, Vec<ScheduledEvent>>,
    mean_gap_ms: f64,
    next_request_in_ms: f64,
}

/// Runs one policy and returns its figures.
pub fn run_policy(case: &ServiceCase, policy: Policy, load: f64, seed: u64) -> Figures {
    let mut run = Run::new(case, policy, load, seed);
    run.schedule_changes();
    while run.context.now_ms < END_MS {
        run.step();
    }
    run.finish()
}

impl Run {
    fn new(case: &ServiceCase, policy: Policy, load: f64, seed: u64) -> Self {
        let mut context = Context::new(seed);
        let agents: Vec<Agent> = (0_u8..case.domains.len() as u8)
            .map(|number| Agent::new(number, case, policy, &mut context))
            .collect();
        let records: Vec<AgentRecord> = agents.iter().map(|agent| agent.record).collect();
        let requests_per_ms = agents.len() as f64 * f64::from(case.slots) / SERVICE_MS;
        let capacity = requests_per_ms * 1_000.0 * (1.0 + NON_IDEMPOTENT_SHARE);
        let remaining_agents = agents
            .iter()
            .filter(|agent| !agent.is_in_removed_domain())
            .count();
        let remaining_share = remaining_agents as f64 / agents.len() as f64;
        Self {
            case: *case,
            policy,
            balancers: (0..BALANCERS)
                .map(|_| Balancer::new(&records, policy))
                .collect(),
            callers: (0..agents.len() * CALLERS_PER_TARGET)
                .map(|_| Caller::new(&mut context))
                .collect(),
            agents,
            context,
            retries: Retries::new(Some(BUDGET_PERCENT)),
            running: BTreeMap::new(),
            figures: Figures::new(capacity, remaining_share),
            scheduled: BTreeMap::new(),
            mean_gap_ms: 1.0 / (requests_per_ms * load),
            next_request_in_ms: 0.0,
        }
    }

    fn schedule_changes(&mut self) {
        for caller in 0..self.callers.len() {
            self.schedule(caller as u64, ScheduledEvent::Open { caller });
        }
        for (at_ms, is_out) in [(OUT_MS, true), (RETURN_MS, false)] {
            for number in 0..BALANCERS {
                let spread_ms = self.context.rng.random_range(SPREAD_MS);
                let event = ScheduledEvent::BalancerAppliesSettings { number, is_out };
                self.schedule(at_ms + spread_ms, event);
            }
            for number in 0..self.agents.len() {
                let spread_ms = self.context.rng.random_range(SPREAD_MS);
                let event = ScheduledEvent::AgentAppliesSettings { number, is_out };
                self.schedule(at_ms + spread_ms, event);
            }
        }
        self.schedule(POWER_OFF_MS, ScheduledEvent::PowerOff);
        self.schedule(RESTART_MS, ScheduledEvent::Restart);
    }

    pub(super) fn schedule(&mut self, at_ms: u64, event: ScheduledEvent) {
        self.scheduled.entry(at_ms).or_default().push(event);
    }

    pub(super) fn schedule_in(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.schedule(self.context.now_ms + delay_ms, event);
    }

    fn step(&mut self) {
        while let Some(entry) = self.scheduled.first_entry() {
            if *entry.key() > self.context.now_ms {
                break;
            }
            for event in entry.remove() {
                self.handle(event);
            }
        }
        self.generate_requests();
        for number in 0..self.agents.len() {
            if !self.agents[number].is_powered {
                continue;
            }
            for completion in self.agents[number].harness.step() {
                self.complete_request(number, &completion);
            }
        }
        self.context.advance(1);
    }

    fn generate_requests(&mut self) {
        self.next_request_in_ms -= 1.0;
        while self.next_request_in_ms <= 0.0 {
            let uniform: f64 = self.context.rng.random();
            self.next_request_in_ms += -self.mean_gap_ms * (1.0 - uniform).ln();
            let request = Request {
                caller: self.context.rng.random_range(0..self.callers.len()),
                deadline_ms: self.context.now_ms + TIMEOUT_MS,
                is_non_idempotent: self.context.rng.random_bool(NON_IDEMPOTENT_SHARE),
                attempt: 1,
                relayed_by: None,
            };
            self.retries.add_request();
            self.figures
                .count_offered(self.context.now_ms, request.score());
            self.send(request);
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Open { caller } => self.open(caller),
            ScheduledEvent::Opened { caller, agent } => self.opened(caller, agent),
            ScheduledEvent::End { caller, generation } => self.end_flow(caller, generation),
            ScheduledEvent::Retry(request) => self.send(request),
            ScheduledEvent::TimedOut(request) => self.time_out(request),
            ScheduledEvent::BalancerAppliesSettings { number, is_out } => {
                self.balancers[number].set_domain_out(is_out, self.context.now_ms);
                self.rebuild(number);
                for end_ms in Balancer::phase_ends_ms() {
                    self.schedule_in(end_ms, ScheduledEvent::PhaseEnds { number });
                }
            }
            ScheduledEvent::PhaseEnds { number } => self.rebuild(number),
            ScheduledEvent::AgentAppliesSettings { number, is_out } => {
                self.apply_agent_settings(number, is_out);
            }
            ScheduledEvent::PowerOff => self.power_off(),
            ScheduledEvent::Restart => self.restart(),
        }
    }

    fn rebuild(&mut self, number: usize) {
        let records: Vec<AgentRecord> = self.agents.iter().map(|agent| agent.record).collect();
        self.balancers[number].rebuild(&records, self.context.now_ms);
    }

    fn apply_agent_settings(&mut self, number: usize, is_out: bool) {
        if !self.agents[number].is_in_removed_domain() {
            return;
        }
        self.agents[number].is_out = is_out;
        if is_out && self.policy.closes_flows() {
            self.close_flows(number);
        }
    }

    fn power_off(&mut self) {
        for number in 0..self.agents.len() {
            if self.agents[number].is_in_removed_domain() {
                self.agents[number].is_powered = false;
                self.drop_requests(number);
                self.figures.crashes += self.agents[number].harness.target.crashes();
            }
        }
    }

    fn restart(&mut self) {
        for agent in &mut self.agents {
            if agent.is_in_removed_domain() {
                agent.restart(&mut self.context);
            }
        }
        for number in 0..BALANCERS {
            self.rebuild(number);
        }
    }

    fn finish(mut self) -> Figures {
        let removed_agents: Vec<&Agent> = self
            .agents
            .iter()
            .filter(|agent| agent.is_in_removed_domain())
            .collect();
        let peak = removed_agents
            .iter()
            .map(|agent| agent.harness.target.peak_load_ratio());
        self.figures.returned_peak_ratio = peak.fold(0.0, f64::max);
        let flows: u32 = removed_agents.iter().map(|agent| agent.flows).sum();
        let fair = (removed_agents.len() * CALLERS_PER_TARGET) as f64;
        self.figures.returned_flow_share = f64::from(flows) / fair;
        let crashes = self
            .agents
            .iter()
            .map(|agent| agent.harness.target.crashes());
        self.figures.crashes += crashes.sum::<u32>();
        self.figures
    }
}
