//! A fleet of so many balancers that not each can get every report.

use super::{
    agent_ip, balancer_ip, balancer_with, context, data, flow, opening, report, serving_agent,
};
use crate::{
    address::DomainId,
    flows::{
        AgentFlows, AgentReport, BalancerEntry, Lifetime, RequestKind, Round, TargetPhase,
        balancer::Verdict,
    },
};
use std::{collections::BTreeMap, net::Ipv4Addr};

const OWN: DomainId = DomainId(0);
const OTHER: DomainId = DomainId(1);

fn agent_of(own: u8, others: u8) -> AgentFlows {
    let (mut agent, ctx) = serving_agent();
    let entries: Vec<BalancerEntry> = (0..own + others)
        .map(|number| BalancerEntry {
            ip: balancer_ip(number),
            domain: if number < own { OWN } else { OTHER },
            lifetime: Lifetime(1),
            age_ms: 0,
        })
        .collect();
    agent.on_balancers(&entries, &ctx);
    agent
}

/// Counts the reports of four rounds, a second, by balancer.
fn reports_in_a_second(agent: &mut AgentFlows) -> (BTreeMap<Ipv4Addr, usize>, Vec<usize>) {
    let mut counts = BTreeMap::new();
    let mut sizes = Vec::new();
    for _ in 0..4 {
        let reports = agent.due_reports(Round::Regular, None, &context(6_000));
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
    let (counts, _) = reports_in_a_second(&mut agent);
    assert_eq!(counts.len(), 32);
    assert!(counts.values().all(|count| *count == 4));
}

#[test]
fn of_many_balancers_those_of_other_domains_get_one_report_a_second_in_turns() {
    let mut agent = agent_of(40, 160);
    let (counts, sizes) = reports_in_a_second(&mut agent);
    for (balancer, count) in &counts {
        let is_own = balancer.octets()[3] < 40;
        assert_eq!(*count, if is_own { 4 } else { 1 }, "{balancer}");
    }
    assert_eq!(counts.len(), 200);
    assert!(
        sizes.iter().all(|size| (40 + 20..40 + 60).contains(size)),
        "{sizes:?}"
    );
}

#[test]
fn change_is_reported_to_all_at_once_and_the_source_gets_every_report() {
    let mut agent = agent_of(40, 160);
    let all = agent.due_reports(Round::Everyone, None, &context(6_000));
    assert_eq!(all.len(), 200);
    let source = balancer_ip(120);
    for _ in 0..4 {
        let reports = agent.due_reports(Round::Regular, Some(source), &context(6_000));
        let asked: Vec<_> = reports.iter().filter(|(_, r)| r.wants_reply).collect();
        assert_eq!(asked.len(), 1);
        assert_eq!(asked[0].0, source);
    }
}

#[test]
fn report_says_how_often_its_receiver_gets_one() {
    let mut agent = agent_of(40, 160);
    let reports = agent.due_reports(Round::Everyone, None, &context(6_000));
    for (balancer, report) in reports {
        let is_own = balancer.octets()[3] < 40;
        assert_eq!(report.slowness, if is_own { 1 } else { 4 });
    }
}

#[test]
fn agent_that_reports_each_second_is_not_suspected_between_two_reports() {
    let (mut balancer, _) = balancer_with(0, RequestKind::Idempotent);
    let slow = AgentReport {
        slowness: 4,
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(1), slow, &context(10_000));
    let placed = balancer.on_packet(&opening(flow(1), 0), &context(11_900));
    assert!(matches!(placed, Verdict::Forward(_)));
    let refused = balancer.on_packet(&opening(flow(2), 0), &context(13_300));
    assert!(matches!(refused, Verdict::Drop { .. }));
    let open = balancer.on_packet(&data(flow(3), 10), &context(15_900));
    assert!(matches!(open, Verdict::Search(_)), "reset after 6 s only");
}
