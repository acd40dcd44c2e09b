//! What an agent measures of its target.

use super::{
    accepted, balancer_ip, context, data, flow, forward_header, from_target, health_settings,
    new_agent_with_settings, overload::Run, reset, syn, target_heartbeat,
};
use crate::flows::{
    AgentFlows, FlowSettings, ProcessIncarnation,
    agent::{HealthReading, TargetHeartbeat},
};
use rstest::rstest;
use std::ops::Range;

const START_MS: u64 = 5_000;
const TICK_MS: u64 = 50;

/// An agent whose target answers requests when told to, each on a flow of its own.
struct Requests {
    agent: AgentFlows,
    now_ms: u64,
}

impl Requests {
    fn new(settings: &FlowSettings) -> Self {
        let mut agent = new_agent_with_settings(settings, ProcessIncarnation(1));
        agent.on_target_heartbeat(&target_heartbeat(1), &context(START_MS));
        Self {
            agent,
            now_ms: START_MS,
        }
    }

    /// Lets time pass with a tick at least every 50 ms, as in the agent process.
    fn wait(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + TICK_MS);
            self.agent.on_tick(&context(self.now_ms));
        }
    }

    /// Lets time pass in which the agent process does not run.
    fn stall(&mut self, duration_ms: u64) {
        self.now_ms += duration_ms;
    }

    fn tick(&mut self) {
        self.agent.on_tick(&context(self.now_ms));
    }

    fn send(&mut self, ports: Range<u16>) {
        let ctx = context(self.now_ms);
        let header = forward_header(balancer_ip(1));
        for flow in ports.map(flow) {
            self.agent.on_packet(&header, &syn(flow, 0), &ctx);
            self.agent.on_target_packet(&accepted(flow), &ctx);
            self.agent.on_packet(&header, &data(flow, 100), &ctx);
        }
    }

    fn answer(&mut self, ports: Range<u16>) {
        for flow in ports.map(flow) {
            let answer = from_target(data(flow, 50));
            self.agent.on_target_packet(&answer, &context(self.now_ms));
        }
    }

    fn reset_by_target(&mut self, ports: Range<u16>) {
        for packet in ports.map(|port| from_target(reset(flow(port)))) {
            self.agent.on_target_packet(&packet, &context(self.now_ms));
        }
    }

    fn reset_by_caller(&mut self, ports: Range<u16>) {
        let header = forward_header(balancer_ip(1));
        for packet in ports.map(|port| reset(flow(port))) {
            self.agent
                .on_packet(&header, &packet, &context(self.now_ms));
        }
    }

    /// Sends `count` requests one after the other, each answered after `service_time_ms`.
    fn serve(&mut self, count: u16, service_time_ms: u64) {
        for port in 1_000..1_000 + count {
            self.send(port..port + 1);
            self.wait(service_time_ms);
            self.answer(port..port + 1);
            self.reset_by_caller(port..port + 1);
        }
    }

    fn reading(&self) -> HealthReading {
        self.agent.health_reading(&context(self.now_ms))
    }
}

fn serving(service_time_ms: u64) -> Requests {
    let mut requests = Requests::new(&health_settings());
    requests.serve(20, service_time_ms);
    requests
}

/// Guards against reports that change placement where the health of targets is not part of the
/// contracts.
#[test]
fn nothing_is_reported_unless_enabled() {
    let mut requests = Requests::new(&FlowSettings::default());
    requests.serve(20, 50);
    let report = requests
        .agent
        .report(balancer_ip(1), &context(requests.now_ms));
    assert_eq!((report.service_time_ms, report.failure_permille), (0, 0));
    assert_eq!(requests.agent.take_health_change(&context(60_000)), None);
}

/// Guards against counting the time in the target's queue: eight requests at a target that processes
/// four at once take 100 ms each.
#[test]
fn time_in_the_queue_does_not_count() {
    let mut requests = Requests::new(&health_settings());
    requests.send(1..9);
    requests.wait(100);
    requests.answer(1..5);
    requests.wait(100);
    requests.answer(5..9);
    assert_eq!(requests.reading().service_time_ms, 100);
}

/// Guards against a hanging target that is only found when its callers give up.
#[test]
fn hanging_target_is_slow_before_any_answer() {
    let mut requests = serving(20);
    requests.send(1..5);
    requests.wait(300);
    assert!(requests.reading().service_time_ms >= 100);
    let mut new = Requests::new(&health_settings());
    new.send(1..5);
    new.wait(300);
    assert_eq!(new.reading().service_time_ms, 300);
}

/// Guards against a target that counts as slow for one of the requests that take seven times as long
/// at any target.
#[test]
fn single_long_request_does_not_make_a_target_slow() {
    let mut requests = serving(20);
    requests.send(1..2);
    requests.wait(140);
    assert!(requests.reading().service_time_ms < 40);
}

/// Guards against targets that stay slow for many seconds because they get few requests.
#[test]
fn recovery_shows_in_few_requests() {
    let mut requests = serving(140);
    for _ in 0..3 {
        requests.wait(480);
        requests.serve(1, 20);
    }
    assert!(requests.reading().service_time_ms < 40);
}

/// Guards against failures that are not counted, and against counting requests that callers no longer
/// need.
#[rstest]
#[case::target_reset(Some(true), 10, true)]
#[case::caller_cancelled(Some(false), 10, false)]
#[case::caller_gave_up(Some(false), 1_500, true)]
#[case::hanging(None, 3_100, true)]
fn requests_that_end_without_an_answer_are_counted(
    #[case] reset_by_target: Option<bool>,
    #[case] after_ms: u64,
    #[case] is_failure: bool,
) {
    let mut requests = serving(20);
    requests.send(1..5);
    requests.wait(after_ms);
    match reset_by_target {
        Some(true) => requests.reset_by_target(1..5),
        Some(false) => requests.reset_by_caller(1..5),
        None => {}
    }
    let failure_permille = requests.reading().failure_permille;
    assert_eq!(failure_permille >= 150, is_failure, "{failure_permille}");
    requests.wait(6_000);
    assert_eq!(requests.reading().failure_permille, 0);
}

/// Guards against a target that counts as slow or failing because its agent did not run for a while:
/// the answers arrived in time but were read late. The first event afterwards is a tick or a packet.
#[rstest]
#[case::slow_before_a_tick(1_000, true)]
#[case::slow_before_a_packet(1_000, false)]
#[case::failing_before_a_tick(3_500, true)]
#[case::failing_before_a_packet(3_500, false)]
fn stall_of_the_agent_is_no_evidence_about_its_target(
    #[case] stall_ms: u64,
    #[case] is_tick_first: bool,
) {
    let mut requests = serving(20);
    let before = requests.reading();
    requests.send(1..9);
    requests.stall(stall_ms);
    if is_tick_first {
        requests.tick();
        assert_eq!(requests.reading(), before);
    }
    requests.answer(1..9);
    requests.tick();
    assert_eq!(requests.reading(), before);
    requests.reset_by_caller(1..9);
    requests.serve(20, 140);
    assert!(requests.reading().service_time_ms >= 100);
}

/// Guards against a hanging target that is not found because its agent does not run for a short time
/// now and then.
#[test]
fn requests_that_hang_count_as_failures_in_spite_of_stalls() {
    let mut requests = serving(20);
    requests.send(1..5);
    for _ in 0..6 {
        requests.wait(400);
        requests.stall(200);
    }
    requests.tick();
    assert!(requests.reading().failure_permille >= 150);
}

/// Guards against a new incarnation that is avoided for the failures of the earlier one.
#[test]
fn new_incarnation_starts_anew() {
    let mut requests = serving(140);
    requests.send(1..5);
    requests.wait(3_100);
    assert!(requests.reading().failure_permille > 0);
    let heartbeat = TargetHeartbeat {
        born_ms: 20_000,
        ..target_heartbeat(1)
    };
    let ctx = context(requests.now_ms);
    requests.agent.on_target_heartbeat(&heartbeat, &ctx);
    assert_eq!(requests.reading(), HealthReading::default());
}

/// Guards against a report to all balancers at each of many changes.
#[test]
fn changes_are_reported_at_most_once_in_a_second() {
    let mut requests = serving(20);
    let mut reported_ms = Vec::new();
    for round in 0..30 {
        requests.serve(10, if round % 2 == 0 { 140 } else { 20 });
        let ctx = context(requests.now_ms);
        if requests.agent.take_health_change(&ctx).is_some() {
            reported_ms.push(ctx.now_ms);
        }
    }
    assert!(reported_ms.len() >= 5, "{reported_ms:?}");
    let is_bounded = |pair: &[u64]| pair[1] >= pair[0] + 1_000;
    assert!(reported_ms.windows(2).all(is_bounded), "{reported_ms:?}");
}

/// Load: 0.3 of the capacity and then 50% above it; then the target turns 7 times slower while its
/// queue is full, so that each answer comes from the queue. Without the measurement of queued requests
/// the agent goes on to admit four times the capacity (8) instead of 1.5 times (3).
#[rstest]
#[case::unmeasured(FlowSettings::default(), 8)]
#[case::measured(health_settings(), 3)]
fn work_limit_follows_a_target_that_turns_slow_with_a_full_queue(
    #[case] settings: FlowSettings,
    #[case] expected_at_work: usize,
) {
    const GOAL_MS: u16 = 250;
    let agent = new_agent_with_settings(&settings, ProcessIncarnation(1));
    let mut run = Run::start_with(agent, 2, 20);
    let mut max_at_work = 0;
    for now_ms in 1_000..7_000 {
        if now_ms == 3_000 {
            run.work_ms = 140;
        }
        run.step(now_ms);
        let gap_ms = if now_ms < 2_000 { 33 } else { 7 };
        if now_ms % gap_ms == 0 {
            run.offer(GOAL_MS, now_ms);
        }
        if now_ms >= 6_000 {
            max_at_work = max_at_work.max(run.agent.table().at_work());
        }
    }
    assert_eq!(max_at_work, expected_at_work);
}
