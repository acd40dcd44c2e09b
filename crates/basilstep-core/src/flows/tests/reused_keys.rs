//! A caller uses the address and port of one of its earlier flows again, or packets of the earlier
//! flow are late.

use super::{
    FLOW_MAX_AGE_MS, accepted, agent_ip, balancer_ip, balancer_with, bounced, context, data, flow,
    forward_header, from_target, held, report, serving_agent, syn, target_heartbeat,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentFlows, ForwardHeader, RequestKind, Returned, Segment, TargetPhase,
        agent::{CallerVerdict, HeartbeatState, TargetHeartbeat, TargetVerdict},
        balancer::Verdict,
    },
};
use rstest::rstest;

/// Later than all SYNs of a flow that was opened at 5,000 ms.
const REUSED_MS: u64 = 7_000;

/// An acknowledgement number of a flow at another target.
const OTHER_TARGET_ACKNOWLEDGED: u32 = 1 << 30;

fn origin() -> ForwardHeader {
    forward_header(balancer_ip(1))
}

/// An agent whose target holds a flow that was opened at 5,000 ms.
fn agent_with_flow() -> AgentFlows {
    let (mut agent, ctx) = serving_agent();
    agent.on_packet(&origin(), &syn(flow(1), 0), &ctx);
    agent.on_target_packet(&accepted(flow(1)), &ctx);
    agent.on_packet(&origin(), &data(flow(1), 0), &ctx);
    agent
}

/// A packet of the flow that the caller has opened elsewhere with the same key.
fn data_of_later_flow() -> Segment {
    Segment {
        acknowledged: OTHER_TARGET_ACKNOWLEDGED,
        ..data(flow(1), 10)
    }
}

fn returned(code: ResultCode) -> CallerVerdict {
    CallerVerdict::Return { code }
}

/// Guards against the reset of a flow that another target serves, because the earlier flow with
/// its key was lost here.
#[rstest]
#[case::opened_here(agent_with_flow())]
#[case::learned_by_a_search(agent_that_learned_the_flow())]
fn lost_flow_says_nothing_about_a_later_one_with_its_key(#[case] mut agent: AgentFlows) {
    assert_eq!(agent.on_target_ended(&context(6_000)).len(), 1);
    let search = ForwardHeader {
        is_search: true,
        ..origin()
    };
    let verdict = agent.on_packet(&search, &data_of_later_flow(), &context(6_500));
    assert_eq!(verdict, returned(ResultCode::FlowNotHeld));
    let verdict = agent.on_packet(&search, &data(flow(1), 10), &context(6_500));
    assert_eq!(verdict, returned(ResultCode::FlowLost));
}

fn agent_that_learned_the_flow() -> AgentFlows {
    let (mut agent, ctx) = serving_agent();
    agent.on_packet(&origin(), &data(flow(1), 10), &ctx);
    agent.on_target_packet(&from_target(data(flow(1), 0)), &ctx);
    agent
}

/// Guards against a reset that its caller ignores because its sequence number does not fit.
#[test]
fn reset_of_a_flow_that_was_learned_by_a_search_fits_the_callers_window() {
    let mut agent = agent_that_learned_the_flow();
    let lost = agent.on_target_ended(&context(6_000));
    assert_eq!(lost[0].sequence, 501);
}

/// Guards against the loss of a flow because a late packet of the earlier flow with its key has
/// bounced.
#[test]
fn bounce_of_an_earlier_flow_leaves_the_later_one_open() {
    let mut agent = agent_with_flow();
    let late = bounced(data_of_later_flow(), balancer_ip(1));
    let verdict = agent.on_target_packet(&late, &context(6_000));
    let code = ResultCode::FlowNotHeld;
    let origin = balancer_ip(1);
    assert_eq!(verdict, TargetVerdict::Return { origin, code });
    assert_eq!(agent.table().live(), 1);
}

/// Guards against a second target that has answered a copy of the SYN and gives its half of the
/// flow up after the agent has forgotten it: the caller has the flow open at the first one.
#[test]
fn late_reset_of_a_target_that_the_caller_did_not_choose_does_not_reach_the_caller() {
    let (mut agent, ctx) = serving_agent();
    agent.on_tick(&context(20_100));
    agent.on_target_heartbeat(&target_heartbeat(2), &context(20_100));
    agent.on_packet(&origin(), &syn(flow(1), 1), &context(20_200));
    agent.on_target_packet(&accepted(flow(1)), &context(20_200));
    agent.on_tick(&context(ctx.now_ms + 25_000));
    assert!(agent.table().get(&flow(1)).is_none());
    let mut reset = from_target(data(flow(1), 0));
    reset.flags.rst = true;
    let verdict = agent.on_target_packet(&reset, &context(30_100));
    assert_eq!(verdict, TargetVerdict::Drop);
}

/// Guards against new flows at a target that is leaving, through the key of a flow whose end the
/// agent has not seen.
#[test]
fn first_syn_with_the_key_of_an_open_flow_needs_admission() {
    let mut agent = agent_with_flow();
    let draining = TargetHeartbeat {
        state: HeartbeatState::Draining,
        ..target_heartbeat(2)
    };
    agent.on_target_heartbeat(&draining, &context(6_900));
    let verdict = agent.on_packet(&origin(), &syn(flow(1), 0), &context(REUSED_MS));
    assert_eq!(verdict, returned(ResultCode::Draining));
    let verdict = agent.on_packet(&origin(), &data(flow(1), 10), &context(REUSED_MS));
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
}

/// Guards against a flow that is forgotten early, or whose request does not count as work, because
/// of what the earlier flow with its key has sent.
#[test]
fn later_flow_with_the_same_key_starts_afresh_once_the_target_accepts_it() {
    let mut agent = agent_with_flow();
    let mut last = data(flow(1), 10);
    last.flags.fin = true;
    agent.on_packet(&origin(), &last, &context(5_100));
    agent.on_target_packet(&from_target(data(flow(1), 10)), &context(5_200));
    agent.take_advertisements();

    agent.on_packet(&origin(), &syn(flow(1), 0), &context(REUSED_MS));
    let answer = Segment {
        sequence: 90_000_000,
        ..accepted(flow(1))
    };
    agent.on_target_packet(&answer, &context(REUSED_MS));
    assert_eq!(agent.take_advertisements().len(), 1);
    let request = Segment {
        sequence: 10,
        acknowledged: 90_000_001,
        ..data(flow(1), 10)
    };
    let verdict = agent.on_packet(&origin(), &request, &context(REUSED_MS));
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
    assert_eq!(agent.table().at_work(), 1);
}

/// Guards against a late copy of an earlier SYN that takes an open flow from its caller.
#[test]
fn late_copy_of_a_syn_leaves_the_open_flow_as_it_is() {
    let mut agent = agent_with_flow();
    agent.on_packet(&origin(), &syn(flow(1), 0), &context(REUSED_MS));
    agent.on_target_packet(&accepted(flow(1)), &context(REUSED_MS));
    let verdict = agent.on_packet(&origin(), &data(flow(1), 10), &context(REUSED_MS));
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
    assert_eq!(agent.table().live(), 1);
}

/// Guards against a flow that a restarted agent has learned and that counts as a new one, because the
/// target repeats its answer to a late copy of the SYN.
#[test]
fn late_copy_of_a_syn_leaves_a_learned_flow_as_it_is() {
    let mut agent = agent_that_learned_the_flow();
    agent.on_packet(&origin(), &syn(flow(1), 0), &context(REUSED_MS));
    agent.on_target_packet(&accepted(flow(1)), &context(REUSED_MS));
    for sequence in (501..200_000).step_by(1_200) {
        let answer = Segment {
            sequence,
            ..from_target(data(flow(1), 1_200))
        };
        agent.on_target_packet(&answer, &context(REUSED_MS));
    }
    let after_long_answer = Segment {
        acknowledged: 200_000,
        ..data(flow(1), 10)
    };
    let verdict = agent.on_packet(&origin(), &after_long_answer, &context(REUSED_MS));
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
}

/// Guards against a handshake time of 0 ms in the metrics for each flow with a key that is used
/// again.
#[test]
fn handshake_of_a_later_flow_with_the_same_key_is_measured_from_its_syn() {
    let mut agent = agent_with_flow();
    agent.on_packet(&origin(), &syn(flow(1), 0), &context(REUSED_MS));
    let answer = Segment {
        sequence: 90_000_000,
        ..accepted(flow(1))
    };
    let verdict = agent.on_target_packet(&answer, &context(REUSED_MS + 30));
    let handshake_ms = Some(30);
    assert_eq!(verdict, TargetVerdict::ToCaller { handshake_ms });
}

/// Guards against the loss of an open flow by a late reset of its caller that belongs to an earlier
/// flow and that the target ignores.
#[test]
fn late_reset_by_the_caller_does_not_end_a_flow_that_goes_on() {
    let mut agent = agent_with_flow();
    let mut late = data(flow(1), 0);
    late.flags.rst = true;
    late.flags.ack = false;
    agent.on_packet(&origin(), &late, &context(5_100));
    agent.on_packet(&origin(), &data(flow(1), 10), &context(5_200));
    assert_eq!(agent.table().at_work(), 1);
    agent.on_tick(&context(11_000));
    assert!(agent.table().get(&flow(1)).is_some());
}

/// Guards against a caller that is kept waiting until it gives up, because its SYNs follow the hint
/// of an earlier flow to an agent that is gone.
#[test]
fn first_syn_does_not_follow_the_hint_of_an_earlier_flow() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::NonIdempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let serving = report(TargetPhase::Serving);
    balancer.on_report(agent_ip(2), serving, &context(15_000));
    let verdict = balancer.on_packet(&syn(flow(1), 0), &context(15_000));
    assert!(matches!(verdict, Verdict::Forward(next_hop) if next_hop.agent == agent_ip(2)));
}

/// Guards against a reset of a flow that is open at another target, because an agent has lost an
/// earlier flow with its key.
#[test]
fn loss_reported_by_another_agent_than_the_holder_resets_nothing() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let lost = Returned {
        code: ResultCode::FlowLost,
        service: super::service(),
    };
    let verdict = balancer.on_returned(agent_ip(2), lost, &data(flow(1), 10), &ctx);
    let code = ResultCode::FlowNotHeld;
    assert_eq!(verdict, Verdict::Drop { code });
}

/// Guards against a reset that its caller ignores: the agent in the hint has refused the packet,
/// and the answers may be trusted only later.
#[test]
fn late_reset_after_a_wrong_hint_fits_the_callers_window() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    balancer.on_pause(0, &ctx);
    let not_held = Returned {
        code: ResultCode::FlowNotHeld,
        service: super::service(),
    };
    let verdict = balancer.on_returned(agent_ip(1), not_held, &data(flow(1), 10), &ctx);
    assert!(matches!(verdict, Verdict::Drop { .. }));
    let at = context(ctx.now_ms + 400);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &at);
    balancer.on_returned(agent_ip(1), not_held, &data(flow(1), 10), &ctx);
    let lost = balancer.on_tick(&at).lost;
    let sequences: Vec<u32> = lost.iter().map(|lost| lost.sequence).collect();
    assert_eq!(sequences, [501]);
}

fn reset_of_target() -> Segment {
    let mut reset = from_target(data(flow(1), 0));
    reset.flags.rst = true;
    reset
}

/// When an open flow without packets has been discarded.
const DISCARDED_MS: u64 = 6_000 + FLOW_MAX_AGE_MS;

/// An agent that has discarded an open flow because it was idle; its target is still running.
fn agent_after_an_idle_flow() -> AgentFlows {
    let mut agent = agent_with_flow();
    agent.on_tick(&context(DISCARDED_MS));
    agent.on_target_heartbeat(&target_heartbeat(2), &context(DISCARDED_MS));
    assert!(agent.table().get(&flow(1)).is_none());
    agent
}

/// Guards against a caller that waits for an answer on an idle flow although its target has reset
/// the flow.
#[test]
fn reset_of_an_open_flow_that_was_idle_reaches_its_caller_once() {
    let mut agent = agent_after_an_idle_flow();
    let verdict = agent.on_target_packet(&reset_of_target(), &context(DISCARDED_MS + 100));
    assert!(matches!(verdict, TargetVerdict::ToCaller { .. }));
    let verdict = agent.on_target_packet(&reset_of_target(), &context(DISCARDED_MS + 200));
    assert_eq!(verdict, TargetVerdict::Drop);
}

/// Guards against the reset of a flow at another target, because an earlier flow with its key was
/// idle here.
#[test]
fn reset_of_a_flow_that_was_not_chosen_is_dropped_although_an_earlier_one_was_idle() {
    let mut agent = agent_after_an_idle_flow();
    agent.on_packet(&origin(), &syn(flow(1), 0), &context(DISCARDED_MS + 100));
    agent.on_target_packet(&accepted(flow(1)), &context(DISCARDED_MS + 100));
    agent.on_tick(&context(DISCARDED_MS + 6_000));
    assert!(agent.table().get(&flow(1)).is_none());
    let verdict = agent.on_target_packet(&reset_of_target(), &context(DISCARDED_MS + 6_000));
    assert_eq!(verdict, TargetVerdict::Drop);
}

/// Guards against a reset for an idle flow of an earlier incarnation of the target.
#[test]
fn reset_of_an_idle_flow_is_dropped_after_the_target_has_ended() {
    let mut agent = agent_after_an_idle_flow();
    agent.on_target_ended(&context(DISCARDED_MS + 1_000));
    let verdict = agent.on_target_packet(&reset_of_target(), &context(DISCARDED_MS + 1_100));
    assert_eq!(verdict, TargetVerdict::Drop);
}
