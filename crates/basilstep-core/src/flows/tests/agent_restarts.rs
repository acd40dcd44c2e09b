//! Agents restart in series beside living targets: the flow of a living target is not reset before
//! its agent's new process has been asked and has refused it.

use super::{agent_ip, balancer_with, context, data, flow, held, report};
use crate::{
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, ProcessIncarnation, RequestKind, Returned, TargetPhase,
        balancer::{SearchPacket, Verdict},
    },
};
use rstest::rstest;

/// The agent that restarts; agent 1 runs all the while.
const RESTARTING: u8 = 2;

const STOPPED_MS: u64 = 10_000;
const STARTED_MS: u64 = 10_400;

/// How long a target that runs takes to answer, at most.
const ANSWER_MS: u64 = 200;

fn stop(balancer: &mut BalancerFlows) {
    let stopping = AgentReport {
        is_stopping: true,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(RESTARTING), stopping, &context(STOPPED_MS));
}

/// Reports that the agent runs and its target has not sent a heartbeat to it yet.
fn report_unheard(balancer: &mut BalancerFlows, now_ms: u64) {
    let unheard = AgentReport {
        incarnation: ProcessIncarnation(2),
        ..report(TargetPhase::Unknown)
    };
    let ctx = context(now_ms);
    balancer.on_report(agent_ip(RESTARTING), unheard, &ctx);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
}

/// Reports the agent's new incarnation, whose target has not sent a heartbeat to it yet; returns
/// what it is asked.
fn restart(balancer: &mut BalancerFlows) -> Vec<SearchPacket> {
    let restarted = AgentReport {
        incarnation: ProcessIncarnation(2),
        ..report(TargetPhase::Unknown)
    };
    let ctx = context(STARTED_MS);
    balancer.on_report(agent_ip(RESTARTING), restarted, &ctx);
    balancer.take_search_packets(agent_ip(RESTARTING))
}

/// A packet of a flow without a hint arrives; agent 1 does not hold the flow.
fn send_packet(balancer: &mut BalancerFlows, now_ms: u64) {
    let packet = data(flow(1), 100);
    let ctx = context(now_ms);
    if let Verdict::Search(_) = balancer.on_packet(&packet, &ctx) {
        balancer.keep_search_packet(&packet, b"packet");
    }
    balancer.on_returned(agent_ip(1), not_held(), &packet, &ctx);
}

fn not_held() -> Returned {
    Returned {
        code: ResultCode::FlowNotHeld,
        service: super::service(),
    }
}

fn lost_until(balancer: &mut BalancerFlows, from_ms: u64, until_ms: u64) -> Option<u64> {
    (from_ms..until_ms)
        .step_by(10)
        .find(|now_ms| !balancer.on_tick(&context(*now_ms)).lost.is_empty())
}

#[rstest]
#[case::before_the_stop(STOPPED_MS - 10)]
#[case::during_the_stop(STOPPED_MS + 10)]
#[case::just_before_the_start(STARTED_MS - 10)]
fn new_process_is_asked_at_once(#[case] searched_ms: u64) {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    if searched_ms < STOPPED_MS {
        send_packet(&mut balancer, searched_ms);
        stop(&mut balancer);
    } else {
        stop(&mut balancer);
        send_packet(&mut balancer, searched_ms);
    }
    let asked = restart(&mut balancer);
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].next_hop.agent, agent_ip(RESTARTING));
    assert!(asked[0].next_hop.header.is_search);
    assert_eq!(asked[0].packet, b"packet");
    let lost_ms = lost_until(&mut balancer, searched_ms, STARTED_MS + ANSWER_MS);
    assert_eq!(lost_ms, None);
}

#[test]
fn living_target_keeps_its_flow_without_heartbeats() {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    stop(&mut balancer);
    send_packet(&mut balancer, STOPPED_MS + 200);
    restart(&mut balancer);
    let ctx = context(STARTED_MS + 50);
    balancer.on_held_flows(agent_ip(RESTARTING), &held(0, flow(1)), &ctx);
    assert_eq!(lost_until(&mut balancer, STARTED_MS, 12_000), None);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(STARTED_MS + 300));
    assert!(matches!(verdict, Verdict::Forward(_)));
}

#[test]
fn ended_target_that_denies_the_flow_costs_its_caller_nothing() {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    stop(&mut balancer);
    send_packet(&mut balancer, STOPPED_MS + 200);
    restart(&mut balancer);
    let packet = data(flow(1), 100);
    let ctx = context(STARTED_MS + 5);
    let verdict = balancer.on_returned(agent_ip(RESTARTING), not_held(), &packet, &ctx);
    assert!(matches!(verdict, Verdict::Reset { .. }));
}

/// Guards against the silence of a target being taken for a refusal: a target that holds the flow and
/// is at work on its request need not answer, one that does not hold it returns the packet at once.
#[rstest]
#[case::for_longer_than_a_request_takes(1_000)]
#[case::for_longer_than_the_heartbeat_interval(4_000)]
fn busy_target_that_says_nothing_keeps_its_flow(#[case] silent_ms: u64) {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    stop(&mut balancer);
    send_packet(&mut balancer, STOPPED_MS + 200);
    restart(&mut balancer);
    for after_ms in (0..silent_ms).step_by(50) {
        let now_ms = STARTED_MS + after_ms;
        report_unheard(&mut balancer, now_ms);
        if after_ms % 400 == 0 {
            send_packet(&mut balancer, now_ms);
        }
        assert!(
            balancer.on_tick(&context(now_ms)).lost.is_empty(),
            "{now_ms} ms"
        );
    }
    let ctx = context(STARTED_MS + silent_ms);
    balancer.on_held_flows(agent_ip(RESTARTING), &held(0, flow(1)), &ctx);
    let verdict = balancer.on_packet(&data(flow(1), 100), &ctx);
    assert!(matches!(verdict, Verdict::Forward(_)));
}

/// Guards against a caller that waits although the target of its flow is known to have ended: the
/// agent is asked again as soon as it says so, or as soon as its target is back.
#[rstest]
#[case::target_does_not_listen(TargetPhase::Down)]
#[case::target_is_back(TargetPhase::Serving)]
fn agent_whose_state_changes_is_asked_again(#[case] phase: TargetPhase) {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    stop(&mut balancer);
    send_packet(&mut balancer, STOPPED_MS + 200);
    assert_eq!(restart(&mut balancer).len(), 1);
    let changed = AgentReport {
        incarnation: ProcessIncarnation(2),
        ..report(phase)
    };
    let ctx = context(STARTED_MS + 100);
    assert!(balancer.on_report(agent_ip(RESTARTING), changed, &ctx));
    assert_eq!(balancer.take_search_packets(agent_ip(RESTARTING)).len(), 1);
    let packet = data(flow(1), 100);
    let verdict = balancer.on_returned(agent_ip(RESTARTING), not_held(), &packet, &ctx);
    assert!(matches!(verdict, Verdict::Reset { .. }));
}

/// The time for which an earlier process of the agent was asked does not count.
#[test]
fn agent_that_restarts_twice_is_asked_twice() {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    stop(&mut balancer);
    send_packet(&mut balancer, STOPPED_MS + 200);
    restart(&mut balancer);
    let restarted_again = AgentReport {
        incarnation: ProcessIncarnation(3),
        ..report(TargetPhase::Unknown)
    };
    let ctx = context(STARTED_MS + 150);
    balancer.on_report(agent_ip(RESTARTING), restarted_again, &ctx);
    let asked = balancer.take_search_packets(agent_ip(RESTARTING));
    assert_eq!(asked.len(), 1);
    let lost_ms = lost_until(&mut balancer, STARTED_MS, STARTED_MS + 350);
    assert_eq!(lost_ms, None);
}

#[test]
fn report_of_the_same_process_asks_nothing_again() {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    send_packet(&mut balancer, STOPPED_MS);
    let ctx = context(STOPPED_MS + 50);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    assert!(balancer.take_search_packets(agent_ip(1)).is_empty());
}
