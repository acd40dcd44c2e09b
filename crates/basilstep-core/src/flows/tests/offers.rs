//! How many agents a balancer offers a SYN to where routes to a service have different priorities.

use super::{agent_ip, balancer_with, balancer_with_settings, flow, report, service, syn};
use crate::{
    codes::ResultCode,
    context::Context,
    flows::{
        AgentReport, BalancerFlows, FleetSettings, FlowSettings, ForwardHeader, RequestKind,
        Returned, Segment, TargetPhase,
        balancer::{NextHop, Verdict},
        tests::fleet_settings,
    },
};
use std::net::{Ipv4Addr, SocketAddrV4};

const AGENTS: u8 = 6;

fn lower_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

/// Settings with fewer offers than there are agents.
fn four_offers() -> FlowSettings {
    let mut settings = FlowSettings::default();
    settings.admission_queue.max_offers = 4;
    settings
}

/// Routes of two priorities to one service.
fn two_priorities() -> FleetSettings {
    let mut fleet = fleet_settings(RequestKind::Idempotent);
    let mut lower = fleet.table.routes.values().next().unwrap().clone();
    lower.priority = 2;
    fleet.table.routes.insert(lower_address(), lower);
    fleet.table.version = 2;
    fleet
}

/// A balancer all of whose agents have reported that their targets are busy.
fn balancer(settings: &FlowSettings, agents: u8) -> (BalancerFlows, Context) {
    let (mut balancer, ctx) = balancer_with_settings(settings, agents, RequestKind::Idempotent);
    balancer.on_fleet_settings(two_priorities(), &ctx);
    for number in 1..=agents {
        balancer.on_report(agent_ip(number), busy(), &ctx);
    }
    (balancer, ctx)
}

fn busy() -> AgentReport {
    let serving = report(TargetPhase::Serving);
    AgentReport {
        at_work: serving.capacity,
        ..serving
    }
}

fn forwarded(verdict: &Verdict) -> Option<NextHop> {
    match verdict {
        Verdict::Forward(next_hop) => Some(*next_hop),
        _ => None,
    }
}

/// Offers a SYN whose agents all refuse it with `code`; returns the headers of the offers and how
/// it ended.
fn offer_to_refusing_agents(
    balancer: &mut BalancerFlows,
    packet: &Segment,
    code: ResultCode,
    ctx: &Context,
) -> (Vec<ForwardHeader>, Verdict) {
    let mut headers = Vec::new();
    let mut verdict = balancer.on_packet(packet, ctx);
    while let Some(next_hop) = forwarded(&verdict) {
        headers.push(next_hop.header);
        let returned = Returned {
            code,
            service: service(),
        };
        verdict = balancer.on_returned(next_hop.agent, returned, packet, ctx);
    }
    (headers, verdict)
}

fn may_wait(headers: &[ForwardHeader]) -> Vec<bool> {
    headers.iter().map(|header| header.may_wait).collect()
}

/// Guards against SYNs that go through all agents of an overloaded service, and against a last
/// offer that may not wait.
#[test]
fn syn_that_is_refused_for_load_gets_four_offers_and_waits_at_the_last() {
    let (mut balancer, ctx) = balancer(&four_offers(), AGENTS);
    let mut packet = syn(flow(1), 0);
    packet.destination = lower_address();
    let (headers, verdict) =
        offer_to_refusing_agents(&mut balancer, &packet, ResultCode::Overloaded, &ctx);
    assert_eq!(may_wait(&headers), [false, false, false, true]);
    assert!(headers.iter().all(|header| header.priority_level == 1));
    assert!(headers.iter().all(|header| header.priority_levels == 2));
    let code = ResultCode::Overloaded;
    assert_eq!(verdict, Verdict::Drop { code });
    // The next retransmission gets new offers.
    packet.acknowledged = 1;
    let (headers, _) =
        offer_to_refusing_agents(&mut balancer, &packet, ResultCode::Overloaded, &ctx);
    assert_eq!(headers.len(), 4);
}

/// Guards against a SYN that is returned by the only agent left although it could wait there.
#[test]
fn syn_may_wait_at_the_last_remaining_agent() {
    let (mut balancer, ctx) = balancer(&four_offers(), 2);
    let (headers, _) = offer_to_refusing_agents(
        &mut balancer,
        &syn(flow(1), 0),
        ResultCode::Overloaded,
        &ctx,
    );
    assert_eq!(may_wait(&headers), [false, true]);
    assert!(headers.iter().all(|header| header.priority_level == 0));
}

/// Guards against a service with a cold or draining majority of targets that is given up after
/// four of them.
#[test]
fn refusals_for_other_reasons_do_not_count() {
    let (mut balancer, ctx) = balancer(&four_offers(), AGENTS);
    let (headers, _) = offer_to_refusing_agents(
        &mut balancer,
        &syn(flow(1), 0),
        ResultCode::TargetCold,
        &ctx,
    );
    assert_eq!(headers.len(), usize::from(AGENTS));
}

/// Guards against a change for deployments whose routes to a service have one priority, or that
/// switch the queue off.
#[test]
fn one_priority_or_no_queue_tries_all_agents_without_waiting() {
    let mut settings = four_offers();
    settings.admission_queue.is_enabled = false;
    let with_one_priority = balancer_with(AGENTS, RequestKind::Idempotent);
    let without_queue = balancer(&settings, AGENTS);
    for (mut balancer, ctx) in [with_one_priority, without_queue] {
        let (headers, _) = offer_to_refusing_agents(
            &mut balancer,
            &syn(flow(1), 0),
            ResultCode::Overloaded,
            &ctx,
        );
        assert_eq!(headers.len(), usize::from(AGENTS));
        assert!(headers.iter().all(|header| !header.may_wait));
    }
}

/// Guards against an overload of the lower level that resets first SYNs of the higher one.
#[test]
fn overload_of_a_lower_level_does_not_refuse_the_higher_one_at_once() {
    let (mut balancer, mut ctx) = balancer(&four_offers(), AGENTS);
    let mut verdict = Verdict::Drop {
        code: ResultCode::Done,
    };
    for number in 0..10 {
        let mut packet = syn(flow(100 + number), 0);
        packet.destination = lower_address();
        (_, verdict) =
            offer_to_refusing_agents(&mut balancer, &packet, ResultCode::Overloaded, &ctx);
        ctx.advance(50);
    }
    let code = ResultCode::Overloaded;
    assert_eq!(verdict, Verdict::Reset { code });
    let (_, verdict) = offer_to_refusing_agents(&mut balancer, &syn(flow(1), 0), code, &ctx);
    assert_eq!(verdict, Verdict::Drop { code });
}

/// Guards against a SYN that gets no second agent after the one at which it waited has failed.
#[test]
fn retransmission_goes_to_another_agent_when_the_queueing_one_is_gone() {
    let (mut balancer, mut ctx) = balancer(&four_offers(), 2);
    let first = forwarded(&balancer.on_packet(&syn(flow(1), 0), &ctx)).unwrap();
    let returned = Returned {
        code: ResultCode::Overloaded,
        service: service(),
    };
    let verdict = balancer.on_returned(first.agent, returned, &syn(flow(1), 0), &ctx);
    let second = forwarded(&verdict).unwrap();
    assert!(second.header.may_wait);
    ctx.advance(200);
    let verdict = balancer.on_packet(&syn(flow(1), 1), &ctx);
    assert_eq!(forwarded(&verdict).map(|hop| hop.agent), Some(first.agent));
}

/// Guards against a SYN that waits at a second agent, for as long again, after the first one at
/// which it waited has returned it because its target drains.
#[test]
fn syn_waits_at_one_agent_only() {
    let (mut balancer, mut ctx) = balancer(&four_offers(), AGENTS);
    let packet = syn(flow(1), 0);
    let mut headers = Vec::new();
    let mut verdict = balancer.on_packet(&packet, &ctx);
    while let Some(next_hop) = forwarded(&verdict) {
        headers.push(next_hop.header);
        let code = if headers.len() == 4 {
            ctx.advance(90);
            ResultCode::Draining
        } else {
            ResultCode::Overloaded
        };
        let returned = Returned {
            code,
            service: service(),
        };
        verdict = balancer.on_returned(next_hop.agent, returned, &packet, &ctx);
    }
    assert_eq!(may_wait(&headers), [false, false, false, true, false]);
    // The retransmission may wait again, for a share of what is left of the latency goal.
    ctx.advance(110);
    let code = ResultCode::Overloaded;
    let (headers, _) = offer_to_refusing_agents(&mut balancer, &syn(flow(1), 1), code, &ctx);
    assert_eq!(may_wait(&headers), [false, false, false, true]);
}

/// Guards against a caller that is refused for load while another target is idle.
#[test]
fn syn_goes_on_to_agents_that_report_a_free_slot() {
    let (mut balancer, ctx) = balancer(&four_offers(), AGENTS);
    let packet = syn(flow(1), 0);
    let mut refused_by = Vec::new();
    let mut verdict = balancer.on_packet(&packet, &ctx);
    while let Some(next_hop) = forwarded(&verdict).filter(|_| refused_by.len() < 4) {
        refused_by.push(next_hop.agent);
        if refused_by.len() == 4 {
            let idle = (1..=AGENTS)
                .map(agent_ip)
                .find(|agent| !refused_by.contains(agent));
            let free = report(TargetPhase::Serving);
            balancer.on_report(idle.unwrap(), free, &ctx);
        }
        let returned = Returned {
            code: ResultCode::Overloaded,
            service: service(),
        };
        verdict = balancer.on_returned(next_hop.agent, returned, &packet, &ctx);
    }
    let last = forwarded(&verdict).expect("the idle agent is offered the SYN");
    assert!(!refused_by.contains(&last.agent));
    assert!(!last.header.may_wait);
}
