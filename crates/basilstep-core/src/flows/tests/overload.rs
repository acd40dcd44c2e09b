//! More callers than a target can serve, for example when all of them return after an outage.

use super::{
    accepted, balancer_ip, context, data, flow, forward_header, from_target, new_agent, syn,
    target_heartbeat,
};
use crate::flows::{
    AgentFlows, FlowKey, ForwardHeader,
    agent::{CallerVerdict, TargetHeartbeat},
};
use rstest::rstest;
use std::collections::{BTreeMap, VecDeque};

/// A target that processes some requests at once and queues the others.
struct Target {
    slots: usize,
    work_ms: u64,
    running: Vec<(FlowKey, u64)>,
    queued: VecDeque<FlowKey>,
}

impl Target {
    fn enqueue(&mut self, flow: FlowKey) {
        self.queued.push_back(flow);
    }

    fn step(&mut self, now_ms: u64) -> Vec<FlowKey> {
        let done: Vec<FlowKey> = self
            .running
            .iter()
            .filter(|(_, until_ms)| *until_ms <= now_ms)
            .map(|(flow, _)| *flow)
            .collect();
        self.running.retain(|(_, until_ms)| *until_ms > now_ms);
        while self.running.len() < self.slots
            && let Some(flow) = self.queued.pop_front()
        {
            self.running.push((flow, now_ms + self.work_ms));
        }
        done
    }
}

/// The outcome of the requests of a run.
#[derive(Debug, Default)]
struct Outcome {
    within_goal: usize,
    late: usize,
}

/// Offers one flow each `gap_ms` for two seconds, each with one request, and serves the accepted
/// ones.
fn overload(slots: u16, work_ms: u64, goal_ms: u16, gap_ms: u64) -> Outcome {
    let mut agent = new_agent();
    let warm = TargetHeartbeat {
        capacity: slots,
        ..target_heartbeat(1)
    };
    agent.on_target_heartbeat(&warm, &context(1_000));
    let mut target = Target {
        slots: usize::from(slots),
        work_ms,
        running: Vec::new(),
        queued: VecDeque::new(),
    };
    let mut asked: BTreeMap<FlowKey, u64> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut port = 0;
    for now_ms in 1_000..3_000 {
        let ctx = context(now_ms);
        for flow in target.step(now_ms) {
            agent.on_target_packet(&from_target(data(flow, 50)), &ctx);
            let took_ms = now_ms - asked[&flow];
            if took_ms <= u64::from(goal_ms) {
                outcome.within_goal += 1;
            } else {
                outcome.late += 1;
            }
        }
        if now_ms % gap_ms == 0 {
            port += 1;
            if is_admitted(&mut agent, flow(port), goal_ms, now_ms) {
                asked.insert(flow(port), now_ms);
                target.enqueue(flow(port));
            }
        }
        agent.on_tick(&ctx);
    }
    outcome
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
    let outcome = overload(slots, work_ms, goal_ms, gap_ms);
    let served = outcome.within_goal + outcome.late;
    let servable = 2_000 * usize::from(slots) / work_ms as usize;
    assert!(outcome.within_goal * 100 >= served * 95, "{outcome:?}");
    assert!(served * 100 >= servable * 90, "{served} of {servable}");
}
