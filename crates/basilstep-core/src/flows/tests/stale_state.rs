//! What processes still know of earlier states: routes that were removed, former incarnations, and
//! reports from before a stall.

use super::{
    DRAIN_MS, FLOW_MAX_AGE_MS, accepted, agent_ip, balancer_ip, balancer_with, context, data,
    first_heartbeat, fleet_settings, flow, forward_header, hear_target_for_long, heartbeat, held,
    new_agent, report, service, serving_agent, syn, target_heartbeat,
};
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        AgentReport, BalancerFlows, FlowSettings, InstanceTag, ProcessIncarnation, RequestKind,
        Returned, TargetPhase,
        agent::{CallerVerdict, HeartbeatOutcome, HeartbeatState, TargetHeartbeat},
        balancer::Verdict,
    },
};
use rstest::rstest;

/// A balancer that knows agents 1 to `agents` and whose only route has just been removed.
fn balancer_without_its_route(agents: u8) -> (BalancerFlows, Context) {
    let (mut balancer, ctx) = balancer_with(agents, RequestKind::Idempotent);
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version = 2;
    settings.table.routes.clear();
    balancer.on_fleet_settings(settings, &ctx);
    (balancer, ctx)
}

/// Guards against the reset of an open flow by a balancer that has no hint of it, when operators
/// have removed its route.
#[test]
fn open_flow_is_found_after_its_route_was_removed() {
    let (mut balancer, ctx) = balancer_without_its_route(2);
    let verdict = balancer.on_packet(&data(flow(1), 100), &ctx);
    assert!(matches!(verdict, Verdict::Search(next_hops) if next_hops.len() == 2));
    let verdict = balancer.on_packet(&syn(flow(2), 0), &ctx);
    let code = ResultCode::UnknownService;
    assert_eq!(verdict, Verdict::Reset { code });
}

/// Guards against searches at all agents for flows of addresses whose route was removed long ago.
#[test]
fn removed_route_is_forgotten_when_its_flows_have_been_idle_for_too_long() {
    let (mut balancer, ctx) = balancer_without_its_route(1);
    let end_ms = ctx.now_ms + FlowSettings::default().hints.idle_ms;
    for (port, now_ms, is_kept) in [(1, end_ms, true), (2, end_ms + 1, false)] {
        let later = context(now_ms);
        balancer.on_tick(&later);
        balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &later);
        let verdict = balancer.on_packet(&data(flow(port), 100), &later);
        assert_eq!(
            matches!(verdict, Verdict::Search(_)),
            is_kept,
            "{verdict:?}"
        );
    }
}

/// The state of a balancer without agents that gets a SYN for an address without a route.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
struct SettingsState {
    confirmed_ms: Option<u64>,
    paused_ms: Option<u64>,
    syn_ms: u64,
}

const CONFIRMED: SettingsState = SettingsState {
    confirmed_ms: Some(9_900),
    paused_ms: None,
    syn_ms: 10_000,
};

/// Guards against callers that wait for their last SYN although the address has no route, and
/// against a reset by a balancer that may lack a new route.
#[rstest]
#[case::confirmed(CONFIRMED, true)]
#[case::never_confirmed(SettingsState { confirmed_ms: None, ..CONFIRMED }, false)]
#[case::just_started(SettingsState { confirmed_ms: Some(100), syn_ms: 200, ..CONFIRMED }, false)]
#[case::paused(SettingsState { paused_ms: Some(9_950), syn_ms: 10_500, ..CONFIRMED }, false)]
#[case::nearly_too_old(SettingsState { syn_ms: 11_899, ..CONFIRMED }, true)]
#[case::too_old(SettingsState { syn_ms: 11_900, ..CONFIRMED }, false)]
fn syn_without_a_route_is_refused_without_agents_if_settings_are_confirmed(
    #[case] state: SettingsState,
    #[case] is_refused: bool,
) {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    if let Some(at_ms) = state.confirmed_ms {
        balancer.on_settings_confirmed(at_ms);
    }
    if let Some(at_ms) = state.paused_ms {
        balancer.on_pause(0, &context(at_ms));
        balancer.on_backlog_read();
    }
    let mut unknown = flow(1);
    unknown.service_address.set_port(9);
    let verdict = balancer.on_packet(&syn(unknown, 0), &context(state.syn_ms));
    let code = ResultCode::UnknownService;
    let expected = if is_refused {
        Verdict::Reset { code }
    } else {
        Verdict::Drop { code }
    };
    assert_eq!(verdict, expected);
}

/// Guards against a late report of an agent's former incarnation that makes its former state valid
/// again.
#[test]
fn report_of_a_former_incarnation_changes_nothing() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let restarted = AgentReport {
        incarnation: ProcessIncarnation(2),
        ..report(TargetPhase::Draining)
    };
    assert!(balancer.on_report(agent_ip(1), restarted, &ctx));
    let late = report(TargetPhase::Serving);
    assert!(!balancer.on_report(agent_ip(1), late, &ctx));
    let verdict = balancer.on_packet(&syn(flow(1), 0), &ctx);
    assert!(matches!(verdict, Verdict::Drop { .. }));
    let reply = balancer.reply_to(agent_ip(1), &restarted, &context(ctx.now_ms + 700));
    assert_eq!(reply.former_report_age_ms, Some(700));
}

/// Guards against a running agent that counts as silent until it is forgotten, because a late report
/// of the incarnation before the former one has made the present one a former one.
#[test]
fn present_incarnation_is_heard_again_after_a_late_report_of_an_older_one() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let of_incarnation = |number| AgentReport {
        incarnation: ProcessIncarnation(number),
        ..report(TargetPhase::Serving)
    };
    for number in [2, 3, 1] {
        balancer.on_report(agent_ip(1), of_incarnation(number), &ctx);
    }
    for after_ms in (250..=1_000).step_by(250) {
        let at = context(ctx.now_ms + after_ms);
        balancer.on_report(agent_ip(1), of_incarnation(3), &at);
    }
    let state = balancer.agents().get(agent_ip(1)).unwrap();
    assert_eq!(state.report.incarnation, ProcessIncarnation(3));
}

/// Guards against a balancer that takes its own stall for the silence of all agents, and resets
/// flows of living targets before it has read the reports that wait in its socket.
#[test]
fn stalled_balancer_resets_no_flow_for_silence() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let resumed = context(ctx.now_ms + 4_000);
    balancer.on_stall(4_000, &resumed);
    let verdict = balancer.on_packet(&data(flow(1), 100), &resumed);
    assert!(matches!(verdict, Verdict::Forward(next_hop) if next_hop.agent == agent_ip(1)));
    let verdict = balancer.on_packet(&syn(flow(2), 0), &resumed);
    let code = ResultCode::Recovering;
    assert_eq!(verdict, Verdict::Drop { code });
}

/// Guards against SYNs that reach a target although their callers have opened the flows elsewhere
/// while the agent's process did not run.
#[test]
fn stalled_agent_returns_the_syns_that_waited() {
    let (mut agent, ctx) = serving_agent();
    let header = forward_header(balancer_ip(1));
    agent.on_stall(700);
    let verdict = agent.on_packet(&header, &syn(flow(1), 0), &ctx);
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
    agent.on_stall(800);
    let verdict = agent.on_packet(&header, &syn(flow(2), 0), &ctx);
    let code = ResultCode::Recovering;
    assert_eq!(verdict, CallerVerdict::Return { code });
}

/// A heartbeat of a target that is about to stop.
fn draining(sequence: u64) -> TargetHeartbeat {
    TargetHeartbeat {
        state: HeartbeatState::Draining,
        ..target_heartbeat(sequence)
    }
}

/// Guards against new flows at a target that has left, because a heartbeat on another connection
/// has arrived after its deregistration.
#[test]
fn target_that_has_left_comes_back_only_as_a_new_incarnation() {
    let (mut agent, _) = serving_agent();
    let draining_ms = hear_target_for_long(&mut agent);
    agent.on_target_heartbeat(&draining(20), &context(draining_ms));
    let left_ms = draining_ms + DRAIN_MS;
    assert!(
        agent
            .on_target_left(InstanceTag::of("a"), &context(left_ms))
            .is_some()
    );
    for late in [target_heartbeat(19), draining(21)] {
        let (outcome, _) = agent.on_target_heartbeat(&late, &context(left_ms + 10));
        assert_eq!(outcome, HeartbeatOutcome::Outdated);
        assert_eq!(agent.target().phase(), TargetPhase::Down);
    }
    agent.on_target_heartbeat(&first_heartbeat(), &context(left_ms + 900));
    assert_eq!(agent.target().phase(), TargetPhase::Serving);
}

/// Guards against the end of a target by the late deregistration of its former incarnation, which may
/// have had the same id (review/9).
#[rstest]
#[case::of_another_instance("b", true, Some(0), DRAIN_MS)]
#[case::of_one_that_is_not_draining("a", true, None, DRAIN_MS)]
#[case::of_one_that_has_just_begun_to_drain("a", true, Some(0), DRAIN_MS - 100)]
#[case::of_one_that_has_begun_to_drain_again("a", true, Some(DRAIN_MS - 1_000), DRAIN_MS)]
#[case::of_one_that_has_just_started("a", false, Some(0), DRAIN_MS)]
fn deregistration_of_a_former_incarnation_changes_nothing(
    #[case] instance: &str,
    #[case] is_heard_for_long: bool,
    #[case] draining_from_ms: Option<u64>,
    #[case] left_after_ms: u64,
) {
    let (mut agent, mut ctx) = serving_agent();
    if is_heard_for_long {
        ctx = context(hear_target_for_long(&mut agent));
    }
    agent.on_packet(&forward_header(balancer_ip(1)), &syn(flow(1), 0), &ctx);
    if let Some(from_ms) = draining_from_ms {
        agent.on_target_heartbeat(&draining(20), &ctx);
        if from_ms > 0 {
            let back = context(ctx.now_ms + from_ms - 500);
            agent.on_target_heartbeat(&target_heartbeat(21), &back);
            agent.on_target_heartbeat(&draining(22), &context(ctx.now_ms + from_ms));
        }
    }
    let phase = agent.target().phase();
    let left = context(ctx.now_ms + left_after_ms);
    assert_eq!(agent.on_target_left(InstanceTag::of(instance), &left), None);
    assert_eq!(agent.target().phase(), phase);
    assert_eq!(agent.table().live(), 1);
}

/// Guards against callers that wait for a target that has left as it had announced.
#[test]
fn deregistration_of_a_drained_target_ends_its_flows() {
    let (mut agent, _) = serving_agent();
    let ctx = context(hear_target_for_long(&mut agent));
    agent.on_packet(&forward_header(balancer_ip(1)), &syn(flow(1), 0), &ctx);
    agent.on_target_packet(&accepted(flow(1)), &ctx);
    agent.on_packet(&forward_header(balancer_ip(1)), &data(flow(1), 0), &ctx);
    agent.on_target_heartbeat(&draining(20), &ctx);
    agent.on_target_heartbeat(&draining(21), &context(ctx.now_ms + 1_200));
    let left = context(ctx.now_ms + DRAIN_MS);
    let lost = agent.on_target_left(InstanceTag::of("a"), &left).unwrap();
    assert_eq!(lost.len(), 1);
    assert_eq!(agent.target().phase(), TargetPhase::Down);
}

/// Guards against a living target that gets no flow any more, because a deregistration was taken for
/// its own: it has not stopped, and says so.
#[test]
fn target_that_goes_on_after_a_deregistration_is_served() {
    let (mut agent, _) = serving_agent();
    let ctx = context(hear_target_for_long(&mut agent));
    agent.on_target_heartbeat(&draining(20), &ctx);
    let left = context(ctx.now_ms + DRAIN_MS);
    agent.on_target_left(InstanceTag::of("a"), &left);
    let (outcome, _) = agent.on_target_heartbeat(&target_heartbeat(21), &left);
    assert_eq!(outcome, HeartbeatOutcome::PhaseChanged);
    assert_eq!(agent.target().phase(), TargetPhase::Serving);
}

/// Guards against the end of a target by a deregistration that reaches its restarted agent before the
/// first heartbeat: the agent would say that the target holds no flow.
#[test]
fn deregistration_before_the_first_heartbeat_changes_nothing() {
    let mut agent = new_agent();
    assert_eq!(
        agent.on_target_left(InstanceTag::of("a"), &context(100)),
        None
    );
    let header = forward_header(balancer_ip(1));
    let verdict = agent.on_packet(&header, &data(flow(1), 100), &context(200));
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
}

/// Guards against the reset of a flow whose request may not be repeated, while its agent is down or
/// paused for more than 3 s after a balancer has started and other balancers still know the agent.
#[test]
fn flow_of_an_agent_that_others_know_is_not_lost_soon_after_a_start() {
    let (mut balancer, _) = balancer_with(0, RequestKind::NonIdempotent);
    let packet = data(flow(1), 100);
    let not_held = Returned {
        code: ResultCode::FlowNotHeld,
        service: service(),
    };
    let mut resets = Vec::new();
    for now_ms in (100..FLOW_MAX_AGE_MS + 1_000).step_by(100) {
        let ctx = context(now_ms);
        balancer.on_heartbeat(balancer_ip(2), &heartbeat(2), &ctx);
        balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
        balancer.on_packet(&packet, &ctx);
        balancer.on_returned(agent_ip(1), not_held, &packet, &ctx);
        if !balancer.on_tick(&ctx).lost.is_empty() {
            resets.push(now_ms);
        }
    }
    assert_eq!(resets.first(), Some(&FLOW_MAX_AGE_MS));
}

/// Guards against the reset of a flow whose agent is a newer build that sends what cannot be read.
#[rstest]
#[case::unreadable(true)]
#[case::silent(false)]
fn flow_of_an_agent_whose_frames_cannot_be_read_is_kept(#[case] is_heard: bool) {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    for now_ms in (10_250..=13_000).step_by(250) {
        if is_heard {
            balancer.on_unreadable_frame(agent_ip(1), &context(now_ms));
        }
    }
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(13_000));
    assert_eq!(
        matches!(verdict, Verdict::Forward(_)),
        is_heard,
        "{verdict:?}"
    );
}
