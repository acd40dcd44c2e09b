use super::{
    FLOW_MAX_AGE_MS, HEARTBEAT_MS, accepted, agent_ip, balancer_ip, balancer_with, bounced,
    context, data, first_heartbeat, flow, forward_header, from_target, hear_target_for_long,
    heartbeat, new_agent, report, restart_target, revision, serving_agent, syn, target_heartbeat,
};
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        AgentFlows, AgentReport, BalancerEntry, BalancerHeartbeat, FlowKey, ForwardHeader,
        ProcessIncarnation, ReportReply, RequestKind, ServiceLimits, ServiceTag, TargetPhase,
        agent::{
            CallerVerdict, HeartbeatOutcome, HeartbeatState, SettingsSource, TargetHeartbeat,
            TargetVerdict,
        },
    },
};
use rstest::rstest;

const ORIGIN: u8 = 1;

fn open(agent: &mut AgentFlows, key: FlowKey, now_ms: u64) {
    let ctx = context(now_ms);
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &syn(key, 0), &ctx);
    agent.on_target_packet(&accepted(key), &ctx);
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &data(key, 0), &ctx);
}

fn advertised_flows(agent: &mut AgentFlows, balancer: u8) -> Vec<FlowKey> {
    agent
        .take_advertisements()
        .into_iter()
        .filter(|(ip, _)| *ip == balancer_ip(balancer))
        .flat_map(|(_, held)| held.flows)
        .collect()
}

fn refusal(verdict: CallerVerdict) -> ResultCode {
    match verdict {
        CallerVerdict::Return { code } => code,
        CallerVerdict::Deliver { .. } | CallerVerdict::Queue => panic!("expected a refusal"),
    }
}

fn is_delivered(verdict: CallerVerdict) -> bool {
    matches!(verdict, CallerVerdict::Deliver { .. })
}

fn try_syn(agent: &mut AgentFlows, now_ms: u64) -> CallerVerdict {
    let packet = syn(flow(900), 0);
    agent.on_packet(
        &forward_header(balancer_ip(ORIGIN)),
        &packet,
        &context(now_ms),
    )
}

fn reply(limits: Option<ServiceLimits>) -> ReportReply {
    ReportReply {
        incarnation: ProcessIncarnation(1),
        version: 1,
        revision: revision(1),
        is_domain_out: false,
        limits,
        balancers_hash: 0,
        former_report_age_ms: None,
    }
}

#[test]
fn accepted_flow_is_advertised_to_the_balancer_that_forwarded_it() {
    let (mut agent, _) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    assert_eq!(advertised_flows(&mut agent, ORIGIN), [flow(1)]);
    assert_eq!(agent.table().live(), 1);
}

#[test]
fn frame_for_another_service_never_reaches_the_target() {
    let (mut agent, ctx) = serving_agent();
    let foreign = ForwardHeader {
        service: ServiceTag::of("another"),
        ..forward_header(balancer_ip(ORIGIN))
    };
    for packet in [syn(flow(1), 0), data(flow(1), 10)] {
        let verdict = agent.on_packet(&foreign, &packet, &ctx);
        assert_eq!(refusal(verdict), ResultCode::ForeignService);
    }
}

#[test]
fn draining_target_keeps_its_flows_and_gets_no_new_ones() {
    let (mut agent, _) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    let draining = TargetHeartbeat {
        state: HeartbeatState::Draining,
        ..target_heartbeat(2)
    };
    let (outcome, lost) = agent.on_target_heartbeat(&draining, &context(5_100));
    assert_eq!(outcome, HeartbeatOutcome::PhaseChanged);
    assert!(lost.is_empty());
    assert_eq!(refusal(try_syn(&mut agent, 5_100)), ResultCode::Draining);
    let packet = data(flow(1), 10);
    let verdict = agent.on_packet(&forward_header(balancer_ip(2)), &packet, &context(5_100));
    assert!(is_delivered(verdict));
}

#[test]
fn domain_that_is_out_gets_no_new_flow_until_it_is_back() {
    let (mut agent, ctx) = serving_agent();
    let out = ReportReply {
        is_domain_out: true,
        revision: revision(5),
        ..reply(None)
    };
    assert!(agent.on_reply(&out, &ctx));
    assert_eq!(
        refusal(try_syn(&mut agent, ctx.now_ms)),
        ResultCode::DomainOut
    );
    agent.on_reply(&reply(None), &ctx);
    let verdict = try_syn(&mut agent, ctx.now_ms);
    assert_eq!(
        refusal(verdict),
        ResultCode::DomainOut,
        "an older revision changes nothing"
    );
    let back = ReportReply {
        revision: revision(6),
        ..reply(None)
    };
    assert!(agent.on_reply(&back, &ctx));
    assert!(is_delivered(try_syn(&mut agent, ctx.now_ms)));
}

#[test]
fn target_that_has_sent_no_heartbeat_gets_no_new_flow() {
    let mut agent = new_agent();
    assert_eq!(
        refusal(try_syn(&mut agent, 10)),
        ResultCode::TargetUnreachable
    );
}

#[test]
fn new_flows_are_refused_while_too_many_requests_wait() {
    let (mut agent, ctx) = serving_agent();
    for port in 1..=8 {
        open(&mut agent, flow(port), 5_000);
        agent.on_packet(
            &forward_header(balancer_ip(ORIGIN)),
            &data(flow(port), 10),
            &ctx,
        );
    }
    assert_eq!(agent.table().at_work(), 8);
    assert_eq!(refusal(try_syn(&mut agent, 5_000)), ResultCode::Overloaded);
    let answer = from_target(data(flow(1), 10));
    agent.on_target_packet(&answer, &ctx);
    assert_eq!(agent.table().at_work(), 7);
    assert!(is_delivered(try_syn(&mut agent, 5_000)));
}

#[test]
fn retransmitted_request_does_not_count_twice() {
    let (mut agent, ctx) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    let request = data(flow(1), 10);
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &request, &ctx);
    agent.on_target_packet(&from_target(data(flow(1), 10)), &ctx);
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &request, &ctx);
    assert_eq!(agent.table().at_work(), 0);
}

#[test]
fn syn_that_bounces_goes_on_to_another_target() {
    let (mut agent, ctx) = serving_agent();
    let packet = syn(flow(1), 0);
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &packet, &ctx);
    let verdict = agent.on_target_packet(&bounced(packet, balancer_ip(ORIGIN)), &ctx);
    let expected = TargetVerdict::Return {
        origin: balancer_ip(ORIGIN),
        code: ResultCode::TargetShed,
    };
    assert_eq!(verdict, expected);
    assert_eq!(agent.table().live(), 0);
}

#[test]
fn target_that_does_not_answer_a_syn_is_given_up_with_the_next_retransmission() {
    let (mut agent, _) = serving_agent();
    let origin = forward_header(balancer_ip(ORIGIN));
    agent.on_packet(&origin, &syn(flow(1), 0), &context(5_000));
    let verdict = agent.on_packet(&origin, &syn(flow(1), 1), &context(5_200));
    assert_eq!(refusal(verdict), ResultCode::TargetSilent);
}

#[test]
fn new_incarnation_loses_the_flows_of_the_one_before() {
    let (mut agent, _) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    let packet = data(flow(1), 10);
    agent.on_packet(
        &forward_header(balancer_ip(ORIGIN)),
        &packet,
        &context(5_010),
    );
    let restarted_ms = hear_target_for_long(&mut agent) + 900;
    let ctx = context(restarted_ms);
    let (outcome, lost) = agent.on_target_heartbeat(&first_heartbeat(), &ctx);
    assert_eq!(outcome, HeartbeatOutcome::NewLifetime);
    assert_eq!(lost.len(), 1);
    assert_eq!(
        lost[0].sequence, 501,
        "a reset has to fit the caller's window"
    );
    let verdict = agent.on_packet(
        &forward_header(balancer_ip(ORIGIN)),
        &packet,
        &context(restarted_ms + 10),
    );
    assert_eq!(refusal(verdict), ResultCode::FlowLost);
}

#[rstest]
#[case::of_an_earlier_incarnation(TargetHeartbeat { born_ms: 9_000, ..target_heartbeat(9) })]
#[case::sent_before_the_last(target_heartbeat(1))]
fn late_heartbeat_changes_nothing(#[case] late: TargetHeartbeat) {
    let (mut agent, _) = serving_agent();
    agent.on_target_heartbeat(&target_heartbeat(2), &context(5_100));
    let draining = TargetHeartbeat {
        state: HeartbeatState::Draining,
        ..late
    };
    let (outcome, _) = agent.on_target_heartbeat(&draining, &context(5_200));
    assert_eq!(outcome, HeartbeatOutcome::Outdated);
    assert_eq!(agent.target().phase(), TargetPhase::Serving);
}

#[test]
fn incarnation_whose_clock_was_set_back_is_accepted_once_the_last_one_is_silent() {
    let (mut agent, _) = serving_agent();
    open(&mut agent, flow(1), 3_000);
    let restarted = TargetHeartbeat {
        born_ms: 8_000,
        ..first_heartbeat()
    };
    let ctx = context(5_000 + 3 * HEARTBEAT_MS);
    let (outcome, lost) = agent.on_target_heartbeat(&restarted, &ctx);
    assert_eq!((outcome, lost.len()), (HeartbeatOutcome::Replaced, 0));
    assert_eq!(agent.target().phase(), TargetPhase::Serving);
    let packet = data(flow(1), 10);
    let origin = forward_header(balancer_ip(ORIGIN));
    assert!(is_delivered(agent.on_packet(&origin, &packet, &ctx)));
    let verdict = agent.on_target_packet(&bounced(packet, balancer_ip(ORIGIN)), &ctx);
    let code = ResultCode::FlowLost;
    let origin = balancer_ip(ORIGIN);
    assert_eq!(verdict, TargetVerdict::Return { origin, code });
}

#[test]
fn restarted_agent_asks_its_target_about_flows_that_it_does_not_know() {
    let (mut agent, ctx) = serving_agent();
    let origin = forward_header(balancer_ip(2));
    let held = data(flow(1), 10);
    assert!(is_delivered(agent.on_packet(&origin, &held, &ctx)));
    agent.on_target_packet(&from_target(data(flow(1), 0)), &ctx);
    assert_eq!(advertised_flows(&mut agent, 2), [flow(1)]);
    let unknown = data(flow(2), 10);
    assert!(is_delivered(agent.on_packet(&origin, &unknown, &ctx)));
    let verdict = agent.on_target_packet(&bounced(unknown, balancer_ip(2)), &ctx);
    let expected = TargetVerdict::Return {
        origin: balancer_ip(2),
        code: ResultCode::FlowNotHeld,
    };
    assert_eq!(verdict, expected);
}

#[test]
fn agent_that_observed_its_target_start_answers_by_itself() {
    let (mut agent, _) = serving_agent();
    restart_target(&mut agent, 6_000);
    let packet = data(flow(7), 10);
    let verdict = agent.on_packet(
        &forward_header(balancer_ip(ORIGIN)),
        &packet,
        &context(6_000),
    );
    assert_eq!(refusal(verdict), ResultCode::FlowNotHeld);
}

#[test]
fn packet_that_acknowledges_another_target_is_not_accepted() {
    let (mut agent, ctx) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    let mut foreign = data(flow(1), 0);
    foreign.acknowledged = 500_u32.wrapping_sub(1 << 30);
    let origin = forward_header(balancer_ip(ORIGIN));
    let verdict = agent.on_packet(&origin, &foreign, &ctx);
    assert_eq!(refusal(verdict), ResultCode::FlowSearched);
    let verdict = agent.on_packet(&origin, &foreign, &context(ctx.now_ms + 1_600));
    assert_eq!(refusal(verdict), ResultCode::FlowNotHeld);
}

#[test]
fn open_flow_that_the_target_bounces_is_lost() {
    let (mut agent, ctx) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    let packet = data(flow(1), 10);
    let verdict = agent.on_target_packet(&bounced(packet, balancer_ip(3)), &ctx);
    let expected = TargetVerdict::Return {
        origin: balancer_ip(3),
        code: ResultCode::FlowLost,
    };
    assert_eq!(verdict, expected);
}

/// After an outage many SYNs reach a target late. Flows that are never fully opened, and
/// requests whose callers have left, must not block new flows for good.
#[test]
fn requests_that_callers_gave_up_no_longer_count_as_work() {
    let (mut agent, ctx) = serving_agent();
    let origin = forward_header(balancer_ip(ORIGIN));
    for port in 1..=5 {
        agent.on_packet(&origin, &syn(flow(port), 0), &ctx);
        agent.on_target_packet(&accepted(flow(port)), &ctx);
    }
    for port in 11..=13 {
        open(&mut agent, flow(port), 5_000);
        agent.on_packet(&origin, &data(flow(port), 10), &ctx);
    }
    assert_eq!(refusal(try_syn(&mut agent, 5_000)), ResultCode::Overloaded);
    agent.on_tick(&context(5_300));
    assert_eq!(agent.table().at_work(), 3);
    assert!(is_delivered(try_syn(&mut agent, 5_300)));
    agent.on_tick(&context(8_000));
    assert_eq!(agent.table().at_work(), 0);
    agent.on_target_packet(&from_target(data(flow(11), 10)), &context(8_100));
    assert_eq!(agent.table().at_work(), 0);
}

/// A balancer resumes after a pause and places a SYN whose caller is served elsewhere.
#[test]
fn bounce_of_a_flow_that_its_caller_never_opened_here_is_not_reported_as_lost() {
    let (mut agent, ctx) = serving_agent();
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &syn(flow(1), 0), &ctx);
    agent.on_target_packet(&accepted(flow(1)), &ctx);
    let mut elsewhere = data(flow(1), 10);
    elsewhere.acknowledged = 500 + (1 << 20);
    let verdict = agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &elsewhere, &ctx);
    assert_eq!(refusal(verdict), ResultCode::FlowNotHeld);
    let verdict = agent.on_target_packet(&bounced(elsewhere, balancer_ip(ORIGIN)), &ctx);
    let expected = TargetVerdict::Return {
        origin: balancer_ip(ORIGIN),
        code: ResultCode::FlowNotHeld,
    };
    assert_eq!(verdict, expected);
}

#[test]
fn syns_from_before_a_pause_are_returned() {
    let (mut agent, ctx) = serving_agent();
    agent.on_pause(&ctx);
    assert_eq!(
        refusal(try_syn(&mut agent, ctx.now_ms)),
        ResultCode::Recovering
    );
    agent.on_backlog_read();
    assert!(is_delivered(try_syn(&mut agent, ctx.now_ms)));
}

/// The flow was opened at another target; a search brings its packets here as well.
#[test]
fn target_that_has_not_answered_a_syn_gets_no_later_one() {
    let (mut agent, ctx) = serving_agent();
    let origin = forward_header(balancer_ip(ORIGIN));
    agent.on_packet(&origin, &syn(flow(1), 0), &ctx);
    let verdict = agent.on_packet(&origin, &data(flow(1), 10), &ctx);
    assert_eq!(refusal(verdict), ResultCode::FlowNotHeld);
}

#[test]
fn reset_of_a_target_that_the_caller_did_not_choose_does_not_reach_the_caller() {
    let (mut agent, ctx) = serving_agent();
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &syn(flow(1), 0), &ctx);
    agent.on_target_packet(&accepted(flow(1)), &ctx);
    let mut reset = from_target(data(flow(1), 0));
    reset.flags.rst = true;
    assert_eq!(agent.on_target_packet(&reset, &ctx), TargetVerdict::Drop);
    assert_eq!(agent.table().live(), 0);
}

#[test]
fn reset_of_an_open_flow_reaches_its_caller() {
    let (mut agent, ctx) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    let mut reset = from_target(data(flow(1), 0));
    reset.flags.rst = true;
    let verdict = agent.on_target_packet(&reset, &ctx);
    assert!(matches!(verdict, TargetVerdict::ToCaller { .. }));
}

fn new_balancer(number: u8, incarnation: u32) -> BalancerEntry {
    BalancerEntry {
        ip: balancer_ip(number),
        domain: DomainId(number % 2),
        incarnation: ProcessIncarnation(incarnation),
        age_ms: 0,
    }
}

#[test]
fn new_balancer_gets_advertisements_of_all_open_flows() {
    let (mut agent, ctx) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    agent.take_advertisements();
    assert!(agent.on_balancers(&[new_balancer(5, 50)], &ctx));
    assert_eq!(advertised_flows(&mut agent, 5), [flow(1)]);
    assert!(!agent.on_balancers(&[new_balancer(5, 50)], &ctx));
    assert!(agent.on_balancers(&[new_balancer(5, 51)], &context(5_100)));
    assert_eq!(
        advertised_flows(&mut agent, 5),
        [flow(1)],
        "a later run knows nothing"
    );
}

#[test]
fn among_many_balancers_only_some_of_the_callers_domain_get_advertisements() {
    let (mut agent, ctx) = serving_agent();
    let entries: Vec<BalancerEntry> = (2..100).map(|number| new_balancer(number, 50)).collect();
    agent.on_balancers(&entries, &ctx);
    agent.take_advertisements();
    open(&mut agent, flow(1), 6_000);
    let advertisements = agent.take_advertisements();
    assert_eq!(
        advertisements.len(),
        9,
        "eight and the one that forwarded the flow"
    );
    assert_eq!(agent.report(balancer_ip(2), &ctx).advertised_total, None);
}

/// An agent that knows all flows of its target, with 32 balancers that get every advertisement.
fn agent_with_the_most_balancers_that_all_get_advertisements() -> AgentFlows {
    let (mut agent, _) = serving_agent();
    restart_target(&mut agent, 6_000);
    let entries: Vec<BalancerEntry> = (1..=32).map(|number| new_balancer(number, 50)).collect();
    agent.on_balancers(&entries, &context(6_000));
    agent.take_advertisements();
    agent
}

/// The fleet grows. Balancers rely for a while on the last report, which said that every flow is
/// advertised to them.
#[test]
fn all_balancers_get_advertisements_until_the_last_complete_report_has_expired() {
    let mut agent = agent_with_the_most_balancers_that_all_get_advertisements();
    let ctx = context(6_100);
    assert_eq!(agent.report(balancer_ip(2), &ctx).advertised_total, Some(0));
    agent.on_balancers(&[new_balancer(33, 50)], &ctx);
    assert_eq!(agent.report(balancer_ip(2), &ctx).advertised_total, None);
    open(&mut agent, flow(1), 6_200);
    assert_eq!(agent.take_advertisements().len(), 33);
    open(&mut agent, flow(2), 7_000);
    assert_eq!(agent.take_advertisements().len(), 9);
}

/// A flow was advertised to a few of many balancers; then some leave, so that all of them get every
/// flow again.
#[test]
fn flows_are_readvertised_before_a_report_says_that_all_were() {
    let mut agent = agent_with_the_most_balancers_that_all_get_advertisements();
    agent.on_balancers(&[new_balancer(33, 50)], &context(6_100));
    open(&mut agent, flow(1), 7_000);
    agent.take_advertisements();
    let final_heartbeat = BalancerHeartbeat {
        incarnation: ProcessIncarnation(50),
        is_stopping: true,
        ..heartbeat(0)
    };
    agent
        .balancers_mut()
        .record_heartbeat(balancer_ip(33), &final_heartbeat, 7_100);
    let ctx = context(7_150);
    assert_eq!(agent.report(balancer_ip(2), &ctx).advertised_total, None);
    agent.on_tick(&ctx);
    assert_eq!(agent.report(balancer_ip(2), &ctx).advertised_total, Some(1));
    assert_eq!(advertised_flows(&mut agent, 2), [flow(1)]);
}

#[test]
fn agent_reports_its_advertised_total_only_while_it_knows_all_flows() {
    let (mut agent, ctx) = serving_agent();
    agent.on_balancers(&[new_balancer(ORIGIN, 50)], &ctx);
    assert_eq!(
        agent.report(balancer_ip(ORIGIN), &ctx).advertised_total,
        None
    );
    restart_target(&mut agent, 6_000);
    open(&mut agent, flow(1), 6_100);
    agent.take_advertisements();
    let report = agent.report(balancer_ip(ORIGIN), &context(6_100));
    assert_eq!(report.advertised_total, Some(1));
    assert_eq!(
        agent
            .report(balancer_ip(9), &context(6_100))
            .advertised_total,
        None
    );
}

/// A balancer has just started; the frames with its flows may be lost after the report.
#[test]
fn report_counts_flows_whose_advertisement_is_pending() {
    let (mut agent, _) = serving_agent();
    restart_target(&mut agent, 6_000);
    open(&mut agent, flow(1), 6_100);
    let ctx = context(6_200);
    agent.on_balancers(&[new_balancer(5, 50)], &ctx);
    assert_eq!(agent.report(balancer_ip(5), &ctx).advertised_total, Some(1));
}

/// Guards against an agent that started shortly after its target and denies flows that an agent
/// before it has brought there; and against needless searches after a machine lost power.
#[rstest]
#[case::no_balancer_has_replied(1, &[], false)]
#[case::machine_lost_power(1, &[None], true)]
#[case::machine_lost_power_for_long(1, &[Some(2_000)], true)]
#[case::another_agent_ran_before(1, &[Some(200)], false)]
#[case::only_one_balancer_remembers(1, &[None, Some(200), None], false)]
#[case::another_agent_got_the_first_heartbeats(5, &[None], false)]
#[case::target_started_long_before(9, &[None], false)]
fn agent_knows_all_flows_of_a_target_that_had_no_other_agent(
    #[case] first_sequence: u64,
    #[case] former_report_ages_ms: &[Option<u32>],
    #[case] knows_all_flows: bool,
    #[values(Some(120), Some(360), None)] age_ms: Option<u64>,
) {
    let mut agent = new_agent();
    let packet = data(flow(7), 10);
    let origin = forward_header(balancer_ip(ORIGIN));
    for (number, now_ms) in [(0, 100), (1, 100 + HEARTBEAT_MS)] {
        let heartbeat = TargetHeartbeat {
            sequence: first_sequence + number,
            age_ms: age_ms.filter(|_| number == 0),
            ..first_heartbeat()
        };
        let is_joint_start =
            age_ms.is_some_and(|age_ms| age_ms < 350) && former_report_ages_ms == [None];
        let may_be_late = number == 0 && !is_joint_start;
        agent.on_target_heartbeat(&heartbeat, &context(now_ms));
        for former_report_age_ms in former_report_ages_ms {
            let reply = ReportReply {
                former_report_age_ms: former_report_age_ms.map(|age_ms| age_ms + now_ms as u32),
                ..reply(None)
            };
            agent.on_reply(&reply, &context(now_ms));
        }
        let verdict = agent.on_packet(&origin, &packet, &context(now_ms + 10));
        // A single heartbeat may be a late one of an earlier incarnation.
        assert_eq!(is_delivered(verdict), may_be_late || !knows_all_flows);
        let report = agent.report(balancer_ip(ORIGIN), &context(now_ms + 10));
        assert!(knows_all_flows || report.advertised_total.is_none());
        agent.on_target_packet(&bounced(packet, balancer_ip(ORIGIN)), &context(now_ms + 10));
    }
}

/// Guards against a balancer that forgets an agent's former incarnation with its next report.
#[test]
fn balancer_remembers_the_former_incarnation_of_an_agent() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    let former = report(TargetPhase::Serving);
    let restarted = AgentReport {
        incarnation: ProcessIncarnation(2),
        ..former
    };
    let agent = agent_ip(1);
    let reply = balancer.reply_to(agent, &former, &context(10_000));
    assert_eq!(reply.former_report_age_ms, None);
    for now_ms in [10_300, 10_550] {
        balancer.on_report(agent, restarted, &context(now_ms));
    }
    let reply = balancer.reply_to(agent, &restarted, &context(10_600));
    assert_eq!(reply.former_report_age_ms, Some(600));
}

/// The first heartbeat of an incarnation was late, and a flow was opened at that incarnation before
/// the heartbeat arrived.
#[test]
fn flow_that_may_have_been_opened_at_the_new_incarnation_is_not_lost() {
    let (mut agent, _) = serving_agent();
    open(&mut agent, flow(1), 3_900);
    let heard_ms = hear_target_for_long(&mut agent);
    open(&mut agent, flow(2), heard_ms + 100);
    let restarted = context(heard_ms + 1_000);
    let (outcome, lost) = agent.on_target_heartbeat(&first_heartbeat(), &restarted);
    assert_eq!(outcome, HeartbeatOutcome::NewLifetime);
    let lost: Vec<FlowKey> = lost.iter().map(|lost| lost.flow).collect();
    assert_eq!(lost, [flow(1)]);
    assert_eq!(agent.table().live(), 1);
    let packet = data(flow(2), 10);
    let origin = forward_header(balancer_ip(ORIGIN));
    assert!(is_delivered(agent.on_packet(&origin, &packet, &restarted)));
    let verdict = agent.on_target_packet(&bounced(packet, balancer_ip(ORIGIN)), &restarted);
    assert!(matches!(
        verdict,
        TargetVerdict::Return {
            code: ResultCode::FlowLost,
            ..
        }
    ));
}

/// Two targets answered a SYN and its retransmission, and the one that the caller did not accept
/// ends.
#[test]
fn flow_that_its_caller_opened_elsewhere_is_not_lost_with_the_target() {
    let (mut agent, ctx) = serving_agent();
    let origin = forward_header(balancer_ip(ORIGIN));
    agent.on_packet(&origin, &syn(flow(1), 0), &ctx);
    agent.on_target_packet(&accepted(flow(1)), &ctx);
    assert!(agent.on_target_ended(&ctx).is_empty());
    let search = ForwardHeader {
        is_search: true,
        ..origin
    };
    let verdict = agent.on_packet(&search, &data(flow(1), 10), &context(5_100));
    assert_eq!(refusal(verdict), ResultCode::FlowNotHeld);
}

#[test]
fn flows_that_ended_are_forgotten_before_idle_ones() {
    let (mut agent, _) = serving_agent();
    open(&mut agent, flow(1), 5_000);
    open(&mut agent, flow(2), 5_000);
    let mut fin = data(flow(1), 0);
    fin.flags.fin = true;
    agent.on_packet(&forward_header(balancer_ip(ORIGIN)), &fin, &context(5_100));
    agent.on_target_packet(&from_target(fin), &context(5_100));
    assert_eq!(agent.table().live(), 1);
    agent.on_tick(&context(12_000));
    assert!(agent.table().get(&flow(1)).is_none());
    assert!(agent.table().get(&flow(2)).is_some());
    agent.on_tick(&context(5_100 + FLOW_MAX_AGE_MS));
    assert!(agent.table().get(&flow(2)).is_none());
}

#[test]
fn source_of_settings_is_changed_after_three_reports_without_an_answer() {
    let (mut agent, ctx) = serving_agent();
    for number in [1, 2] {
        let entry = BalancerEntry {
            ip: balancer_ip(number),
            domain: DomainId(number % 2),
            incarnation: ProcessIncarnation(1),
            age_ms: 0,
        };
        agent.on_balancers(&[entry], &ctx);
    }
    let mut source = SettingsSource::default();
    let asked: Vec<u8> = (0..4)
        .filter_map(|_| source.next(agent.balancers(), DomainId(0)))
        .map(|ip| ip.octets()[3])
        .collect();
    assert_eq!(asked, [2, 2, 2, 1]);
    source.on_reply(5_500);
    assert_eq!(
        source.next(agent.balancers(), DomainId(0)),
        Some(balancer_ip(1))
    );
}

/// A target that resets whatever it receives is asked for a flow that another target holds.
#[rstest]
#[case::searched(true, TargetVerdict::Drop)]
#[case::believed_to_be_the_holder(false, TargetVerdict::ToCaller { handshake_ms: Some(5) })]
fn reset_of_a_target_that_was_only_asked_does_not_reach_the_caller(
    #[case] is_search: bool,
    #[case] verdict: TargetVerdict,
) {
    let mut agent = new_agent();
    let header = ForwardHeader {
        is_search,
        ..forward_header(balancer_ip(1))
    };
    let packet = data(flow(1), 100);
    let delivered = agent.on_packet(&header, &packet, &context(100));
    assert!(matches!(delivered, CallerVerdict::Deliver { .. }));
    let mut reset = from_target(packet);
    reset.flags.rst = true;
    assert_eq!(agent.on_target_packet(&reset, &context(105)), verdict);
}
