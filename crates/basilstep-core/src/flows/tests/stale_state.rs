//! What processes still know of earlier states: routes that were removed, former incarnations, and
//! reports from before a stall.

use super::{
    agent_ip, balancer_with, context, data, fleet_settings, flow, held, report, serving_agent, syn,
};
use crate::{
    codes::ResultCode,
    flows::{AgentReport, ProcessIncarnation, RequestKind, TargetPhase, balancer::Verdict},
};

/// Guards against the reset of an open flow by a balancer that has no hint of it, when operators
/// have removed its route.
#[test]
fn open_flow_is_found_after_its_route_was_removed() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version = 2;
    settings.table.routes.clear();
    balancer.on_fleet_settings(settings, &ctx);
    let verdict = balancer.on_packet(&data(flow(1), 100), &ctx);
    assert!(matches!(verdict, Verdict::Search(next_hops) if next_hops.len() == 2));
    let verdict = balancer.on_packet(&syn(flow(2), 0), &ctx);
    let code = ResultCode::UnknownService;
    assert_eq!(verdict, Verdict::Reset { code });
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
    let header = super::forward_header(super::balancer_ip(1));
    agent.on_stall(700);
    let verdict = agent.on_packet(&header, &syn(flow(1), 0), &ctx);
    assert!(matches!(
        verdict,
        crate::flows::agent::CallerVerdict::Deliver { .. }
    ));
    agent.on_stall(800);
    let verdict = agent.on_packet(&header, &syn(flow(2), 0), &ctx);
    let code = ResultCode::Recovering;
    assert_eq!(verdict, crate::flows::agent::CallerVerdict::Return { code });
}
