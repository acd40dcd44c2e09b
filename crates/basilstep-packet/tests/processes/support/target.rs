//! Test double of a target: sends heartbeats to its agent, accepts flows and answers requests.

use super::{
    flow::TargetFlow,
    packet::{ACK, BOUNCED, Packet, SYN},
};
use basilstep_node::http::HttpClient;
use http::Method;
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    io::ErrorKind,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// The interval between heartbeats; also written to the settings file.
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// How long the address of a target may stay in use after the former one has ended.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_INTERVAL: Duration = Duration::from_millis(5);

/// The version of the software of targets, as heartbeats say it.
pub const TARGET_VERSION: &str = "v1";

/// The distance between the initial sequence numbers of two runs and of two targets; larger than the
/// number of bytes in flight, so that a sequence number identifies the run.
const SEQUENCES_PER_RUN: u32 = 1_000_000;
const SEQUENCES_PER_TARGET: u32 = 100_000_000;

/// The maximum time that a packet may have been queued in the target's socket when the agent
/// acknowledged the draining state.
const SOCKET_QUEUE_DELAY: Duration = Duration::from_millis(100);

/// The identity and the addresses of a target.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub zone: String,
    /// The number of the incarnation; each run has another initial sequence number.
    pub run: u32,
    /// The Unix time at which the incarnation began.
    pub born_ms: u64,
}

impl TargetConfig {
    /// Returns the run of the target that sent a packet with this sequence number.
    pub const fn run_of(sequence: u32) -> u32 {
        sequence % SEQUENCES_PER_TARGET / SEQUENCES_PER_RUN
    }

    fn first_sequence(&self) -> u32 {
        let [_, _, _, number] = self.address.ip().octets();
        u32::from(number) * SEQUENCES_PER_TARGET + self.run * SEQUENCES_PER_RUN
    }
}

/// The events that a target has observed.
#[derive(Debug, Default)]
pub struct TargetLog {
    pub opened: AtomicU32,
    pub is_draining: AtomicBool,
    /// How long the target takes to answer a request.
    pub answer_delay_ms: AtomicU32,
    /// The number of flows opened after the agent had acknowledged that the target is draining.
    pub opened_while_draining: AtomicU32,
    /// The times at which flows were opened.
    pub opened_at: Mutex<Vec<Instant>>,
    /// The service addresses to which packets were sent.
    pub entries: Mutex<BTreeSet<SocketAddrV4>>,
    draining_since: Mutex<Option<Instant>>,
    open_flows: Mutex<BTreeMap<SocketAddrV4, TargetFlow>>,
}

impl TargetLog {
    fn record_opened_flow(&self) {
        self.opened.fetch_add(1, Ordering::SeqCst);
        self.opened_at.lock().unwrap().push(Instant::now());
        let draining_since = *self.draining_since.lock().unwrap();
        if draining_since.is_some_and(|since| since.elapsed() > SOCKET_QUEUE_DELAY) {
            self.opened_while_draining.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    pub log: Arc<TargetLog>,
    tasks: Vec<JoinHandle<()>>,
}

impl Target {
    pub async fn spawn(config: TargetConfig) -> Self {
        let log = Arc::new(TargetLog::default());
        let socket = timeout(BIND_TIMEOUT, bind_when_free(config.address))
            .await
            .unwrap();
        let tasks = vec![
            tokio::spawn(send_heartbeats(config.clone(), Arc::clone(&log))),
            tokio::spawn(serve(socket, config, Arc::clone(&log))),
        ];
        Self { log, tasks }
    }

    /// Creates a placeholder for a target between two incarnations.
    pub fn absent() -> Self {
        Self {
            log: Arc::default(),
            tasks: Vec::new(),
        }
    }

    /// Ends the incarnation of the target and frees its address.
    pub async fn end(self) {
        for task in self.tasks {
            task.abort();
            // The result is the cancellation.
            let _ = task.await;
        }
    }
}

/// Binds an address once it is free.
///
/// A child process that is being started holds copies of all sockets of the test, also of those that
/// are closed meanwhile, until it runs its program.
async fn bind_when_free(address: SocketAddrV4) -> UdpSocket {
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return socket,
            Err(error) => assert_eq!(error.kind(), ErrorKind::AddrInUse, "{error}"),
        }
        sleep(BIND_INTERVAL).await;
    }
}

async fn send_heartbeats(config: TargetConfig, log: Arc<TargetLog>) {
    let mut client = HttpClient::new(config.control);
    let path = format!("/instances/{}", config.id);
    for sequence in 1.. {
        let is_draining = log.is_draining.load(Ordering::SeqCst);
        let body = json!({
            "Service": config.service, "Address": config.address.to_string(), "Zone": config.zone,
            "Version": TARGET_VERSION, "Capacity": 9, "State": if is_draining { "draining" } else { "ready" },
            "WarmupLeftMs": 0, "Sequence": sequence, "born": config.born_ms,
        });
        // A failed heartbeat is ignored: the agent may not be up yet, and the next one repeats the
        // state.
        let reply = client
            .call(
                Method::PUT,
                &path,
                body.to_string().as_bytes(),
                Duration::from_secs(1),
            )
            .await;
        if is_draining && reply.is_ok_and(|reply| reply.status.is_success()) {
            let mut draining_since = log.draining_since.lock().unwrap();
            draining_since.get_or_insert_with(Instant::now);
        }
        sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
    }
}

async fn serve(socket: UdpSocket, config: TargetConfig, log: Arc<TargetLog>) {
    let mut buffer = [0; 2_048];
    loop {
        let (bytes, _) = socket.recv_from(&mut buffer).await.unwrap();
        let received = &mut buffer[..bytes];
        let packet = Packet::decode(received);
        if !packet.data.is_empty() {
            let delay_ms = log.answer_delay_ms.load(Ordering::SeqCst);
            sleep(Duration::from_millis(u64::from(delay_ms))).await;
        }
        let reply = match answer(&packet, &config, &log) {
            Reply::Packet(reply) => reply.encode(),
            Reply::Bounce => {
                received[0] |= BOUNCED;
                received.to_vec()
            }
            Reply::None => continue,
        };
        socket.send_to(&reply, config.outbound).await.unwrap();
    }
}

/// What a target sends back for a packet.
enum Reply {
    Packet(Packet),
    /// The packet itself, because the target does not hold the flow.
    Bounce,
    /// Nothing, because the packet has no data.
    None,
}

fn answer(packet: &Packet, config: &TargetConfig, log: &TargetLog) -> Reply {
    let mut open_flows = log.open_flows.lock().unwrap();
    log.entries.lock().unwrap().insert(packet.destination);
    let first_sequence = config.first_sequence();
    if packet.is(SYN) {
        open_flows.entry(packet.source).or_insert_with(|| {
            log.record_opened_flow();
            TargetFlow::new(packet, first_sequence)
        });
        return Reply::Packet(Packet {
            flags: SYN | ACK,
            source: packet.destination,
            destination: packet.source,
            sequence: first_sequence,
            acknowledged: packet.sequence + 1,
            data: Vec::new(),
        });
    }
    // Only the target whose sequence number the caller acknowledges holds the flow.
    let Some(flow) = open_flows
        .get_mut(&packet.source)
        .filter(|flow| flow.is_acknowledged_by(packet))
    else {
        return Reply::Bounce;
    };
    if packet.data.is_empty() {
        return Reply::None;
    }
    Reply::Packet(flow.answer(packet, || {
        let text = String::from_utf8_lossy(&packet.data);
        format!("{} answers {text}", config.id)
    }))
}
