//! A new configuration comes into force while SYNs are on their way.

use super::{
    agent_ip, balancer_with, context, fleet_settings, flow, held, report, service, service_address,
    syn,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentReport, BalancerFlows, FleetSettings, RequestKind, Returned, ServiceShare, ServiceTag,
        TargetPhase, balancer::Verdict,
    },
};
use rstest::rstest;

const SENT_MS: u64 = 10_000;
const OFFERED_AGAIN_MS: u64 = 10_100;
const CHANGED_MS: u64 = 10_150;
const COPY_MS: u64 = 10_200;

fn other_service() -> ServiceTag {
    ServiceTag::of("other")
}

/// A balancer that knows two agents of the service and one of the other service.
fn balancer_of_two_services() -> BalancerFlows {
    let (mut balancer, ctx) = balancer_with(2, RequestKind::Idempotent);
    let of_other = AgentReport {
        service: other_service(),
        ..report(TargetPhase::Serving)
    };
    balancer.on_report(agent_ip(3), of_other, &ctx);
    balancer
}

/// Refuses the SYN of the flow at the agent it was sent to, and returns where it goes next.
fn refuse(balancer: &mut BalancerFlows, verdict: &Verdict, now_ms: u64) -> Verdict {
    let Verdict::Forward(next_hop) = verdict else {
        panic!("expected an agent, got {verdict:?}");
    };
    let returned = Returned {
        code: ResultCode::Overloaded,
        service: next_hop.header.service,
    };
    let packet = syn(flow(1), 0);
    balancer.on_returned(next_hop.agent, returned, &packet, &context(now_ms))
}

/// Returns the service that a SYN is forwarded to, if it is.
fn service_of(verdict: &Verdict) -> Option<ServiceTag> {
    match verdict {
        Verdict::Forward(next_hop) => Some(next_hop.header.service),
        _ => None,
    }
}

/// Version 2, in which the route's flows go to `services`.
fn version_2(services: &[ServiceTag]) -> FleetSettings {
    let mut settings = fleet_settings(RequestKind::Idempotent);
    settings.table.version = 2;
    let route = settings.table.routes.get_mut(&service_address()).unwrap();
    route.shares = services
        .iter()
        .map(|service| ServiceShare {
            service: *service,
            weight: 1,
        })
        .collect();
    settings
}

/// Version 2, which drops the route.
fn version_2_without_route() -> FleetSettings {
    let mut settings = version_2(&[]);
    settings.table.routes.clear();
    settings
}

/// What happens to the first copy of a SYN.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstCopy {
    /// Its agent does not answer.
    Unanswered,
    /// It is offered to the second agent shortly before the change, and gets no answer there.
    OfferedAgain,
    /// Its agent refuses it after the change.
    RefusedLate,
}

/// Guards against a SYN's copy that opens its flow at a service that only an older version allows.
#[rstest]
#[case::route_moved(version_2(&[other_service()]), Some(other_service()))]
#[case::route_dropped(version_2_without_route(), None)]
#[case::route_without_service(version_2(&[]), None)]
fn copy_of_a_syn_follows_the_configuration_in_force(
    #[case] settings: FleetSettings,
    #[case] service: Option<ServiceTag>,
    #[values(FirstCopy::Unanswered, FirstCopy::OfferedAgain, FirstCopy::RefusedLate)]
    first_copy: FirstCopy,
) {
    let mut balancer = balancer_of_two_services();
    let first = balancer.on_packet(&syn(flow(1), 0), &context(SENT_MS));
    assert_eq!(service_of(&first), Some(super::service()));
    if first_copy == FirstCopy::OfferedAgain {
        let second = refuse(&mut balancer, &first, OFFERED_AGAIN_MS);
        assert_eq!(service_of(&second), Some(super::service()));
    }
    balancer.on_fleet_settings(settings, &context(CHANGED_MS));
    let verdict = if first_copy == FirstCopy::RefusedLate {
        refuse(&mut balancer, &first, COPY_MS)
    } else {
        balancer.on_packet(&syn(flow(1), 1), &context(COPY_MS))
    };
    assert_eq!(service_of(&verdict), service);
}

/// Guards against two targets of different services answering one caller without need.
#[test]
fn copy_of_a_syn_stays_with_a_service_that_is_still_allowed() {
    for port in 1..50 {
        let mut balancer = balancer_of_two_services();
        balancer.on_packet(&syn(flow(port), 0), &context(SENT_MS));
        let both = version_2(&[other_service(), service()]);
        balancer.on_fleet_settings(both, &context(CHANGED_MS));
        let verdict = balancer.on_packet(&syn(flow(port), 1), &context(COPY_MS));
        assert_eq!(service_of(&verdict), Some(service()));
    }
}

/// Guards against moving a flow that its target has already accepted.
#[test]
fn copy_of_a_syn_goes_to_the_agent_that_holds_the_flow() {
    let mut balancer = balancer_of_two_services();
    balancer.on_packet(&syn(flow(1), 0), &context(SENT_MS));
    balancer.on_held_flows(agent_ip(1), &held(0, flow(1)), &context(SENT_MS));
    balancer.on_fleet_settings(version_2(&[other_service()]), &context(CHANGED_MS));
    let verdict = balancer.on_packet(&syn(flow(1), 1), &context(COPY_MS));
    assert_eq!(service_of(&verdict), Some(service()));
}
