//! Which incarnation of the target is running, and whether its agent knows all its flows: neither two
//! readings of clocks nor the last writer decide.

use super::{
    HEARTBEAT_MS, accepted, balancer_ip, context, data, first_heartbeat, flow, forward_header,
    hear_target_for_long, new_agent, syn, target_heartbeat,
};
use crate::{
    codes::ResultCode,
    flows::{
        AgentFlows, InstanceTag, ProcessIncarnation, ReportReply, StoreRevision, TargetPhase,
        agent::{CallerVerdict, HeartbeatOutcome, TargetHeartbeat},
    },
};
use rstest::rstest;

/// A balancer says that no other process of the agent has run for long.
fn reply_without_former_agent(agent: &mut AgentFlows, now_ms: u64) {
    let reply = ReportReply {
        incarnation: ProcessIncarnation(7),
        version: 1,
        revision: StoreRevision::default(),
        is_domain_out: false,
        limits: None,
        balancers_hash: 0,
        former_report_age_ms: Some(60_000),
    };
    agent.on_reply(&reply, &context(now_ms));
}

/// Returns whether the agent asks its target for a flow that it does not know, another one each time.
fn asks_target(agent: &mut AgentFlows, now_ms: u64) -> bool {
    let header = forward_header(balancer_ip(1));
    let unknown = flow(now_ms as u16);
    let verdict = agent.on_packet(&header, &data(unknown, 100), &context(now_ms));
    matches!(verdict, CallerVerdict::Deliver { .. })
}

/// Guards against the reset of a flow of a target that is older than its agent, because its clock was
/// set back after its start (review/7): its heartbeats show that it is older, whatever `born` says.
#[rstest]
#[case::true_clock(0)]
#[case::clock_ahead_at_the_start(2_400)]
#[case::clock_far_ahead(3_000_000)]
fn target_that_started_before_its_agent_is_asked(#[case] clock_ahead_ms: u64) {
    let mut agent = new_agent();
    for number in 2..8 {
        let now_ms = 300 + (number - 2) * HEARTBEAT_MS;
        let heartbeat = TargetHeartbeat {
            born_ms: first_heartbeat().born_ms + clock_ahead_ms,
            sequence: number,
            ..first_heartbeat()
        };
        agent.on_target_heartbeat(&heartbeat, &context(now_ms));
        reply_without_former_agent(&mut agent, now_ms);
        assert!(asks_target(&mut agent, now_ms + 10), "{now_ms} ms");
    }
}

/// Guards against the reset of a flow of a living target, because the first heartbeats that its
/// restarted agent got were late ones of a former incarnation (review/8).
#[rstest]
#[case::one(&[57])]
#[case::its_first(&[1])]
#[case::several_together(&[1, 2, 3])]
fn late_heartbeats_before_the_first_one_witness_nothing(
    #[case] late: &[u64],
    #[values(8_000, 30_000)] former_born_ms: u64,
) {
    let mut agent = new_agent();
    for sequence in late {
        let former = TargetHeartbeat {
            instance: InstanceTag::of("former"),
            born_ms: former_born_ms,
            sequence: *sequence,
            ..first_heartbeat()
        };
        agent.on_target_heartbeat(&former, &context(100));
    }
    reply_without_former_agent(&mut agent, 100);
    assert!(asks_target(&mut agent, 150));
    for number in 1..8 {
        let now_ms = 400 + (number - 1) * HEARTBEAT_MS;
        agent.on_target_heartbeat(&target_heartbeat(number), &context(now_ms));
        assert!(asks_target(&mut agent, now_ms + 10), "{now_ms} ms");
    }
    assert_eq!(agent.target().phase(), TargetPhase::Serving);
}

/// Guards against the reset of the flows of a living target by a late heartbeat of an incarnation whose
/// clock was ahead, and against a target that is ignored after it.
#[test]
fn late_heartbeat_with_a_later_start_loses_no_flow() {
    let mut agent = new_agent();
    for number in 1..4 {
        let ctx = context(5_000 + number * HEARTBEAT_MS);
        agent.on_target_heartbeat(&target_heartbeat(number), &ctx);
    }
    let header = forward_header(balancer_ip(1));
    let opened = context(9_000);
    agent.on_packet(&header, &syn(flow(1), 0), &opened);
    agent.on_target_packet(&accepted(flow(1)), &opened);
    agent.on_packet(&header, &data(flow(1), 10), &opened);
    let (outcome, lost) = agent.on_target_heartbeat(&first_heartbeat(), &context(9_500));
    assert_eq!((outcome, lost.len()), (HeartbeatOutcome::Replaced, 0));
    let verdict = agent.on_packet(&header, &data(flow(1), 10), &context(9_600));
    assert!(matches!(verdict, CallerVerdict::Deliver { .. }));
    let mut outcomes = Vec::new();
    for number in 4..7 {
        let ctx = context(5_000 + number * HEARTBEAT_MS);
        let (outcome, lost) = agent.on_target_heartbeat(&target_heartbeat(number), &ctx);
        assert!(lost.is_empty());
        outcomes.push(outcome);
    }
    assert!(
        outcomes.contains(&HeartbeatOutcome::Resumed),
        "{outcomes:?}"
    );
    assert_eq!(agent.table().live(), 1);
}

/// Guards against needless questions to a target that has started beside its running agent.
#[test]
fn target_that_started_later_than_its_agent_is_known() {
    let mut agent = new_agent();
    agent.on_target_heartbeat(&target_heartbeat(1), &context(5_000));
    let now_ms = hear_target_for_long(&mut agent) + 900;
    let (outcome, _) = agent.on_target_heartbeat(&first_heartbeat(), &context(now_ms));
    assert_eq!(outcome, HeartbeatOutcome::NewLifetime);
    let header = forward_header(balancer_ip(1));
    let verdict = agent.on_packet(&header, &data(flow(9), 100), &context(now_ms + 10));
    let code = ResultCode::FlowNotHeld;
    assert_eq!(verdict, CallerVerdict::Return { code });
}
