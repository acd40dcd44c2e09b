//! A fleet with so many balancers that not every one can get every report.

use super::{
    agent_ip, balancer_ip, balancer_with, context, data, flow, heartbeat, held, new_agent_with,
    report, syn, target_heartbeat,
};
use crate::{
    address::DomainId,
    flows::{
        AgentFlows, AgentReport, BalancerEntry, BalancerFlows, BalancerHeartbeat,
        ProcessIncarnation, Recipients, RequestKind, TargetPhase, balancer::Verdict,
    },
};
use rstest::rstest;
use std::{collections::BTreeMap, net::Ipv4Addr};

const OWN: DomainId = DomainId(0);
const OTHER: DomainId = DomainId(1);

fn agent_of(own: u8, others: u8) -> AgentFlows {
    agent_with_incarnation(1, own, others)
}

fn agent_with_incarnation(incarnation: u32, own: u8, others: u8) -> AgentFlows {
    let mut agent = new_agent_with(ProcessIncarnation(incarnation));
    let ctx = context(5_000);
    agent.on_target_heartbeat(&target_heartbeat(1), &ctx);
    let entries: Vec<BalancerEntry> = (0..own + others)
        .map(|number| BalancerEntry {
            ip: balancer_ip(number),
            domain: if number < own { OWN } else { OTHER },
            incarnation: ProcessIncarnation(1),
            age_ms: 0,
        })
        .collect();
    agent.on_balancers(&entries, &ctx);
    agent
}

/// Counts the reports of some report intervals, by balancer and by interval.
fn reports_in(agent: &mut AgentFlows, intervals: usize) -> (BTreeMap<Ipv4Addr, usize>, Vec<usize>) {
    let mut counts = BTreeMap::new();
    let mut sizes = Vec::new();
    for _ in 0..intervals {
        let reports = agent.due_reports(Recipients::Scheduled, None, &context(6_000));
        sizes.push(reports.len());
        for (balancer, _) in reports {
            *counts.entry(balancer).or_default() += 1;
        }
    }
    (counts, sizes)
}

#[test]
fn few_balancers_get_every_report() {
    let mut agent = agent_of(10, 22);
    let (counts, _) = reports_in(&mut agent, 4);
    assert_eq!(counts.len(), 32);
    assert!(counts.values().all(|count| *count == 4));
}

/// How many report intervals pass between two reports to each of 160 balancers of other domains,
/// in a fleet of 200.
const IDLE_INTERVALS: u16 = 25;

#[test]
fn of_many_balancers_those_of_other_domains_get_reports_in_turns() {
    let mut agent = agent_of(40, 160);
    let (counts, sizes) = reports_in(&mut agent, usize::from(IDLE_INTERVALS));
    for (balancer, count) in &counts {
        let is_own = balancer.octets()[3] < 40;
        let expected = if is_own { IDLE_INTERVALS } else { 1 };
        assert_eq!(*count, usize::from(expected), "{balancer}");
    }
    assert_eq!(counts.len(), 200);
    assert!(
        sizes.iter().all(|size| (40..40 + 20).contains(size)),
        "{sizes:?}"
    );
}

/// Whatever the number of balancers, those of other domains cost an agent the same.
#[rstest]
#[case::sixty(60)]
#[case::hundred(100)]
#[case::two_hundred(200)]
fn reports_to_other_domains_do_not_grow_with_the_fleet(#[case] others: u8) {
    let mut agent = agent_of(0, others);
    let (_, sizes) = reports_in(&mut agent, 100);
    let mean = sizes.iter().sum::<usize>() as f64 / 100.0;
    assert!((6.0..=8.5).contains(&mean), "{mean}");
}

/// Otherwise a balancer would hear all agents of a domain at once, and then nothing for a while.
#[test]
fn agents_report_to_a_balancer_at_different_times() {
    let mut agents: Vec<AgentFlows> = (1..=40)
        .map(|incarnation| agent_with_incarnation(incarnation, 0, 100))
        .collect();
    for _ in 0..16 {
        let reporting = agents
            .iter_mut()
            .map(|agent| agent.due_reports(Recipients::Scheduled, None, &context(6_000)))
            .filter(|reports| reports.iter().any(|(ip, _)| *ip == balancer_ip(7)))
            .count();
        assert!(reporting <= 10, "{reporting} agents in one interval");
    }
}

#[test]
fn change_is_reported_to_all_at_once_and_the_source_gets_every_report() {
    let mut agent = agent_of(40, 160);
    let all = agent.due_reports(Recipients::All, None, &context(6_000));
    assert_eq!(all.len(), 200);
    let source = balancer_ip(120);
    for _ in 0..4 {
        let reports = agent.due_reports(Recipients::Scheduled, Some(source), &context(6_000));
        let asked: Vec<_> = reports.iter().filter(|(_, r)| r.wants_reply).collect();
        assert_eq!(asked.len(), 1);
        assert_eq!(asked[0].0, source);
    }
}

#[test]
fn report_says_how_often_its_receiver_gets_one() {
    let mut agent = agent_of(40, 160);
    let reports = agent.due_reports(Recipients::All, None, &context(6_000));
    for (balancer, report) in reports {
        let is_own = balancer.octets()[3] < 40;
        assert_eq!(report.slowness, if is_own { 1 } else { IDLE_INTERVALS });
    }
}

fn balancer_with_a_rarely_reporting_agent() -> BalancerFlows {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    let rare = AgentReport {
        slowness: 4,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(1), rare, &context(10_000));
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &context(10_000));
    balancer
}

#[test]
fn agent_that_reports_each_second_is_not_suspected_between_two_reports() {
    let mut balancer = balancer_with_a_rarely_reporting_agent();
    let placed = balancer.on_packet(&syn(flow(2), 0), &context(12_900));
    assert!(matches!(placed, Verdict::Forward(_)));
    let mut balancer = balancer_with_a_rarely_reporting_agent();
    let refused = balancer.on_packet(&syn(flow(2), 0), &context(13_300));
    assert!(matches!(refused, Verdict::Drop { .. }));
}

/// A domain fails whose agents report to the other domains only once a second.
#[test]
fn silent_agent_that_reports_rarely_is_probed_when_packets_need_it() {
    let mut balancer = balancer_with_a_rarely_reporting_agent();
    let request = data(flow(1), 10);
    balancer.on_packet(&request, &context(10_400));
    assert_eq!(balancer.take_probes(&context(10_400)), [agent_ip(1)]);
    assert!(balancer.take_probes(&context(10_500)).is_empty());
    assert_eq!(balancer.take_probes(&context(10_650)), [agent_ip(1)]);
    let refused = balancer.on_packet(&syn(flow(2), 0), &context(10_960));
    assert!(matches!(refused, Verdict::Drop { .. }));
    let passed = balancer.on_packet(&request, &context(11_600));
    assert!(matches!(passed, Verdict::Forward(_)));
    let reset = balancer.on_packet(&request, &context(11_700));
    assert!(matches!(reset, Verdict::Reset { .. }));
}

#[test]
fn agent_that_answers_a_probe_is_trusted_again() {
    let mut balancer = balancer_with_a_rarely_reporting_agent();
    balancer.on_packet(&data(flow(1), 10), &context(10_400));
    balancer.take_probes(&context(10_400));
    let rare = AgentReport {
        slowness: 4,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(1), rare, &context(10_900));
    assert!(balancer.take_probes(&context(11_000)).is_empty());
    let passed = balancer.on_packet(&data(flow(1), 10), &context(12_000));
    assert!(matches!(passed, Verdict::Forward(_)));
}

#[test]
fn agent_that_sends_every_report_here_is_not_probed() {
    let (mut balancer, _) = balancer_with(1, RequestKind::Idempotent);
    balancer.on_packet(&syn(flow(1), 0), &context(10_700));
    assert!(balancer.take_probes(&context(10_700)).is_empty());
}

/// The balancer was paused and could not receive an answer meanwhile.
#[test]
fn probe_timer_restarts_after_a_pause() {
    let mut balancer = balancer_with_a_rarely_reporting_agent();
    balancer.on_packet(&data(flow(1), 10), &context(10_400));
    balancer.on_pause(5_000, &context(10_500));
    let passed = balancer.on_packet(&data(flow(1), 10), &context(11_700));
    assert!(matches!(passed, Verdict::Forward(_)));
}

/// A domain of ten agents that all report once a second.
fn balancer_with_a_rarely_reporting_domain(now_ms: u64) -> BalancerFlows {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    for number in 1..=10 {
        let rare = AgentReport {
            slowness: 4,
            domain: OTHER,
            ..report(TargetPhase::Serving)
        };
        balancer.on_report(agent_ip(number), rare, &context(now_ms));
    }
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &context(now_ms));
    balancer
}

/// Power loss in a domain whose agents report to the other domains only once a second.
#[test]
fn flows_of_a_silent_domain_are_reset_without_a_probe_of_each_agent() {
    let mut balancer = balancer_with_a_rarely_reporting_domain(10_000);
    let refused = balancer.on_packet(&syn(flow(2), 0), &context(10_800));
    assert!(matches!(refused, Verdict::Drop { .. }));
    let reset = balancer.on_packet(&data(flow(1), 10), &context(11_500));
    assert!(matches!(reset, Verdict::Reset { .. }));
}

#[test]
fn domain_of_which_one_process_sends_messages_is_not_silent() {
    let mut balancer = balancer_with_a_rarely_reporting_domain(10_000);
    let from_there = BalancerHeartbeat {
        domain: OTHER,
        ..heartbeat(10)
    };
    balancer.on_heartbeat(balancer_ip(9), &from_there, &context(10_700));
    let passed = balancer.on_packet(&data(flow(1), 10), &context(11_500));
    assert!(matches!(passed, Verdict::Forward(_)));
}

/// The silence of a domain with one agent is not conclusive.
#[test]
fn agent_of_a_small_domain_is_probed() {
    let mut balancer = balancer_with_a_rarely_reporting_agent();
    let passed = balancer.on_packet(&data(flow(1), 10), &context(11_500));
    assert!(matches!(passed, Verdict::Forward(_)));
}

/// The balancer itself was paused.
#[test]
fn silence_timer_of_a_domain_restarts_after_a_pause() {
    let mut balancer = balancer_with_a_rarely_reporting_domain(10_000);
    balancer.on_pause(1_200, &context(11_200));
    let passed = balancer.on_packet(&data(flow(1), 10), &context(12_600));
    assert!(matches!(passed, Verdict::Forward(_)));
}

/// Agents of other domains have ended; balancers that start must not wait for them for long.
#[test]
fn ended_agent_that_reported_rarely_is_soon_not_counted_as_live() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    let rare = AgentReport {
        slowness: 12,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(1), rare, &context(10_000));
    let next_report_ms = 10_000 + 12 * 250;
    assert_eq!(balancer.heartbeat(&context(next_report_ms)).live_agents, 1);
    let overdue = context(next_report_ms + 800);
    assert_eq!(balancer.heartbeat(&overdue).live_agents, 0);
}
