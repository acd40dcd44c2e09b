use super::{AdmissionQueue, QueuedSyn, max_wait_ms};
use crate::flows::{
    ForwardHeader,
    settings::FlowSettings,
    tests::{balancer_ip, flow, forward_header, syn},
};
use rstest::rstest;

const LIMIT: usize = 3;

fn header(level: u8, goal_ms: u16) -> ForwardHeader {
    ForwardHeader {
        latency_goal_ms: goal_ms,
        priority_level: level,
        priority_levels: 2,
        may_wait: true,
        ..forward_header(balancer_ip(1))
    }
}

fn queued(port: u16, level: u8, deadline_ms: u64) -> QueuedSyn {
    QueuedSyn {
        flow: flow(port),
        header: header(level, 300),
        packet: vec![port as u8],
        queued_ms: 1_000,
        deadline_ms,
    }
}

fn ports(queue: &AdmissionQueue) -> Vec<u16> {
    queue
        .positions()
        .into_iter()
        .filter_map(|position| queue.get(position))
        .map(|syn| syn.flow.caller.port())
        .collect()
}

/// Guards against a lower level that goes first, and against a SYN that expires behind one that
/// could have waited.
#[test]
fn order_is_by_level_then_by_deadline() {
    let mut queue = AdmissionQueue::default();
    queue.insert(queued(1, 1, 1_050), LIMIT);
    queue.insert(queued(2, 0, 1_090), LIMIT);
    queue.insert(queued(3, 0, 1_070), LIMIT);
    assert_eq!(ports(&queue), [3, 2, 1]);
    assert_eq!(queue.count_ahead(0), 2);
}

/// Guards against a full queue that keeps lower levels while it returns higher ones.
#[test]
fn full_queue_returns_the_lowest_level_first() {
    let mut queue = AdmissionQueue::default();
    for port in 1..=3 {
        queue.insert(queued(port, 1, 1_050), LIMIT);
    }
    let evicted = queue.insert(queued(4, 0, 1_140), LIMIT);
    assert_eq!(evicted.map(|syn| syn.flow), Some(flow(3)));
    let evicted = queue.insert(queued(5, 1, 1_140), LIMIT);
    assert_eq!(evicted.map(|syn| syn.flow), Some(flow(5)));
    assert_eq!(ports(&queue), [4, 1, 2]);
}

/// Guards against a copy that makes a SYN young again, or that is returned to a balancer that has
/// failed since, or whose shorter latency goal admits it only after younger SYNs.
#[test]
fn copy_replaces_the_packet_and_keeps_the_age() {
    let mut queue = AdmissionQueue::default();
    queue.insert(queued(1, 0, 1_050), LIMIT);
    let mut copy = queued(1, 0, 1_200);
    copy.queued_ms = 1_040;
    copy.packet = vec![9];
    copy.header.origin = balancer_ip(2);
    copy.header.latency_goal_ms = 100;
    assert!(queue.insert(copy, LIMIT).is_none());
    assert_eq!(queue.len(), 1);
    let syn = queue.remove(&flow(1)).unwrap();
    assert_eq!((syn.queued_ms, syn.deadline_ms), (1_000, 1_050));
    assert_eq!(syn.packet, [9]);
    assert_eq!(syn.header.origin, balancer_ip(2));
    assert_eq!(syn.header.latency_goal_ms, 300);
    assert!(queue.is_empty() && !queue.contains(&flow(1)));
}

/// Guards against a wait that uses up the latency goal, and against one after which the balancer
/// takes the SYN for lost.
#[rstest]
#[case::share_of_the_goal(300, 140, 75)]
#[case::longest_wait(1_000, 140, 140)]
#[case::no_goal(0, 140, 140)]
#[case::late_request(ForwardHeader::EXPIRED_GOAL_MS, 140, 0)]
#[case::setting_beyond_the_confirmation(0, 500, 140)]
fn wait_is_bounded(#[case] goal_ms: u16, #[case] max_ms: u64, #[case] expected_ms: u64) {
    let mut settings = FlowSettings::default();
    settings.admission_queue.max_wait_ms = max_ms;
    let wait_ms = max_wait_ms(&header(0, goal_ms), &syn(flow(1), 0), &settings);
    assert_eq!(wait_ms, expected_ms);
    assert!(wait_ms < settings.syns.confirm_within_ms);
}
