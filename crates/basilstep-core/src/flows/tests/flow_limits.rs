//! Flows within the deployment's limits on age and idleness are kept, whatever these limits are.

use super::{
    HEARTBEAT_MS, accepted, agent_identity, agent_ip, balancer_ip, balancer_with, context, data,
    first_heartbeat, fleet_settings, flow, forward_header, heartbeat, report, service, syn,
    target_heartbeat,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentFlows, AgentReport, FlowSettings, ProcessIncarnation, RequestKind, Returned,
        TargetPhase,
        agent::{AgentIdentity, CallerVerdict, TargetHeartbeat},
    },
};
use rstest::rstest;

const OPENED_MS: u64 = 20_000;

/// An agent of a deployment with the given limit, whose target is serving and has started before the
/// agent or after it.
fn agent_with(flow_max_age_ms: u64, is_target_older: bool) -> AgentFlows {
    let own = AgentIdentity {
        flow_max_age_ms,
        ..agent_identity(ProcessIncarnation(1))
    };
    let mut agent = AgentFlows::new(FlowSettings::default(), own, &context(0));
    let first = if is_target_older {
        target_heartbeat(1)
    } else {
        first_heartbeat()
    };
    let second = TargetHeartbeat {
        sequence: first.sequence + 1,
        ..first
    };
    agent.on_target_heartbeat(&first, &context(0));
    agent.on_target_heartbeat(&second, &context(HEARTBEAT_MS));
    agent
}

/// Guards against a flow that its agent has discarded although operators allow it to be idle for
/// longer.
#[rstest]
#[case::usual_limit(60_000, 38_000, true)]
#[case::just_within_the_limit(60_000, 59_900, true)]
#[case::long_limit(300_000, 290_000, true)]
#[case::beyond_the_limit(60_000, 60_100, false)]
fn idle_flow_is_kept_until_it_is_too_old(
    #[case] flow_max_age_ms: u64,
    #[case] idle_ms: u64,
    #[case] is_kept: bool,
) {
    let mut agent = agent_with(flow_max_age_ms, false);
    let header = forward_header(balancer_ip(1));
    let opened = context(OPENED_MS);
    agent.on_packet(&header, &syn(flow(1), 0), &opened);
    agent.on_target_packet(&accepted(flow(1)), &opened);
    agent.on_packet(&header, &data(flow(1), 100), &opened);
    let later = context(OPENED_MS + idle_ms);
    agent.on_tick(&later);
    let verdict = agent.on_packet(&header, &data(flow(1), 100), &later);
    assert_eq!(is_delivered(verdict), is_kept, "{verdict:?}");
}

/// Guards against the answer of an agent that has started while a flow was idle: only its target
/// knows whether it holds the flow.
#[rstest]
#[case::raised_limit_on_idle_flows(60_000, 28_000, true)]
#[case::just_within_the_limit(60_000, 59_900, true)]
#[case::long_limit(300_000, 290_000, true)]
#[case::beyond_the_limit(60_000, 60_000, false)]
fn target_is_asked_for_flows_from_before_the_start_of_its_agent(
    #[case] flow_max_age_ms: u64,
    #[case] uptime_ms: u64,
    #[case] is_asked: bool,
) {
    let mut agent = agent_with(flow_max_age_ms, true);
    let header = forward_header(balancer_ip(1));
    let verdict = agent.on_packet(&header, &data(flow(1), 100), &context(uptime_ms));
    assert_eq!(is_delivered(verdict), is_asked, "{verdict:?}");
    let code = ResultCode::FlowNotHeld;
    assert!(is_asked || verdict == CallerVerdict::Return { code });
}

fn is_delivered(verdict: CallerVerdict) -> bool {
    matches!(verdict, CallerVerdict::Deliver { .. })
}

/// Guards against a balancer that forgets an agent that is being restarted while its target's flows
/// may still be open by the operators' limit, or were by the limit that was in force before.
#[rstest]
#[case::raised(&[(0, 50_000)], true, 50_000)]
#[case::raised_meanwhile(&[(0, 15_000), (5_000, 50_000)], true, 50_000)]
#[case::lowered_meanwhile(&[(0, 50_000), (5_000, 15_000)], true, 50_000)]
#[case::beyond_the_age(&[(0, 600_000)], true, 60_000)]
#[case::without_an_announced_stop(&[(0, 15_000)], false, 60_000)]
fn silent_agent_is_remembered_while_its_flows_may_be_open(
    #[case] idle_timeouts_ms: &[(u64, u32)],
    #[case] is_stopping: bool,
    #[case] lost_from_ms: u64,
) {
    const SILENT_MS: u64 = 10_000;
    let (mut balancer, _) = balancer_with(1, RequestKind::NonIdempotent);
    let last = AgentReport {
        is_stopping,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(2), last, &context(SILENT_MS));
    let not_held = Returned {
        code: ResultCode::FlowNotHeld,
        service: service(),
    };
    let packet = data(flow(1), 100);
    let mut resets = Vec::new();
    for after_ms in (0..lost_from_ms + 2_000).step_by(500) {
        let ctx = context(SILENT_MS + after_ms);
        for (version, (_, idle_timeout_ms)) in (2..)
            .zip(idle_timeouts_ms)
            .filter(|(_, (at_ms, _))| *at_ms == after_ms)
        {
            let mut settings = fleet_settings(RequestKind::NonIdempotent);
            settings.table.version = version;
            settings.table.idle_timeout_ms = *idle_timeout_ms;
            balancer.on_fleet_settings(settings, &ctx);
        }
        balancer.on_heartbeat(balancer_ip(2), &heartbeat(2), &ctx);
        balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
        balancer.on_packet(&packet, &ctx);
        balancer.on_returned(agent_ip(1), not_held, &packet, &ctx);
        if !balancer.on_tick(&ctx).lost.is_empty() {
            resets.push(after_ms);
        }
    }
    assert!(
        resets.first().is_some_and(|at_ms| *at_ms >= lost_from_ms),
        "{resets:?}"
    );
}
