//! Requests: sent, refused, passed on and ended.

use super::{
    agent::Agent,
    callers::Job,
    run::{Due, Run, Sent, TIMEOUT_MS},
};
use crate::load::target_model::{Ending, EndingKind, Gate};
use basilstep_core::{
    domains::OverflowRelays, membership::AgentRecord, settings::DomainSet,
    steering::SteeringDecision,
};

/// What a request counts that must be taken once.
const HOLD_SCORE: f64 = 2.0;

impl Job {
    /// Returns what the request counts when it is answered in time.
    pub fn score(&self) -> f64 {
        if self.is_hold { HOLD_SCORE } else { 1.0 }
    }
}

impl Run {
    /// Sends a request over the flow of its caller, or keeps it until there is one.
    pub(super) fn send(&mut self, job: Job) {
        if job.deadline_ms <= self.context.now_ms {
            self.figures.timed_out += 1;
            return;
        }
        let Some(flow) = self.callers[job.caller].flow else {
            self.callers[job.caller].waiting.push(job);
            return;
        };
        let balancer = self.draw_balancer();
        let address = self.callers[job.caller].address;
        match self.balancers[balancer].steer(&address, &flow.datagram()) {
            SteeringDecision::Forward { agent, .. } => {
                let number = Agent::number_of(agent);
                self.note_packet(number);
                if !self.agents[number].is_powered {
                    self.wait_in_vain(job);
                } else if self.agents[number].record.incarnation == flow.incarnation {
                    self.arrive(number, job);
                } else {
                    self.reset(job);
                }
            }
            SteeringDecision::Reset { .. } => self.reset(job),
            SteeringDecision::Drop(_) => self.wait_in_vain(job),
        }
    }

    /// The caller's packet was answered with a reset, so its request was not run.
    fn reset(&mut self, job: Job) {
        self.callers[job.caller].waiting.push(job);
        self.lose_flow(job.caller, self.context.now_ms);
    }

    fn wait_in_vain(&mut self, job: Job) {
        self.schedule(job.deadline_ms, Due::Unanswered(job));
    }

    /// A caller that got no sign of its flow for the life of a request opens another.
    pub(super) fn give_up(&mut self, job: Job) {
        self.figures.timed_out += 1;
        let flow = self.callers[job.caller].flow;
        let is_reachable = flow.is_some_and(|flow| {
            let agent = &self.agents[flow.agent];
            !agent.is_out && agent.is_powered
        });
        if !is_reachable {
            self.lose_flow(job.caller, job.deadline_ms - TIMEOUT_MS);
        }
    }

    fn arrive(&mut self, number: usize, job: Job) {
        let left_ms = job.deadline_ms.saturating_sub(self.context.now_ms);
        let agent = &mut self.agents[number];
        let id = agent.harness.arrive(left_ms.clamp(1, TIMEOUT_MS));
        self.running.insert(Sent { agent: number, id }, job);
    }

    pub(super) fn end_request(&mut self, number: usize, ending: &Ending) {
        let sent = Sent {
            agent: number,
            id: ending.id,
        };
        let Some(job) = self.running.remove(&sent) else {
            return;
        };
        match ending.kind {
            EndingKind::Answered => self.answered(number, &job),
            EndingKind::Refused { retry_after_ms } => {
                if !self.relay(number, job) {
                    self.retry(job, retry_after_ms);
                }
            }
            EndingKind::Lost if job.is_hold => self.figures.unknown_holds += 1,
            EndingKind::Lost => self.retry(job, 0),
            EndingKind::TimedOut => self.figures.timed_out += 1,
        }
    }

    fn answered(&mut self, number: usize, job: &Job) {
        self.figures.serve(self.context.now_ms, job.score());
        if let Some(from) = job.relayed_by {
            let peer = self.agents[number].record.address;
            self.agents[from].relays.on_answer(peer);
        }
    }

    /// An agent passes on once what it refuses, where the policy lets it.
    fn relay(&mut self, from: usize, mut job: Job) -> bool {
        if let Some(first) = job.relayed_by {
            let peer = self.agents[from].record.address;
            let now_ms = self.context.now_ms;
            self.agents[first].relays.on_refusal(peer, now_ms);
            self.figures.relays_refused += 1;
            return false;
        }
        let Some(to) = self.draw_relay(from) else {
            return false;
        };
        job.relayed_by = Some(from);
        self.figures.relayed += 1;
        self.note_packet(to);
        self.arrive(to, job);
        true
    }

    fn draw_relay(&mut self, from: usize) -> Option<usize> {
        let is_impaired = self.agents[from].harness.gate().is_impaired();
        if !self.policy.relays() || !(is_impaired || self.policy.relays_to_room()) {
            return None;
        }
        let others = self.agents.iter().enumerate();
        let peers: Vec<AgentRecord> = others
            .filter(|(number, agent)| *number != from && !agent.is_out && agent.is_powered)
            .map(|(_, agent)| agent.record)
            .collect();
        let relays = if self.policy.relays_to_room() {
            self.agents[from].relays.clone()
        } else {
            OverflowRelays::default()
        };
        let picked = relays.choose_peer(&peers, &DomainSet::default(), &mut self.context);
        picked.map(Agent::number_of)
    }

    fn retry(&mut self, mut job: Job, told_ms: u32) {
        let pause_ms = self
            .retries
            .pause_ms(job.attempt, told_ms, &mut self.context);
        let Some(pause_ms) = pause_ms else {
            return;
        };
        job.attempt += 1;
        job.relayed_by = None;
        self.schedule_in(pause_ms, Due::Retry(job));
    }

    /// The flows of an agent are closed: holds are not sent again, everything else is.
    pub(super) fn fail_requests(&mut self, number: usize) {
        for job in self.take_requests(number) {
            if job.is_hold {
                self.figures.unknown_holds += 1;
            } else {
                self.schedule_in(1, Due::Retry(job));
            }
        }
    }

    /// The machine of an agent is gone: callers wait in vain.
    pub(super) fn drop_requests(&mut self, number: usize) {
        for job in self.take_requests(number) {
            self.wait_in_vain(job);
        }
    }

    fn take_requests(&mut self, number: usize) -> Vec<Job> {
        let ids = self.agents[number].harness.cancel_all();
        ids.into_iter()
            .filter_map(|id| self.running.remove(&Sent { agent: number, id }))
            .collect()
    }
}
