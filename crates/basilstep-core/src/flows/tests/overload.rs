//! More callers than a target can serve, for example when all of them return after an outage.

use super::{
    accepted, balancer_ip, context, data, flow, forward_header, from_target, new_agent, syn,
    target::Target, target_heartbeat,
};
use crate::flows::{
    AgentFlows, FlowKey, ForwardHeader,
    agent::{CallerVerdict, TargetHeartbeat},
};
use rstest::rstest;
use std::collections::BTreeMap;

/// The outcome of the requests with one latency goal.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    offered: usize,
    within_goal: usize,
    late: usize,
}

/// An agent with its target, and the requests that were offered to it.
pub(super) struct Run {
    pub(super) agent: AgentFlows,
    target: Target,
    pub(super) work_ms: u64,
    admitted: BTreeMap<FlowKey, AdmittedRequest>,
    outcomes: BTreeMap<u16, Outcome>,
    next_port: u16,
}

struct AdmittedRequest {
    goal_ms: u16,
    since_ms: u64,
}

impl Run {
    fn start(slots: u16, work_ms: u64) -> Self {
        Self::start_with(new_agent(), slots, work_ms)
    }

    pub(super) fn start_with(mut agent: AgentFlows, slots: u16, work_ms: u64) -> Self {
        let warm = TargetHeartbeat {
            capacity: slots,
            ..target_heartbeat(1)
        };
        agent.on_target_heartbeat(&warm, &context(1_000));
        Self {
            agent,
            target: Target::new(slots),
            work_ms,
            admitted: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            next_port: 1,
        }
    }

    /// Answers the requests that the target has finished by `now_ms`.
    pub(super) fn step(&mut self, now_ms: u64) {
        let ctx = context(now_ms);
        for flow in self.target.step(now_ms) {
            let answer = from_target(data(flow, 50));
            self.agent.on_target_packet(&answer, &ctx);
            let request = &self.admitted[&flow];
            let outcome = self.outcomes.entry(request.goal_ms).or_default();
            if now_ms - request.since_ms <= u64::from(request.goal_ms) {
                outcome.within_goal += 1;
            } else {
                outcome.late += 1;
            }
        }
        self.agent.on_tick(&ctx);
    }

    /// Offers a new flow with one request of which `goal_ms` is left.
    pub(super) fn offer(&mut self, goal_ms: u16, now_ms: u64) {
        let flow = flow(self.next_port);
        self.next_port += 1;
        self.outcomes.entry(goal_ms).or_default().offered += 1;
        if is_admitted(&mut self.agent, flow, goal_ms, now_ms) {
            let request = AdmittedRequest {
                goal_ms,
                since_ms: now_ms,
            };
            self.admitted.insert(flow, request);
            self.target.enqueue(flow, self.work_ms);
        }
    }

    fn outcome_of(&self, goal_ms: u16) -> Outcome {
        self.outcomes.get(&goal_ms).copied().unwrap_or_default()
    }
}

fn is_admitted(agent: &mut AgentFlows, flow: FlowKey, goal_ms: u16, now_ms: u64) -> bool {
    let ctx = context(now_ms);
    let origin = ForwardHeader {
        latency_goal_ms: goal_ms,
        ..forward_header(balancer_ip(1))
    };
    let verdict = agent.on_packet(&origin, &syn(flow, 0), &ctx);
    if !matches!(verdict, CallerVerdict::Deliver { .. }) {
        return false;
    }
    agent.on_target_packet(&accepted(flow), &ctx);
    agent.on_packet(&origin, &data(flow, 100), &ctx);
    true
}

/// Callers return after an outage: 0.8 of what the target can serve are new requests, and as many
/// again are late already when they arrive. New requests are answered in time, and the late ones
/// get what is left.
#[test]
fn late_requests_do_not_delay_those_that_can_be_in_time() {
    const GOAL_MS: u16 = 100;
    const EXPIRED_GOAL_MS: u16 = 1;
    let mut run = Run::start(2, 24);
    for now_ms in 1_000..3_000 {
        run.step(now_ms);
        if now_ms % 15 == 0 {
            run.offer(EXPIRED_GOAL_MS, now_ms);
            run.offer(GOAL_MS, now_ms);
        }
    }
    let new = run.outcome_of(GOAL_MS);
    let late = run.outcome_of(EXPIRED_GOAL_MS);
    assert!(new.within_goal * 100 >= new.offered * 98, "{new:?}");
    assert!(late.late * 100 >= late.offered * 5, "{late:?}");
}

/// Three times the load that the target can serve: accepted requests are answered in time, and the
/// target is never idle.
#[rstest]
#[case::two_slots_fast_requests(2, 27, 100, 4)]
#[case::nine_slots_slow_requests(9, 90, 250, 3)]
#[case::four_slots_slow_requests(4, 90, 400, 7)]
fn admitted_requests_are_answered_in_time(
    #[case] slots: u16,
    #[case] work_ms: u64,
    #[case] goal_ms: u16,
    #[case] gap_ms: u64,
) {
    let mut run = Run::start(slots, work_ms);
    for now_ms in 1_000..3_000 {
        run.step(now_ms);
        if now_ms % gap_ms == 0 {
            run.offer(goal_ms, now_ms);
        }
    }
    let outcome = run.outcome_of(goal_ms);
    let served = outcome.within_goal + outcome.late;
    let servable = 2_000 * usize::from(slots) / work_ms as usize;
    assert!(outcome.within_goal * 100 >= served * 95, "{outcome:?}");
    assert!(served * 100 >= servable * 90, "{served} of {servable}");
}
