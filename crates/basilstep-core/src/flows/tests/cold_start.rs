//! Admission of new flows to a target that has just started.

use super::{
    balancer_ip, context, flow, forward_header, new_agent, revision, syn, target_heartbeat,
};
use crate::flows::{
    AgentFlows, ProcessIncarnation, ReportReply, ServiceLimits,
    agent::{CallerVerdict, TargetHeartbeat},
};

const WARMUP_PER_S: f64 = 20.0;
const WARMUP_MS: u32 = 2_000;

fn cold_agent() -> AgentFlows {
    let mut agent = new_agent();
    let limits = ServiceLimits {
        max_flows: 0,
        warmup_ms: WARMUP_MS,
        warmup_per_s: WARMUP_PER_S,
    };
    let reply = ReportReply {
        incarnation: ProcessIncarnation(1),
        version: 1,
        revision: revision(1),
        is_domain_out: false,
        limits: Some(limits),
        balancers_hash: 0,
        former_report_age_ms: None,
    };
    agent.on_reply(&reply, &context(0));
    let cold = TargetHeartbeat {
        warmup_left_ms: WARMUP_MS,
        capacity: 10_000,
        ..target_heartbeat(1)
    };
    agent.on_target_heartbeat(&cold, &context(1_000));
    agent
}

fn admitted_at(agent: &mut AgentFlows, times_ms: impl Iterator<Item = u64>) -> Vec<u64> {
    times_ms
        .zip(1_u16..)
        .filter(|(now_ms, port)| {
            let packet = syn(flow(*port), 0);
            let verdict =
                agent.on_packet(&forward_header(balancer_ip(1)), &packet, &context(*now_ms));
            matches!(verdict, CallerVerdict::Deliver { .. })
        })
        .map(|(now_ms, _)| now_ms)
        .collect()
}

/// All callers return at once after an outage: 1,000 SYNs a second at one target.
#[test]
fn cold_target_stays_within_its_rate_in_every_second() {
    let mut agent = cold_agent();
    let admitted = admitted_at(&mut agent, 1_000..3_000);
    let allowed = (WARMUP_PER_S * 1.5 + 5.0) as usize;
    for start_ms in 1_000..2_000 {
        let in_second = admitted
            .iter()
            .filter(|at_ms| (start_ms..=start_ms + 1_000).contains(*at_ms))
            .count();
        assert!(in_second <= allowed, "{in_second} from {start_ms} ms on");
    }
    assert!(admitted.len() >= 2 * WARMUP_PER_S as usize);
}

#[test]
fn warm_target_is_not_limited() {
    let mut agent = cold_agent();
    let admitted = admitted_at(&mut agent, 3_100..4_100);
    assert_eq!(admitted.len(), 1_000);
}

#[test]
fn report_says_how_many_flows_there_is_room_for() {
    let mut agent = cold_agent();
    let before = agent.report(balancer_ip(1), &context(1_000)).room;
    admitted_at(&mut agent, 1_000..1_003);
    assert_eq!(
        agent.report(balancer_ip(1), &context(1_003)).room,
        before - 3
    );
    assert_eq!(agent.report(balancer_ip(1), &context(3_500)).room, u16::MAX);
}
