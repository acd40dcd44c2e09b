//! Explanations of placements, compared with what becomes of a SYN.

use super::{
    agent_ip, balancer_with, context, fleet_settings, flow, health_settings, held, report,
    revision, service, service_address, syn,
};
use crate::{
    address::DomainId,
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, FleetSettings, FlowKey, RequestKind, Returned, Route,
        TargetPhase,
        balancer::{
            Explanation, MAX_EXPLAINED_AGENTS, PassedOverReason, PlacementOutcome, Verdict,
        },
        tests::balancer_with_settings,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

const NOW_MS: u64 = 10_000;
const STATES: u64 = 3_000;

fn explain(balancer: &BalancerFlows, key: FlowKey, now_ms: u64) -> Explanation {
    balancer.explain_placement(key, &context(now_ms)).unwrap()
}

/// Routes with two priorities in about half of the states, where offers are limited.
fn random_fleet(rng: &mut StdRng) -> FleetSettings {
    let mut fleet = fleet_settings(RequestKind::Idempotent);
    fleet.table.version = 2;
    fleet.revision = revision(2);
    if rng.random_bool(0.5) {
        let route = Route {
            priority: 2,
            ..fleet.table.routes[&service_address()].clone()
        };
        let other = SocketAddrV4::new(*service_address().ip(), 444);
        fleet.table.routes.insert(other, route);
    }
    if rng.random_bool(0.3) {
        fleet.domains_out = BTreeSet::from([DomainId(2)]);
    }
    fleet
}

/// Reports with few different values, so that expected waits are often equal.
fn random_report(rng: &mut StdRng) -> AgentReport {
    let phases = [
        TargetPhase::Serving,
        TargetPhase::Serving,
        TargetPhase::Serving,
        TargetPhase::Draining,
        TargetPhase::Down,
    ];
    AgentReport {
        domain: DomainId(rng.random_range(0..3)),
        is_cold: rng.random_bool(0.2),
        is_stopping: rng.random_bool(0.1),
        at_work: rng.random_range(0..3),
        open_flows: rng.random_range(0..2),
        room: rng.random_range(0..6),
        slowness: rng.random_range(1..3),
        service_time_ms: if rng.random_bool(0.2) { 140 } else { 20 },
        failure_permille: if rng.random_bool(0.1) { 450 } else { 0 },
        ..report(phases[rng.random_range(0..phases.len())])
    }
}

/// A balancer with random agents that has placed some flows, of which some were returned, confirmed
/// or neither.
fn random_balancer(rng: &mut StdRng) -> (BalancerFlows, u64) {
    let agents = rng.random_range(0..14);
    let settings = health_settings();
    let (mut balancer, ctx) = balancer_with_settings(&settings, agents, RequestKind::Idempotent);
    balancer.on_fleet_settings(random_fleet(rng), &ctx);
    for number in 1..=agents {
        if rng.random_bool(0.9) {
            balancer.on_report(agent_ip(number), random_report(rng), &ctx);
        }
    }
    balancer.on_tick(&ctx);
    let mut now_ms = NOW_MS;
    for _ in 0..rng.random_range(0..12) {
        now_ms += rng.random_range(0..120);
        let (key, ctx) = (flow(rng.random_range(1..6)), context(now_ms));
        let verdict = balancer.on_packet(&syn(key, 0), &ctx);
        if let Verdict::Forward(next_hop) = verdict {
            match rng.random_range(0..4) {
                0 => balancer.on_held_flows(next_hop.agent, &held(0, key), &ctx),
                1 => {
                    let returned = Returned {
                        code: ResultCode::Overloaded,
                        service: service(),
                    };
                    balancer.on_returned(next_hop.agent, returned, &syn(key, 0), &ctx);
                }
                _ => {}
            }
        }
        if rng.random_bool(0.3) {
            balancer.on_tick(&ctx);
        }
    }
    if rng.random_bool(0.02) {
        balancer.on_pause(0, &context(now_ms));
    }
    (balancer, now_ms + rng.random_range(0..700))
}

/// Guards against an explanation that names another agent or code than the SYN then gets, and
/// against one that changes the state of the balancer.
#[test]
fn explanation_agrees_with_the_placement_of_the_syn() {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..STATES {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut balancer, now_ms) = random_balancer(&mut rng);
        let key = flow(rng.random_range(1..8));
        let before = format!("{balancer:?}");
        let explanation = explain(&balancer, key, now_ms);
        assert_eq!(format!("{balancer:?}"), before, "seed {seed}");
        let listed = explanation.candidates.len() + explanation.passed_over.len();
        let agents = balancer.agents().of_service(service()).count();
        assert_eq!(listed + explanation.left_out, agents, "seed {seed}");
        let verdict = balancer.on_packet(&syn(key, 0), &context(now_ms));
        let kind = match (explanation.outcome, verdict) {
            (PlacementOutcome::Refused { code }, Verdict::Drop { code: actual }) => {
                assert_eq!(code, actual, "seed {seed}");
                "refused"
            }
            (outcome, Verdict::Forward(next_hop)) => {
                assert_eq!(outcome.agent(), Some(next_hop.agent), "seed {seed}");
                match outcome {
                    PlacementOutcome::Hinted { .. } => "hinted",
                    PlacementOutcome::Probe { .. } => "probe",
                    _ => {
                        assert_eq!(Some(explanation.candidates[0].agent), outcome.agent());
                        let waits = explanation.candidates.iter().map(|c| c.expected_wait);
                        let lowest = explanation.candidates[0].expected_wait;
                        if waits.filter(|wait| wait.total_cmp(&lowest).is_eq()).count() > 1 {
                            "tie"
                        } else {
                            "chosen"
                        }
                    }
                }
            }
            (outcome, verdict) => panic!("seed {seed}: {outcome:?} but {verdict:?}"),
        };
        *seen.entry(kind).or_default() += 1;
    }
    for kind in ["refused", "hinted", "probe", "tie", "chosen"] {
        let states = seen.get(kind).copied().unwrap_or_default();
        assert!(states >= 50, "too few states are {kind}: {seen:?}");
    }
}

/// Guards against an agent of the service that is in no list, or has the wrong reason.
#[test]
fn each_agent_that_is_passed_over_has_its_reason() {
    let (mut balancer, ctx) = balancer_with(7, RequestKind::Idempotent);
    let serving = report(TargetPhase::Serving);
    let mut fleet = fleet_settings(RequestKind::Idempotent);
    fleet.revision = revision(2);
    fleet.domains_out = BTreeSet::from([DomainId(2)]);
    balancer.on_fleet_settings(fleet, &ctx);
    let reports = [
        (2, report(TargetPhase::Draining)),
        (3, report(TargetPhase::Down)),
        (
            4,
            AgentReport {
                is_stopping: true,
                ..serving
            },
        ),
        (
            5,
            AgentReport {
                domain: DomainId(2),
                ..serving
            },
        ),
        (6, AgentReport { room: 0, ..serving }),
    ];
    let later_ms = NOW_MS + 2_000;
    balancer.on_report(agent_ip(1), serving, &context(later_ms));
    for (number, report) in reports {
        balancer.on_report(agent_ip(number), report, &context(later_ms));
    }
    let explanation = explain(&balancer, flow(1), later_ms);
    assert_eq!(
        reasons(&explanation),
        [
            (agent_ip(2), PassedOverReason::Draining),
            (agent_ip(3), PassedOverReason::TargetNotServing),
            (agent_ip(4), PassedOverReason::Stopping),
            (agent_ip(5), PassedOverReason::DomainOut),
            (agent_ip(6), PassedOverReason::NoRoom),
            (agent_ip(7), PassedOverReason::Silent),
        ]
    );
    assert_eq!(explanation.candidates.len(), 1);
    assert_eq!(explanation.outcome.agent(), Some(agent_ip(1)));
}

fn reasons(explanation: &Explanation) -> Vec<(Ipv4Addr, PassedOverReason)> {
    let passed_over = explanation.passed_over.iter();
    passed_over
        .map(|passed| (passed.agent, passed.reason))
        .collect()
}

/// Guards against a retransmission that is explained like a first SYN: the agent that has not
/// confirmed is doubted, and the one that refused is not asked again.
#[test]
fn agents_that_refused_or_did_not_confirm_the_flow_are_passed_over() {
    let (mut balancer, ctx) = balancer_with(3, RequestKind::Idempotent);
    let packet = syn(flow(1), 0);
    let first = explain(&balancer, flow(1), NOW_MS).outcome.agent().unwrap();
    balancer.on_packet(&packet, &ctx);
    let returned = Returned {
        code: ResultCode::Overloaded,
        service: service(),
    };
    balancer.on_returned(first, returned, &packet, &ctx);
    let hinted = explain(&balancer, flow(1), NOW_MS);
    let second = hinted.outcome.agent().unwrap();
    assert_eq!(hinted.outcome, PlacementOutcome::Hinted { agent: second });
    let overdue = explain(&balancer, flow(1), NOW_MS + 200);
    let expected = BTreeMap::from([
        (first, PassedOverReason::Refused),
        (second, PassedOverReason::Doubted),
    ]);
    assert_eq!(BTreeMap::from_iter(reasons(&overdue)), expected);
}

/// Guards against a domain held after a restore, and a target that fails requests, that are listed as
/// candidates or without their reason.
#[test]
fn held_domains_and_avoided_targets_are_passed_over() {
    let (mut balancer, ctx) =
        balancer_with_settings(&health_settings(), 5, RequestKind::Idempotent);
    let mut fleet = fleet_settings(RequestKind::Idempotent);
    fleet.revision = revision(2);
    fleet.domains_out = BTreeSet::from([DomainId(2)]);
    balancer.on_fleet_settings(fleet.clone(), &ctx);
    fleet.revision.era = 1;
    fleet.domains_out.clear();
    balancer.on_fleet_settings(fleet, &ctx);
    for number in 1..=5 {
        let agent_report = AgentReport {
            domain: DomainId(if number == 1 { 2 } else { 0 }),
            service_time_ms: 20,
            failure_permille: if number == 2 { 450 } else { 0 },
            ..report(TargetPhase::Serving)
        };
        balancer.on_report(agent_ip(number), agent_report, &ctx);
    }
    balancer.on_tick(&ctx);
    let explanation = explain(&balancer, flow(1), NOW_MS);
    let expected = [
        (agent_ip(1), PassedOverReason::DomainHeld),
        (agent_ip(2), PassedOverReason::Avoided),
    ];
    assert_eq!(reasons(&explanation), expected);
}

/// Guards against an answer that grows with the number of agents.
#[test]
fn explanation_lists_a_bounded_number_of_agents() {
    let (balancer, ctx) = balancer_with(200, RequestKind::Idempotent);
    let explanation = explain(&balancer, flow(1), ctx.now_ms);
    let listed = explanation.candidates.len() + explanation.passed_over.len();
    assert_eq!(listed, MAX_EXPLAINED_AGENTS);
    assert_eq!(explanation.left_out, 200 - MAX_EXPLAINED_AGENTS);
}

/// Guards against an explanation of a flow that no route covers.
#[test]
fn address_without_a_route_is_an_error() {
    let (balancer, ctx) = balancer_with(1, RequestKind::Idempotent);
    let mut key = flow(1);
    key.service_address.set_port(9);
    let error = balancer.explain_placement(key, &ctx).unwrap_err();
    assert_eq!(error.code(), ResultCode::ServiceUnknown);
}
