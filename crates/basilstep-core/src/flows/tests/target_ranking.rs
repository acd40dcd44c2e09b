//! Which targets a balancer counts as slow or avoided, and what it sends them.

use super::{
    agent_ip, balancer_with_settings, context, fleet_settings, flow, health_settings,
    load_model::balancer_entries, report, service_address, syn,
};
use crate::flows::{
    AgentReport, BalancerFlows, FlowSettings, RequestKind, Route, TargetPhase,
    balancer::{Standing, Verdict},
};
use rstest::rstest;
use std::{net::SocketAddrV4, ops::RangeInclusive};

const NOW_MS: u64 = 10_000;
const REPORT_MS: u64 = 250;

fn healthy() -> AgentReport {
    AgentReport {
        service_time_ms: 20,
        ..report(TargetPhase::Serving)
    }
}

fn slow() -> AgentReport {
    AgentReport {
        service_time_ms: 140,
        ..healthy()
    }
}

fn failing() -> AgentReport {
    AgentReport {
        failure_permille: 450,
        ..healthy()
    }
}

/// A balancer that has got these reports of agents 1 and on.
fn balancer_with_reports(settings: &FlowSettings, reports: &[AgentReport]) -> BalancerFlows {
    let agents = reports.len() as u8;
    let (mut balancer, ctx) = balancer_with_settings(settings, agents, RequestKind::Idempotent);
    for (number, report) in (1..).zip(reports) {
        balancer.on_report(agent_ip(number), *report, &ctx);
    }
    balancer.on_tick(&ctx);
    balancer
}

fn standings(balancer: &BalancerFlows, agents: u8) -> Vec<Standing> {
    (1..=agents)
        .map(|number| balancer.agents().standing_of(agent_ip(number)))
        .collect()
}

/// Returns how many of the new flows go to agent 1, with a flow each 10 ms for `duration_ms` and
/// reports of idle targets in between.
fn placed_at_first(
    balancer: &mut BalancerFlows,
    reports: &[AgentReport],
    duration_ms: u64,
) -> usize {
    let mut placed = 0;
    for now_ms in (NOW_MS..NOW_MS + duration_ms).step_by(10) {
        let ctx = context(now_ms);
        if now_ms.is_multiple_of(REPORT_MS) {
            for (number, report) in (1..).zip(reports) {
                balancer.on_report(agent_ip(number), *report, &ctx);
            }
        }
        balancer.on_tick(&ctx);
        let port = (now_ms / 10) as u16;
        let verdict = balancer.on_packet(&syn(flow(port), 0), &ctx);
        placed += usize::from(matches!(
            verdict,
            Verdict::Forward(next_hop) if next_hop.agent == agent_ip(1)
        ));
    }
    placed
}

/// Guards against a slow target that gets its full share, and against a target whose recovery is never
/// found. An avoided one gets one flow in each probe interval; a slow one also gets flows while the
/// others have seven times the work.
#[rstest]
#[case::slow(slow(), 9..=70)]
#[case::avoided(failing(), 9..=10)]
fn slow_and_avoided_targets_get_few_flows(
    #[case] first: AgentReport,
    #[case] expected: RangeInclusive<usize>,
) {
    let reports = [first, healthy(), healthy(), healthy()];
    let mut balancer = balancer_with_reports(&health_settings(), &reports);
    let placed = placed_at_first(&mut balancer, &reports, 5_000);
    assert!(expected.contains(&placed), "{placed} of 500");
}

/// Guards against an overflow where operators set the interval so long that no probe flow is sent.
#[test]
fn longest_probe_interval_sends_no_probe_flows() {
    let mut settings = health_settings();
    settings.target_health.probe_interval_ms = u64::MAX;
    let reports = [failing(), healthy(), healthy(), healthy()];
    let (mut balancer, ctx) = balancer_with_settings(&settings, 4, RequestKind::Idempotent);
    balancer.on_balancers(&balancer_entries(), &ctx);
    assert_eq!(placed_at_first(&mut balancer, &reports, 5_000), 0);
}

/// Guards against any change of placement where the setting is off.
#[test]
fn reports_change_nothing_unless_enabled() {
    let settings = FlowSettings::default();
    let reports = [failing(), slow(), healthy(), healthy()];
    let mut with_health = balancer_with_reports(&settings, &reports);
    let unknown = [report(TargetPhase::Serving); 4];
    let mut without = balancer_with_reports(&settings, &unknown);
    for port in 1..200 {
        let (packet, ctx) = (syn(flow(port), 0), context(NOW_MS));
        assert_eq!(
            with_health.on_packet(&packet, &ctx),
            without.on_packet(&packet, &ctx)
        );
    }
}

/// Guards against conclusions from too few targets, or from a cause that all targets share.
#[rstest]
#[case::two_known(&[slow(), healthy(), report(TargetPhase::Serving)], 0)]
#[case::all_equally_slow(&[slow(), slow(), slow(), slow()], 0)]
#[case::most_slow(&[slow(), slow(), slow(), healthy(), healthy()], 0)]
#[case::most_failing(&[failing(), failing(), failing(), failing(), healthy()], 2)]
#[case::two_of_five(&[slow(), failing(), healthy(), healthy(), healthy()], 2)]
#[case::difference_of_a_millisecond(&[AgentReport { service_time_ms: 2, ..healthy() }, AgentReport { service_time_ms: 1, ..healthy() }, AgentReport { service_time_ms: 1, ..healthy() }], 0)]
fn share_of_slow_and_avoided_targets_is_bounded(
    #[case] reports: &[AgentReport],
    #[case] expected: usize,
) {
    let balancer = balancer_with_reports(&health_settings(), reports);
    assert_eq!(balancer.agents().ranked_targets().count(), expected);
}

/// Guards against counting the slowness of a cold target twice; one that is much slower than cold
/// targets are counts as slow.
#[rstest]
#[case::as_cold_targets_are(60, Standing::Normal)]
#[case::slower(140, Standing::Slow)]
fn cold_target_is_slow_only_beyond_its_coldness(
    #[case] service_time_ms: u16,
    #[case] expected: Standing,
) {
    let cold = AgentReport {
        is_cold: true,
        service_time_ms,
        ..healthy()
    };
    let balancer = balancer_with_reports(&health_settings(), &[cold, healthy(), healthy()]);
    assert_eq!(standings(&balancer, 1), [expected]);
}

/// Guards against taking silence for slowness: an agent whose reports are late or lost keeps what it
/// counts as while its report is fresh, and counts as normal from then on.
#[rstest]
#[case::silent_healthy(healthy(), 700, Standing::Normal)]
#[case::silent_for_long(healthy(), 2_000, Standing::Normal)]
#[case::lost_report_of_a_slow_one(slow(), 600, Standing::Slow)]
#[case::silent_slow(slow(), 900, Standing::Normal)]
fn silence_is_no_evidence_about_a_target(
    #[case] last: AgentReport,
    #[case] silent_ms: u64,
    #[case] expected: Standing,
) {
    let reports = [last, healthy(), healthy(), healthy()];
    let mut balancer = balancer_with_reports(&health_settings(), &reports);
    let ctx = context(NOW_MS + silent_ms);
    for number in 2..=4 {
        balancer.on_report(agent_ip(number), healthy(), &ctx);
    }
    balancer.on_tick(&ctx);
    assert_eq!(standings(&balancer, 2), [expected, Standing::Normal]);
}

/// Guards against refusing a caller while a target is idle that answers most requests.
#[test]
fn failing_target_is_used_if_there_is_no_other() {
    let reports = [failing(), healthy(), healthy()];
    let mut balancer = balancer_with_reports(&health_settings(), &reports);
    let draining = AgentReport {
        phase: TargetPhase::Draining,
        ..healthy()
    };
    for number in 2..=3 {
        balancer.on_report(agent_ip(number), draining, &context(NOW_MS));
    }
    assert_eq!(standings(&balancer, 1), [Standing::Avoided]);
    for port in 1..=3 {
        let verdict = balancer.on_packet(&syn(flow(port), 0), &context(NOW_MS));
        let expected = agent_ip(1);
        assert!(
            matches!(verdict, Verdict::Forward(next_hop) if next_hop.agent == expected),
            "{verdict:?}"
        );
    }
}

/// Guards against requests that may not be repeated being sent to a failing target although the
/// service has others to find its recovery with.
#[rstest]
#[case::no_other_route(false, 1)]
#[case::other_route_may_be_repeated(true, 0)]
fn probe_flows_are_those_that_may_be_repeated(
    #[case] has_idempotent_route: bool,
    #[case] expected: usize,
) {
    let reports = [failing(), healthy(), healthy()];
    let settings = health_settings();
    let (mut balancer, ctx) = balancer_with_settings(&settings, 3, RequestKind::NonIdempotent);
    let mut fleet = fleet_settings(RequestKind::NonIdempotent);
    fleet.table.version += 1;
    if has_idempotent_route {
        let address = SocketAddrV4::new(*service_address().ip(), 8_000);
        let route = Route {
            kind: RequestKind::Idempotent,
            ..fleet.table.routes[&service_address()].clone()
        };
        fleet.table.routes.insert(address, route);
    }
    balancer.on_fleet_settings(fleet, &ctx);
    for (number, report) in (1..).zip(&reports) {
        balancer.on_report(agent_ip(number), *report, &ctx);
    }
    balancer.on_tick(&ctx);
    let placed = placed_at_first(
        &mut balancer,
        &reports,
        settings.target_health.probe_interval_ms,
    );
    assert_eq!(placed, expected);
}
