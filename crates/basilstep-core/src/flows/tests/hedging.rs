//! Second offers of SYNs that are confirmed late.

use super::{
    accepted, agent_ip, balancer_ip, balancer_with, balancer_with_settings, context, data,
    fleet_settings, flow, forward_header, held, report, service, serving_agent, syn,
};
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, FleetSettings, FlowKey, FlowSettings, RequestKind, Returned,
        Segment, TargetPhase,
        agent::CallerVerdict,
        balancer::{DueHedge, Verdict},
    },
    hedging::{HedgeRefusal, HedgingSettings},
};
use rstest::rstest;

const START_MS: u64 = 10_000;

/// When the second offer of a SYN of `START_MS` is due while few confirmations are known.
const DUE_MS: u64 = START_MS + 100;

const PACKET: &[u8] = b"the packet of the SYN";

fn hedging_settings(budget_percent: u16) -> FlowSettings {
    let mut settings = FlowSettings {
        hedging: HedgingSettings {
            budget_percent,
            ..HedgingSettings::default()
        },
        ..FlowSettings::default()
    };
    settings.target_health.is_enabled = true;
    settings
}

fn hedging_balancer(agents: u8) -> BalancerFlows {
    let settings = hedging_settings(100);
    balancer_with_settings(&settings, agents, RequestKind::Idempotent).0
}

/// Sends the first SYN of a flow and returns the agent that it is offered to.
fn offer(balancer: &mut BalancerFlows, flow: FlowKey, now_ms: u64) -> u8 {
    let first = syn(flow, 0);
    let verdict = balancer.on_packet(&first, &context(now_ms));
    balancer.watch_syn(&first, PACKET, &context(now_ms));
    agent_of(&verdict)
}

fn agent_of(verdict: &Verdict) -> u8 {
    match verdict {
        Verdict::Forward(next_hop) => next_hop.agent.octets()[3],
        other => panic!("expected one agent, got {other:?}"),
    }
}

fn searched(verdict: &Verdict) -> Vec<u8> {
    match verdict {
        Verdict::Search(next_hops) => next_hops.iter().map(|hop| hop.agent.octets()[3]).collect(),
        other => panic!("expected a search, got {other:?}"),
    }
}

fn due(balancer: &mut BalancerFlows, now_ms: u64) -> Vec<DueHedge> {
    balancer.take_due_hedges(&context(now_ms))
}

/// Returns the agent of the only second offer that is due.
fn second_agent(balancer: &mut BalancerFlows, now_ms: u64) -> Option<u8> {
    let due = due(balancer, now_ms);
    assert_eq!(due.len(), 1);
    let next_hop = due[0].result.ok();
    next_hop.map(|next_hop| next_hop.agent.octets()[3])
}

fn confirm(balancer: &mut BalancerFlows, agent: u8, flow: FlowKey, now_ms: u64) {
    balancer.on_held_flows(agent_ip(agent), &held(0, flow), &context(now_ms));
}

fn return_syn(
    balancer: &mut BalancerFlows,
    agent: u8,
    code: ResultCode,
    flow: FlowKey,
    now_ms: u64,
) -> Verdict {
    let returned = Returned {
        code,
        service: service(),
    };
    balancer.on_returned(agent_ip(agent), returned, &syn(flow, 0), &context(now_ms))
}

/// Offers a flow to two agents and returns them.
fn offer_twice(balancer: &mut BalancerFlows) -> [u8; 2] {
    let first = offer(balancer, flow(1), START_MS);
    [first, second_agent(balancer, DUE_MS).unwrap()]
}

fn return_data(balancer: &mut BalancerFlows, agent: u8, code: ResultCode, now_ms: u64) -> Verdict {
    let returned = Returned {
        code,
        service: service(),
    };
    balancer.on_returned(
        agent_ip(agent),
        returned,
        &data(flow(1), 0),
        &context(now_ms),
    )
}

/// Guards against a second offer that is early, goes to the first agent again, or is repeated.
#[test]
fn late_syn_is_offered_once_to_another_agent() {
    let mut balancer = hedging_balancer(3);
    let first = offer(&mut balancer, flow(1), START_MS);
    assert_eq!(due(&mut balancer, DUE_MS - 1), []);
    let hedges = due(&mut balancer, DUE_MS);
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].packet, PACKET);
    assert_eq!(hedges[0].waited_ms, 100);
    assert_ne!(hedges[0].result.unwrap().agent, agent_ip(first));
    assert_eq!(due(&mut balancer, DUE_MS + 50), []);
    assert_eq!(balancer.hedge_counts().sent, 1);
}

/// Guards against a second offer where a request could run twice or where it is not asked for.
#[rstest]
#[case::not_repeatable(RequestKind::NonIdempotent, 100, true)]
#[case::no_budget(RequestKind::Idempotent, 0, true)]
#[case::no_target_health(RequestKind::Idempotent, 100, false)]
fn no_second_offer(
    #[case] kind: RequestKind,
    #[case] budget_percent: u16,
    #[case] knows_health: bool,
) {
    let mut settings = hedging_settings(budget_percent);
    settings.target_health.is_enabled = knows_health;
    let (mut balancer, _) = balancer_with_settings(&settings, 3, kind);
    for port in 1..=20 {
        offer(&mut balancer, flow(port), START_MS);
    }
    assert_eq!(balancer.watched_syns(), 0);
    assert_eq!(due(&mut balancer, DUE_MS), []);
}

/// Guards against a second offer of a request that may no longer be repeated.
#[test]
fn no_second_offer_after_the_route_has_changed() {
    let mut balancer = hedging_balancer(3);
    offer(&mut balancer, flow(1), START_MS);
    let mut changed = fleet_settings(RequestKind::NonIdempotent);
    changed.table.version = 2;
    balancer.on_fleet_settings(changed, &context(START_MS + 1));
    assert_eq!(due(&mut balancer, DUE_MS), []);
}

#[derive(Clone, Copy, Debug)]
enum End {
    Confirmed,
    Returned,
    SentAgain,
    CallerWentOn,
    Paused,
    BalancerBusy,
}

/// Guards against a second offer of a SYN that is settled, or that its caller has replaced.
#[rstest]
#[case(End::Confirmed)]
#[case(End::Returned)]
#[case(End::SentAgain)]
#[case(End::CallerWentOn)]
#[case(End::Paused)]
#[case(End::BalancerBusy)]
fn settled_syn_is_not_offered_again(#[case] end: End) {
    let mut balancer = hedging_balancer(3);
    let first = offer(&mut balancer, flow(1), START_MS);
    let now_ms = START_MS + 50;
    let mut decided_ms = DUE_MS;
    match end {
        End::Confirmed => confirm(&mut balancer, first, flow(1), now_ms),
        End::Returned => {
            let code = ResultCode::TargetCold;
            let verdict = return_syn(&mut balancer, first, code, flow(1), now_ms);
            assert_ne!(agent_of(&verdict), first);
            balancer.watch_syn(&syn(flow(1), 0), PACKET, &context(now_ms));
            decided_ms += 50;
        }
        End::SentAgain => {
            balancer.on_packet(&syn(flow(1), 1), &context(now_ms));
            balancer.watch_syn(&syn(flow(1), 1), PACKET, &context(now_ms));
        }
        End::CallerWentOn => {
            balancer.on_packet(&data(flow(1), 0), &context(now_ms));
        }
        End::Paused => balancer.on_pause(3_000, &context(now_ms)),
        End::BalancerBusy => decided_ms = START_MS + 200,
    }
    assert_eq!(due(&mut balancer, decided_ms), []);
    assert_eq!(balancer.watched_syns(), 0);
}

/// Guards against more work for targets that refuse work already.
#[test]
fn no_second_offer_in_the_second_after_a_refusal_for_load() {
    let mut balancer = hedging_balancer(3);
    let other = offer(&mut balancer, flow(2), START_MS - 900);
    return_syn(
        &mut balancer,
        other,
        ResultCode::Overloaded,
        flow(2),
        START_MS - 899,
    );
    offer(&mut balancer, flow(1), START_MS);
    let hedges = due(&mut balancer, DUE_MS);
    assert_eq!(hedges[0].result, Err(HedgeRefusal::Overload));
    offer(&mut balancer, flow(3), START_MS + 10);
    assert!(second_agent(&mut balancer, DUE_MS + 10).is_some());
    assert_eq!(balancer.hedge_counts().refused_by_overload, 1);
}

#[derive(Clone, Copy, Debug)]
enum Unfit {
    Cold,
    Draining,
    Stopping,
    DomainOut,
    Silent,
    Slow,
    Failing,
}

/// Guards against second offers that would be answered late again, or refused. Agent 4 has the least
/// work.
#[rstest]
#[case(Unfit::Cold)]
#[case(Unfit::Draining)]
#[case(Unfit::Stopping)]
#[case(Unfit::DomainOut)]
#[case(Unfit::Silent)]
#[case(Unfit::Slow)]
#[case(Unfit::Failing)]
fn unfit_target_gets_no_second_offer(#[case] unfit: Unfit) {
    let mut balancer = hedging_balancer(4);
    for number in 1..=4 {
        let usual = AgentReport {
            at_work: if number == 4 { 0 } else { 2 },
            service_time_ms: 20,
            ..report(TargetPhase::Serving)
        };
        let special = match unfit {
            Unfit::Cold => AgentReport {
                is_cold: true,
                ..usual
            },
            Unfit::Draining => AgentReport {
                phase: TargetPhase::Draining,
                ..usual
            },
            Unfit::Stopping => AgentReport {
                is_stopping: true,
                ..usual
            },
            Unfit::DomainOut => AgentReport {
                domain: DomainId(9),
                ..usual
            },
            Unfit::Silent => usual,
            Unfit::Slow => AgentReport {
                service_time_ms: 40,
                ..usual
            },
            Unfit::Failing => AgentReport {
                failure_permille: 200,
                ..usual
            },
        };
        let reported = if number == 4 { special } else { usual };
        if !(number == 4 && matches!(unfit, Unfit::Silent)) {
            balancer.on_report(agent_ip(number), reported, &context(START_MS + 800));
        }
    }
    let mut fleet = FleetSettings {
        ..fleet_settings(RequestKind::Idempotent)
    };
    fleet.revision.number = 2;
    fleet.domains_out.insert(DomainId(9));
    balancer.on_fleet_settings(fleet, &context(START_MS + 800));
    balancer.on_tick(&context(START_MS + 800));
    for port in 1..=3 {
        offer(&mut balancer, flow(port), START_MS + 800);
    }
    let hedges = due(&mut balancer, DUE_MS + 800);
    assert!(!hedges.is_empty());
    for hedge in hedges {
        assert_ne!(hedge.result.map(|hop| hop.agent), Ok(agent_ip(4)));
    }
}

/// Guards against a second offer to an unfit target because it is the only other one. Placement
/// prefers the others to a cold target, so the test above does not show that it is excluded.
#[rstest]
#[case::cold(true, 0)]
#[case::failing(false, 200)]
fn unfit_target_gets_no_second_offer_if_no_other_is_left(
    #[case] is_cold: bool,
    #[case] failure_permille: u16,
) {
    let mut balancer = hedging_balancer(2);
    let first = offer(&mut balancer, flow(1), START_MS);
    let unfit = AgentReport {
        is_cold,
        failure_permille,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(3 - first), unfit, &context(START_MS + 1));
    assert_eq!(
        due(&mut balancer, DUE_MS)[0].result,
        Err(HedgeRefusal::NoCandidate)
    );
}

/// Guards against a second offer that goes to a process that is unfit because no other is left.
#[test]
fn single_agent_gets_no_second_offer() {
    let mut balancer = hedging_balancer(1);
    offer(&mut balancer, flow(1), START_MS);
    assert_eq!(
        due(&mut balancer, DUE_MS)[0].result,
        Err(HedgeRefusal::NoCandidate)
    );
}

/// Guards against agents that lose all new flows because a single confirmation was late.
#[test]
fn first_agent_is_not_doubted() {
    let mut balancer = hedging_balancer(2);
    let first = offer(&mut balancer, flow(1), START_MS);
    let second = second_agent(&mut balancer, DUE_MS).unwrap();
    let busy = AgentReport {
        at_work: 3,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(second), busy, &context(DUE_MS));
    assert_eq!(offer(&mut balancer, flow(2), DUE_MS + 1), first);
}

/// The answer of the first target is lost: the flow is at the second one.
#[test]
fn flow_belongs_to_the_second_agent_if_only_that_one_confirms() {
    let mut balancer = hedging_balancer(3);
    offer(&mut balancer, flow(1), START_MS);
    let second = second_agent(&mut balancer, DUE_MS).unwrap();
    confirm(&mut balancer, second, flow(1), DUE_MS + 5);
    let verdict = balancer.on_packet(&data(flow(1), 100), &context(DUE_MS + 9));
    assert_eq!(agent_of(&verdict), second);
    assert_eq!(balancer.hedge_counts().won, 1);
}

/// Guards against a second offer that breaks the first one when it is refused.
#[test]
fn refused_second_offer_leaves_the_first_one_unchanged() {
    let mut balancer = hedging_balancer(3);
    let first = offer(&mut balancer, flow(1), START_MS);
    let second = second_agent(&mut balancer, DUE_MS).unwrap();
    let code = ResultCode::Overloaded;
    let verdict = return_syn(&mut balancer, second, code, flow(1), DUE_MS + 2);
    assert_eq!(verdict, Verdict::Drop { code });
    let next = balancer.on_packet(&data(flow(1), 0), &context(DUE_MS + 5));
    assert_eq!(agent_of(&next), first);
    confirm(&mut balancer, first, flow(1), DUE_MS + 6);
    assert_eq!(balancer.hedge_counts().won, 0);
}

/// Guards against a third copy while the second one is on its way, and against a flow that is given
/// up because both were returned.
#[test]
fn second_offer_takes_the_place_of_a_returned_first_one() {
    let mut balancer = hedging_balancer(3);
    let first = offer(&mut balancer, flow(1), START_MS);
    let second = second_agent(&mut balancer, DUE_MS).unwrap();
    let code = ResultCode::TargetCold;
    let verdict = return_syn(&mut balancer, first, code, flow(1), DUE_MS + 2);
    assert_eq!(verdict, Verdict::Drop { code });
    let third = return_syn(&mut balancer, second, code, flow(1), DUE_MS + 4);
    assert!(![first, second].contains(&agent_of(&third)));
}

/// Guards against a search among all agents although only the second one may hold the flow.
#[test]
fn packet_after_a_returned_first_offer_goes_to_the_second_agent() {
    let mut balancer = hedging_balancer(3);
    let first = offer(&mut balancer, flow(1), START_MS);
    let second = second_agent(&mut balancer, DUE_MS).unwrap();
    let code = ResultCode::TargetCold;
    return_syn(&mut balancer, first, code, flow(1), DUE_MS + 2);
    let next = balancer.on_packet(&data(flow(1), 0), &context(DUE_MS + 5));
    assert_eq!(agent_of(&next), second);
    confirm(&mut balancer, second, flow(1), DUE_MS + 6);
    assert_eq!(balancer.hedge_counts().won, 1);
}

/// Guards against a due time that overflows: `--set` accepts every number as the minimum delay.
#[test]
fn longest_minimum_delay_sends_no_second_offer() {
    let mut settings = hedging_settings(100);
    settings.hedging.min_delay_ms = u64::MAX;
    let (mut balancer, _) = balancer_with_settings(&settings, 3, RequestKind::Idempotent);
    offer(&mut balancer, flow(1), START_MS);
    assert_eq!(due(&mut balancer, DUE_MS), []);
}

/// Guards against packets to a first agent that is dead while the advertisement of the second one is
/// lost or late, against packets to agents that cannot hold the flow, and against a dropped request
/// behind the caller's first packet.
#[test]
fn packets_before_any_confirmation_go_to_both_offered_agents_only() {
    let mut balancer = hedging_balancer(4);
    let offered = offer_twice(&mut balancer);
    for delay_ms in 9..12 {
        let verdict = balancer.on_packet(&data(flow(1), 0), &context(DUE_MS + delay_ms));
        assert_eq!(searched(&verdict), offered);
    }
    confirm(&mut balancer, offered[1], flow(1), DUE_MS + 12);
    let next = balancer.on_packet(&data(flow(1), 50), &context(DUE_MS + 13));
    assert_eq!(agent_of(&next), offered[1]);
}

/// Guards against a search or a reset while one of two offered agents may hold the flow, and against a
/// flow that is given up because both returned it.
#[rstest]
#[case::first_returns(0, ResultCode::FlowNotHeld)]
#[case::second_returns(1, ResultCode::FlowNotHeld)]
#[case::first_lost_it(0, ResultCode::FlowLost)]
fn packet_is_searched_for_only_if_both_offered_agents_return_it(
    #[case] earlier: usize,
    #[case] code: ResultCode,
) {
    let mut balancer = hedging_balancer(4);
    let offered = offer_twice(&mut balancer);
    let (earlier, later) = (offered[earlier], offered[1 - earlier]);
    balancer.on_packet(&data(flow(1), 0), &context(DUE_MS + 5));
    balancer.on_packet(&data(flow(1), 50), &context(DUE_MS + 6));
    for delay_ms in 7..9 {
        let verdict = return_data(&mut balancer, earlier, code, DUE_MS + delay_ms);
        assert_eq!(verdict, Verdict::Drop { code });
    }
    let next = balancer.on_packet(&data(flow(1), 100), &context(DUE_MS + 9));
    assert_eq!(agent_of(&next), later);
    let code = ResultCode::FlowNotHeld;
    let verdict = return_data(&mut balancer, later, code, DUE_MS + 10);
    let asked = searched(&verdict);
    assert_eq!(asked.len(), 2);
    assert!(!asked.contains(&earlier) && !asked.contains(&later));
}

/// Guards against packets that go to two agents forever because both advertisements are lost.
#[test]
fn flow_without_any_confirmation_is_searched_for_after_the_handshake_timeout() {
    let mut balancer = hedging_balancer(4);
    let offered = offer_twice(&mut balancer);
    let end_ms = START_MS + 1_400;
    for number in 1..=4 {
        let ctx = context(end_ms);
        balancer.on_report(agent_ip(number), report(TargetPhase::Serving), &ctx);
    }
    balancer.on_tick(&context(end_ms - 1));
    let verdict = balancer.on_packet(&data(flow(1), 0), &context(end_ms - 1));
    assert_eq!(searched(&verdict), offered);
    balancer.on_tick(&context(end_ms));
    let verdict = balancer.on_packet(&data(flow(1), 50), &context(end_ms));
    assert_eq!(searched(&verdict).len(), 4);
}

/// Both targets answer, and the caller takes the answer of the second one. Guards against a request
/// that runs at the other target, and against a flow that is reset or stays at the wrong agent.
#[rstest]
#[case::second_advertises_first(true)]
#[case::first_advertises_first(false)]
fn late_second_holder_is_settled_by_its_target(#[case] second_is_first: bool) {
    let mut balancer = hedging_balancer(2);
    let first = offer(&mut balancer, flow(1), START_MS);
    let second = second_agent(&mut balancer, DUE_MS).unwrap();
    let holders = if second_is_first {
        [second, first]
    } else {
        [first, second]
    };
    for (delay_ms, holder) in (1..).zip(holders) {
        confirm(&mut balancer, holder, flow(1), DUE_MS + delay_ms);
    }
    // The second target began its sequence numbers elsewhere than the first one.
    let request = Segment {
        acknowledged: 90_001,
        ..data(flow(1), 100)
    };
    let verdict = balancer.on_packet(&request, &context(DUE_MS + 5));
    assert_eq!(agent_of(&verdict), holders[0]);
    if second_is_first {
        return;
    }
    let code = code_at_first_agent(&request);
    assert_eq!(code, ResultCode::FlowNotHeld);
    let returned = Returned {
        code,
        service: service(),
    };
    let ctx = context(DUE_MS + 6);
    let verdict = balancer.on_returned(agent_ip(first), returned, &request, &ctx);
    assert_eq!(searched(&verdict), [second]);
    confirm(&mut balancer, second, flow(1), DUE_MS + 8);
    let next = balancer.on_packet(&data(flow(1), 100), &context(DUE_MS + 9));
    assert_eq!(agent_of(&next), second);
}

/// Returns the code with which the agent of the first target returns a packet that acknowledges the
/// answer of the second one.
fn code_at_first_agent(request: &Segment) -> ResultCode {
    let (mut agent, ctx) = serving_agent();
    let header = forward_header(balancer_ip(1));
    agent.on_packet(&header, &syn(flow(1), 0), &ctx);
    agent.on_target_packet(&accepted(flow(1)), &ctx);
    match agent.on_packet(&header, request, &ctx) {
        CallerVerdict::Return { code } => code,
        CallerVerdict::Deliver { .. } | CallerVerdict::Queue => {
            panic!("the first target got the packet")
        }
    }
}

/// Guards against second offers beyond the operators' limit, and against a budget that counts
/// retransmissions or requests that may not be repeated.
#[test]
fn budget_follows_from_first_offers_alone() {
    let settings = hedging_settings(5);
    let (mut balancer, _) = balancer_with_settings(&settings, 3, RequestKind::Idempotent);
    for port in 1..=40 {
        offer(&mut balancer, flow(port), START_MS);
        balancer.watch_syn(&syn(flow(port), 0), PACKET, &context(START_MS));
        balancer.watch_syn(&syn(flow(port), 1), PACKET, &context(START_MS));
    }
    let hedges = due(&mut balancer, DUE_MS);
    assert_eq!(hedges.len(), 40);
    assert_eq!(
        hedges.iter().filter(|hedge| hedge.result.is_ok()).count(),
        2
    );
    let counts = balancer.hedge_counts();
    assert_eq!((counts.sent, counts.refused_by_budget), (2, 38));
}

/// Guards against a balancer that sends second offers for SYNs of its earlier run, or whose restart
/// renews its budget.
#[test]
fn restarted_balancer_starts_without_budget_and_without_watched_syns() {
    let mut balancer = hedging_balancer(3);
    offer(&mut balancer, flow(1), START_MS);
    let settings = hedging_settings(5);
    let (mut balancer, _) = balancer_with_settings(&settings, 3, RequestKind::Idempotent);
    assert_eq!(due(&mut balancer, DUE_MS), []);
    for port in 1..=19 {
        offer(&mut balancer, flow(port), START_MS);
    }
    let hedges = due(&mut balancer, DUE_MS);
    assert_eq!(hedges.len(), 19);
    assert!(
        hedges
            .iter()
            .all(|hedge| hedge.result == Err(HedgeRefusal::Budget))
    );
}

/// Guards against memory that grows with the number of SYNs, for example when all targets are dead.
#[test]
fn number_of_watched_syns_is_bounded() {
    let mut balancer = hedging_balancer(3);
    for port in 1..=3_000 {
        offer(&mut balancer, flow(port), START_MS);
    }
    assert_eq!(balancer.watched_syns(), 1_024);
    assert_eq!(due(&mut balancer, DUE_MS).len(), 1_024);
    assert_eq!(balancer.watched_syns(), 0);
}

/// Guards against second offers that are not followed up: if the first one is returned, the flow would
/// get a third one.
#[test]
fn second_offers_that_cannot_be_followed_up_are_refused() {
    let mut settings = hedging_settings(100);
    settings.hedging.burst = 2_000;
    let (mut balancer, _) = balancer_with_settings(&settings, 3, RequestKind::Idempotent);
    for port in 1..=1_024 {
        offer(&mut balancer, flow(port), START_MS);
    }
    let hedges = due(&mut balancer, DUE_MS);
    assert!(hedges.iter().all(|hedge| hedge.result.is_ok()));
    offer(&mut balancer, flow(1_025), DUE_MS);
    let hedges = due(&mut balancer, DUE_MS + 100);
    assert_eq!(hedges[0].result, Err(HedgeRefusal::Budget));
    let counts = balancer.hedge_counts();
    assert_eq!((counts.sent, counts.refused_by_budget), (1_024, 1));
}

/// Guards against a delay that ignores how fast targets confirm, and against one that falls with
/// each second offer because late confirmations are not counted.
#[rstest]
#[case::usual(30)]
#[case::later_than_second_offers(120)]
fn delay_follows_from_the_confirmations_of_first_offers(#[case] confirmed_after_ms: u64) {
    let mut balancer = hedging_balancer(3);
    for port in 1..=20 {
        let first = offer(&mut balancer, flow(port), START_MS);
        due(&mut balancer, START_MS + confirmed_after_ms);
        confirm(
            &mut balancer,
            first,
            flow(port),
            START_MS + confirmed_after_ms,
        );
    }
    offer(&mut balancer, flow(50), START_MS + 200);
    let due_ms = START_MS + 200 + confirmed_after_ms;
    assert_eq!(due(&mut balancer, due_ms - 1), []);
    assert_eq!(due(&mut balancer, due_ms).len(), 1);
}

/// Guards against second offers that are remembered after their callers have given up: a later flow of
/// the same addresses would not be watched.
#[test]
fn second_offer_is_forgotten_after_the_handshake_timeout() {
    for (tick_ms, watched) in [(START_MS + 1_399, 0), (START_MS + 1_400, 1)] {
        let mut balancer = hedging_balancer(3);
        offer(&mut balancer, flow(1), START_MS);
        assert!(second_agent(&mut balancer, DUE_MS).is_some());
        balancer.on_tick(&context(tick_ms));
        for number in 1..=3 {
            let ctx = context(START_MS + 1_399);
            balancer.on_report(agent_ip(number), report(TargetPhase::Serving), &ctx);
        }
        offer(&mut balancer, flow(1), START_MS + 1_400);
        assert_eq!(balancer.watched_syns(), watched);
    }
}

/// Guards against a change of fleets that do not use second offers.
#[test]
fn default_settings_watch_nothing() {
    let (mut balancer, _) = balancer_with(3, RequestKind::Idempotent);
    offer(&mut balancer, flow(1), START_MS);
    assert_eq!(balancer.watched_syns(), 0);
    assert!(!balancer.has_due_hedge(&context(START_MS + 1_000)));
}
