//! Flows stay where they are when their route is led to another service, also for balancers that
//! start afterwards.

use super::{
    FLOW_MAX_AGE_MS, agent_ip, balancer_identity, context, data, fleet_settings, flow, report,
    service_address,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, FleetSettings, FlowSettings, RequestKind, Returned, ServiceTag,
        TargetPhase,
        balancer::{FormerService, PastRoutes, RouteHistoryRecord, Verdict, WatchTimes},
    },
};
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
};

/// The services in the order in which the route leads to them, and the agent of each.
const SERVICES: [&str; 3] = ["first", "second", "quotes"];

fn tag(index: usize) -> ServiceTag {
    ServiceTag::of(SERVICES[index])
}

fn agent_of(index: usize) -> Ipv4Addr {
    agent_ip(index as u8 + 1)
}

/// The settings of a version whose route leads to a service.
fn settings_of(version: u64, index: usize) -> FleetSettings {
    let mut settings = fleet_settings(RequestKind::NonIdempotent);
    settings.table.version = version;
    let route = settings.table.routes.get_mut(&service_address()).unwrap();
    route.shares[0].service = tag(index);
    settings
}

/// A balancer that has just started, in a fleet with an agent of each service.
fn new_balancer() -> BalancerFlows {
    let mut balancer =
        BalancerFlows::new(FlowSettings::default(), balancer_identity(), &context(0));
    balancer.on_registered_agents(SERVICES.len() as u16);
    balancer
}

fn report_all(balancer: &mut BalancerFlows, now_ms: u64) {
    for index in 0..SERVICES.len() {
        let report = AgentReport {
            service: tag(index),
            ..report(TargetPhase::Serving)
        };
        balancer.on_report(agent_of(index), report, &context(now_ms));
    }
}

/// Searches for a flow, lets the agents of `denying` refuse it, and returns the agents that were asked
/// and whether the flow was reset.
fn search(balancer: &mut BalancerFlows, denying: &[usize], now_ms: u64) -> (Vec<usize>, bool) {
    let packet = data(flow(1), 100);
    report_all(balancer, now_ms);
    let verdict = balancer.on_packet(&packet, &context(now_ms));
    let asked: BTreeSet<Ipv4Addr> = match &verdict {
        Verdict::Search(next_hops) => next_hops.iter().map(|next_hop| next_hop.agent).collect(),
        _ => BTreeSet::new(),
    };
    let asked = (0..SERVICES.len())
        .filter(|index| asked.contains(&agent_of(*index)))
        .collect();
    let mut is_reset = matches!(verdict, Verdict::Reset { .. });
    for index in denying {
        let not_held = Returned {
            code: ResultCode::FlowNotHeld,
            service: tag(*index),
        };
        let ctx = context(now_ms + 1);
        let verdict = balancer.on_returned(agent_of(*index), not_held, &packet, &ctx);
        is_reset |= matches!(verdict, Verdict::Reset { .. });
    }
    is_reset |= !balancer.on_tick(&context(now_ms + 60)).lost.is_empty();
    (asked, is_reset)
}

fn record(version: u64, named: usize, former: &[usize]) -> PastRoutes {
    let former = former.iter().map(|index| FormerService {
        address: service_address(),
        service: tag(*index),
        age_ms: 5_000,
    });
    PastRoutes::Recorded(RouteHistoryRecord {
        version,
        agents: None,
        services: BTreeMap::from([(service_address(), BTreeSet::from([tag(named)]))]),
        former: former.collect(),
    })
}

/// Guards against a balancer that starts after a route was led elsewhere and resets the flows that
/// are open at the route's former services, without asking these.
#[rstest]
#[case::never_moved(PastRoutes::NeverChanged, &[2])]
#[case::moved_once(record(3, 2, &[1]), &[1, 2])]
#[case::moved_twice(record(3, 2, &[0, 1]), &[0, 1, 2])]
#[case::moved_since_it_was_recorded(record(2, 1, &[0]), &[0, 1, 2])]
fn former_services_are_asked_by_a_balancer_that_has_just_started(
    #[case] past: PastRoutes,
    #[case] expected: &[usize],
) {
    let mut balancer = new_balancer();
    balancer.on_fleet_settings(settings_of(3, 2), &context(0));
    balancer.on_past_routes(&past, &context(10));
    report_all(&mut balancer, 20);
    let (asked, is_reset) = search(&mut balancer, &[2], 5_000);
    assert_eq!(asked, expected);
    assert_eq!(is_reset, expected == [2]);
    let (_, is_reset) = search(&mut balancer, &[0, 1, 2], 5_400);
    assert!(is_reset, "all services have refused");
}

/// Guards against a balancer that takes today's route for the only one there was, because it has not
/// learnt the past.
#[test]
fn flow_is_not_reset_while_the_past_of_its_route_is_unknown() {
    let lifetime_ms = FLOW_MAX_AGE_MS + WatchTimes::default().max_age_ms;
    for (now_ms, is_conclusive) in [
        (5_000, false),
        (lifetime_ms - 100, false),
        (lifetime_ms, true),
    ] {
        let mut balancer = new_balancer();
        balancer.on_fleet_settings(settings_of(3, 2), &context(0));
        report_all(&mut balancer, 20);
        let (_, is_reset) = search(&mut balancer, &[2], now_ms);
        assert_eq!(is_reset, is_conclusive, "at {now_ms} ms");
    }
}

/// Guards against a record that loses what a balancer has learnt from the former record.
#[test]
fn record_contains_what_was_read_and_what_has_changed_since() {
    let mut balancer = new_balancer();
    balancer.on_fleet_settings(settings_of(3, 1), &context(0));
    assert_eq!(balancer.route_history_record(&context(2_000)), None);
    balancer.on_past_routes(&record(2, 0, &[]), &context(10));
    balancer.on_fleet_settings(settings_of(4, 2), &context(1_000));
    let record = balancer.route_history_record(&context(2_000)).unwrap();
    assert_eq!(record.version, 4);
    assert_eq!(
        record.services[&service_address()],
        BTreeSet::from([tag(2)])
    );
    let former: BTreeMap<_, _> = record
        .former
        .iter()
        .map(|former| (former.service, former.age_ms))
        .collect();
    assert_eq!(former, BTreeMap::from([(tag(0), 1_990), (tag(1), 1_000)]));
}

/// Guards against the reset of a flow on a route that other balancers know already.
#[rstest]
#[case::before_the_packet(4_999, false)]
#[case::after_the_packet(5_000, true)]
fn open_flow_without_a_route_is_reset_only_by_settings_that_were_still_the_newest(
    #[case] confirmed_ms: u64,
    #[case] is_conclusive: bool,
) {
    let mut balancer = new_balancer();
    let mut settings = settings_of(3, 2);
    settings.table.routes.clear();
    balancer.on_fleet_settings(settings, &context(0));
    balancer.on_past_routes(&PastRoutes::NeverChanged, &context(10));
    report_all(&mut balancer, 20);
    search(&mut balancer, &[], 5_000);
    balancer.on_settings_confirmed(confirmed_ms);
    let (_, is_reset) = search(&mut balancer, &[], 5_200);
    assert_eq!(is_reset, is_conclusive);
}
