//! SYNs that wait at an agent process.

use super::{
    fleet::entry,
    support::{
        fleet::{Fleet, SERVICE},
        packet::{ACK, Packet, SYN},
    },
};
use serde_json::json;
use std::{net::SocketAddrV4, time::Duration};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, timeout_at},
};

const CALLER: u8 = 200;

/// How many requests may be at work at a target of the test double, whose service time is unknown.
const WORK_LIMIT: u16 = 18;

/// The maximum number of rounds until the agent has been fast enough for the target to be full.
const MAX_ROUNDS: u16 = 20;

/// The time after which nothing is reserved for the higher priority of the last round; a reserve
/// would admit its SYN at once.
const RESERVE_DURATION: Duration = Duration::from_millis(2_100);

/// The metric of the agent that counts SYNs admitted from the queue.
const ADMITTED: &str = "basilstep_queue_left_total{outcome=\"admitted\"}";

const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

fn urgent_entry() -> SocketAddrV4 {
    SocketAddrV4::new(*entry().ip(), 444)
}

/// Writes a configuration with two routes of different priorities to one service.
fn configure(fleet: &Fleet) {
    let route = |entry: SocketAddrV4, priority: u8| {
        json!({"Name": format!("r{priority}"), "Hostname": entry.ip().to_string(),
               "Prefix": format!("/{}/", entry.port()), "Type": "safe", "Priority": priority,
               "TimeoutMs": 2_500, "Service": SERVICE})
    };
    let config = json!({
        "Version": 1,
        "Routes": [route(urgent_entry(), 1), route(entry(), 2)],
        "Services": [{"Name": SERVICE, "MaxConnections": 2_000}],
        "Limits": {"IdleTimeoutMs": 15_000},
    });
    fleet.store.put("op/config", Some(&config));
}

/// Fills the target with unfinished handshakes, opens one more flow of the higher priority, and
/// completes the handshakes; returns whether that flow opens.
async fn open_flow_at_full_target(fleet: &Fleet, socket: &UdpSocket, first_port: u16) -> bool {
    let balancer = fleet.address(1, fleet.ports.packets);
    let packet = |flags, port, destination| Packet {
        flags,
        source: SocketAddrV4::new(fleet.ip(CALLER), port),
        destination,
        sequence: 100,
        acknowledged: 0,
        data: Vec::new(),
    };
    let last_port = first_port + WORK_LIMIT;
    for port in first_port..last_port {
        let syn = packet(SYN, port, entry());
        socket.send_to(&syn.encode(), balancer).await.unwrap();
    }
    let syn = packet(SYN, last_port, urgent_entry());
    socket.send_to(&syn.encode(), balancer).await.unwrap();
    let mut buffer = [0; 2_048];
    let ends_at = Instant::now() + ANSWER_TIMEOUT;
    while let Ok(received) = timeout_at(ends_at, socket.recv_from(&mut buffer)).await {
        let (bytes, _) = received.unwrap();
        let answer = Packet::decode(&buffer[..bytes]);
        if answer.destination.port() == last_port {
            return answer.is(SYN) && answer.is(ACK);
        }
        let acknowledgement = Packet {
            sequence: 101,
            acknowledged: answer.sequence + 1,
            ..packet(ACK, answer.destination.port(), entry())
        };
        let bytes = acknowledgement.encode();
        socket.send_to(&bytes, balancer).await.unwrap();
    }
    false
}

/// Guards against a queued SYN that the agent process admits but does not deliver: its caller sends
/// it once, so that its flow opens only by that delivery. On a busy machine a round may find the
/// target with capacity, so it is repeated.
#[tokio::test]
async fn syn_waits_at_a_full_target_and_opens_its_flow() {
    let mut fleet = Fleet::start("admission-queue").await;
    configure(&fleet);
    fleet.start_balancer(1);
    let (_, _target) = fleet.start_agent(11).await;
    fleet.await_ready(1).await;
    let socket = UdpSocket::bind(fleet.address(CALLER, fleet.ports.packets))
        .await
        .unwrap();
    for round in 0..MAX_ROUNDS {
        let first_port = 41_000 + round * 100;
        let is_open = open_flow_at_full_target(&fleet, &socket, first_port).await;
        let caller = format!(":{}>", first_port + WORK_LIMIT);
        let parts = ["packet left the admission queue", "Admitted", &caller];
        if fleet.has_log_line(11, &parts) {
            assert!(is_open, "the queued SYN was admitted but not delivered");
            assert!(fleet.metric(11, ADMITTED).await > 0);
            return;
        }
        sleep(RESERVE_DURATION).await;
    }
    panic!("no flow was opened from the queue");
}
