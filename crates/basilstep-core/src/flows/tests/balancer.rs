use super::{
    agent_ip, balancer_ip, balancer_with, balancer_with_settings, context, data, fleet_settings,
    flow, heartbeat, held, report, revision, service, syn,
};
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, BalancerHeartbeat, FlowSettings, ProcessIncarnation,
        RequestKind, Returned, Segment, TargetPhase,
        balancer::{NextHop, Verdict},
    },
};
use rstest::rstest;

fn returned(code: ResultCode) -> Returned {
    Returned {
        code,
        service: service(),
    }
}

fn chosen(verdict: &Verdict) -> u8 {
    match verdict {
        Verdict::Forward(next_hop) => next_hop.agent.octets()[3],
        other => panic!("expected one agent, got {other:?}"),
    }
}

fn searched(verdict: Verdict) -> Vec<u8> {
    match verdict {
        Verdict::Search(next_hops) => next_hops
            .iter()
            .map(|next_hop| next_hop.agent.octets()[3])
            .collect(),
        other => panic!("expected a search, got {other:?}"),
    }
}

fn refuse(balancer: &mut BalancerFlows, agent: u8, segment: &Segment, now_ms: u64) -> Verdict {
    let code = returned(ResultCode::FlowNotHeld);
    balancer.on_returned(agent_ip(agent), code, segment, &context(now_ms))
}

#[test]
fn new_flow_goes_to_the_agent_with_the_least_work() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    for (agent, at_work) in [(1, 3), (2, 1), (3, 2)] {
        let report = AgentReport {
            at_work,
            ..report(TargetPhase::Serving)
        };
        balancer.on_report(agent_ip(agent), report, &ctx);
    }
    assert_eq!(chosen(&balancer.on_packet(&syn(flow(1), 0), &ctx)), 2);
}

#[test]
fn flows_sent_since_the_last_report_count_as_work() {
    let (mut balancer, ctx) = balancer_with(4, RequestKind::Idempotent);
    let mut taken = [0; 5];
    for port in 1..=40 {
        let verdict = balancer.on_packet(&syn(flow(port), 0), &ctx);
        taken[usize::from(chosen(&verdict))] += 1;
    }
    assert_eq!(taken[1..], [10, 10, 10, 10]);
}

/// Many balancers see a new, idle agent in the same report; it must not get all their flows.
#[test]
fn new_agent_is_not_overloaded_before_its_next_report() {
    let mut taken = 0;
    for round in 0..20 {
        let (mut balancer, ctx) = balancer_with(40, RequestKind::Idempotent);
        for number in 1..40 {
            let busy = AgentReport {
                at_work: 2,
                ..report(TargetPhase::Serving)
            };
            balancer.on_report(agent_ip(number), busy, &ctx);
        }
        let first = round * 5 + 1;
        for port in first..first + 5 {
            let verdict = balancer.on_packet(&syn(flow(port), 0), &ctx);
            taken += u16::from(chosen(&verdict) == 40);
        }
    }
    assert!(
        taken <= 20,
        "{taken} of 100 flows, 2 of 40 agents are compared"
    );
}

#[test]
fn agent_of_another_domain_gets_flows_once_it_is_clearly_less_busy() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let other = AgentReport {
        domain: DomainId(1),
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(2), other, &ctx);
    let order: Vec<u8> = (1..=5)
        .map(|port| chosen(&balancer.on_packet(&syn(flow(port), 0), &ctx)))
        .collect();
    assert_eq!(order, [1, 1, 1, 1, 2]);
}

#[rstest]
#[case::draining(report(TargetPhase::Draining))]
#[case::down(report(TargetPhase::Down))]
#[case::no_heartbeat_of_its_target(report(TargetPhase::Unknown))]
#[case::stopping(AgentReport { is_stopping: true, ..report(TargetPhase::Serving) })]
#[case::no_room(AgentReport { room: 0, ..report(TargetPhase::Serving) })]
fn agent_that_takes_no_flows_is_skipped(#[case] report: AgentReport) {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_report(agent_ip(1), report, &ctx);
    assert_eq!(chosen(&balancer.on_packet(&syn(flow(1), 0), &ctx)), 2);
}

#[test]
fn agent_in_a_domain_that_is_out_gets_no_new_flow() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let other = AgentReport {
        domain: DomainId(1),
        at_work: 9,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(2), other, &ctx);
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.revision = revision(2);
    settings.domains_out.insert(DomainId(0));
    balancer.on_fleet_settings(settings, &ctx);
    assert_eq!(chosen(&balancer.on_packet(&syn(flow(1), 0), &ctx)), 2);
}

#[test]
fn silent_agent_gets_no_new_flow() {
    let (mut balancer, _) = balancer_with(2, RequestKind::Idempotent);
    let ctx = context(10_900);
    balancer.on_report(agent_ip(2), report(TargetPhase::Serving), &ctx);
    assert_eq!(chosen(&balancer.on_packet(&syn(flow(1), 0), &ctx)), 2);
}

#[test]
fn paused_balancer_waits_for_reports_before_it_places_flows() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_pause(3_000, &ctx);
    balancer.on_backlog_read();
    let verdict = balancer.on_packet(&syn(flow(1), 0), &ctx);
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::NoTarget
        }
    );
    balancer.on_report(agent_ip(2), report(TargetPhase::Serving), &ctx);
    assert_eq!(chosen(&balancer.on_packet(&syn(flow(1), 1), &ctx)), 2);
}

#[test]
fn syn_retransmissions_follow_the_first_while_its_agent_answers() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let first = chosen(&balancer.on_packet(&syn(flow(1), 0), &ctx));
    balancer.on_held_flows(agent_ip(first), &held(0, flow(1)), &ctx);
    let retransmission = balancer.on_packet(&syn(flow(1), 1), &context(10_200));
    assert_eq!(chosen(&retransmission), first);
}

#[test]
fn retransmission_goes_elsewhere_when_the_first_agent_confirms_nothing() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let first = chosen(&balancer.on_packet(&syn(flow(1), 0), &ctx));
    let retransmission = balancer.on_packet(&syn(flow(1), 1), &context(10_200));
    assert_ne!(chosen(&retransmission), first);
    for port in 2..20 {
        let verdict = balancer.on_packet(&syn(flow(port), 0), &context(10_200));
        assert_ne!(chosen(&verdict), first, "a doubted agent gets no new flows");
    }
}

#[test]
fn refused_flow_goes_to_the_next_agent_and_never_back() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let packet = syn(flow(1), 0);
    let mut seen = vec![chosen(&balancer.on_packet(&packet, &ctx))];
    for _ in 0..2 {
        let agent = agent_ip(seen[seen.len() - 1]);
        let code = returned(ResultCode::TargetCold);
        seen.push(chosen(&balancer.on_returned(agent, code, &packet, &ctx)));
    }
    let last = agent_ip(seen[2]);
    seen.sort_unstable();
    assert_eq!(seen, [1, 2, 3]);
    let code = returned(ResultCode::TargetCold);
    let verdict = balancer.on_returned(last, code, &packet, &ctx);
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::TargetCold
        }
    );
}

#[test]
fn caller_is_reset_at_once_when_no_agent_takes_its_last_retransmission() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::NonIdempotent);
    let packet = syn(flow(1), 2);
    balancer.on_packet(&packet, &ctx);
    let code = returned(ResultCode::Overloaded);
    let verdict = balancer.on_returned(agent_ip(1), code, &packet, &ctx);
    assert_eq!(
        verdict,
        Verdict::Reset {
            code: ResultCode::Overloaded
        }
    );
}

#[test]
fn flow_without_a_hint_is_searched_at_all_agents_of_its_service() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let verdict = balancer.on_packet(&data(flow(1), 100), &ctx);
    assert_eq!(searched(verdict), [1, 2, 3]);
    balancer.on_held_flows(agent_ip(2), &held(0, flow(1)), &ctx);
    assert_eq!(chosen(&balancer.on_packet(&data(flow(1), 100), &ctx)), 2);
}

#[test]
fn flow_that_nobody_holds_is_reset_after_the_last_answer() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &ctx);
    let first = refuse(&mut balancer, 1, &packet, ctx.now_ms);
    assert_eq!(
        first,
        Verdict::Drop {
            code: ResultCode::FlowSearched
        }
    );
    let second = refuse(&mut balancer, 2, &packet, ctx.now_ms);
    assert_eq!(
        second,
        Verdict::Reset {
            code: ResultCode::FlowLost
        }
    );
}

#[test]
fn late_refusal_of_another_agent_does_not_reset_a_flow_that_was_found() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &ctx);
    balancer.on_held_flows(agent_ip(2), &held(0, flow(1)), &ctx);
    let late = refuse(&mut balancer, 1, &packet, ctx.now_ms);
    assert_eq!(
        late,
        Verdict::Drop {
            code: ResultCode::FlowNotHeld
        }
    );
    assert_eq!(chosen(&balancer.on_packet(&packet, &ctx)), 2);
}

/// A retransmission arrives 200 or 600 ms after the first SYN, which counts against the goal.
#[rstest]
#[case::first(100, 0, 100)]
#[case::retransmission_with_time_left(500, 1, 300)]
#[case::retransmission_that_is_late(100, 1, 1)]
#[case::last_retransmission(500, 2, 1)]
#[case::no_goal(0, 2, 0)]
fn agent_learns_what_is_left_of_the_latency_goal(
    #[case] goal_ms: u16,
    #[case] retransmission: u32,
    #[case] left_ms: u16,
) {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let mut fleet = fleet_settings(RequestKind::Idempotent);
    fleet.table.version += 1;
    for route in fleet.table.routes.values_mut() {
        route.latency_goal_ms = goal_ms;
    }
    balancer.on_fleet_settings(fleet, &ctx);
    let Verdict::Forward(next_hop) = balancer.on_packet(&syn(flow(1), retransmission), &ctx) else {
        panic!("expected one agent");
    };
    assert_eq!(next_hop.header.latency_goal_ms, left_ms);
}

/// The time for which a SYN was pending counts against the goal too.
#[test]
fn pending_syn_keeps_its_age() {
    let (mut balancer, ctx) = balancer_with(0, RequestKind::Idempotent);
    balancer.queue_syn(&syn(flow(1), 0), b"packet", ResultCode::NoTarget, &ctx);
    let ctx = context(10_060);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    let placed = balancer.place_pending_syns(&ctx);
    assert_eq!(placed[0].next_hop.header.latency_goal_ms, 40);
    let full = returned(ResultCode::Overloaded);
    balancer.on_report(agent_ip(2), report(TargetPhase::Serving), &ctx);
    let verdict = balancer.on_returned(agent_ip(1), full, &syn(flow(1), 0), &context(10_070));
    let Verdict::Forward(next_hop) = verdict else {
        panic!("expected the other agent, got {verdict:?}");
    };
    assert_eq!(next_hop.header.latency_goal_ms, 30);
}

#[test]
fn agent_that_was_full_is_offered_the_retransmission() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    balancer.on_packet(&syn(flow(1), 0), &ctx);
    let full = returned(ResultCode::Overloaded);
    let verdict = balancer.on_returned(agent_ip(1), full, &syn(flow(1), 0), &ctx);
    assert!(matches!(verdict, Verdict::Drop { .. }));
    assert_eq!(
        chosen(&balancer.on_packet(&syn(flow(1), 1), &context(10_200))),
        1
    );
}

/// Callers return before any target: their SYNs must not be lost.
#[test]
fn syn_waits_for_an_agent_until_its_next_retransmission() {
    let (mut balancer, ctx) = balancer_with(0, RequestKind::Idempotent);
    let packet = syn(flow(1), 0);
    let verdict = balancer.on_packet(&packet, &ctx);
    assert!(matches!(verdict, Verdict::Drop { .. }));
    balancer.queue_syn(&packet, b"packet", ResultCode::NoTarget, &ctx);
    assert!(balancer.on_tick(&context(10_050)).placed.is_empty());
    let ctx = context(10_100);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    let placed = balancer.on_tick(&ctx).placed;
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].syn.packet, b"packet");
    assert!(balancer.on_tick(&context(10_150)).placed.is_empty());
}

#[test]
fn syn_does_not_wait_longer_than_its_next_retransmission_takes() {
    let (mut balancer, ctx) = balancer_with(0, RequestKind::Idempotent);
    balancer.queue_syn(&syn(flow(1), 0), b"packet", ResultCode::NoTarget, &ctx);
    let ctx = context(10_200);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    assert!(balancer.on_tick(&ctx).placed.is_empty());
}

/// Pending SYNs would reach an overloaded target when their callers have little time left; the next
/// retransmission finds out whether the target accepts new flows.
#[rstest]
#[case::overloaded(ResultCode::Overloaded)]
#[case::cold(ResultCode::TargetCold)]
#[case::shed_by_the_target(ResultCode::TargetShed)]
#[case::from_before_a_pause(ResultCode::Recovering)]
fn syn_that_was_refused_for_load_does_not_wait(#[case] code: ResultCode) {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    balancer.queue_syn(&syn(flow(1), 0), b"packet", code, &ctx);
    assert!(balancer.on_tick(&context(10_050)).placed.is_empty());
}

/// Power loss everywhere: a caller whose packet came early must not have to send it again.
#[test]
fn flow_that_nobody_holds_is_reset_as_soon_as_the_answers_may_be_trusted() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    balancer.on_registered_agents(1);
    balancer.on_pause(1_000, &context(10_000));
    let ctx = context(10_100);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &ctx);
    refuse(&mut balancer, 1, &packet, 10_110);
    assert!(balancer.on_tick(&context(10_150)).lost.is_empty());
    let lost = balancer.on_tick(&context(10_300)).lost;
    assert_eq!(lost.len(), 1);
    assert_eq!((lost[0].flow, lost[0].sequence), (flow(1), 501));
    assert!(balancer.on_tick(&context(10_350)).lost.is_empty());
}

#[test]
fn flow_of_requests_that_may_not_be_repeated_is_reset_later() {
    let (mut balancer, _) = balancer_with(0, RequestKind::NonIdempotent);
    balancer.on_registered_agents(1);
    balancer.on_pause(1_000, &context(10_000));
    let serving = report(TargetPhase::Serving);
    balancer.on_report(agent_ip(1), serving, &context(10_000));
    let ctx = context(11_000);
    balancer.on_report(agent_ip(1), serving, &ctx);
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &ctx);
    let verdict = refuse(&mut balancer, 1, &packet, 11_000);
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::FlowSearched
        }
    );
    assert_eq!(balancer.on_tick(&context(11_500)).lost.len(), 1);
}

fn report_all_advertised(
    balancer: &mut BalancerFlows,
    agent: u8,
    advertised_total: u32,
    now_ms: u64,
) {
    let report = AgentReport {
        advertised_total: Some(advertised_total),
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(agent), report, &context(now_ms));
}

/// Power loss everywhere: asking 48 agents about each of 1,500 flows would overload the network.
#[test]
fn flow_is_lost_without_asking_agents_that_have_advertised_all_their_flows() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    balancer.on_registered_agents(2);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    report_all_advertised(&mut balancer, 2, 0, 10_000);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_000));
    assert!(
        matches!(verdict, Verdict::Drop { .. }),
        "an advertisement may be delayed"
    );
    assert!(balancer.on_tick(&context(10_020)).lost.is_empty());
    assert_eq!(balancer.on_tick(&context(10_050)).lost.len(), 1);
}

/// More flows are open than a balancer keeps hints for, and a packet arrives for a flow whose hint
/// was evicted.
#[test]
fn flow_whose_hint_was_evicted_is_searched_although_its_agent_advertised_all() {
    let mut settings = FlowSettings::default();
    settings.hints.limit = 1;
    let (mut balancer, _) = balancer_with_settings(&settings, 0, RequestKind::Idempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &context(10_000));
    balancer.on_held_flows(agent_ip(1), &held(1, flow(2)), &context(10_000));
    report_all_advertised(&mut balancer, 1, 2, 10_250);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_300));
    assert_eq!(searched(verdict), [1]);
    assert!(balancer.on_tick(&context(10_350)).lost.is_empty());
    balancer.on_tick(&context(12_000));
    let later_ms = 10_300 + settings.hints.idle_ms;
    report_all_advertised(&mut balancer, 1, 2, later_ms);
    balancer.on_packet(&data(flow(3), 100), &context(later_ms));
    assert_eq!(balancer.on_tick(&context(later_ms + 50)).lost.len(), 1);
}

#[test]
fn delayed_advertisement_keeps_a_flow() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    balancer.on_packet(&data(flow(1), 100), &context(10_000));
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &context(10_010));
    assert!(balancer.on_tick(&context(10_050)).lost.is_empty());
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_060));
    assert_eq!(chosen(&verdict), 1);
}

/// Power loss everywhere: the first agents that are back are asked, the others return one by one.
#[test]
fn refusal_of_one_agent_does_not_start_a_search_at_agents_that_advertised_all() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    let packet = data(flow(1), 100);
    assert_eq!(searched(balancer.on_packet(&packet, &context(10_000))), [1]);
    refuse(&mut balancer, 1, &packet, 10_005);
    report_all_advertised(&mut balancer, 2, 0, 10_010);
    report_all_advertised(&mut balancer, 3, 0, 10_010);
    assert_eq!(balancer.on_tick(&context(10_050)).lost.len(), 1);
}

/// All balancers restart one after the other while an agent is down.
#[test]
fn count_of_agents_outlives_the_balancer_that_reported_it() {
    let settings = FlowSettings::default();
    let (mut balancer, _) = balancer_with_settings(&settings, 0, RequestKind::NonIdempotent);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &context(1_600));
    balancer.on_heartbeat(balancer_ip(2), &heartbeat(2), &context(1_600));
    let restarted = BalancerHeartbeat {
        incarnation: ProcessIncarnation(78),
        ..heartbeat(1)
    };
    balancer.on_heartbeat(balancer_ip(2), &restarted, &context(1_700));
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &context(1_700));
    refuse(&mut balancer, 1, &packet, 1_705);
    assert!(balancer.on_tick(&context(1_750)).lost.is_empty());
}

/// Guards against a balancer that has been running for long, but has just begun to hear from agents,
/// and takes the refusals of the first ones for all answers.
#[rstest]
#[case::idempotent(RequestKind::Idempotent, 0)]
#[case::not_idempotent(RequestKind::NonIdempotent, 1_500)]
fn balancer_settles_from_the_first_agent_on_if_the_request_may_have_run(
    #[case] kind: RequestKind,
    #[case] settle_ms: u64,
) {
    const FIRST_AGENT_MS: u64 = 10_000;
    let (mut balancer, _) = balancer_with(0, kind);
    balancer.on_registered_agents(1);
    let serving = report(TargetPhase::Serving);
    balancer.on_report(agent_ip(1), serving, &context(FIRST_AGENT_MS));
    let packet = data(flow(1), 100);
    let mut resets = Vec::new();
    for now_ms in (FIRST_AGENT_MS..FIRST_AGENT_MS + 2_000).step_by(50) {
        balancer.on_report(agent_ip(1), serving, &context(now_ms));
        balancer.on_packet(&packet, &context(now_ms));
        refuse(&mut balancer, 1, &packet, now_ms + 1);
        if !balancer.on_tick(&context(now_ms + 10)).lost.is_empty() {
            resets.push(now_ms);
        }
    }
    assert_eq!(resets.first(), Some(&(FIRST_AGENT_MS + settle_ms)));
}

/// Guards against a reset by a balancer that has just started and takes the count of another one, which
/// has just started as well, for the number of all agents.
#[rstest]
#[case::count_still_grows(0, true)]
#[case::count_of_the_store_is_reached(1, false)]
fn balancer_in_a_new_fleet_waits_until_no_more_agents_appear(
    #[case] registered: u16,
    #[case] is_kept: bool,
) {
    let settings = FlowSettings::default();
    let (mut balancer, _) = balancer_with_settings(&settings, 0, RequestKind::Idempotent);
    let serving = report(TargetPhase::Serving);
    balancer.on_registered_agents(registered);
    balancer.on_heartbeat(balancer_ip(2), &heartbeat(0), &context(0));
    balancer.on_heartbeat(balancer_ip(2), &heartbeat(1), &context(250));
    balancer.on_report(agent_ip(1), serving, &context(250));
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &context(300));
    refuse(&mut balancer, 1, &packet, 301);
    assert_eq!(balancer.on_tick(&context(302)).lost.is_empty(), is_kept);

    balancer.on_report(agent_ip(2), serving, &context(400));
    balancer.on_held_flows(agent_ip(2), &held(0, flow(1)), &context(401));
    assert!(balancer.on_tick(&context(1_000)).lost.is_empty());
}

/// Guards against a reset of a flow whose agent is down while all balancers that knew it are gone.
#[test]
fn registered_count_of_agents_outlives_the_balancers_that_wrote_it() {
    let settings = FlowSettings::default();
    let (mut balancer, _) = balancer_with_settings(&settings, 0, RequestKind::NonIdempotent);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &context(0));
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &context(1_600));
    balancer.on_heartbeat(balancer_ip(2), &heartbeat(1), &context(1_600));
    balancer.on_registered_agents(2);
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &context(1_700));
    refuse(&mut balancer, 1, &packet, 1_705);
    assert!(balancer.on_tick(&context(1_750)).lost.is_empty());
    balancer.on_report(agent_ip(2), report(TargetPhase::Serving), &context(1_800));
    refuse(&mut balancer, 2, &packet, 1_805);
    assert_eq!(balancer.on_tick(&context(1_850)).lost.len(), 1);
}

/// Guards against the reset of a flow at a target that has sent no heartbeat to its agent and is at
/// work on the flow's request.
#[rstest]
#[case::idempotent(RequestKind::Idempotent)]
#[case::not_idempotent(RequestKind::NonIdempotent)]
fn silent_target_is_waited_for(#[case] kind: RequestKind) {
    let (mut balancer, _) = balancer_with(1, kind);
    let unheard = report(TargetPhase::Unknown);
    balancer.on_report(agent_ip(2), unheard, &context(10_000));
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &context(10_000));
    refuse(&mut balancer, 1, &packet, 10_005);
    assert!(balancer.on_tick(&context(10_150)).lost.is_empty());
    assert!(balancer.on_tick(&context(10_900)).lost.is_empty());
    for (agent, phase) in [(1, TargetPhase::Serving), (2, TargetPhase::Unknown)] {
        balancer.on_report(agent_ip(agent), report(phase), &context(10_900));
    }
    let verdict = refuse(&mut balancer, 2, &packet, 10_950);
    assert!(matches!(verdict, Verdict::Reset { .. }));
}

/// The agent may since have stopped reporting its total of advertised flows, in a report that was
/// lost.
#[test]
fn agent_whose_last_report_is_old_is_asked_although_it_advertised_all() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_900));
    assert_eq!(searched(verdict), [1]);
}

#[test]
fn agent_whose_advertisement_was_lost_is_asked_and_readvertises() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    report_all_advertised(&mut balancer, 1, 2, 10_250);
    assert!(balancer.has_advertisement_gap(agent_ip(1)));
    let verdict = balancer.on_packet(&data(flow(9), 100), &context(10_250));
    assert_eq!(searched(verdict), [1]);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &context(10_260));
    balancer.on_held_flows(agent_ip(1), &held(1, flow(2)), &context(10_260));
    report_all_advertised(&mut balancer, 1, 2, 10_500);
    assert!(!balancer.has_advertisement_gap(agent_ip(1)));
}

#[test]
fn gap_in_advertisements_is_noticed_before_the_next_report() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    balancer.on_held_flows(agent_ip(1), &held(1, flow(2)), &context(10_010));
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_020));
    assert_eq!(searched(verdict), [1]);
}

/// Two targets have answered a SYN and its retransmission, and a balancer that has just started
/// first gets the advertisement of the one that the caller did not choose.
#[test]
fn other_agents_are_asked_after_the_hinted_one_has_refused() {
    let (mut balancer, ctx) = balancer_with(0, RequestKind::Idempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    report_all_advertised(&mut balancer, 2, 0, 10_000);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    balancer.on_held_flows(agent_ip(2), &held(0, flow(1)), &ctx);
    let packet = data(flow(1), 100);
    assert_eq!(chosen(&balancer.on_packet(&packet, &ctx)), 1);
    let verdict = refuse(&mut balancer, 1, &packet, 10_000);
    assert_eq!(searched(verdict), [2]);
    assert!(balancer.on_tick(&context(10_050)).lost.is_empty());
}

#[test]
fn flow_of_requests_that_may_not_be_repeated_is_searched_at_all_agents() {
    let (mut balancer, _) = balancer_with(0, RequestKind::NonIdempotent);
    report_all_advertised(&mut balancer, 1, 0, 10_000);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_000));
    assert_eq!(searched(verdict), [1]);
}

/// A flow that this balancer never forwarded, and that moves here late in its life.
#[test]
fn hint_of_a_flow_that_others_forward_is_kept() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    balancer.on_tick(&context(70_000));
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &context(70_000));
    assert_eq!(
        chosen(&balancer.on_packet(&data(flow(1), 9), &context(70_000))),
        1
    );
}

/// A SYN retransmission was delayed in a paused balancer.
#[test]
fn late_advertisement_of_a_second_target_does_not_move_a_flow() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    balancer.on_held_flows(agent_ip(2), &held(0, flow(1)), &ctx);
    assert_eq!(chosen(&balancer.on_packet(&data(flow(1), 100), &ctx)), 1);
}

/// An agent was paused while it had the SYN; meanwhile a retransmission was placed elsewhere.
#[test]
fn late_refusal_of_the_first_agent_leaves_the_flow_where_it_is() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let packet = syn(flow(1), 0);
    let first = chosen(&balancer.on_packet(&packet, &ctx));
    let retransmission = balancer.on_packet(&syn(flow(1), 1), &context(10_200));
    let second = chosen(&retransmission);
    balancer.on_held_flows(agent_ip(second), &held(0, flow(1)), &context(10_210));
    let code = returned(ResultCode::Overloaded);
    let verdict = balancer.on_returned(agent_ip(first), code, &packet, &context(13_000));
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::Overloaded
        }
    );
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(10_700));
    assert_eq!(chosen(&verdict), second);
}

#[test]
fn syn_whose_caller_has_given_up_is_not_placed_again() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let packet = syn(flow(1), 0);
    let first = chosen(&balancer.on_packet(&packet, &ctx));
    let code = returned(ResultCode::Recovering);
    let verdict = balancer.on_returned(agent_ip(first), code, &packet, &context(11_400));
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::Recovering
        }
    );
}

#[test]
fn syns_from_before_a_pause_are_dropped() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_pause(3_000, &ctx);
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    let verdict = balancer.on_packet(&syn(flow(1), 0), &ctx);
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::Recovering
        }
    );
    balancer.on_backlog_read();
    assert_eq!(chosen(&balancer.on_packet(&syn(flow(1), 1), &ctx)), 1);
}

/// Rolling restart of balancers: one that has just started must not take its short list of agents
/// for complete.
#[test]
fn balancer_that_knows_fewer_agents_than_another_does_not_reset() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    let ctx = context(2_000);
    balancer.on_heartbeat(balancer_ip(2), &heartbeat(2), &context(2_000));
    balancer.on_report(agent_ip(1), report(TargetPhase::Serving), &ctx);
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &ctx);
    let verdict = refuse(&mut balancer, 1, &packet, 2_000);
    assert_eq!(
        verdict,
        Verdict::Drop {
            code: ResultCode::FlowSearched
        }
    );
    assert!(!balancer.is_ready(&ctx));
    balancer.on_report(agent_ip(2), report(TargetPhase::Serving), &ctx);
    assert!(balancer.is_ready(&ctx));
}

#[test]
fn flow_of_an_ended_incarnation_is_reset_without_asking_others() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::NonIdempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let packet = data(flow(1), 100);
    let code = returned(ResultCode::FlowLost);
    let verdict = balancer.on_returned(agent_ip(1), code, &packet, &ctx);
    assert_eq!(
        verdict,
        Verdict::Reset {
            code: ResultCode::FlowLost
        }
    );
}

#[rstest]
#[case::idempotent(RequestKind::Idempotent, true)]
#[case::not_idempotent(RequestKind::NonIdempotent, false)]
fn flow_of_a_silent_agent_is_reset_only_if_its_caller_benefits(
    #[case] kind: RequestKind,
    #[case] is_reset: bool,
) {
    let (mut balancer, ctx) = balancer_with(2, kind);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(11_600));
    assert_eq!(matches!(verdict, Verdict::Reset { .. }), is_reset);
}

/// An agent's process is paused; a balancer without a hint has asked all others.
#[rstest]
#[case::idempotent(RequestKind::Idempotent, 1)]
#[case::not_idempotent(RequestKind::NonIdempotent, 0)]
fn flow_that_only_a_silent_agent_can_hold_is_lost_only_if_its_caller_benefits(
    #[case] kind: RequestKind,
    #[case] lost: usize,
) {
    let (mut balancer, _) = balancer_with(2, kind);
    balancer.on_report(agent_ip(2), report(TargetPhase::Serving), &context(12_000));
    let packet = data(flow(1), 100);
    balancer.on_packet(&packet, &context(12_000));
    refuse(&mut balancer, 2, &packet, 12_010);
    assert_eq!(balancer.on_tick(&context(12_050)).lost.len(), lost);
}

#[test]
fn flow_of_an_agent_that_restarts_on_purpose_is_not_reset() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &ctx);
    let stopping = AgentReport {
        is_stopping: true,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(1), stopping, &ctx);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(12_500));
    assert_eq!(chosen(&verdict), 1);
}

#[test]
fn open_flow_is_found_after_its_route_went_to_another_service() {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version = 2;
    for route in settings.table.routes.values_mut() {
        route.shares[0].service = crate::flows::ServiceTag::of("other");
    }
    balancer.on_fleet_settings(settings, &ctx);
    let verdict = balancer.on_packet(&data(flow(1), 100), &ctx);
    assert_eq!(searched(verdict), [1, 2]);
}

#[test]
fn packet_to_an_unknown_address_is_reset() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let mut unknown = flow(1);
    unknown.service_address.set_port(9);
    let verdict = balancer.on_packet(&syn(unknown, 0), &ctx);
    assert_eq!(
        verdict,
        Verdict::Reset {
            code: ResultCode::UnknownService
        }
    );
}

#[test]
fn header_names_the_balancer_that_received_the_packet() {
    let (mut balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let Verdict::Forward(NextHop { header, .. }) = balancer.on_packet(&syn(flow(1), 0), &ctx)
    else {
        panic!("expected one agent");
    };
    assert_eq!(header.origin, balancer_ip(1));
    assert_eq!(header.service, service());
}
