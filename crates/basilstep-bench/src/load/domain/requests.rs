//! The life of requests: sent, refused, relayed and completed.

use super::{
    agent::Agent,
    callers::Request,
    run::{RequestKey, Run, ScheduledEvent, TIMEOUT_MS},
};
use crate::load::target_model::{AdmissionControl, Completion, CompletionKind};
use basilstep_core::{
    domains::OverflowRelays, membership::AgentRecord, settings::DomainSet,
    steering::SteeringDecision,
};

/// The score of a non-idempotent request; any other counts 1.
const NON_IDEMPOTENT_SCORE: f64 = 2.0;

impl Request {
    /// Returns the score of the request if it is answered in time.
    pub fn score(&self) -> f64 {
        if self.is_non_idempotent {
            NON_IDEMPOTENT_SCORE
        } else {
            1.0
        }
    }
}

impl Run {
    /// Sends a request over its caller's flow, or queues it until a flow is open.
    pub(super) fn send(&mut self, request: Request) {
        if request.deadline_ms <= self.context.now_ms {
            self.figures.timed_out += 1;
            return;
        }
        let Some(flow) = self.callers[request.caller].flow else {
            self.callers[request.caller].waiting.push(request);
            return;
        };
        let balancer = self.random_balancer();
        let address = self.callers[request.caller].address;
        match self.balancers[balancer].steer(&address, &flow.datagram()) {
            SteeringDecision::Forward { agent, .. } => {
                let number = Agent::number_of(agent);
                self.record_packet(number);
                if !self.agents[number].is_powered {
                    self.leave_unanswered(request);
                } else if self.agents[number].record.incarnation == flow.incarnation {
                    self.arrive(number, request);
                } else {
                    self.reset(request);
                }
            }
            SteeringDecision::Reset { .. } => self.reset(request),
            SteeringDecision::Drop(_) => self.leave_unanswered(request),
        }
    }

    /// Queues a request again whose packet was answered with a reset, since it was not run.
    fn reset(&mut self, request: Request) {
        self.callers[request.caller].waiting.push(request);
        self.lose_flow(request.caller, self.context.now_ms);
    }

    /// Leaves a request without an answer until its deadline.
    fn leave_unanswered(&mut self, request: Request) {
        self.schedule(request.deadline_ms, ScheduledEvent::TimedOut(request));
    }

    /// Times a request out. If its caller's flow is unreachable, the caller opens another one.
    pub(super) fn time_out(&mut self, request: Request) {
        self.figures.timed_out += 1;
        let flow = self.callers[request.caller].flow;
        let is_reachable = flow.is_some_and(|flow| {
            let agent = &self.agents[flow.agent];
            !agent.is_out && agent.is_powered
        });
        if !is_reachable {
            self.lose_flow(request.caller, request.deadline_ms - TIMEOUT_MS);
        }
    }

    fn arrive(&mut self, number: usize, request: Request) {
        let left_ms = request.deadline_ms.saturating_sub(self.context.now_ms);
        let agent = &mut self.agents[number];
        let id = agent.harness.arrive(left_ms.clamp(1, TIMEOUT_MS));
        self.running
            .insert(RequestKey { agent: number, id }, request);
    }

    pub(super) fn complete_request(&mut self, number: usize, completion: &Completion) {
        let key = RequestKey {
            agent: number,
            id: completion.id,
        };
        let Some(request) = self.running.remove(&key) else {
            return;
        };
        match completion.kind {
            CompletionKind::Answered => self.answered(number, &request),
            CompletionKind::Refused { retry_after_ms } => {
                if !self.relay(number, request) {
                    self.retry(request, retry_after_ms);
                }
            }
            CompletionKind::Lost if request.is_non_idempotent => self.figures.unknown_outcomes += 1,
            CompletionKind::Lost => self.retry(request, 0),
            CompletionKind::TimedOut => self.figures.timed_out += 1,
        }
    }

    fn answered(&mut self, number: usize, request: &Request) {
        self.figures
            .count_served(self.context.now_ms, request.score());
        if let Some(from) = request.relayed_by {
            let peer = self.agents[number].record.address;
            self.agents[from].relays.on_answer(peer);
        }
    }

    /// Relays a refused request once, if the policy allows it, and returns whether it did.
    fn relay(&mut self, from: usize, mut request: Request) -> bool {
        if let Some(first) = request.relayed_by {
            let peer = self.agents[from].record.address;
            let now_ms = self.context.now_ms;
            self.agents[first].relays.on_refusal(peer, now_ms);
            self.figures.relays_refused += 1;
            return false;
        }
        let Some(to) = self.choose_relay_peer(from) else {
            return false;
        };
        request.relayed_by = Some(from);
        self.figures.relayed += 1;
        self.record_packet(to);
        self.arrive(to, request);
        true
    }

    fn choose_relay_peer(&mut self, from: usize) -> Option<usize> {
        let is_impaired = self.agents[from].harness.admission().is_impaired();
        if !self.policy.relays() || !(is_impaired || self.policy.relays_by_capacity()) {
            return None;
        }
        let others = self.agents.iter().enumerate();
        let peers: Vec<AgentRecord> = others
            .filter(|(number, agent)| *number != from && !agent.is_out && agent.is_powered)
            .map(|(_, agent)| agent.record)
            .collect();
        let relays = if self.policy.relays_by_capacity() {
            self.agents[from].relays.clone()
        } else {
            OverflowRelays::default()
        };
        let picked = relays.choose_peer(&peers, &DomainSet::default(), &mut self.context);
        picked.map(Agent::number_of)
    }

    fn retry(&mut self, mut request: Request, retry_after_ms: u32) {
        let pause_ms = self
            .retries
            .pause_ms(request.attempt, retry_after_ms, &mut self.context);
        let Some(pause_ms) = pause_ms else {
            return;
        };
        request.attempt += 1;
        request.relayed_by = None;
        self.schedule_in(pause_ms, ScheduledEvent::Retry(request));
    }

    /// Fails the requests of closed flows: non-idempotent ones are not sent again, all others are.
    pub(super) fn fail_requests(&mut self, number: usize) {
        for request in self.take_requests(number) {
            if request.is_non_idempotent {
                self.figures.unknown_outcomes += 1;
            } else {
                self.schedule_in(1, ScheduledEvent::Retry(request));
            }
        }
    }

    /// Drops the requests of an agent whose machine lost power; their callers wait until the
    /// deadline.
    pub(super) fn drop_requests(&mut self, number: usize) {
        for request in self.take_requests(number) {
            self.leave_unanswered(request);
        }
    }

    fn take_requests(&mut self, number: usize) -> Vec<Request> {
        let ids = self.agents[number].harness.cancel_all();
        ids.into_iter()
            .filter_map(|id| self.running.remove(&RequestKey { agent: number, id }))
            .collect()
    }
}
