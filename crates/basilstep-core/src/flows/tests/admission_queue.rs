//! SYNs that wait at an agent: when they go to the target, and that failures return them.

use super::{
    accepted, balancer_ip, context, data, flow, forward_header, from_target, new_agent, revision,
    syn, target_heartbeat,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentFlows, ForwardHeader, ProcessIncarnation, ReportReply,
        agent::{CallerVerdict, HeartbeatState, QueueOutcome, ReleasedSyn, TargetHeartbeat},
    },
};
use rstest::rstest;

const CAPACITY: u16 = 2;
const GOAL_MS: u16 = 400;
const NOW_MS: u64 = 5_000;

fn header(level: u8, may_wait: bool) -> ForwardHeader {
    ForwardHeader {
        latency_goal_ms: GOAL_MS,
        priority_level: level,
        priority_levels: 2,
        may_wait,
        ..forward_header(balancer_ip(1))
    }
}

fn heartbeat(sequence: u64) -> TargetHeartbeat {
    TargetHeartbeat {
        capacity: CAPACITY,
        ..target_heartbeat(sequence)
    }
}

fn offer(agent: &mut AgentFlows, port: u16, header: &ForwardHeader, now_ms: u64) -> CallerVerdict {
    let (packet, ctx) = (syn(flow(port), 0), context(now_ms));
    let verdict = agent.on_packet(header, &packet, &ctx);
    if verdict == CallerVerdict::Queue {
        agent.queue_syn(header, &packet, &[port as u8], &ctx);
    }
    verdict
}

/// Sends a request on a flow that was admitted.
fn send_request(agent: &mut AgentFlows, port: u16, now_ms: u64) {
    let ctx = context(now_ms);
    agent.on_target_packet(&accepted(flow(port)), &ctx);
    agent.on_packet(&header(0, false), &data(flow(port), 100), &ctx);
}

fn answer(agent: &mut AgentFlows, port: u16, now_ms: u64) {
    agent.on_target_packet(&from_target(data(flow(port), 50)), &context(now_ms));
}

/// An agent whose fast target has as many requests at work as it may, all of the lower level; they
/// have the ports from 1 up to the returned number.
fn full_agent() -> (AgentFlows, u16) {
    let mut agent = new_agent();
    agent.on_target_heartbeat(&heartbeat(1), &context(NOW_MS));
    offer(&mut agent, 300, &header(1, false), NOW_MS - 1);
    send_request(&mut agent, 300, NOW_MS - 1);
    answer(&mut agent, 300, NOW_MS);
    let mut port = 0;
    loop {
        let verdict = offer(&mut agent, port + 1, &header(1, false), NOW_MS);
        if !matches!(verdict, CallerVerdict::Deliver { .. }) {
            return (agent, port);
        }
        port += 1;
        send_request(&mut agent, port, NOW_MS);
    }
}

fn outcomes(released: &[ReleasedSyn]) -> Vec<(u8, QueueOutcome)> {
    released
        .iter()
        .map(|syn| (syn.packet[0], syn.outcome))
        .collect()
}

const fn returned(code: ResultCode) -> CallerVerdict {
    CallerVerdict::Return { code }
}

/// Guards against SYNs that wait although their balancer can still ask other agents, or although
/// all routes have one priority.
#[rstest]
#[case::not_allowed(header(0, false))]
#[case::one_priority(ForwardHeader { priority_levels: 1, ..header(0, true) })]
#[case::late(ForwardHeader { latency_goal_ms: ForwardHeader::EXPIRED_GOAL_MS, ..header(0, true) })]
fn syn_that_may_not_wait_is_returned_at_once(#[case] header: ForwardHeader) {
    let (mut agent, _) = full_agent();
    let verdict = offer(&mut agent, 100, &header, NOW_MS);
    assert_eq!(verdict, returned(ResultCode::Overloaded));
}

/// Guards against a SYN that counts as offered, or as work of the target, while it only waits, and
/// against a lower level that goes first.
#[test]
fn response_admits_the_highest_level_that_waits() {
    let (mut agent, _) = full_agent();
    let at_work = agent.table().at_work();
    assert_eq!(
        offer(&mut agent, 100, &header(1, true), NOW_MS),
        CallerVerdict::Queue
    );
    assert_eq!(
        offer(&mut agent, 101, &header(0, true), NOW_MS),
        CallerVerdict::Queue
    );
    assert_eq!(agent.take_released(&context(NOW_MS)), []);
    assert!(agent.table().get(&flow(101)).is_none());
    assert_eq!(agent.table().at_work(), at_work);
    assert_eq!(agent.report(balancer_ip(1), &context(NOW_MS)).queued, 2);
    answer(&mut agent, 1, NOW_MS + 20);
    let released = agent.take_released(&context(NOW_MS + 20));
    assert_eq!(outcomes(&released), [(101, QueueOutcome::Admitted)]);
    assert_eq!(released[0].waited_ms, 20);
    let flow = agent.table().get(&flow(101)).unwrap();
    assert_eq!(flow.opened_ms, NOW_MS + 20);
    assert_eq!(agent.queued(), 1);
}

/// Guards against new SYNs that overtake those of their level that wait.
#[test]
fn new_syn_does_not_overtake_the_queue() {
    let (mut agent, _) = full_agent();
    offer(&mut agent, 100, &header(0, true), NOW_MS);
    answer(&mut agent, 1, NOW_MS + 20);
    let verdict = offer(&mut agent, 101, &header(0, false), NOW_MS + 20);
    assert_eq!(verdict, returned(ResultCode::Overloaded));
}

/// Guards against a SYN that is held for longer than a quarter of its latency goal.
#[test]
fn syn_that_is_not_admitted_in_time_is_returned() {
    let (mut agent, _) = full_agent();
    offer(&mut agent, 100, &header(0, true), NOW_MS);
    assert_eq!(agent.take_released(&context(NOW_MS + 99)), []);
    let released = agent.take_released(&context(NOW_MS + 100));
    assert_eq!(outcomes(&released), [(100, QueueOutcome::Expired)]);
    assert_eq!(released[0].verdict, returned(ResultCode::Overloaded));
    assert_eq!(agent.queued(), 0);
}

/// Guards against a SYN that waits although the target's measured service time shows that it
/// can't start in time.
#[test]
fn syn_that_cannot_start_in_time_is_returned_at_once() {
    let mut agent = new_agent();
    agent.on_target_heartbeat(&heartbeat(1), &context(NOW_MS));
    offer(&mut agent, 200, &header(0, false), NOW_MS);
    send_request(&mut agent, 200, NOW_MS);
    answer(&mut agent, 200, NOW_MS + 1_000);
    for port in 1..=3 {
        offer(&mut agent, port, &header(0, false), NOW_MS + 1_000);
        send_request(&mut agent, port, NOW_MS + 1_000);
    }
    let verdict = offer(&mut agent, 100, &header(0, true), NOW_MS + 1_000);
    assert_eq!(verdict, returned(ResultCode::Overloaded));
}

/// Guards against a lower level that is kept waiting for capacity that higher levels ask for.
#[test]
fn lower_level_does_not_wait_while_higher_ones_take_all_capacity() {
    let mut agent = new_agent();
    agent.on_target_heartbeat(&heartbeat(1), &context(NOW_MS));
    for port in 1..=4 {
        offer(&mut agent, port, &header(0, false), NOW_MS);
        send_request(&mut agent, port, NOW_MS);
    }
    let verdict = offer(&mut agent, 100, &header(1, true), NOW_MS);
    assert_eq!(verdict, returned(ResultCode::Overloaded));
    let verdict = offer(&mut agent, 101, &header(0, true), NOW_MS);
    assert_eq!(verdict, CallerVerdict::Queue);
}

/// Guards against a duplicated SYN that waits twice or becomes young again, and against one that
/// is returned to a balancer that is gone.
#[test]
fn duplicate_through_another_balancer_replaces_the_queued_syn() {
    let (mut agent, _) = full_agent();
    offer(&mut agent, 100, &header(0, true), NOW_MS);
    let other = ForwardHeader {
        origin: balancer_ip(2),
        ..header(0, false)
    };
    assert_eq!(
        offer(&mut agent, 100, &other, NOW_MS + 60),
        CallerVerdict::Queue
    );
    assert_eq!(agent.queued(), 1);
    let released = agent.take_released(&context(NOW_MS + 100));
    assert_eq!(outcomes(&released), [(100, QueueOutcome::Expired)]);
    assert_eq!(released[0].header.origin, balancer_ip(2));
    assert_eq!(released[0].waited_ms, 100);
}

/// Guards against a second copy of a flow that the caller has opened at another target.
#[test]
fn queued_syn_is_discarded_when_its_flow_was_opened_elsewhere() {
    let (mut agent, _) = full_agent();
    offer(&mut agent, 100, &header(0, true), NOW_MS);
    let ctx = context(NOW_MS + 10);
    agent.on_packet(&header(0, false), &data(flow(100), 10), &ctx);
    assert_eq!(agent.queued(), 0);
    assert_eq!(agent.take_released(&ctx), []);
}

fn drain(agent: &mut AgentFlows) {
    let draining = TargetHeartbeat {
        state: HeartbeatState::Draining,
        ..heartbeat(2)
    };
    agent.on_target_heartbeat(&draining, &context(NOW_MS));
}

fn restart_target(agent: &mut AgentFlows) {
    let next = TargetHeartbeat {
        born_ms: 20_000,
        ..heartbeat(1)
    };
    agent.on_target_heartbeat(&next, &context(NOW_MS));
}

fn end_target(agent: &mut AgentFlows) {
    agent.on_target_ended(&context(NOW_MS));
}

fn take_domain_out(agent: &mut AgentFlows) {
    let reply = ReportReply {
        incarnation: ProcessIncarnation(1),
        version: 1,
        revision: revision(2),
        is_domain_out: true,
        limits: None,
        balancers_hash: 0,
        former_report_age_ms: None,
    };
    agent.on_reply(&reply, &context(NOW_MS));
}

fn pause(agent: &mut AgentFlows) {
    agent.on_pause(&context(NOW_MS));
}

/// Guards against SYNs that wait at an agent or target that takes no new flows any more.
#[rstest]
#[case::stop(AgentFlows::stop, ResultCode::Draining)]
#[case::drain(drain, ResultCode::Draining)]
#[case::domain_out(take_domain_out, ResultCode::DomainOut)]
#[case::new_incarnation(restart_target, ResultCode::TargetUnreachable)]
#[case::target_ended(end_target, ResultCode::TargetUnreachable)]
#[case::pause(pause, ResultCode::Recovering)]
fn failure_returns_all_queued_syns_at_once(
    #[case] fail: fn(&mut AgentFlows),
    #[case] code: ResultCode,
) {
    let (mut agent, _) = full_agent();
    offer(&mut agent, 100, &header(1, true), NOW_MS);
    offer(&mut agent, 101, &header(0, true), NOW_MS);
    fail(&mut agent);
    let released = agent.take_released(&context(NOW_MS));
    let expected = [101, 100].map(|port| (port, QueueOutcome::Withdrawn));
    assert_eq!(outcomes(&released), expected);
    assert!(released.iter().all(|syn| syn.verdict == returned(code)));
    assert_eq!(agent.queued(), 0);
}

/// Guards against a queue without a bound.
#[test]
fn full_queue_returns_the_surplus() {
    let (mut agent, _) = full_agent();
    for port in 100..164 {
        offer(&mut agent, port, &header(1, true), NOW_MS);
    }
    offer(&mut agent, 200, &header(0, true), NOW_MS);
    assert_eq!(agent.queued(), 64);
    let released = agent.take_released(&context(NOW_MS));
    assert_eq!(outcomes(&released), [(163, QueueOutcome::Evicted)]);
}

/// Guards against a lower level that keeps waiting at a target that has become idle.
#[test]
fn idle_target_admits_any_level_that_waits() {
    let (mut agent, last) = full_agent();
    offer(&mut agent, 100, &header(1, true), NOW_MS);
    for port in 1..=last {
        answer(&mut agent, port, NOW_MS + 30);
    }
    let released = agent.take_released(&context(NOW_MS + 30));
    assert_eq!(outcomes(&released), [(100, QueueOutcome::Admitted)]);
}
