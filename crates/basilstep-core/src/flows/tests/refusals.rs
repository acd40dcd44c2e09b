//! Several times the load that all targets can serve, for seconds: which callers come back.

use super::{agent_ip, balancer_with, context, fleet_settings, flow, report, service, syn};
use crate::{
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, RequestKind, Returned, Segment, TargetPhase, balancer::Verdict,
    },
};
use rstest::rstest;

/// Sends a first SYN that the only agent refuses, and returns what the caller gets.
fn refused(balancer: &mut BalancerFlows, port: u16, code: ResultCode, now_ms: u64) -> Verdict {
    refused_copy(balancer, &syn(flow(port), 0), code, now_ms)
}

/// Sends a SYN or one of its retransmissions that the only agent refuses.
fn refused_copy(
    balancer: &mut BalancerFlows,
    packet: &Segment,
    code: ResultCode,
    now_ms: u64,
) -> Verdict {
    let ctx = context(now_ms);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    balancer.on_packet(packet, &ctx);
    let returned = Returned {
        code,
        service: service(),
    };
    balancer.on_returned(agent_ip(1), returned, packet, &ctx)
}

const fn is_reset(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Reset { .. })
}

/// A short peak: the caller's next SYN finds room.
#[test]
fn caller_may_send_again_in_a_short_overload() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    for now_ms in 10_000..10_150 {
        let port = (now_ms - 9_000) as u16;
        let verdict = refused(&mut balancer, port, ResultCode::Overloaded, now_ms);
        assert!(!is_reset(&verdict), "at {now_ms} ms");
    }
}

/// Return after a loss of all targets: a caller whose time limit is longer than the warm-up keeps its
/// tries, and is refused as in any overload after it.
#[rstest]
#[case::ends_within_the_time_limit(2_001, None)]
#[case::ends_in_time_when_it_has_lasted_for_a_while(1_801, None)]
#[case::ends_too_late(1_500, Some(10_200))]
#[case::unknown_time_limit(0, Some(10_200))]
fn caller_is_not_refused_at_once_while_targets_warm_up(
    #[case] time_limit_ms: u32,
    #[case] first_reset_ms: Option<u64>,
) {
    const WARM_FROM_MS: u64 = 12_000;
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version += 1;
    let limits = settings.table.services.get_mut(&service()).unwrap();
    limits.warmup_ms = 2_000;
    for route in settings.table.routes.values_mut() {
        route.time_limit_ms = time_limit_ms;
    }
    balancer.on_fleet_settings(settings, &ctx);
    let mut resets = Vec::new();
    for now_ms in (10_000..13_000).step_by(10) {
        let state = AgentReport {
            is_cold: now_ms < WARM_FROM_MS,
            ..report(TargetPhase::Serving)
        };
        let packet = syn(flow((now_ms - 9_000) as u16), 0);
        balancer.on_report(agent_ip(1), state, &context(now_ms));
        balancer.on_packet(&packet, &context(now_ms));
        let returned = Returned {
            code: ResultCode::Overloaded,
            service: service(),
        };
        let verdict = balancer.on_returned(agent_ip(1), returned, &packet, &context(now_ms));
        if is_reset(&verdict) {
            resets.push(now_ms);
        }
    }
    let expected = first_reset_ms.map_or(WARM_FROM_MS..=WARM_FROM_MS + 200, |at_ms| at_ms..=at_ms);
    assert!(
        resets.first().is_some_and(|at_ms| expected.contains(at_ms)),
        "{resets:?}"
    );
}

/// Callers that come back late would take the places of those that can still be answered in time.
#[test]
fn caller_is_refused_at_once_in_a_long_overload() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    let mut first_reset_ms = None;
    for now_ms in (10_000..12_000).step_by(10) {
        let port = (now_ms - 9_000) as u16;
        let verdict = refused(&mut balancer, port, ResultCode::Overloaded, now_ms);
        if is_reset(&verdict) {
            first_reset_ms.get_or_insert(now_ms);
        } else {
            assert_eq!(
                first_reset_ms, None,
                "refused at once, then not, at {now_ms} ms"
            );
        }
    }
    assert!(first_reset_ms.is_some_and(|at_ms| at_ms <= 10_500));
}

/// Guards against refusing callers that have waited already: a late answer is of use to them, and
/// once they are late they only take slots that are free.
#[test]
fn caller_that_has_waited_is_not_refused_at_once_in_a_long_overload() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    for now_ms in (10_000..12_000).step_by(10) {
        let port = (now_ms - 9_000) as u16;
        refused(&mut balancer, port, ResultCode::Overloaded, now_ms);
        let copy = syn(flow(port + 20_000), 1);
        let verdict = refused_copy(&mut balancer, &copy, ResultCode::Overloaded, now_ms);
        assert!(!is_reset(&verdict), "at {now_ms} ms");
    }
}

/// Guards against an overload that consists of late requests only, which are refused as soon as no
/// slot is free.
#[test]
fn refusals_of_late_requests_are_no_overload() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    for now_ms in (10_000..12_000).step_by(10) {
        let copy = syn(flow((now_ms - 9_000) as u16), 1);
        refused_copy(&mut balancer, &copy, ResultCode::Overloaded, now_ms);
    }
    let verdict = refused(&mut balancer, 40_000, ResultCode::Overloaded, 12_000);
    assert!(!is_reset(&verdict));
}

/// Peaks with pauses between them are no long overload.
#[test]
fn overload_ends_with_the_refusals() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    for now_ms in (10_000..20_000).step_by(150) {
        let port = (now_ms - 9_000) as u16;
        let verdict = refused(&mut balancer, port, ResultCode::Overloaded, now_ms);
        assert!(!is_reset(&verdict), "at {now_ms} ms");
    }
}

/// Only load is a reason to expect no room at the next SYN.
#[rstest]
#[case::cold(ResultCode::TargetCold)]
#[case::shed_by_the_target(ResultCode::TargetShed)]
#[case::draining(ResultCode::Draining)]
fn other_refusals_let_the_caller_send_again(#[case] code: ResultCode) {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    for now_ms in (10_000..12_000).step_by(10) {
        let port = (now_ms - 9_000) as u16;
        let verdict = refused(&mut balancer, port, code, now_ms);
        assert!(!is_reset(&verdict), "at {now_ms} ms");
    }
}
